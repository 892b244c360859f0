"""
kingcupdyke_measure.simulator
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Plays a load in virtual time: the real decisions of gateways and planner over modelled engines.
"""

from random import Random

from anyio import create_task_group, current_time, move_on_after, sleep, sleep_until
from anyio.abc import TaskGroup

from kingcupdyke.forwarding.configuration import EngineSpec, ModelSpec, ServiceSpec
from kingcupdyke.forwarding.dispatcher import Dispatcher, Refuse, Wait, WorkItem
from kingcupdyke.forwarding.endpoint import Replica
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.enginestate import EngineState
from kingcupdyke.forwarding.peerstate import GatewayState
from kingcupdyke.forwarding.planner import PlacementPlanner
from kingcupdyke.forwarding.planround import TimedOrder
from kingcupdyke_daemon.forwarder.queue import WaitingQueue
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_measure.simulationengine import SERVICE, PlayEngine
from kingcupdyke_measure.simulationplan import PlayEvent, PlayPlan, RequestKind
from kingcupdyke_measure.simulationreport import PlayOutcome, PlayReport, PlayResult
from kingcupdyke_measure.virtualtime import run_virtually
from kingcupdyke_standins.batch import Run

__all__ = ["play"]

#: Seconds that entries, orders and requests take from one process to another.
HOP_S = 0.002
#: Seconds between messages of gateways, and between looks at engines' entries.
PEER_PERIOD_S = 0.1
ENTRY_PERIOD_S = 0.05
#: Seconds between planning rounds, and between looks at requests that wait.
ROUND_S = 0.05
QUEUE_PERIOD_S = 0.025
#: Times that a caller asks.
MOST_TRIES = 2
#: Part of the time that a caller has left for which it lets itself be sent away.
MOST_RETRY_SHARE = 1 / 3
#: Seconds after which a crashed engine is gone from the list, and until it starts again.
LAPSE_S = 1.0
RESTART_S = 3.0


class _Gateway:
    """One gateway: its view, its queue and its decisions."""

    def __init__(self, name: str, services: dict[str, ServiceSpec], timer: LoopTimer) -> None:
        self.name = name
        self.board = EndpointTable()
        self.dispatcher = Dispatcher(self.board, "", {})
        self.dispatcher.configure(services)
        self.queue = WaitingQueue(self.dispatcher, timer)
        timer.subscribe(f"queue {name}", QUEUE_PERIOD_S, self.queue.poll)

    def describe(self, planner: PlacementPlanner | None, now_s: float) -> GatewayState:
        """:return: what this gateway tells its peers"""
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
            support=None,
            placements=() if planner is None else planner.list_placements(now_s),
        )


class _Caller:
    """A caller and what it got."""

    def __init__(self, kind: RequestKind, model: str, adapter: str, began_s: float) -> None:
        self._kind = kind
        self._model = model
        self._adapter = adapter
        self.began_s = began_s
        self.deadline_s = began_s + kind.deadline_s
        self.first_by_s = began_s + kind.first_patience_s
        #: Seconds from its first attempt to the first word of the answer, or None.
        self.first_s: float | None = None
        self.tries = 0
        self._outcome = PlayOutcome.GIVEN_UP
        self._reason = "the deadline passed"

    def make_item(self, attempt_id: str, now_s: float) -> WorkItem:
        """:return: an attempt as a gateway sees it, which knows of none before"""
        kind = self._kind
        self.first_by_s = min(now_s + kind.first_patience_s, self.deadline_s)
        return WorkItem(
            attempt_id=attempt_id,
            service=SERVICE,
            model=self._model,
            adapter=self._adapter,
            parts=(),
            prompt_tokens=kind.prompt_tokens,
            output_tokens=kind.output_tokens,
            priority=kind.priority,
            arrived_s=now_s,
            objective_s=now_s + kind.objective_s,
            first_by_s=self.first_by_s,
            deadline_s=self.deadline_s,
        )

    def note(self, outcome: PlayOutcome, reason: str) -> None:
        """Note how an attempt ended."""
        self._outcome = outcome
        self._reason = reason

    def sum_up(self) -> PlayResult:
        """:return: what it got in the end"""
        kind = self._kind
        is_on_time = self.first_s is not None and self.first_s <= kind.objective_s
        return PlayResult(
            kind.name,
            self._model,
            self._adapter,
            self._outcome,
            self._reason,
            self._outcome is PlayOutcome.SERVED and is_on_time,
            self.tries,
        )


