"""
kingcupdyke_measure.simulator
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simulates a load in virtual time, with the real dispatcher and planner over simulated engines.
"""

from math import inf
from random import Random

from anyio import create_task_group, current_time, move_on_after, sleep, sleep_until
from anyio.abc import TaskGroup

from kingcupdyke.forwarding.configuration import EngineSpec, ModelSpec, ServiceSpec
from kingcupdyke.forwarding.decision import Refuse, Wait
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpoint import Replica
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.enginestate import EngineState
from kingcupdyke.forwarding.pacemessage import PaceMessage
from kingcupdyke.forwarding.peerstate import GatewayState
from kingcupdyke.forwarding.planner import PlacementPlanner
from kingcupdyke.forwarding.planround import TimedOrder
from kingcupdyke.forwarding.workitem import WorkItem
from kingcupdyke_daemon.forwarder.queue import WaitingQueue
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_measure.simulationclient import ClientRequest
from kingcupdyke_measure.simulationengine import SERVICE, SimulatedEngine
from kingcupdyke_measure.simulationplan import RequestKind, SimulationEvent, SimulationPlan
from kingcupdyke_measure.simulationreport import RequestOutcome, RequestResult, SimulationReport
from kingcupdyke_measure.virtualtime import run_in_virtual_time
from kingcupdyke_standins.batch import Run

__all__ = ["simulate"]

#: Seconds that a request or an order takes from one process to another.
HOP_LATENCY_S = 0.002
#: Seconds between exchanges of the gateways' states, and between updates of the engines' entries.
PEER_UPDATE_INTERVAL_S = 0.1
ENTRY_UPDATE_INTERVAL_S = 0.05
#: Seconds between planning rounds.
PLANNING_INTERVAL_S = 0.05
#: Limit of attempts of a client request: the first one, and a retry after a rejection.
MAX_ATTEMPTS = 2
#: Share of the time until the deadline that a client waits at most before it retries.
MAX_RETRY_WAIT_SHARE = 1 / 3
#: Seconds from an engine's crash to the removal of its entry, and from the crash to its restart.
ENTRY_EXPIRY_S = 1.0
RESTART_DELAY_S = 3.0


class _Gateway:
    """A gateway: its endpoint table, its dispatcher and its queue of waiting requests."""

    def __init__(self, name: str, services: dict[str, ServiceSpec], timer: LoopTimer) -> None:
        self.name = name
        self.endpoint_table = EndpointTable()
        self.dispatcher = Dispatcher(self.endpoint_table, "", {})
        self.dispatcher.configure(services)
        self.queue = WaitingQueue(self.dispatcher, timer, f"queue {name}")

    def make_gateway_state(self, planner: PlacementPlanner | None, now_s: float) -> GatewayState:
        """Make the state that is sent to peers; ``planner`` is set where the planner runs."""
        return GatewayState(
            host=self.name,
            incarnation="",
            number=0,
            is_stopping=False,
            version=1,
            loads=self.dispatcher.list_loads(),
            demands=self.dispatcher.list_demands(now_s),
            unreachable=(),
            fence=0 if planner is None else 1,
            lease_promise=None,
            placements=() if planner is None else planner.list_placements(now_s),
        )


