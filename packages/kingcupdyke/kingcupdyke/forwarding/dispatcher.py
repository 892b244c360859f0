"""
kingcupdyke.forwarding.dispatcher
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides for each request whether it is sent to an endpoint, waits, or is rejected.
"""

from collections.abc import Iterator
from math import inf

from kingcupdyke.forwarding.callertable import CallerTable
from kingcupdyke.forwarding.candidates import EndpointCandidates
from kingcupdyke.forwarding.configuration import EngineSpec, ServiceSpec
from kingcupdyke.forwarding.crashtable import CrashTable
from kingcupdyke.forwarding.decision import Decision, Refuse, Send, Wait
from kingcupdyke.forwarding.demandtracker import DemandTracker, count_pinned
from kingcupdyke.forwarding.endpointcosts import EndpointCosts, estimate_read_s
from kingcupdyke.forwarding.endpointstate import EndpointState
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.fairorder import FairOrder
from kingcupdyke.forwarding.limittable import LimitTable
from kingcupdyke.forwarding.modelwait import has_replica
from kingcupdyke.forwarding.pacechoice import MAX_PACE_WAIT_S, choose_paced
from kingcupdyke.forwarding.peerstate import Demand, EndpointLoad
from kingcupdyke.forwarding.pinneddemand import PinnedDemand
from kingcupdyke.forwarding.requestcrashtable import RequestCrashTable
from kingcupdyke.forwarding.routedurations import RouteDurations
from kingcupdyke.forwarding.versionregister import VersionRegister
from kingcupdyke.forwarding.waitestimator import (
    MIN_REMAINING_S,
    RETRY_AFTER_S,
    WaitEstimator,
    WaitingRequest,
)
from kingcupdyke.forwarding.workitem import WorkItem

__all__ = ["STOPPING_RETRY_S", "Dispatcher"]

#: Backlog of unread prompts, in seconds of reading, up to which an engine receives further
#: requests. It keeps the engine busy, and an urgent request does not wait long behind others.
MAX_BACKLOG_S = 0.35
#: Seconds after which a caller is asked to retry at another gateway, as this one is stopping.
STOPPING_RETRY_S = 0.01


