"""
kingcupdyke.forwarding.endpointstarts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which process of an endpoint ran at a time, as far as the endpoint's entries prove it.

An endpoint may start again under its id with other software. Until its new entry is read, the
entry of the earlier process describes it wrongly.
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from kingcupdyke.forwarding.endpoint import EndpointEntry

__all__ = ["ENTRY_DELAY_S", "EndpointStarts"]

#: Longest time in seconds from a heartbeat of an endpoint until its entry reaches a gateway.
ENTRY_DELAY_S = 3.0
#: Seconds for which the starts of an endpoint without new entries are remembered. Must exceed the
#: time for which origins of streams are stored.
START_MEMORY_S = 3600.0


class _Start(NamedTuple):
    """One process of an endpoint."""

    started_ms: int
    heartbeat: int
    #: Time at which its latest heartbeat was read; minus infinity if that may have been long after
    #: the heartbeat was written.
    heard_s: float


class _Refusals(NamedTuple):
    """Refused connections since the last heartbeat that has proved an endpoint's process."""

    first_s: float
    last_s: float


class EndpointStarts:
    """The present and the previous start of each endpoint."""

    def __init__(self) -> None:
        self._start_by_endpoint: dict[str, _Start] = {}
        self._previous_by_endpoint: dict[str, _Start] = {}
        self._noted_s_by_endpoint: dict[str, float] = {}
        self._refusals_by_endpoint: dict[str, _Refusals] = {}
        #: Endpoints that have refused a connection of this gateway, as no process listens there.
        self._refused_here: set[str] = set()
        #: Endpoints that each peer has last reported to have refused its connections.
        self._reported_by_host: dict[str, frozenset[str]] = {}

    def note(self, entry: EndpointEntry, heard_s: float = -inf) -> None:
        """Record an entry.

        :param heard_s: time at which it was read, at most ENTRY_DELAY_S after it was written; minus
            infinity if it may be older
        """
        endpoint, started_ms, heartbeat = entry.endpoint, entry.started_ms, entry.heartbeat
        known = self._start_by_endpoint.get(endpoint)
        if known is not None and started_ms < known.started_ms:
            return
        # The time of an entry that may be old is set at the next clean-up.
        self._noted_s_by_endpoint[endpoint] = heard_s
        if known is not None and started_ms == known.started_ms:
            if heartbeat <= known.heartbeat:
                return
            heard_s = max(heard_s, known.heard_s)
        elif known is not None:
            self._previous_by_endpoint[endpoint] = known
            self._forget_refusals(endpoint)
        self._start_by_endpoint[endpoint] = _Start(started_ms, heartbeat, heard_s)
        refusals = self._refusals_by_endpoint.get(endpoint)
        if refusals is not None and heard_s - ENTRY_DELAY_S >= refusals.last_s:
            self._forget_refusals(endpoint)

    def note_refused(self, endpoint: str, now_s: float, is_gone: bool = False) -> None:
        """Record that an endpoint has refused a connection, as it may be starting again.

        :param is_gone: whether its host has answered that no process listens there
        """
        known = self._refusals_by_endpoint.get(endpoint)
        first_s = now_s if known is None else known.first_s
        self._refusals_by_endpoint[endpoint] = _Refusals(first_s, now_s)
        if is_gone:
            self._refused_here.add(endpoint)

    def list_refused(self) -> tuple[str, ...]:
        """:return: endpoints to report to peers: no process has listened there for this gateway"""
        return tuple(sorted(self._refused_here))

    def note_peer_report(self, host: str, endpoints: Iterable[str], now_s: float) -> None:
        """Record the endpoints at which no process has listened for a peer."""
        reported = frozenset(endpoints)
        for endpoint in reported - self._reported_by_host.get(host, frozenset()):
            self.note_refused(endpoint, now_s)
        self._reported_by_host[host] = reported

    def may_have_restarted(self, endpoint: str) -> bool:
        """:return: whether the endpoint has refused a connection, and no heartbeat has shown since
        that its process is still the one of its entry
        """
        return endpoint in self._refusals_by_endpoint

    def may_have_restarted_before(self, endpoint: str, at_s: float) -> bool:
        """:return: whether the endpoint had refused a connection by a time, and no heartbeat has
        shown since that its process is still the one of its entry
        """
        refusals = self._refusals_by_endpoint.get(endpoint)
        return refusals is not None and refusals.first_s <= at_s

    def is_certain(self, endpoint: str, started_ms: int, at_s: float) -> bool:
        """:return: whether a process ran at a time: nothing contradicts it, or makes it doubtful"""
        is_doubtful = self.may_have_restarted_before(endpoint, at_s)
        return not is_doubtful and self.was_running(endpoint, started_ms, at_s)

    def _forget_refusals(self, endpoint: str) -> None:
        self._refusals_by_endpoint.pop(endpoint, None)
        self._refused_here.discard(endpoint)

    def was_running(self, endpoint: str, started_ms: int, at_s: float) -> bool:
        """:return: whether nothing contradicts that a process ran at a time; a later start does,
        unless a heartbeat of the process was read ENTRY_DELAY_S after that time
        """
        known = self._start_by_endpoint.get(endpoint)
        if known is None or known.started_ms <= started_ms:
            return True
        previous = self._previous_by_endpoint.get(endpoint)
        if previous is None or previous.started_ms != started_ms:
            return False
        return at_s <= previous.heard_s - ENTRY_DELAY_S

    def drop_expired(self, now_s: float) -> None:
        """Forget the endpoints without recent entries."""
        for endpoint, noted_s in list(self._noted_s_by_endpoint.items()):
            if noted_s == -inf:
                self._noted_s_by_endpoint[endpoint] = now_s
            elif now_s - noted_s > START_MEMORY_S:
                del self._noted_s_by_endpoint[endpoint]
                for each in (self._start_by_endpoint, self._previous_by_endpoint):
                    each.pop(endpoint, None)
                self._forget_refusals(endpoint)
