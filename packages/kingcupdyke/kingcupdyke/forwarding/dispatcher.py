"""
kingcupdyke.forwarding.dispatcher
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides for each request whether it is sent, where, whether it waits, or is refused.
"""

from math import inf
from typing import NamedTuple

from kingcupdyke.forwarding.configuration import EngineSpec, ServiceSpec
from kingcupdyke.forwarding.endpoint import Replica
from kingcupdyke.forwarding.endpointtable import TOKENS_PER_S, EndpointState, EndpointTable
from kingcupdyke.forwarding.metadata import PromptPart
from kingcupdyke.forwarding.peerstate import Demand, EndpointLoad

__all__ = ["STOPPING_RETRY_S", "Decision", "Dispatcher", "Refuse", "Send", "Wait", "WorkItem"]

#: Seconds of unread prompts up to which an engine gets more: enough to keep it busy, and little
#: enough that an urgent request does not wait long behind others.
BACKLOG_S = 0.35
#: Seconds that each running request adds to the time to a first event.
RUNNING_S = 0.001
#: Seconds that an endpoint in another data centre, or in another region, counts for.
OTHER_DATA_CENTRE_S = 0.01
OTHER_REGION_S = 0.12
#: Seconds from a demand to the planner's order for it.
ORDERING_S = 0.3
#: Seconds that a request on an endpoint with a failure share of one counts for.
FAILING_S = 2.0
#: Seconds after which a refused caller is asked to come back where nothing better is known.
RETRY_AFTER_S = 0.5
#: Seconds after which a caller comes back from a gateway that is stopping, to another one.
STOPPING_RETRY_S = 0.01
#: Least seconds left of a deadline for which a request is still sent.
LEAST_LEFT_S = 0.03
#: Seconds that a request of a plain service is taken to last until one has ended.
MEAN_S = 0.05
#: Seconds over which demand is averaged.
DEMAND_WINDOW_S = 3.0
#: Weight of the newest answer in what is learnt of an endpoint's speed.
LEARN_WEIGHT = 0.1


class WorkItem(NamedTuple):
    """A request as the dispatcher sees it."""

    attempt_id: str
    service: str
    model: str
    adapter: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    #: Rank; 0 is the most urgent.
    priority: int
    arrived_s: float
    #: Time by which the first word is on time.
    objective_s: float
    #: Time by which the answer must have begun, or its client has left.
    first_by_s: float
    #: Time by which the answer must be whole.
    deadline_s: float


class Send(NamedTuple):
    """Send the request to an endpoint."""

    endpoint: str
    #: Endpoints that had room for it.
    choices: int
    #: Seconds that this choice is expected to cost, distance and failures included.
    cost_s: float


class Wait(NamedTuple):
    """Keep the request until something changes."""

    reason: str


class Refuse(NamedTuple):
    """Refuse the request: it can't be served in time."""

    reason: str
    retry_after_s: float


Decision = Send | Wait | Refuse


