"""
kingcupdyke.forwarding.endpointtable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The endpoints that a gateway knows, and which of them may be used.
"""

from collections.abc import Iterable, Mapping, Set
from math import inf

from kingcupdyke.forwarding.backofftable import BackoffTable
from kingcupdyke.forwarding.endpoint import EndpointEntry, Replica
from kingcupdyke.forwarding.endpointstarts import EndpointStarts
from kingcupdyke.forwarding.endpointstate import UNREACHABLE_FAILURES, EndpointState
from kingcupdyke.forwarding.leavingmessage import LeavingReport
from kingcupdyke.forwarding.leavingtable import LeavingProcess, LeavingTable
from kingcupdyke.forwarding.pacemessage import PaceReason
from kingcupdyke.forwarding.pacetable import PaceTable
from kingcupdyke.forwarding.peerreports import PeerReports
from kingcupdyke.forwarding.peerstate import GatewayState

__all__ = ["VERSION_MEMORY_S", "EndpointTable"]

#: Seconds for which an entry is kept that is missing after an outage of the store, as it may have
#: lapsed during the outage. A live endpoint is listed again within about two seconds.
LAPSED_ENTRY_S = 2.0
#: Seconds for which a software version is remembered that is no longer listed. Must exceed the
#: timeouts of routes.
VERSION_MEMORY_S = 3600.0
#: Seconds for which a planner's placement overrides the endpoint's own entry.
PLACEMENT_VALID_S = 3.0
#: Seconds past its expected time for which a replica is still expected to become ready.
MAX_OVERDUE_S = 1.0
#: Seconds of backoff after the first failed connection, doubled by each consecutive failure.
INITIAL_BACKOFF_S = 0.4
#: Longest backoff in seconds.
MAX_BACKOFF_S = 3.0
#: Weight of the newest result in the moving average of an endpoint's failures.
FAILURE_WEIGHT = 0.15


