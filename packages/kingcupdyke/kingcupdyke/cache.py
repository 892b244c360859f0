"""
kingcupdyke.cache
~~~~~~~~~~~~~~~~~

Index of the prompt prefixes cached by each endpoint, built from delayed and lossy cache events.
"""

from collections import OrderedDict
from typing import NamedTuple

from kingcupdyke.util import get_int_opt

__all__ = ["PrefixIndex"]


class _Position(NamedTuple):
    """The last event received from an endpoint."""

    #: Run of the engine that sent it.
    incarnation: str
    #: Number of the event within that run.
    sequence: int
    #: Incarnation before this one, whose late events are ignored, or the empty string.
    previous_incarnation: str


class PrefixIndex:
    """Keeps the cached prefixes of each endpoint, as a hint for routing.

    A gap in the events of an endpoint means that some were lost, so all its prefixes are dropped.

    :param most_prefixes: maximum number of entries of all endpoints; the oldest are evicted first
    :raises OptionError: when ``most_prefixes`` is below one
    """

    def __init__(self, most_prefixes: int) -> None:
        options = {"most_prefixes": most_prefixes}
        self._max_prefixes = get_int_opt(options, "most_prefixes", least=1)
        self._oldest_first: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._prefixes_by_endpoint: dict[str, set[str]] = {}
        self._position_by_endpoint: dict[str, _Position] = {}
        #: Number of gaps found in the sequences of events.
        self.gaps = 0

    def __len__(self) -> int:
        return len(self._oldest_first)

    def apply_event(
        self, endpoint: str, incarnation: str, sequence: int, stored: bool, prefix: str
    ) -> None:
        """Apply one event of an endpoint's cache.

        :param incarnation: run of the engine; a new run starts with an empty cache
        :param sequence: number of the event, which is the number of the previous event plus one
        :param stored: whether the prefix was stored; otherwise it was evicted
        :param prefix: hash of the prefix
        """
        position = self._position_by_endpoint.get(endpoint)
        if position is not None:
            if incarnation == position.previous_incarnation:
                return
            if incarnation != position.incarnation:
                self._drop(endpoint)
            elif sequence <= position.sequence:
                return
            elif sequence != position.sequence + 1:
                self.gaps += 1
                self._drop(endpoint)
        self._advance(endpoint, incarnation, sequence)
        if stored:
            self._store(endpoint, prefix)
        else:
            self._evict(endpoint, prefix)

    def cached_blocks(self, endpoint: str, prefixes: tuple[str, ...]) -> int:
        """:return: number of leading blocks of a prompt that are assumed to be cached"""
        cached = self._prefixes_by_endpoint.get(endpoint, ())
        for count, prefix in enumerate(prefixes):
            if prefix not in cached:
                return count
        return len(prefixes)

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint and its prefixes, such as one that has left."""
        self._drop(endpoint)
        self._position_by_endpoint.pop(endpoint, None)

    def _advance(self, endpoint: str, incarnation: str, sequence: int) -> None:
        previous = self._position_by_endpoint.get(endpoint)
        previous_incarnation = ""
        if previous is not None:
            same = previous.incarnation == incarnation
            previous_incarnation = previous.previous_incarnation if same else previous.incarnation
        self._position_by_endpoint[endpoint] = _Position(
            incarnation, sequence, previous_incarnation
        )

    def _store(self, endpoint: str, prefix: str) -> None:
        self._oldest_first[(endpoint, prefix)] = None
        self._oldest_first.move_to_end((endpoint, prefix))
        self._prefixes_by_endpoint.setdefault(endpoint, set()).add(prefix)
        while len(self._oldest_first) > self._max_prefixes:
            oldest_endpoint, oldest_prefix = next(iter(self._oldest_first))
            self._evict(oldest_endpoint, oldest_prefix)

    def _evict(self, endpoint: str, prefix: str) -> None:
        self._oldest_first.pop((endpoint, prefix), None)
        prefixes = self._prefixes_by_endpoint.get(endpoint)
        if prefixes is None:
            return
        prefixes.discard(prefix)
        if not prefixes:
            del self._prefixes_by_endpoint[endpoint]

    def _drop(self, endpoint: str) -> None:
        for prefix in self._prefixes_by_endpoint.pop(endpoint, ()):
            self._oldest_first.pop((endpoint, prefix), None)
