"""
kingcupdyke.forwarding.pacetable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Endpoints that start or recover, each with a window that all gateways share.

An endpoint without requests looks best to all gateways at once. So only as many of them as the
window has room for send to it, each with its part of the window. When the window ends, a gateway
gives the endpoint no more than its fair share until the loads that gateways report show its
requests; otherwise all gateways would send there at once.
"""

from collections.abc import Collection, Iterator, Mapping
from math import ceil
from typing import NamedTuple

from kingcupdyke.forwarding.endpointstate import UNREACHABLE_FAILURES, EndpointState
from kingcupdyke.forwarding.pacecomparison import compare_window, find_norms, get_expected_first_s
from kingcupdyke.forwarding.pacemessage import PaceMessage, PaceReason, PaceReport
from kingcupdyke.forwarding.pacewindow import INITIAL_WINDOW, PaceSender, PaceWindow
from kingcupdyke.forwarding.peerschedule import PeerSchedule, PeerScope
from kingcupdyke.util import hash_score, rank_rendezvous

__all__ = ["PaceEvent", "PaceTable"]

#: Number of gateways that must report that an endpoint was unreachable before others join them.
MIN_WITNESSES = 2
#: Seconds after which a gateway tries an unreachable endpoint that most of its peers can reach.
OWN_PROBE_S = 5.0
#: Number of gateways that tell all others that a window has ended.
ANNOUNCERS = 3
#: Seconds after this gateway's latest evidence for which it is reported to peers.
REPORT_S = 10.0


class PaceEvent(NamedTuple):
    """Begin or end of a window, with the evidence."""

    endpoint: str
    is_begin: bool
    reason: PaceReason
    window: float
    successes: int
    failures: int
    #: Window at which it ends, infinite if unknown.
    end_window: float
    #: Seconds since its begin.
    seconds: float


