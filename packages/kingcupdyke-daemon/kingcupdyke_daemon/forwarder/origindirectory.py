"""
kingcupdyke_daemon.forwarder.origindirectory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the software version that began a stream, also if it began at another gateway.
"""

import logging
from collections import defaultdict
from collections.abc import Callable, Mapping

from anyio import Event, move_on_after

from kingcupdyke.forwarding.endpointstarts import EndpointStarts
from kingcupdyke.forwarding.streamorigin import (
    ASKED_FACTOR,
    OriginMessage,
    StreamOrigin,
    StreamOriginTable,
    choose_holders,
)
from kingcupdyke.timer import TimerService

__all__ = ["OriginDirectory"]

_LOGGER = logging.getLogger(__name__)
#: Timeout for the answers of peers, more than a round trip between regions.
LOOKUP_TIMEOUT_S = 0.2
#: Interval between clean-ups of expired origins.
CLEANUP_INTERVAL_S = 1.0


class _Lookup:
    """A search for an origin that waits for the answers of peers."""

    def __init__(self, asked: set[str]) -> None:
        self.unanswered = asked
        self.ended = Event()


class OriginDirectory:
    """Stores origins of streams here and at peers, and asks peers for them.

    :param host: name of this host
    :param timer: the timer service
    :param get_region: returns the region of this host
    :param list_peers: returns the regions of the live peers by host
    :param send: sends a message to a peer; it may be lost
    :param starts: the processes of endpoints
    """

    def __init__(
        self,
        host: str,
        timer: TimerService,
        get_region: Callable[[], str],
        list_peers: Callable[[], Mapping[str, str]],
        send: Callable[[str, bytes], None],
        starts: EndpointStarts,
    ) -> None:
        self._host = host
        self._timer = timer
        self._get_region = get_region
        self._list_peers = list_peers
        self._send = send
        self._starts = starts
        self._table = StreamOriginTable()
        self._lookups_by_attempt: dict[str, list[_Lookup]] = defaultdict(list)
        timer.subscribe("origins", CLEANUP_INTERVAL_S, self._table.drop_expired)

    def record(self, origin: StreamOrigin) -> None:
        """Store the origin of a stream that begins at this gateway, here and at peers."""
        self._table.put(origin, self._timer.now())
        message = OriginMessage(self._host, origins=(origin,)).encode()
        for peer in self._choose_holders(origin.attempt_id):
            self._send(peer, message)

    async def find(self, attempt_id: str) -> StreamOrigin | None:
        """:return: the origin of an attempt's stream, or None if no gateway that answers has it"""
        origin = self._get(attempt_id, self._timer.now())
        peers = self._choose_holders(attempt_id, ASKED_FACTOR)
        if origin is not None or not peers:
            return origin
        lookup = _Lookup(set(peers))
        self._lookups_by_attempt[attempt_id].append(lookup)
        message = OriginMessage(self._host, asked=(attempt_id,)).encode()
        for peer in peers:
            self._send(peer, message)
        try:
            with move_on_after(LOOKUP_TIMEOUT_S):
                await lookup.ended.wait()
        finally:
            self._forget(attempt_id, lookup)
        origin = self._get(attempt_id, self._timer.now())
        if origin is None:
            silent = ", ".join(sorted(lookup.unanswered))
            _LOGGER.info("unknown origin of stream %s; no answer of: %s", attempt_id, silent)
        return origin

    def receive(self, message: OriginMessage) -> None:
        """Process a message of a peer."""
        now_s = self._timer.now()
        for origin in message.origins:
            self._table.put(origin, now_s)
            for lookup in self._lookups_by_attempt.get(origin.attempt_id, ()):
                lookup.unanswered.discard(message.sender)
                lookup.ended.set()
        for attempt_id in message.unknown:
            for lookup in self._lookups_by_attempt.get(attempt_id, ()):
                lookup.unanswered.discard(message.sender)
                if not lookup.unanswered:
                    lookup.ended.set()
        if message.asked:
            self._answer(message.sender, message.asked, now_s)

    def _answer(self, peer: str, asked: tuple[str, ...], now_s: float) -> None:
        found = {each: self._get(each, now_s) for each in asked}
        origins = tuple(each for each in found.values() if each is not None)
        unknown = tuple(name for name, origin in found.items() if origin is None)
        self._send(peer, OriginMessage(self._host, origins=origins, unknown=unknown).encode())

    def _get(self, attempt_id: str, now_s: float) -> StreamOrigin | None:
        """:return: a known origin, unless another process may have begun the stream"""
        origin = self._table.get(attempt_id, now_s)
        if origin is None or not origin.endpoint:
            return origin
        began_s = now_s - origin.age_s
        if self._starts.is_certain(origin.endpoint, origin.started_ms, began_s):
            return origin
        _LOGGER.info(
            "origin of stream %s not used: %s may have started again", attempt_id, origin.endpoint
        )
        return None

    def _choose_holders(self, attempt_id: str, factor: int = 1) -> list[str]:
        return choose_holders(attempt_id, self._get_region(), self._list_peers(), factor)

    def _forget(self, attempt_id: str, lookup: _Lookup) -> None:
        lookups = self._lookups_by_attempt[attempt_id]
        lookups.remove(lookup)
        if not lookups:
            del self._lookups_by_attempt[attempt_id]