class Dispatcher:
    """Queues the requests of one gateway and chooses their endpoints, for all services.

    Waiting requests are decided on in order of priority, then of the service that their callers
    received lately, then of objective. Requests in flight are
    counted over all gateways, so that no endpoint receives more than it works on concurrently.

    :param endpoint_table: the endpoints
    :param data_centre: data centre of this gateway
    :param region_by_data_centre: the region of each data centre
    """

    def __init__(
        self, endpoint_table: EndpointTable, data_centre: str, region_by_data_centre: dict[str, str]
    ) -> None:
        self._endpoint_table = endpoint_table
        self._candidates = EndpointCandidates(endpoint_table)
        self._backoff_table = endpoint_table.backoff_table
        self._pace_table = endpoint_table.pace_table
        self._costs = EndpointCosts(data_centre, region_by_data_centre)
        #: Tell which prompts, and which requests, crash endpoints.
        self.crash_table = CrashTable()
        self.request_crash_table = RequestCrashTable()
        #: Limits that endpoints name, and the requests sent to them.
        self.limit_table = LimitTable()
        #: Tells at which software versions resumable streams may begin.
        self.version_register = VersionRegister(endpoint_table)
        self._service_by_name: dict[str, ServiceSpec] = {}
        #: Time by which requests must be sent, and by which they must end, as the process stops.
        self.send_by_s = inf
        self.end_by_s = inf
        #: Durations of requests, which tell when they must be sent to end in time.
        self.durations = RouteDurations()
        self._order = FairOrder()
        self._waiting_by_id: dict[str, tuple[WorkItem, frozenset[str]]] = {}
        self._demands = DemandTracker()
        self._waits = WaitEstimator(endpoint_table, self.limit_table, self._costs)

    def configure(
        self, service_by_name: dict[str, ServiceSpec], callers: CallerTable | None = None
    ) -> None:
        """Replace the services and the callers by those of a new configuration."""
        self._service_by_name = service_by_name
        self._order.configure(callers)

    @property
    def region_by_data_centre(self) -> dict[str, str]:
        """:return: the region of each data centre"""
        return self._costs.region_by_data_centre

    @region_by_data_centre.setter
    def region_by_data_centre(self, region_by_data_centre: dict[str, str]) -> None:
        self._costs.region_by_data_centre = region_by_data_centre

    @property
    def waiting(self) -> int:
        """:return: number of waiting requests"""
        return len(self._waiting_by_id)

    def submit(self, item: WorkItem, excluded: frozenset[str], now_s: float) -> Decision:
        """Decide on a request that has arrived, or that an endpoint has not served.

        :param excluded: endpoints to which it must not be sent again
        :return: the decision; :meth:`poll` decides on a waiting request later
        """
        service = self._service_by_name.get(item.service)
        if service is not None and service.has_model(item.model, item.adapter):
            self._demands.add(item, now_s)
        self._candidates.forget()
        decision = self._decide(item, excluded, now_s)
        if isinstance(decision, Send):
            self._record_sent(item, decision.endpoint, now_s)
        elif isinstance(decision, Wait):
            self._waiting_by_id[item.attempt_id] = (item, excluded)
            self._order.note_change()
        return decision

    @property
    def tokens_per_s(self) -> float:
        """:return: average prompt tokens a second that an endpoint reads"""
        return self._waits.tokens_per_s

    def poll(self, now_s: float) -> dict[str, Send | Refuse]:
        """:return: decisions on requests that need not wait any longer, by attempt id"""
        decisions: dict[str, Send | Refuse] = {}
        self._candidates.forget()
        waiting = (item for item, _ in self._waiting_by_id.values())
        for item in self._order.sort(waiting, now_s):
            decision = self._decide(item, self._waiting_by_id[item.attempt_id][1], now_s)
            if isinstance(decision, Wait):
                continue
            del self._waiting_by_id[item.attempt_id]
            self._order.note_decided(item)
            decisions[item.attempt_id] = decision
            if isinstance(decision, Send):
                self._record_sent(item, decision.endpoint, now_s)
        return decisions

    def withdraw(self, attempt_id: str) -> None:
        """Remove a waiting request."""
        self._waiting_by_id.pop(attempt_id, None)
        self._order.note_change()

    def began(
        self, attempt_id: str, endpoint: str, seconds: float, tokens: int, now_s: float
    ) -> None:
        """Record that the first event of a stream has come.

        :param seconds: seconds since the request was sent
        :param tokens: unread prompt tokens at the endpoint when it was sent
        """
        state = self._endpoint_table.state_by_id.get(endpoint)
        if state is not None and attempt_id in state.tokens_by_attempt:
            state.tokens_by_attempt[attempt_id] = 0
            if state.pace is None:
                state.update_speed(tokens, seconds)
            elif self._is_engine(state.entry.service):
                # Its speed while it recovers would keep requests away when it is fast again.
                self._pace_table.note_first_event(state, tokens, seconds, now_s)

    def cancel(self, attempt_id: str, endpoint: str) -> None:
        """Record that a request is no longer in flight at an endpoint."""
        state = self._endpoint_table.state_by_id.get(endpoint)
        if state is not None:
            state.note_ended(attempt_id)

    def ended(
        self,
        attempt_id: str,
        endpoint: str,
        service: str,
        seconds: float,
        now_s: float,
        is_answered: bool,
    ) -> None:
        """Record that a request has ended at its endpoint.

        :param seconds: seconds since it was sent
        :param is_answered: whether the endpoint has answered it completely
        """
        state = self._endpoint_table.state_by_id.get(endpoint)
        if state is not None:
            tokens = state.tokens_by_attempt.get(attempt_id, 0)
            # A begun stream of a model engine has shown the speed by its first event.
            if tokens or not self._is_engine(service):
                self._pace_table.note_end(state, tokens, is_answered, seconds, now_s)
        self.cancel(attempt_id, endpoint)
        self._costs.note_duration(service, seconds)

    def _is_engine(self, service: str) -> bool:
        spec = self._service_by_name.get(service)
        return spec is not None and spec.engine is not None

    def find_backoff_s(self, item: WorkItem, now_s: float) -> float:
        """:return: seconds until an endpoint that could serve a request accepts calls, as far as
        endpoints have requested backoff; 0 if one accepts them now
        """
        if self._backoff_table.is_empty:
            return 0.0
        states = self._endpoint_table.list_ready(item.service)
        if item.model:
            table = self._endpoint_table
            states = [each for each in states if has_replica(table, each, item, now_s)]
        find_delay = self._backoff_table.find_delay
        return min((find_delay(each.entry.endpoint, now_s) for each in states), default=0.0)

    def list_loads(self) -> tuple[EndpointLoad, ...]:
        """:return: this gateway's requests in flight and unread tokens at each endpoint"""
        return tuple(
            EndpointLoad(
                endpoint, len(state.tokens_by_attempt), sum(state.tokens_by_attempt.values())
            )
            for endpoint, state in self._endpoint_table.state_by_id.items()
            if state.tokens_by_attempt
        )

    def list_demands(self, now_s: float) -> tuple[Demand, ...]:
        """:return: this gateway's demand for each model and adapter, other than pinned demand"""
        return self._demands.list_demands(self._list_waiting(), now_s)

    def list_pinned_demands(self) -> tuple[PinnedDemand, ...]:
        """:return: this gateway's waiting streams that must continue at one software version"""
        return count_pinned(self._list_waiting())

    def _list_waiting(self) -> Iterator[WorkItem]:
        return (item for item, _ in self._waiting_by_id.values())

    def _record_sent(self, item: WorkItem, endpoint: str, now_s: float) -> None:
        state = self._endpoint_table.state_by_id[endpoint]
        cached = state.count_cached_tokens(item.model, item.parts)
        state.note_sent(item.attempt_id, max(1, item.prompt_tokens - cached), now_s)
        if state.pace is not None:
            self._pace_table.note_sent(state)
        self.limit_table.note_sent(state.entry, now_s)
        self._order.note_sent(item, now_s)
        state.add_prefixes(item.model, item.parts)

    def _decide(self, item: WorkItem, excluded: frozenset[str], now_s: float) -> Decision:
        if now_s >= self._last_send_s(item):
            return Refuse("this gateway is stopping", STOPPING_RETRY_S)
        if self._latest_send_s(item) - now_s < MIN_REMAINING_S:
            return Refuse("the deadline has passed", RETRY_AFTER_S)
        signature = self.crash_table.find_signature(item.part_ids, now_s)
        if signature is not None:
            return Refuse("such prompts crash endpoints", signature.expires_s - now_s)
        expires_s = self.request_crash_table.find_expiry(item.fingerprint, now_s)
        if expires_s is not None:
            return Refuse("this request crashes endpoints", expires_s - now_s)
        ready = self._candidates.list_ready(item.service)
        if not ready:
            return Refuse("no endpoint of the service", RETRY_AFTER_S)
        if item.software_version is not None:
            ready = [each for each in ready if each.entry.software_version == item.software_version]
            if not ready:
                return Refuse("no endpoint of the software that began the stream", RETRY_AFTER_S)
            ready = self._endpoint_table.list_certain(ready)
            if not ready:
                return Refuse("the endpoints may run other software by now", RETRY_AFTER_S)
        states = [each for each in ready if each.entry.endpoint not in excluded]
        if not states:
            return Refuse("no further endpoint to try", RETRY_AFTER_S)
        spec = self._service_by_name.get(item.service)
        engine_spec = spec.engine if spec is not None else None
        if engine_spec is not None and item.model:
            if item.model not in engine_spec.models_by_name:
                return Refuse("the service has no such model", RETRY_AFTER_S)
            names = self._candidates.list_holders(item, now_s)
            holders = [each for each in states if each.entry.endpoint in names]
            if not holders:
                return self._waits.await_replica(
                    self._make_waiting(item, now_s), engine_spec, states, now_s
                )
            states = holders
        if not item.is_resumable or item.software_version is not None:
            # What began a stream at this version has registered it.
            return self._decide_among(item, states, engine_spec, now_s)
        usable = self.version_register.select(item.service, states, now_s)
        if not usable:
            return Wait("the software version is not registered yet")
        decision = self._decide_among_certain(item, usable, engine_spec, now_s)
        is_pending = self.version_register.is_pending(item.service, now_s)
        if isinstance(decision, Refuse) and len(usable) < len(states) and is_pending:
            return Wait("the software version is not registered yet")
        return decision

    def _decide_among_certain(
        self,
        item: WorkItem,
        states: list[EndpointState],
        engine_spec: EngineSpec | None,
        now_s: float,
    ) -> Decision:
        """Prefer endpoints whose software is certain: a stream that begins at another one can't be
        continued when it breaks off.
        """
        certain = self._endpoint_table.list_certain(states)
        if certain and len(certain) < len(states):
            decision = self._decide_among(item, certain, engine_spec, now_s)
            if isinstance(decision, Send):
                return decision
        return self._decide_among(item, states, engine_spec, now_s)

    def _decide_among(
        self,
        item: WorkItem,
        states: list[EndpointState],
        engine_spec: EngineSpec | None,
        now_s: float,
    ) -> Decision:
        """Decide between endpoints of which some may have requested backoff."""
        if self._backoff_table.is_empty:
            return self._decide_among_open(item, states, engine_spec, now_s)
        opened, closed = self._split_by_backoff(states, now_s)
        if not opened:
            return self._waits.await_backoff(self._make_waiting(item, now_s), closed, now_s)
        decision = self._decide_among_open(item, opened, engine_spec, now_s)
        if not closed or not isinstance(decision, Refuse):
            return decision
        later = self._waits.await_backoff(self._make_waiting(item, now_s), closed, now_s)
        if isinstance(later, Refuse) and decision.retry_after_s <= later.retry_after_s:
            return decision
        return later

    def _split_by_backoff(
        self, states: list[EndpointState], now_s: float
    ) -> tuple[list[EndpointState], list[EndpointState]]:
        """:return: endpoints that accept calls now, and those that have requested backoff"""
        opened, closed = [], []
        for each in states:
            is_closed = self._backoff_table.find_delay(each.entry.endpoint, now_s) > 0.0
            (closed if is_closed else opened).append(each)
        return opened, closed

    def _decide_among_open(
        self,
        item: WorkItem,
        states: list[EndpointState],
        engine_spec: EngineSpec | None,
        now_s: float,
    ) -> Decision:
        reachable = [
            each
            for each in states
            if each.backoff_until_s <= now_s and not each.is_unresponsive(now_s)
        ] or states
        permitted = [
            each for each in reachable if not self.limit_table.find_delay(each.entry, now_s)
        ]
        if not permitted:
            return self._waits.await_permission(self._make_waiting(item, now_s), reachable, now_s)
        available = [each for each in permitted if self._has_capacity(each, engine_spec)]
        if any(each.pace is not None for each in available):
            resting = [
                each
                for each in states
                if each not in reachable
                and not each.is_unresponsive(now_s)
                and not self.limit_table.find_delay(each.entry, now_s)
                and self._has_capacity(each, engine_spec)
            ]
            return self._choose_paced(item, available, resting, permitted, now_s)
        if available:
            return self._choose(item, available, now_s)
        return self._waits.await_capacity(self._make_waiting(item, now_s), permitted, now_s)

    def _choose_paced(
        self,
        item: WorkItem,
        available: list[EndpointState],
        resting: list[EndpointState],
        permitted: list[EndpointState],
        now_s: float,
    ) -> Decision:
        """Choose from endpoints of which some start or recover."""
        wait_until_s = item.arrived_s + MAX_PACE_WAIT_S
        may_wait = now_s < wait_until_s < self._latest_send_s(item) - MAX_PACE_WAIT_S
        return choose_paced(
            self._pace_table,
            item.attempt_id,
            available,
            resting,
            lambda states: self._choose(item, states, now_s),
            (
                (
                    lambda: self._waits.await_capacity(
                        self._make_waiting(item, now_s), permitted, now_s
                    )
                )
                if may_wait and any(each.pace is None for each in permitted)
                else None
            ),
            now_s,
        )

    def _choose(self, item: WorkItem, states: list[EndpointState], now_s: float) -> Send | Refuse:
        """Choose the cheapest endpoint; reject if it cannot begin the answer in time."""
        costs = [(self._costs.cost_s(each, item), each) for each in states]
        cost_s, best = min(costs, key=lambda each: each[0])
        if item.model:
            first_event_s = estimate_read_s(best, item)
            if now_s + first_event_s > min(item.deadline_s, item.first_by_s):
                return Refuse("the answer can't begin in time", max(0.1, first_event_s))
        return Send(best.entry.endpoint, len(costs), cost_s)

    def _latest_send_s(self, item: WorkItem) -> float:
        """:return: the time by which a request must have been sent, else it is rejected"""
        return min(item.deadline_s, item.first_by_s, self._last_send_s(item))

    def _last_send_s(self, item: WorkItem) -> float:
        """:return: the time until which a request may be sent, as the process stops"""
        if self.end_by_s == inf:
            return self.send_by_s
        return min(self.send_by_s, self.end_by_s - self.durations.estimate_s(item.route))

    @staticmethod
    def _has_capacity(state: EndpointState, engine_spec: EngineSpec | None) -> bool:
        if state.requests >= max(1, state.entry.slots):
            return False
        return engine_spec is None or state.unread_tokens <= MAX_BACKLOG_S * state.tokens_per_s

    def _make_waiting(self, item: WorkItem, now_s: float) -> WaitingRequest:
        """:return: a request with those that wait here for the same model and are served before"""
        waiting = (other for other, _ in self._waiting_by_id.values())
        ahead = self._order.list_ahead(item, waiting, now_s)
        return WaitingRequest(item, ahead, self._latest_send_s(item))
