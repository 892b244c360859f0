"""
kingcupdyke.cache
~~~~~~~~~~~~~~~~~

What the prompt caches of the endpoints are thought to hold, from their late and lossy events.
"""

from collections import OrderedDict
from typing import NamedTuple

from kingcupdyke.util import get_int_opt

__all__ = ["PrefixIndex"]


class _Position(NamedTuple):
    """How far the events of an endpoint were heard."""

    incarnation: str
    sequence: int
    #: Incarnation before this one, whose late events are ignored.
    retired: str


class PrefixIndex:
    """Prefixes by endpoint; a hint only, so a gap drops all that is known of the endpoint.

    :param most_prefixes: entries kept over all endpoints, the oldest out first
    :raises OptionError: when that is below one
    """

    def __init__(self, most_prefixes: int) -> None:
        options = {"most_prefixes": most_prefixes}
        self._most_prefixes = get_int_opt(options, "most_prefixes", least=1)
        self._ages: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._prefixes_by_endpoint: dict[str, set[str]] = {}
        self._position_by_endpoint: dict[str, _Position] = {}
        #: Gaps heard in the sequences of events.
        self.gaps = 0

    def __len__(self) -> int:
        return len(self._ages)

    def hear(
        self, endpoint: str, incarnation: str, sequence: int, stored: bool, prefix: str
    ) -> None:
        """Take one event of an endpoint's cache.

        :param incarnation: run of the engine; another one starts from an empty cache
        :param sequence: number of the event, one more than the event's before it
        :param stored: whether the prefix was stored, else evicted
        :param prefix: hash of the prefix
        """
        position = self._position_by_endpoint.get(endpoint)
        if position is not None:
            if incarnation == position.retired:
                return
            if incarnation != position.incarnation:
                self._drop(endpoint)
            elif sequence <= position.sequence:
                return
            elif sequence != position.sequence + 1:
                self.gaps += 1
                self._drop(endpoint)
        self._move(endpoint, incarnation, sequence)
        if stored:
            self._store(endpoint, prefix)
        else:
            self._evict(endpoint, prefix)

    def cached_blocks(self, endpoint: str, prefixes: tuple[str, ...]) -> int:
        """:return: how many leading blocks of a prompt are thought to be cached"""
        known = self._prefixes_by_endpoint.get(endpoint, ())
        for count, prefix in enumerate(prefixes):
            if prefix not in known:
                return count
        return len(prefixes)

    def forget(self, endpoint: str) -> None:
        """Drop all that is known of an endpoint, such as one that has left."""
        self._drop(endpoint)
        self._position_by_endpoint.pop(endpoint, None)

    def _move(self, endpoint: str, incarnation: str, sequence: int) -> None:
        before = self._position_by_endpoint.get(endpoint)
        retired = ""
        if before is not None:
            same = before.incarnation == incarnation
            retired = before.retired if same else before.incarnation
        self._position_by_endpoint[endpoint] = _Position(incarnation, sequence, retired)

    def _store(self, endpoint: str, prefix: str) -> None:
        self._ages[(endpoint, prefix)] = None
        self._ages.move_to_end((endpoint, prefix))
        self._prefixes_by_endpoint.setdefault(endpoint, set()).add(prefix)
        while len(self._ages) > self._most_prefixes:
            oldest_endpoint, oldest_prefix = next(iter(self._ages))
            self._evict(oldest_endpoint, oldest_prefix)

    def _evict(self, endpoint: str, prefix: str) -> None:
        self._ages.pop((endpoint, prefix), None)
        prefixes = self._prefixes_by_endpoint.get(endpoint)
        if prefixes is None:
            return
        prefixes.discard(prefix)
        if not prefixes:
            del self._prefixes_by_endpoint[endpoint]

    def _drop(self, endpoint: str) -> None:
        for prefix in self._prefixes_by_endpoint.pop(endpoint, ()):
            self._ages.pop((endpoint, prefix), None)
