"""
kingcupdyke.forwarding.unfinishedparts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The bytes of answers that a gateway holds until it knows what they are: beginnings of events, bodies
whose end shows whether they are whole, and answers that may be replaced by those of others.
"""

from collections import Counter
from collections.abc import Callable

__all__ = ["UnfinishedPart", "UnfinishedParts"]

#: One part in so many of the memory budget is what all endpoints, and what one endpoint may use.
ALL_PARTS = 4
ENDPOINT_PARTS = 16


class UnfinishedPart:
    """The bytes of one answer that are held.

    :param parts: the bytes of all answers
    :param endpoint: the endpoint that has sent them
    """

    def __init__(self, parts: "UnfinishedParts", endpoint: str) -> None:
        self._parts = parts
        self._endpoint = endpoint
        self._size = 0

    def resize(self, size: int) -> bool:
        """Count the bytes that the answer holds from now on.

        :return: whether it may hold them; if not, the number that counts is not changed
        """
        if not self._parts.change(self._endpoint, size - self._size):
            return False
        self._size = size
        return True

    def close(self) -> None:
        """Release what the answer holds."""
        self.resize(0)


class UnfinishedParts:
    """Decides how much the answers of each endpoint may hold.

    An endpoint may use its share, and not more than what all endpoints have left of theirs. The
    more is held, the lower this threshold is: those that hold most meet it first, and there is
    always room for one that holds little.

    :param budget_bytes: the memory budget of the process
    :param on_release: called when less is held than before
    """

    def __init__(self, budget_bytes: int, on_release: Callable[[], None] = lambda: None) -> None:
        self.budget_bytes = budget_bytes
        self._on_release = on_release
        #: Bytes that are held now.
        self.size_bytes = 0
        self._size_by_endpoint: Counter[str] = Counter()

    def open_part(self, endpoint: str) -> UnfinishedPart:
        """:return: the account of an answer that holds nothing yet"""
        return UnfinishedPart(self, endpoint)

    def change(self, endpoint: str, growth: int) -> bool:
        """Add to the bytes of an endpoint's answers, or subtract from them.

        :return: whether that was possible; fewer bytes always are
        """
        size = self._size_by_endpoint[endpoint] + growth
        if growth > 0 and size > self._get_threshold():
            return False
        self.size_bytes += growth
        self._size_by_endpoint[endpoint] = size
        if not size:
            del self._size_by_endpoint[endpoint]
        if growth < 0:
            self._on_release()
        return True

    def _get_threshold(self) -> int:
        room = self.budget_bytes // ALL_PARTS - self.size_bytes
        return min(self.budget_bytes // ENDPOINT_PARTS, room)