class _Meter:
    """A rate that fades out over a window."""

    def __init__(self) -> None:
        self._level = 0.0
        self._seen_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Count an amount."""
        self._level = self.read(now_s) + amount / DEMAND_WINDOW_S
        self._seen_s = now_s

    def read(self, now_s: float) -> float:
        """:return: the rate a second"""
        passed_s = max(0.0, now_s - self._seen_s)
        return self._level * max(0.0, 1.0 - passed_s / (2 * DEMAND_WINDOW_S)) ** 2


class Dispatcher:
    """Queue and choice of one gateway over all services.

    Waiting requests are decided in order of priority, then of objective. Requests in flight are
    counted over all gateways, so that no endpoint gets more than it works on.

    :param board: the endpoints
    :param data_centre: where this gateway stands
    :param region_by_data_centre: the region of each data centre
    """

    def __init__(
        self, board: EndpointTable, data_centre: str, region_by_data_centre: dict[str, str]
    ) -> None:
        self._board = board
        self._data_centre = data_centre
        self.region_by_data_centre = region_by_data_centre
        self._service_by_name: dict[str, ServiceSpec] = {}
        #: Time by which requests must be sent, as the process ends soon after.
        self.send_by_s = inf
        self._waiting_by_id: dict[str, tuple[WorkItem, frozenset[str]]] = {}
        self._meter_by_model: dict[tuple[str, str], _Meter] = {}
        self._service_s_by_name: dict[str, float] = {}

    def configure(self, service_by_name: dict[str, ServiceSpec]) -> None:
        """Take the services of a new configuration."""
        self._service_by_name = service_by_name

    @property
    def waiting(self) -> int:
        """:return: requests that wait"""
        return len(self._waiting_by_id)

    def submit(self, item: WorkItem, excluded: frozenset[str], now_s: float) -> Decision:
        """Decide on a request that has come, or has come back from an endpoint.

        :param excluded: endpoints that must not get it again
        :return: the decision; a request that waits is decided on by :meth:`poll`
        """
        self._meter(item).add(max(1, item.prompt_tokens), now_s)
        decision = self._decide(item, excluded, now_s)
        if isinstance(decision, Send):
            self._begin(item, decision.endpoint, now_s)
        elif isinstance(decision, Wait):
            self._waiting_by_id[item.attempt_id] = (item, excluded)
        return decision

    @property
    def tokens_per_s(self) -> float:
        """:return: prompt tokens a second that an endpoint reads, as learnt on the average"""
        speeds = [each.tokens_per_s for each in self._board.state_by_id.values()]
        return sum(speeds) / len(speeds) if speeds else TOKENS_PER_S

    def poll(self, now_s: float) -> dict[str, Send | Refuse]:
        """:return: decisions on requests that waited, by attempt"""
        decisions: dict[str, Send | Refuse] = {}
        waiting = sorted(self._waiting_by_id.values(), key=lambda each: _rank(each[0], now_s))
        for item, excluded in waiting:
            decision = self._decide(item, excluded, now_s)
            if isinstance(decision, Wait):
                continue
            del self._waiting_by_id[item.attempt_id]
            decisions[item.attempt_id] = decision
            if isinstance(decision, Send):
                self._begin(item, decision.endpoint, now_s)
        return decisions

    def withdraw(self, attempt_id: str) -> None:
        """A waiting request is given up."""
        self._waiting_by_id.pop(attempt_id, None)

    def began(self, attempt_id: str, endpoint: str, seconds: float, tokens: int) -> None:
        """The first event of a stream came.

        :param seconds: since the request was sent
        :param tokens: unread tokens at the endpoint when it was sent
        """
        state = self._board.state_by_id.get(endpoint)
        if state is not None and attempt_id in state.tokens_by_attempt:
            state.tokens_by_attempt[attempt_id] = 0
            state.learn_speed(tokens, seconds)

    def cancel(self, attempt_id: str, endpoint: str) -> None:
        """A request that was to be sent to an endpoint is not under way there any more."""
        state = self._board.state_by_id.get(endpoint)
        if state is not None:
            state.note_left(attempt_id)

    def ended(self, attempt_id: str, endpoint: str, service: str, seconds: float) -> None:
        """A request has left its endpoint.

        :param seconds: since it was sent
        """
        self.cancel(attempt_id, endpoint)
        known_s = self._service_s_by_name.get(service, seconds)
        self._service_s_by_name[service] = known_s + LEARN_WEIGHT * (seconds - known_s)

    def list_loads(self) -> tuple[EndpointLoad, ...]:
        """:return: this gateway's own work at each endpoint"""
        return tuple(
            EndpointLoad(
                endpoint, len(state.tokens_by_attempt), sum(state.tokens_by_attempt.values())
            )
            for endpoint, state in self._board.state_by_id.items()
            if state.tokens_by_attempt
        )

    def list_demands(self, now_s: float) -> tuple[Demand, ...]:
        """:return: this gateway's demand for each model and adapter"""
        waiting: dict[tuple[str, str], int] = {}
        for item, _ in self._waiting_by_id.values():
            if item.model:
                key = (item.model, item.adapter)
                waiting[key] = waiting.get(key, 0) + 1
        demands = []
        for (model, adapter), meter in self._meter_by_model.items():
            rate = meter.read(now_s)
            count = waiting.get((model, adapter), 0)
            if model and (rate >= 1.0 or count):
                demands.append(Demand(model, adapter, count, round(rate, 1)))
        return tuple(demands)

    def _meter(self, item: WorkItem) -> _Meter:
        return self._meter_by_model.setdefault((item.model, item.adapter), _Meter())

    def _begin(self, item: WorkItem, endpoint: str, now_s: float) -> None:
        state = self._board.state_by_id[endpoint]
        kept = state.count_kept_tokens(item.model, item.parts)
        state.note_sent(item.attempt_id, max(1, item.prompt_tokens - kept), now_s)
        state.remember_parts(item.model, item.parts)

    def _decide(self, item: WorkItem, excluded: frozenset[str], now_s: float) -> Decision:
        if now_s >= self.send_by_s:
            return Refuse("this gateway is stopping", STOPPING_RETRY_S)
        if self._limit_s(item) - now_s < LEAST_LEFT_S:
            return Refuse("the deadline has passed", RETRY_AFTER_S)
        ready = self._board.list_ready(item.service)
        if not ready:
            return Refuse("no endpoint of the service", RETRY_AFTER_S)
        states = [each for each in ready if each.entry.endpoint not in excluded]
        if not states:
            return Refuse("no further endpoint to try", RETRY_AFTER_S)
        spec = self._service_by_name.get(item.service)
        engine = spec.engine if spec is not None else None
        if engine is not None and item.model:
            if item.model not in engine.models_by_name:
                return Refuse("the service has no such model", RETRY_AFTER_S)
            holding = [each for each in states if self._holds(each, item, now_s)]
            if not holding:
                return self._await_replica(item, engine, states, now_s)
            states = holding
        reachable = [
            each for each in states if each.shunned_until_s <= now_s and not each.is_silent(now_s)
        ] or states
        open_states = [each for each in reachable if self._has_room(each, engine)]
        if open_states:
            return self._choose(item, open_states, now_s)
        return self._await_room(item, reachable, now_s)

    def _choose(self, item: WorkItem, states: list[EndpointState], now_s: float) -> Send | Refuse:
        """Choose among endpoints with room, unless none can begin the answer in time."""
        costs = [(self._cost_s(each, item, now_s), each) for each in states]
        cost_s, best = min(costs, key=lambda each: each[0])
        if item.model:
            first_s = self._reading_s(best, item)
            if now_s + first_s > min(item.deadline_s, item.first_by_s):
                return Refuse("the answer can't begin in time", max(0.1, first_s))
        return Send(best.entry.endpoint, len(costs), cost_s)

    @staticmethod
    def _reading_s(state: EndpointState, item: WorkItem) -> float:
        """:return: expected seconds until an engine has read a prompt and those before it"""
        kept = state.count_kept_tokens(item.model, item.parts)
        tokens = state.unread_tokens + max(0, item.prompt_tokens - kept)
        return tokens / state.tokens_per_s

    def _limit_s(self, item: WorkItem) -> float:
        """:return: the time by which a request must have been sent, or it is refused"""
        return min(item.deadline_s, item.first_by_s, self.send_by_s)

    def _holds(self, state: EndpointState, item: WorkItem, now_s: float) -> bool:
        endpoint = state.entry.endpoint
        if not self._board.has_replica(Replica(endpoint, item.model), now_s):
            return False
        if not item.adapter:
            return True
        return self._board.has_replica(Replica(endpoint, item.model, item.adapter), now_s)

    @staticmethod
    def _has_room(state: EndpointState, engine: EngineSpec | None) -> bool:
        if state.requests >= max(1, state.entry.slots):
            return False
        return engine is None or state.unread_tokens <= BACKLOG_S * state.tokens_per_s

    def _cost_s(self, state: EndpointState, item: WorkItem, now_s: float) -> float:
        """:return: expected seconds to the first word, with what distance and failures cost"""
        cost_s = self._reading_s(state, item) + state.requests * RUNNING_S
        if not item.model:
            mean_s = self._service_s_by_name.get(item.service, MEAN_S)
            cost_s = mean_s * state.requests / max(1, state.entry.slots)
        return cost_s + self._distance_s(state) + FAILING_S * state.failure_share

    def _distance_s(self, state: EndpointState) -> float:
        other = state.entry.data_centre
        if other == self._data_centre:
            return 0.0
        regions = self.region_by_data_centre
        if regions.get(other) == regions.get(self._data_centre):
            return OTHER_DATA_CENTRE_S
        return OTHER_REGION_S

    def _await_replica(
        self, item: WorkItem, engine: EngineSpec, states: list[EndpointState], now_s: float
    ) -> Decision:
        """Wait for the planner to place the model, or refuse where that takes too long."""
        wait_s = self._board.due_s(item.model, item.adapter, now_s)
        if wait_s is None:
            wait_s = ORDERING_S + self._load_s(item, engine, states, now_s)
        peers_tokens = self._board.peer_waiting_by_model.get(item.model, 0) * item.prompt_tokens
        tokens_before = sum(each.prompt_tokens for each in self._list_before(item, now_s))
        wait_s += (tokens_before + peers_tokens) / self.tokens_per_s
        left_s = self._limit_s(item) - now_s
        if max(0.0, wait_s) + LEAST_LEFT_S > left_s:
            return Refuse("the model is not ready in time", max(0.1, wait_s))
        return Wait("no replica of the model yet")

    def _load_s(
        self, item: WorkItem, engine: EngineSpec, states: list[EndpointState], now_s: float
    ) -> float:
        spec = engine.models_by_name[item.model]
        least_s = spec.load_s
        for state in states:
            if self._board.has_replica(Replica(state.entry.endpoint, item.model), now_s):
                return 0.0
            if item.model in state.entry.in_memory:
                least_s = min(least_s, spec.memory_load_s)
            elif item.model in state.entry.on_disk:
                least_s = min(least_s, spec.disk_load_s)
        return least_s

    def _list_before(self, item: WorkItem, now_s: float) -> list[WorkItem]:
        """:return: requests that wait here for the same model and go before one"""
        rank = _rank(item, now_s)
        return [
            other
            for other, _ in self._waiting_by_id.values()
            if other.service == item.service
            and other.model == item.model
            and other.attempt_id != item.attempt_id
            and _rank(other, now_s) < rank
        ]

    def _await_room(self, item: WorkItem, states: list[EndpointState], now_s: float) -> Decision:
        """Wait for room, or refuse where the requests before this one take too long."""
        before = self._list_before(item, now_s)
        if item.model:
            tokens = sum(each.prompt_tokens for each in before) + item.prompt_tokens
            tokens += sum(each.unread_tokens for each in states)
            wait_s = tokens / sum(each.tokens_per_s for each in states)
        else:
            mean_s = self._service_s_by_name.get(item.service, MEAN_S)
            slots = sum(max(1, each.entry.slots) for each in states)
            wait_s = mean_s * (len(before) + 1) / slots
        if now_s + wait_s > self._limit_s(item):
            return Refuse("the queue is longer than the deadline", max(0.1, wait_s))
        return Wait("all endpoints are full")


def _rank(item: WorkItem, now_s: float) -> tuple[int, bool, float, float, str]:
    """:return: the key by which waiting requests are served, the least first"""
    is_late = now_s > item.objective_s
    return item.priority, is_late, item.objective_s, item.arrived_s, item.attempt_id