class _Simulation:
    """A simulation in progress."""

    def __init__(self, plan: SimulationPlan, seed: int, tasks: TaskGroup) -> None:
        self._plan = plan
        self._tasks = tasks
        self._rng = Random(seed)
        self._violations: list[str] = []
        self._results: list[RequestResult] = []
        engine_spec = _make_engine_spec(plan)
        self._engine_spec_by_service = {SERVICE: engine_spec}
        services = {SERVICE: ServiceSpec(SERVICE, "/", 1000, engine_spec)}
        timer = LoopTimer(tasks)
        self._gateways = [_Gateway(f"g{n}", services, timer) for n in range(plan.gateways)]
        self._planner = PlacementPlanner(self._gateways[0].endpoint_table, lambda: None)
        self._engine_by_name = {
            f"e{n}": SimulatedEngine(f"e{n}", plan, self._violations) for n in range(plan.engines)
        }
        self._shifts_by_kind: dict[str, int] = {}
        self._rate_factor_by_kind: dict[str, float] = {}
        self._attempt_count = 0

    async def run(self) -> SimulationReport:
        """Run the simulation to its end, with the results of all client requests."""
        plan = self._plan
        self._place_initial_models()
        for engine in self._engine_by_name.values():
            engine.start(self._tasks)
        for loop in (self._exchange_gateway_states, self._update_entries, self._run_planner):
            self._tasks.start_soon(loop)
        await sleep(plan.lead_s)
        async with create_task_group() as request_tasks:
            for kind in plan.kinds:
                request_tasks.start_soon(self._generate_requests, kind, request_tasks)
            for event in plan.events:
                request_tasks.start_soon(self._apply_event, event)
        await sleep(plan.rest_s)
        engines = self._engine_by_name.values()
        return SimulationReport(
            plan.name,
            tuple(self._results),
            tuple(sorted(at_s for each in engines for at_s in each.weight_cache.store_loads_s)),
            sum(each.accepted_orders for each in engines),
            tuple(self._violations),
        )

    def _place_initial_models(self) -> None:
        """Place popular models, then a replica of each; one without space gets a weight copy."""
        engines = list(self._engine_by_name.values())
        self._rng.shuffle(engines)
        popular = [name for kind in self._plan.kinds for name in kind.models[: kind.models_at_once]]
        models = {each.name: each for each in self._plan.models}
        for name in [*popular, *models]:
            candidates = [each for each in engines if not each.is_resident(name, "")]
            self._rng.shuffle(candidates)
            if not any(each.add_resident_model(models[name]) for each in candidates) and candidates:
                candidates[0].weight_cache.keep(name)

    async def _exchange_gateway_states(self) -> None:
        while True:
            await sleep(PEER_UPDATE_INTERVAL_S)
            now_s = current_time()
            states = [
                each.make_gateway_state(self._planner if number == 0 else None, now_s)
                for number, each in enumerate(self._gateways)
            ]
            for gateway in self._gateways:
                gateway.endpoint_table.apply_placements(states[0], now_s)
                peers = [each for each in states if each.host != gateway.name]
                for peer in peers:
                    gateway.endpoint_table.apply_peer_state(peer)
                gateway.queue.poll(now_s)
            self._exchange_pace(now_s)

    def _exchange_pace(self, now_s: float) -> None:
        tables = {each.name: each.endpoint_table.pace_table for each in self._gateways}
        for name, table in tables.items():
            table.set_gateways(name, tables.keys() - {name}, len(tables))
            table.update(now_s)
            message = PaceMessage(name, "", table.make_reports(-inf, now_s))
            for peer in tables.keys() - {name}:
                tables[peer].merge(message, now_s)

    async def _update_entries(self) -> None:
        crash_seen_s_by_engine: dict[str, float] = {}
        while True:
            now_s = current_time()
            for name, engine in self._engine_by_name.items():
                if engine.is_alive:
                    crash_seen_s_by_engine.pop(name, None)
                    entry = engine.make_entry()
                    for gateway in self._gateways:
                        gateway.endpoint_table.put(entry)
                elif now_s - crash_seen_s_by_engine.setdefault(name, now_s) >= ENTRY_EXPIRY_S:
                    for gateway in self._gateways:
                        gateway.endpoint_table.remove(name, now_s, False)
            await sleep(ENTRY_UPDATE_INTERVAL_S)

    async def _run_planner(self) -> None:
        while True:
            await sleep(PLANNING_INTERVAL_S)
            now_s = current_time()
            self._planner.update(self._engine_spec_by_service, now_s)
            for engine_state in self._planner.list_unreported(now_s):
                self._tasks.start_soon(self._request_report, engine_state)
            demands = [
                each
                for gateway in self._gateways
                for each in gateway.dispatcher.list_demands(now_s)
            ]
            tokens_per_s = self._gateways[0].dispatcher.tokens_per_s
            for timed in self._planner.plan(
                self._engine_spec_by_service, demands, tokens_per_s, now_s
            ):
                engine_state = self._planner.engine_by_id[timed.order.endpoint]
                self._tasks.start_soon(self._send_order, engine_state, timed)

    async def _request_report(self, engine_state: EngineState) -> None:
        engine = self._engine_by_name[engine_state.entry.endpoint]
        await sleep(2 * HOP_LATENCY_S)
        if engine.is_alive:
            self._planner.observe_report(engine_state, engine.make_report(), current_time())

    async def _send_order(self, engine_state: EngineState, timed: TimedOrder) -> None:
        expected_count = engine_state.order_count
        await sleep(HOP_LATENCY_S)
        reply = self._engine_by_name[timed.order.endpoint].accept_order(timed.order, expected_count)
        await sleep(HOP_LATENCY_S)
        self._planner.answered(engine_state, timed, reply, current_time())

    async def _apply_event(self, event: SimulationEvent) -> None:
        await sleep(event.at_s)
        if event.kind == "shift":
            self._shifts_by_kind[event.target] = self._shifts_by_kind.get(event.target, 0) + 1
        elif event.kind == "burst":
            self._rate_factor_by_kind[event.target] = event.rate_factor
            await sleep(event.duration_s)
            del self._rate_factor_by_kind[event.target]
        else:
            engine = self._engine_by_name[f"e{event.target}"]
            engine.crash()
            await sleep(RESTART_DELAY_S)
            engine.restart()

    async def _generate_requests(self, kind: RequestKind, tasks: TaskGroup) -> None:
        end_s = current_time() + self._plan.load_s
        arrival_s = current_time()
        while True:
            rate = kind.per_s * self._rate_factor_by_kind.get(kind.name, 1.0)
            arrival_s += self._rng.expovariate(rate)
            if arrival_s >= end_s:
                return
            await sleep_until(arrival_s)
            tasks.start_soon(self._run_request, kind, self._draw_replica(kind))

    def _draw_replica(self, kind: RequestKind) -> tuple[str, str]:
        """:return: a model, and one of its adapters or the empty string"""
        offset = self._shifts_by_kind.get(kind.name, 0) % len(kind.models)
        names = (kind.models[offset:] + kind.models[:offset])[: kind.models_at_once]
        weights = [kind.popularity_ratio**-rank for rank in range(len(names))]
        (name,) = self._rng.choices(names, weights)
        (adapters,) = [each.adapters for each in self._plan.models if each.name == name]
        if not adapters or self._rng.random() >= kind.adapter_share:
            return name, ""
        return name, f"a{self._rng.randint(1, adapters)}"

    async def _run_request(self, kind: RequestKind, replica: tuple[str, str]) -> None:
        """Attempt a request, retry once after a rejection, and give up at the deadline."""
        request = ClientRequest(kind, *replica, current_time())
        with move_on_after(kind.deadline_s):
            for _ in range(MAX_ATTEMPTS):
                self._attempt_count += 1
                gateway = self._rng.choice(self._gateways)
                rejection = await self._run_attempt(request, gateway, f"r{self._attempt_count}")
                if rejection is None:
                    break
                remaining_s = request.deadline_s - current_time()
                if rejection.retry_after_s > remaining_s * MAX_RETRY_WAIT_SHARE:
                    break
                await sleep(rejection.retry_after_s)
        self._results.append(request.make_result())

    async def _run_attempt(
        self, request: ClientRequest, gateway: _Gateway, attempt_id: str
    ) -> Refuse | None:
        """Run an attempt to its end, and exclude engines that do not hold the model.

        :return: the rejection, or None if an engine accepted the attempt, which is then not retried
        """
        request.attempts += 1
        item = request.make_work_item(attempt_id, current_time())
        excluded: set[str] = set()
        while True:
            decision = gateway.queue.submit(item, frozenset(excluded))
            if isinstance(decision, Wait):
                decision = await gateway.queue.wait(attempt_id)
            if isinstance(decision, Refuse):
                request.record_outcome(RequestOutcome.REFUSED, decision.reason)
                return decision
            engine = self._engine_by_name[decision.endpoint]
            sent_s = current_time()
            is_answered = False
            try:
                run = await self._submit(item, engine)
                if run is not None:
                    await self._await_answer(request, gateway, item, engine, run, sent_s)
                    is_answered = True
                    return None
            finally:
                seconds = current_time() - sent_s
                gateway.dispatcher.ended(
                    attempt_id, engine.name, SERVICE, seconds, current_time(), is_answered
                )
                engine.cancel(attempt_id)
            gateway.endpoint_table.deny_replica(
                Replica(engine.name, item.model, item.adapter), current_time()
            )
            excluded.add(engine.name)

    async def _submit(self, item: WorkItem, engine: SimulatedEngine) -> Run | None:
        await sleep(HOP_LATENCY_S)
        run = engine.submit(item)
        if run is None:
            await sleep(HOP_LATENCY_S)
        return run

    async def _await_answer(
        self,
        request: ClientRequest,
        gateway: _Gateway,
        item: WorkItem,
        engine: SimulatedEngine,
        run: Run,
        sent_s: float,
    ) -> None:
        state = gateway.endpoint_table.state_by_id.get(engine.name)
        unread_tokens_before = 0 if state is None else state.unread_tokens
        while not run.tokens and not run.ended:
            with move_on_after(max(0.0, request.first_by_s - current_time())) as scope:
                await run.wait_change()
            if scope.cancelled_caught:
                request.record_outcome(RequestOutcome.GIVEN_UP, "the answer did not start in time")
                return
        if run.tokens:
            request.first_token_s = current_time() - request.started_s
            seconds = current_time() - sent_s
            gateway.dispatcher.began(
                item.attempt_id, engine.name, seconds, unread_tokens_before, current_time()
            )
        await run.wait_end()
        if run.cancelled:
            request.record_outcome(RequestOutcome.FAILED, "the engine crashed")
        else:
            request.record_outcome(RequestOutcome.SERVED, "")


def simulate(plan: SimulationPlan, seed: int) -> SimulationReport:
    """Run a simulation once.

    :param seed: seed of the arrivals, the requested models and the initial placement
    """
    return run_in_virtual_time(_simulate, plan, seed)


async def _simulate(plan: SimulationPlan, seed: int) -> SimulationReport:
    async with create_task_group() as tasks:
        report = await _Simulation(plan, seed, tasks).run()
        tasks.cancel_scope.cancel()
    return report


def _make_engine_spec(plan: SimulationPlan) -> EngineSpec:
    models = {
        each.name: ModelSpec(
            each.name,
            each.size_bytes,
            each.store_s,
            each.disk_s,
            each.memory_s,
            each.adapter_bytes,
            tuple(f"a{number + 1}" for number in range(each.adapters)),
        )
        for each in plan.models
    }
    return EngineSpec(
        plan.slots, 0, plan.memory_bytes, plan.adapter_slots, plan.loads_per_s, models
    )