class EndpointTable:
    """State of all endpoints, from the list, from peers and from this gateway's own requests."""

    def __init__(self) -> None:
        self.state_by_id: dict[str, EndpointState] = {}
        #: Processes of endpoints that have said that they are leaving.
        self.leaving_table = LeavingTable()
        #: Backoff that endpoints have requested from this gateway.
        self.backoff_table = BackoffTable()
        #: Endpoints that start or recover.
        self.pace_table = PaceTable(self.state_by_id)
        self._peer_reports = PeerReports()
        #: The processes of the endpoints.
        self.starts = EndpointStarts()
        #: Whether a complete list was read; the endpoints of the first one count as established.
        self._has_list = False
        #: Time since which this gateway has read all changes of the list of endpoints.
        self.listed_since_s = inf
        #: Time at which each software version of a service was last listed.
        self._listed_s_by_version: dict[tuple[str, str], float] = {}
        #: Software versions of entries that were removed or changed since the last update of these.
        self._former_versions: set[tuple[str, str]] = set()
        self._placement_by_replica: dict[Replica, tuple[bool, float, float]] = {}
        self._fence = 0

    def replace_all(
        self, entries: Iterable[EndpointEntry], now_s: float, after_outage: bool
    ) -> None:
        """Replace all entries by those of a complete list.

        :param after_outage: whether the store was unavailable, so that entries may have lapsed
        """
        entries = list(entries)
        for entry in entries:
            self.put(entry)
        self.retain({each.endpoint for each in entries}, now_s, after_outage)

    def retain(self, listed: Set[str], now_s: float, after_outage: bool) -> None:
        """Remove all entries but those of a complete list.

        :param listed: endpoints of the list
        :param after_outage: whether the store was unavailable, so that entries may have lapsed
        """
        # Changes between the previous list and this one may be missing.
        self.listed_since_s = now_s
        self._has_list = True
        for endpoint in [each for each in self.state_by_id if each not in listed]:
            self.remove(endpoint, now_s, after_outage)

    def note_gap(self) -> None:
        """Record that changes of the list may be missing until the next complete list."""
        self.listed_since_s = inf

    def put(self, entry: EndpointEntry, heard_s: float = -inf) -> None:
        """Add or update an entry; an older one only shows that the endpoint is listed.

        A process that has said that it is leaving stays so, whatever its entry says.

        :param heard_s: time in seconds at which the entry was read as a change, or minus infinity
            if it may have been written long before
        """
        self.starts.note(entry, heard_s)
        process = LeavingProcess(entry.endpoint, entry.started_ms)
        if entry.is_leaving:
            self.note_leaving(process)
        elif process in self.leaving_table:
            entry = entry._replace(is_leaving=True)
        state = self.state_by_id.get(entry.endpoint)
        if state is None:
            state = self.state_by_id[entry.endpoint] = EndpointState(entry)
            self._update_reports((entry.endpoint,))
            if self._has_list:
                self.pace_table.begin(state, PaceReason.LISTED)
            self.pace_table.note_entry(state)
            return
        if entry.started_ms < state.entry.started_ms:
            return
        state.lapses_s = None
        is_same_start = entry.started_ms == state.entry.started_ms
        if is_same_start and entry.heartbeat < state.entry.heartbeat:
            return
        if entry.software_version != state.entry.software_version:
            self._former_versions.add((state.entry.service, state.entry.software_version))
        if entry.started_ms > state.entry.started_ms:
            state.clear_prefixes()
            state.consecutive_failures = 0
            state.backoff_until_s = 0.0
            state.failure_share = 0.0
            state.entry = entry
            self.pace_table.restart(state)
        is_new_entry = entry.heartbeat != state.entry.heartbeat or not is_same_start
        state.entry = entry
        if is_new_entry:
            self.pace_table.note_entry(state)

    def note_leaving(self, process: LeavingProcess) -> bool:
        """Record that a process has said that it is leaving.

        :return: whether that is new
        """
        is_new = self.leaving_table.add(process)
        self._mark_leaving(process)
        return is_new

    def merge_leaving(self, reports: Iterable[LeavingReport], now_s: float) -> list[LeavingProcess]:
        """Add what a peer knows of leaving processes.

        :return: those that are new
        """
        new = [
            LeavingProcess(each.endpoint, each.started_ms)
            for each in reports
            if self.leaving_table.merge(each, now_s)
        ]
        for process in new:
            self._mark_leaving(process)
        return new

    def _mark_leaving(self, process: LeavingProcess) -> None:
        state = self.state_by_id.get(process.endpoint)
        if state is not None and state.entry.started_ms == process.started_ms:
            state.entry = state.entry._replace(is_leaving=True)

    def may_send(self, state: EndpointState, now_s: float) -> bool:
        """:return: whether an endpoint is still listed, not leaving, and wants no backoff"""
        endpoint = state.entry.endpoint
        is_listed = self.state_by_id.get(endpoint) is state
        is_available = is_listed and not state.entry.is_leaving
        return is_available and not self.backoff_table.find_delay(endpoint, now_s)

    def remove(self, endpoint: str, now_s: float, after_outage: bool) -> None:
        """Remove an entry that is no longer listed, after an outage only LAPSED_ENTRY_S later."""
        state = self.state_by_id.get(endpoint)
        if state is None:
            return
        if not after_outage:
            self._former_versions.add((state.entry.service, state.entry.software_version))
            del self.state_by_id[endpoint]
        elif state.lapses_s is None:
            state.lapses_s = now_s + LAPSED_ENTRY_S

    def drop_expired(self, now_s: float) -> None:
        """Remove entries that were not listed again after an outage, and expired placements."""
        self._note_versions(now_s)
        self.starts.drop_expired(now_s)
        self.backoff_table.drop_expired(now_s)
        entries = [state.entry for state in self.state_by_id.values()]
        listed = {LeavingProcess(each.endpoint, each.started_ms) for each in entries}
        self.leaving_table.drop_expired(listed, now_s)
        for endpoint, state in list(self.state_by_id.items()):
            if state.lapses_s is not None and now_s >= state.lapses_s:
                self._former_versions.add((state.entry.service, state.entry.software_version))
                del self.state_by_id[endpoint]
        for replica, (_, _, expires_s) in list(self._placement_by_replica.items()):
            if now_s >= expires_s:
                del self._placement_by_replica[replica]

    def list_certain(self, states: Iterable[EndpointState]) -> list[EndpointState]:
        """:return: the endpoints that run the process of their entry, as far as is known"""
        return [each for each in states if not self.starts.may_have_restarted(each.entry.endpoint)]

    def list_versions(self, service: str, since_s: float, now_s: float) -> set[str]:
        """:return: software versions of a service's endpoints that were listed since a time"""
        self._note_versions(now_s)
        return {
            version
            for (name, version), listed_s in self._listed_s_by_version.items()
            if name == service and listed_s >= since_s
        }

    def _note_versions(self, now_s: float) -> None:
        """Record when each software version was last listed, and forget those of long ago."""
        entries = [state.entry for state in self.state_by_id.values()]
        listed = {(each.service, each.software_version) for each in entries}
        for key in listed | self._former_versions:
            self._listed_s_by_version[key] = now_s
        self._former_versions.clear()
        for key, listed_s in list(self._listed_s_by_version.items()):
            if now_s - listed_s > VERSION_MEMORY_S:
                del self._listed_s_by_version[key]

    @property
    def peer_waiting_by_model(self) -> Mapping[str, int]:
        """:return: number of requests that wait at peers, by model"""
        return self._peer_reports.waiting_by_model

    def apply_peer_state(self, state: GatewayState) -> None:
        """Replace the loads, demands and unreachable endpoints that a peer has reported."""
        self._update_reports(self._peer_reports.apply(state))

    def retain_peers(self, hosts: Set[str]) -> None:
        """Forget what all other peers have reported."""
        self._update_reports(self._peer_reports.retain(hosts))

    def _update_reports(self, endpoints: Iterable[str]) -> None:
        for endpoint in endpoints:
            state = self.state_by_id.get(endpoint)
            if state is not None:
                state.peer_reports = self._peer_reports.get(endpoint)

    def apply_placements(self, planner: GatewayState, now_s: float) -> None:
        """Store the planner's placements; those with a lower fencing number are ignored."""
        if planner.fence < self._fence:
            return
        self._fence = planner.fence
        for each in planner.placements:
            replica = Replica(each.endpoint, each.model, each.adapter)
            placement = (
                each.is_present,
                now_s + each.ready_in_s,
                now_s + each.ready_in_s + PLACEMENT_VALID_S,
            )
            self._placement_by_replica[replica] = placement

    def list_unreachable(self, now_s: float) -> tuple[str, ...]:
        """:return: endpoints that this gateway cannot reach"""
        states = self.state_by_id.items()
        return tuple(name for name, state in states if not state.is_reachable(now_s))

    def list_ready(self, service: str) -> list[EndpointState]:
        """:return: endpoints of a service that accept new requests"""
        return [
            state
            for state in self.state_by_id.values()
            if state.entry.service == service and not state.entry.is_leaving
        ]

    def has_replica(self, replica: Replica, now_s: float) -> bool:
        """:return: whether a model, or an adapter of it, is ready at an endpoint"""
        placement = self._placement_by_replica.get(replica)
        if placement is not None:
            is_present, ready_s, expires_s = placement
            if not is_present:
                return False
            if ready_s <= now_s < expires_s and replica.adapter:
                return True
        state = self.state_by_id.get(replica.endpoint)
        if state is None:
            return False
        for model in state.entry.models:
            if model.name == replica.model:
                return not replica.adapter or replica.adapter in model.adapters
        return False

    def estimate_ready_in_s(
        self, model: str, adapter: str, now_s: float, software_version: str | None = None
    ) -> float | None:
        """:return: seconds until an ordered replica is ready, or None if none is ordered

        :param software_version: version that the endpoint must run, or None for any
        """
        remaining = [
            ready_s - now_s
            for replica, (is_present, ready_s, _) in self._placement_by_replica.items()
            if is_present
            and replica.model == model
            and replica.adapter in ("", adapter)
            and self._is_usable(replica.endpoint, now_s)
            and self._runs_version(replica.endpoint, software_version)
        ]
        expected = [each for each in remaining if each > -MAX_OVERDUE_S]
        return max(0.0, min(expected)) if expected else None

    def _runs_version(self, endpoint: str, software_version: str | None) -> bool:
        entry = self.state_by_id[endpoint].entry
        return software_version in (None, entry.software_version)

    def _is_usable(self, endpoint: str, now_s: float) -> bool:
        state = self.state_by_id.get(endpoint)
        return state is not None and self.may_send(state, now_s) and state.is_reachable(now_s)

    def deny_replica(self, replica: Replica, now_s: float) -> None:
        """Record that an endpoint has rejected a request as it does not hold the replica."""
        expires_s = now_s + PLACEMENT_VALID_S
        self._placement_by_replica[replica] = (False, now_s, expires_s)

    def note_failure(self, endpoint: str, now_s: float, is_unreachable: bool) -> None:
        """Record that a request failed at an endpoint.

        :param is_unreachable: whether the connection failed, which begins a backoff
        """
        state = self.state_by_id.get(endpoint)
        if state is None:
            return
        state.failure_share += FAILURE_WEIGHT * (1.0 - state.failure_share)
        if is_unreachable:
            state.backoff_until_s = now_s + min(
                INITIAL_BACKOFF_S * 2**state.consecutive_failures, MAX_BACKOFF_S
            )
            state.consecutive_failures = min(state.consecutive_failures + 1, 8)
            if state.consecutive_failures >= UNREACHABLE_FAILURES:
                self.pace_table.note_unreachable(state, now_s)
        if state.pace is not None:
            self.pace_table.note_failure(state, now_s)

    def note_rejection(self, endpoint: str, now_s: float) -> None:
        """Record that an endpoint has rejected a request that it has not run."""
        state = self.state_by_id.get(endpoint)
        if state is not None and state.pace is not None:
            self.pace_table.note_failure(state, now_s)

    def note_success(self, endpoint: str) -> None:
        """Record that an endpoint has answered a request, which ends a backoff."""
        state = self.state_by_id.get(endpoint)
        if state is not None:
            state.failure_share -= FAILURE_WEIGHT * state.failure_share
            state.consecutive_failures = 0
            state.backoff_until_s = 0.0