class PaceTable:
    """The windows of all endpoints that start or recover.

    :param state_by_id: the endpoints by id, which others change
    """

    def __init__(self, state_by_id: Mapping[str, EndpointState]) -> None:
        self._state_by_id = state_by_id
        self._recovering: dict[str, EndpointState] = {}
        self._host = ""
        self._hosts: set[str] = {""}
        self._gateway_count = 1
        self._hosts_version = 0
        #: Hosts that report an endpoint as unreachable, by endpoint, start and episode.
        self._witnesses: dict[tuple[str, int, int], set[str]] = {}
        self._events: list[PaceEvent] = []
        #: Endpoints of which peers should hear immediately.
        self._urgent: set[str] = set()

    @property
    def is_active(self) -> bool:
        """:return: whether any endpoint starts or recovers, or peers report one that may"""
        return bool(self._recovering or self._witnesses)

    def set_gateways(self, host: str, peers: Collection[str], gateway_count: int) -> None:
        """Set the gateways that share the windows.

        :param host: host of this gateway
        :param peers: hosts of the live peers
        :param gateway_count: number of all gateways; those that are not live keep their share
        """
        hosts = {host, *peers}
        if hosts != self._hosts:
            self._hosts = hosts
            self._hosts_version += 1
        self._host = host
        self._gateway_count = max(gateway_count, len(hosts))

    def begin(self, state: EndpointState, reason: PaceReason) -> None:
        """Begin the window of an endpoint; its times begin with the next update or request."""
        if state.pace is None:
            state.pace_episode += 1
            self._add(state, reason)

    def restart(self, state: EndpointState) -> None:
        """Begin the window of an endpoint's later start."""
        earlier = state.pace
        state.pace_episode = 1
        self._add(state, PaceReason.LISTED)
        if earlier is not None:
            # Its speed while it recovered before says nothing of what it can do.
            state.pace.expected_tokens_per_s = earlier.expected_tokens_per_s
            state.pace.expected_duration_s = earlier.expected_duration_s

    def note_entry(self, state: EndpointState) -> None:
        """Record how long an endpoint says that it stays slow."""
        if state.entry.cold_left_s > 0.0:
            self.begin(state, PaceReason.COLD)
            state.pace.cold_left_s = state.entry.cold_left_s

    def note_unreachable(self, state: EndpointState, now_s: float) -> None:
        """Record two or more failed connections to an endpoint."""
        if state.pace is None:
            self._urgent.add(state.entry.endpoint)
        self.begin(state, PaceReason.UNREACHABLE)
        window = state.pace
        window.own_news_s = now_s
        window.begin(now_s)
        window.bad_s = now_s
        window.is_down = True

    def note_first_event(
        self, state: EndpointState, tokens: int, seconds: float, now_s: float
    ) -> None:
        """Record the first event of a model engine's stream.

        :param tokens: unread prompt tokens at the endpoint when the request was sent
        :param seconds: seconds since then
        """
        self._judge(state, seconds, get_expected_first_s(state, tokens), now_s)

    def note_end(
        self, state: EndpointState, tokens: int, is_answered: bool, seconds: float, now_s: float
    ) -> None:
        """Record the end of a request whose first event has not shown the endpoint's speed.

        :param tokens: unread prompt tokens of the request
        :param seconds: seconds since it was sent
        """
        window = state.pace
        if window is None:
            if is_answered:
                state.update_duration(seconds)
        elif is_answered:
            self._judge(state, seconds, window.expected_duration_s, now_s)
        else:
            # A request whose caller has left, or whose deadline has passed, shows slowness.
            first_s = get_expected_first_s(state, tokens) if tokens > 1 else None
            known = [each for each in (first_s, window.expected_duration_s) if each is not None]
            if known and not window.is_alone and window.is_slow(seconds, max(known)):
                self.note_failure(state, now_s)

    def note_failure(self, state: EndpointState, now_s: float) -> None:
        """Record a failure or a slow response of an endpoint with a window."""
        if state.pace.note_bad(now_s):
            state.pace.own_failures += 1
            state.pace.own_news_s = now_s

    def has_room(self, state: EndpointState, now_s: float) -> bool:
        """:return: whether the window of an endpoint permits a further request from here"""
        window = state.pace
        if window is None:
            return True
        if window.released_until_s is not None:
            return window.credit >= 1.0
        return self._get_room(state, now_s) >= 1

    def select(self, states: list[EndpointState], now_s: float) -> list[EndpointState]:
        """Select from endpoints with capacity, for one request, those that their windows permit.

        :return: those; none if no window has room
        """
        for each in states:
            window = each.pace
            if window is None:
                continue
            window.usable_s = min(window.usable_s, now_s)
            if window.released_until_s is not None:
                window.earn(1.0 / len(states))
        return [each for each in states if self.has_room(each, now_s)]

    def list_widest(self, states: list[EndpointState], now_s: float) -> list[EndpointState]:
        """:return: the endpoints whose windows have most room, although that is none"""
        rooms = [self._get_room(each, now_s) for each in states]
        return [each for each, room in zip(states, rooms, strict=True) if room == max(rooms)]

    def note_sent(self, state: EndpointState) -> None:
        """Record that a request is sent to an endpoint with a window."""
        if state.pace.released_until_s is not None:
            state.pace.credit -= 1.0

    def update(self, now_s: float) -> None:
        """Update what the windows are compared with, and end those that are no longer needed."""
        services = {state.entry.service for state in self._recovering.values()}
        norm_by_service = find_norms(services, self._state_by_id.values())
        for endpoint, state in list(self._recovering.items()):
            if self._state_by_id.get(endpoint) is not state or state.pace is None:
                del self._recovering[endpoint]
                continue
            window = state.pace
            window.begin(now_s)
            if window.cold_left_s:
                window.cold_until_s = now_s + window.cold_left_s
                window.cold_left_s = 0.0
            compare_window(state, norm_by_service.get(state.entry.service))
            if window.released_until_s is None:
                if window.may_end(now_s):
                    self._release(state, now_s)
                    if self._is_announcer(endpoint, window, now_s):
                        self._urgent.add(endpoint)
            elif now_s >= window.released_until_s:
                state.pace = None
                del self._recovering[endpoint]
        if not self._witnesses:
            return
        for key in list(self._witnesses):
            endpoint, started_ms, episode = key
            state = self._state_by_id.get(endpoint)
            is_current = state is not None and state.entry.started_ms == started_ms
            if not is_current or episode <= state.pace_episode:
                del self._witnesses[key]

    def merge(self, message: PaceMessage, now_s: float) -> None:
        """Add what a peer knows."""
        sender = PaceSender(message.sender, message.incarnation)
        for report in message.reports:
            state = self._state_by_id.get(report.endpoint)
            if state is None or state.entry.started_ms != report.started_ms:
                continue
            if report.episode > state.pace_episode:
                self._join(state, sender, report, now_s)
            if state.pace is None or report.episode != state.pace_episode:
                continue
            was_down = state.pace.is_down
            state.pace.begin(now_s)
            state.pace.merge(sender, report, now_s)
            if was_down and not state.pace.is_down:
                self._note_reached(state)
            if report.is_ended and state.pace.released_until_s is None and not state.pace.is_down:
                # The peer that has released it first has told the others too.
                self._release(state, now_s)

    def take_events(self) -> list[PaceEvent]:
        """:return: begins and ends since the last call"""
        events, self._events = self._events, []
        return events

    def take_urgent(self) -> set[str]:
        """:return: endpoints of whose change since the last call peers should hear immediately"""
        urgent, self._urgent = self._urgent, set()
        return urgent

    def make_reports(
        self, since_s: float, now_s: float, endpoints: Collection[str] | None = None
    ) -> tuple[PaceReport, ...]:
        """:return: the windows of which this gateway has had evidence of its own since a time

        :param endpoints: the endpoints to report on, or None for all
        """
        reports = []
        for endpoint, state in self._recovering.items():
            window = state.pace
            if endpoints is not None and endpoint not in endpoints:
                continue
            if window is None or window.own_news_s < max(since_s, now_s - REPORT_S):
                continue
            if window.has_own_evidence:
                process = (endpoint, state.entry.started_ms, state.pace_episode)
                reports.append(window.make_report(*process, now_s))
        return tuple(reports)

    def list_senders(self, now_s: float) -> set[str]:
        """:return: hosts of the gateways that send to endpoints that start or recover"""
        hosts: set[str] = set()
        for endpoint, state in self._recovering.items():
            window = state.pace
            if window is None:
                continue
            ranked = self._rank(endpoint, window, now_s)
            hosts.update(ranked[: ceil(window.window / 2)])
        return hosts

    def list_windows(self) -> Iterator[tuple[str, float]]:
        """:return: endpoints with a window, and the windows"""
        for endpoint, state in self._recovering.items():
            if state.pace is not None:
                yield endpoint, state.pace.window

    def _add(self, state: EndpointState, reason: PaceReason) -> None:
        endpoint = state.entry.endpoint
        state.pace = PaceWindow(reason, hash_score(endpoint, self._host) / 2**64)
        self._recovering[endpoint] = state
        service = state.entry.service
        compare_window(state, find_norms({service}, self._state_by_id.values()).get(service))
        if state.pace.is_alone:
            state.pace.window = max(INITIAL_WINDOW, state.entry.slots / 4)
        self._record(state, True, 0.0)

    def _judge(
        self, state: EndpointState, seconds: float, expected_s: float | None, now_s: float
    ) -> None:
        window = state.pace
        if expected_s is not None and window.is_slow(seconds, expected_s) and not window.is_alone:
            if window.is_down:
                self._count_success(state, now_s)
            self.note_failure(state, now_s)
        else:
            self._count_success(state, now_s)

    def _count_success(self, state: EndpointState, now_s: float) -> None:
        state.pace.own_successes += 1
        state.pace.own_news_s = now_s
        if state.pace.note_good(1, now_s):
            self._urgent.add(state.entry.endpoint)

    def _get_room(self, state: EndpointState, now_s: float) -> int:
        """:return: requests that this gateway may send now; negative if it has sent more"""
        window = state.pace
        if window is None:
            return 1
        in_flight = len(state.tokens_by_attempt)
        if window.is_down and self._may_probe(state, now_s):
            return 1 - in_flight
        position = self._rank(state.entry.endpoint, window, now_s).index(self._host)
        part = window.get_part(position, len(self._hosts), self._gateway_count)
        return part - in_flight

    def _rank(self, endpoint: str, window: PaceWindow, now_s: float) -> list[str]:
        """:return: the gateways in the order in which they send to an endpoint"""
        key = (window.get_epoch(now_s), self._hosts_version)
        if window.ranked_key != key:
            window.ranked_key = key
            window.ranked = rank_rendezvous(f"{endpoint}/{key[0]}", self._hosts)
        return window.ranked

    def _is_announcer(self, endpoint: str, window: PaceWindow, now_s: float) -> bool:
        """:return: whether this gateway tells the others that a window has ended; many see it at
        about the same time
        """
        ranked = self._rank(endpoint, window, now_s)
        return bool(window.own_successes) and self._host in ranked[:ANNOUNCERS]

    def _may_probe(self, state: EndpointState, now_s: float) -> bool:
        """:return: whether only this gateway and few others cannot reach an endpoint"""
        is_local = 2 * state.peer_reports.unreachable_peers < len(self._hosts) - 1
        return is_local and now_s - state.pace.begun_s > OWN_PROBE_S

    def _join(
        self, state: EndpointState, sender: PaceSender, report: PaceReport, now_s: float
    ) -> None:
        """Begin the window that a peer has begun, unless this gateway knows better."""
        if report.is_ended:
            state.pace_episode = report.episode
            return
        if report.reason is PaceReason.UNREACHABLE:
            key = (report.endpoint, report.started_ms, report.episode)
            witnesses = self._witnesses.setdefault(key, set())
            witnesses.add(sender.host)
            needed = min(MIN_WITNESSES, len(self._hosts) - 1)
            if len(witnesses) < needed or state.last_byte_s > now_s - report.age_s:
                return
        state.pace_episode = report.episode
        if state.pace is None:
            self._add(state, report.reason)
        window = state.pace
        window.begin(now_s)
        window.is_adopted = True
        window.is_down = report.is_down
        window.window = report.window

    @staticmethod
    def _note_reached(state: EndpointState) -> None:
        """Let this gateway try an endpoint again that a peer has reached."""
        state.backoff_until_s = 0.0
        state.consecutive_failures = min(state.consecutive_failures, UNREACHABLE_FAILURES - 1)

    def _release(self, state: EndpointState, now_s: float) -> None:
        peers = len(self._hosts) - 1
        interval_s = PeerSchedule.get_interval_s(PeerScope.REMOTE, peers)
        state.pace.released_until_s = now_s + interval_s
        state.failure_share = 0.0
        self._note_reached(state)
        if state.pace.own_successes:
            state.pace.own_news_s = now_s
        self._record(state, False, now_s - state.pace.begun_s)

    def _record(self, state: EndpointState, is_begin: bool, seconds: float) -> None:
        window = state.pace
        self._events.append(
            PaceEvent(
                state.entry.endpoint,
                is_begin,
                window.reason,
                window.window,
                window.successes,
                window.failures,
                window.end_window,
                seconds,
            )
        )