class _Play:
    """A play under way."""

    def __init__(self, plan: PlayPlan, seed: int, tasks: TaskGroup) -> None:
        self._plan = plan
        self._tasks = tasks
        self._rng = Random(seed)
        self._violations: list[str] = []
        self._results: list[PlayResult] = []
        engine = _make_spec(plan)
        self._engine_by_service = {SERVICE: engine}
        services = {SERVICE: ServiceSpec(SERVICE, "/", 1000, engine)}
        timer = LoopTimer(tasks)
        self._gateways = [_Gateway(f"g{n}", services, timer) for n in range(plan.gateways)]
        self._planner = PlacementPlanner(self._gateways[0].board)
        self._engine_by_name = {
            f"e{n}": PlayEngine(f"e{n}", plan, self._violations) for n in range(plan.engines)
        }
        self._shift_by_kind: dict[str, int] = {}
        self._burst_by_kind: dict[str, float] = {}
        self._number = 0

    async def run(self) -> PlayReport:
        """:return: what callers got"""
        plan = self._plan
        self._fill()
        for engine in self._engine_by_name.values():
            engine.start(self._tasks)
        for job in (self._tell_peers, self._list_engines, self._plan_forever):
            self._tasks.start_soon(job)
        await sleep(plan.lead_s)
        async with create_task_group() as load:
            for kind in plan.kinds:
                load.start_soon(self._send_kind, kind, load)
            for event in plan.events:
                load.start_soon(self._strike, event)
        await sleep(plan.rest_s)
        engines = self._engine_by_name.values()
        return PlayReport(
            plan.name,
            tuple(self._results),
            tuple(sorted(begun_s for each in engines for begun_s in each.copies.store_loads_s)),
            sum(each.orders for each in engines),
            tuple(self._violations),
        )

    def _fill(self) -> None:
        """Place the popular models, then each model once more, as far as there is room."""
        engines = list(self._engine_by_name.values())
        self._rng.shuffle(engines)
        names = [name for kind in self._plan.kinds for name in kind.models[: kind.models_at_once]]
        specs = {each.name: each for each in self._plan.models}
        for name in [*names, *specs]:
            candidates = [each for each in engines if not each.holds(name, "")]
            self._rng.shuffle(candidates)
            if not any(each.hold(specs[name]) for each in candidates) and candidates:
                candidates[0].copies.keep(name)

    async def _tell_peers(self) -> None:
        while True:
            await sleep(PEER_PERIOD_S)
            now_s = current_time()
            states = [
                each.describe(self._planner if number == 0 else None, now_s)
                for number, each in enumerate(self._gateways)
            ]
            for gateway in self._gateways:
                gateway.board.hear_placements(states[0], now_s)
                peers = [each for each in states if each.host != gateway.name]
                gateway.board.hear_peers(peers, now_s)
                gateway.queue.poll(now_s)

    async def _list_engines(self) -> None:
        lost_s: dict[str, float] = {}
        while True:
            now_s = current_time()
            for name, engine in self._engine_by_name.items():
                if engine.is_alive:
                    lost_s.pop(name, None)
                    entry = engine.describe()
                    for gateway in self._gateways:
                        gateway.board.put(entry)
                elif now_s - lost_s.setdefault(name, now_s) >= LAPSE_S:
                    for gateway in self._gateways:
                        gateway.board.remove(name, now_s, False)
            await sleep(ENTRY_PERIOD_S)

    async def _plan_forever(self) -> None:
        while True:
            await sleep(ROUND_S)
            now_s = current_time()
            self._planner.update(self._engine_by_service, now_s)
            for seat in self._planner.list_unreported(now_s):
                self._tasks.start_soon(self._ask_report, seat)
            demands = [
                each
                for gateway in self._gateways
                for each in gateway.dispatcher.list_demands(now_s)
            ]
            speed = self._gateways[0].dispatcher.tokens_per_s
            for timed in self._planner.plan(self._engine_by_service, demands, speed, now_s):
                seat = self._planner.seat_by_id[timed.order.endpoint]
                self._tasks.start_soon(self._give_order, seat, timed)

    async def _ask_report(self, seat: EngineState) -> None:
        engine = self._engine_by_name[seat.entry.endpoint]
        await sleep(2 * HOP_S)
        if engine.is_alive:
            self._planner.observe_report(seat, engine.report(), current_time())

    async def _give_order(self, seat: EngineState, timed: TimedOrder) -> None:
        count = seat.order_count
        await sleep(HOP_S)
        reply = self._engine_by_name[timed.order.endpoint].order(timed.order, count)
        await sleep(HOP_S)
        self._planner.answered(seat, timed, reply, current_time())

    async def _strike(self, event: PlayEvent) -> None:
        await sleep(event.at_s)
        if event.kind == "shift":
            self._shift_by_kind[event.target] = self._shift_by_kind.get(event.target, 0) + 1
        elif event.kind == "burst":
            self._burst_by_kind[event.target] = event.times
            await sleep(event.for_s)
            del self._burst_by_kind[event.target]
        else:
            engine = self._engine_by_name[f"e{event.target}"]
            engine.crash()
            await sleep(RESTART_S)
            engine.restart()

    async def _send_kind(self, kind: RequestKind, load: TaskGroup) -> None:
        end_s = current_time() + self._plan.load_s
        due_s = current_time()
        while True:
            rate = kind.per_s * self._burst_by_kind.get(kind.name, 1.0)
            due_s += self._rng.expovariate(rate)
            if due_s >= end_s:
                return
            await sleep_until(due_s)
            load.start_soon(self._ask, kind, self._draw_replica(kind))

    def _draw_replica(self, kind: RequestKind) -> tuple[str, str]:
        """:return: a model, and an adapter of it or the empty string"""
        turn = self._shift_by_kind.get(kind.name, 0) % len(kind.models)
        names = (kind.models[turn:] + kind.models[:turn])[: kind.models_at_once]
        weights = [kind.popularity_ratio**-rank for rank in range(len(names))]
        (name,) = self._rng.choices(names, weights)
        (adapters,) = [each.adapters for each in self._plan.models if each.name == name]
        if not adapters or self._rng.random() >= kind.adapter_share:
            return name, ""
        return name, f"a{self._rng.randint(1, adapters)}"

    async def _ask(self, kind: RequestKind, replica: tuple[str, str]) -> None:
        """A caller: it asks, comes back once where it is refused, and leaves at its deadline."""
        caller = _Caller(kind, *replica, current_time())
        with move_on_after(kind.deadline_s):
            for _ in range(MOST_TRIES):
                self._number += 1
                gateway = self._rng.choice(self._gateways)
                refusal = await self._attempt(caller, gateway, f"r{self._number}")
                if refusal is None:
                    break
                left_s = caller.deadline_s - current_time()
                if refusal.retry_after_s > left_s * MOST_RETRY_SHARE:
                    break
                await sleep(refusal.retry_after_s)
        self._results.append(caller.sum_up())

    async def _attempt(self, caller: _Caller, gateway: _Gateway, attempt_id: str) -> Refuse | None:
        """:return: the refusal, or None where it was served or can't be asked again"""
        caller.tries += 1
        item = caller.make_item(attempt_id, current_time())
        excluded: set[str] = set()
        while True:
            decision = gateway.queue.submit(item, frozenset(excluded))
            if isinstance(decision, Wait):
                decision = await gateway.queue.wait(attempt_id)
            if isinstance(decision, Refuse):
                caller.note(PlayOutcome.REFUSED, decision.reason)
                return decision
            engine = self._engine_by_name[decision.endpoint]
            sent_s = current_time()
            try:
                run = await self._send(item, engine)
                if run is not None:
                    await self._follow(caller, gateway, item, engine, run, sent_s)
                    return None
            finally:
                seconds = current_time() - sent_s
                gateway.dispatcher.ended(attempt_id, engine.name, SERVICE, seconds)
                engine.cancel(attempt_id)
            gateway.board.deny_replica(
                Replica(engine.name, item.model, item.adapter), current_time()
            )
            excluded.add(engine.name)

    async def _send(self, item: WorkItem, engine: PlayEngine) -> Run | None:
        await sleep(HOP_S)
        run = engine.submit(item)
        if run is None:
            await sleep(HOP_S)
        return run

    async def _follow(
        self,
        caller: _Caller,
        gateway: _Gateway,
        item: WorkItem,
        engine: PlayEngine,
        run: Run,
        sent_s: float,
    ) -> None:
        state = gateway.board.state_by_id.get(engine.name)
        unread = 0 if state is None else state.unread_tokens
        while not run.tokens and not run.ended:
            with move_on_after(max(0.0, caller.first_by_s - current_time())) as scope:
                await run.wait_change()
            if scope.cancelled_caught:
                caller.note(PlayOutcome.GIVEN_UP, "the answer did not begin in time")
                return
        if run.tokens:
            caller.first_s = current_time() - caller.began_s
            seconds = current_time() - sent_s
            gateway.dispatcher.began(item.attempt_id, engine.name, seconds, unread)
        await run.wait_end()
        if run.cancelled:
            caller.note(PlayOutcome.FAILED, "the engine crashed")
        else:
            caller.note(PlayOutcome.SERVED, "")


def play(plan: PlayPlan, seed: int) -> PlayReport:
    """Play a plan once.

    :param seed: seed of arrivals, models asked for and places at the start
    """
    return run_virtually(_play, plan, seed)


async def _play(plan: PlayPlan, seed: int) -> PlayReport:
    async with create_task_group() as tasks:
        report = await _Play(plan, seed, tasks).run()
        tasks.cancel_scope.cancel()
    return report


def _make_spec(plan: PlayPlan) -> EngineSpec:
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
