"""
fake_worker
~~~~~~~~~~~

Model engines at their protocol for orders, with faults, and planners that order them.
"""

from random import Random
from typing import NamedTuple

from forwarding_builders import make_engine, make_entry

from kingcupdyke.forwarding.endpoint import EndpointReport, LoadedModel
from kingcupdyke.forwarding.enginestate import EngineState, OrderReply
from kingcupdyke.forwarding.peerstate import Demand
from kingcupdyke.forwarding.residencyplan import ResidencyPlan
from kingcupdyke.placement import OrderKind

__all__ = ["FakeWorker", "WorkerDay"]

ROUND_S = 0.05
#: More than an engine has places for.
ADAPTERS = ("a1", "a2", "a3", "a4", "a5", "a6")
REPORT_LAG_S = 0.1
#: Seconds without orders between two planners.
HANDOVER_S = 4.0


class Call(NamedTuple):
    """An order on its way, or the answer to it."""

    due_s: float
    seat: EngineState
    order: object
    expected: int
    started_ms: int
    is_answered: bool


class FakeWorker:
    """One engine; it carries out one order at a time and checks the expected count."""

    def __init__(self, name, spec, log):
        self.name = name
        self.spec = spec
        self.log = log
        self.started_ms = 1
        self.heartbeat = 0
        self.on_disk = set()
        self.reset()

    def reset(self):
        self.models = {}
        self.count = 0
        self.doing = None
        self.history = []

    def restart(self, now_s):
        self.started_ms += 1
        self.reset()
        self.note(now_s)

    def note(self, now_s):
        held = tuple(LoadedModel(name, 1, frozenset(each)) for name, each in self.models.items())
        report = EndpointReport(
            held, self.doing is not None, self.count, 0, 0, (), frozenset(), frozenset(self.on_disk)
        )
        self.history.append((now_s, report))

    def report(self, now_s):
        """:return: the report as of some moments ago"""
        old = [each for at_s, each in self.history if at_s <= now_s - REPORT_LAG_S]
        return old[-1] if old else self.history[0][1]

    def entry(self):
        self.heartbeat += 1
        held = tuple(LoadedModel(name, 1, frozenset(each)) for name, each in self.models.items())
        return make_entry(
            self.name,
            models=held,
            heartbeat=self.heartbeat,
            started_ms=self.started_ms,
            on_disk=frozenset(self.on_disk),
        )

    def advance(self, now_s):
        if self.doing is None or self.doing[0] > now_s:
            return
        _, order = self.doing
        self.doing = None
        if order.kind == OrderKind.LOAD:
            self.models[order.model] = set()
            self.on_disk.add(order.model)
            self.log.held.add(order.model)
        else:
            self.models.pop(order.model, None)
        self.note(now_s)

    def take(self, order, expected, now_s):
        """:return: the answer to an order"""
        if self.doing is not None or expected != self.count:
            return OrderReply.CONFLICT
        self.count += 1
        if order.kind == OrderKind.LOAD:
            is_cold = order.model not in self.on_disk
            if is_cold:
                self.log.loads.append(now_s)
            spec = self.spec.models_by_name[order.model]
            self.doing = (now_s + (spec.load_s if is_cold else spec.disk_load_s), order)
        elif order.kind == OrderKind.UNLOAD:
            self.doing = (now_s + 0.3, order)
        elif order.kind == OrderKind.LOAD_ADAPTER:
            self.models.get(order.model, set()).add(order.adapter)
        else:
            self.models.get(order.model, set()).discard(order.adapter)
        self.check()
        self.note(now_s)
        return OrderReply.ACCEPTED

    def check(self):
        coming = (
            [self.doing[1].model] if self.doing and self.doing[1].kind == OrderKind.LOAD else []
        )
        used = sum(self.spec.models_by_name[name].weights_bytes for name in [*self.models, *coming])
        adapters = [(name, each) for name, held in self.models.items() for each in held]
        used += sum(self.spec.models_by_name[name].adapter_bytes for name, _ in adapters)
        if used > self.spec.memory_bytes or len(adapters) > self.spec.adapter_slots:
            self.log.overfull.append((self.name, sorted(self.models), coming, adapters))


class WorkerDay:
    """Engines, one planner after the other, and faults by a seed."""

    def __init__(self, engines, sizes, seed):
        self.rng = Random(seed)
        self.spec = make_engine(sizes, adapter_slots=3)
        self.held, self.loads, self.overfull, self.asked = set(), [], [], set()
        self.workers = {f"e{n}": FakeWorker(f"e{n}", self.spec, self) for n in range(engines)}
        for each in self.workers.values():
            each.note(0.0)
        self.calls = []
        self.late = []
        self.demands = []
        self.begin_term()

    def begin_term(self):
        self.plan = ResidencyPlan("s")
        self.seats = {name: EngineState(each.entry()) for name, each in self.workers.items()}

    def run(self, length_s):
        rng = self.rng
        orders_from_s = 0.0
        now_s = 0.0
        while now_s < length_s:
            now_s += ROUND_S
            for worker in self.workers.values():
                worker.advance(now_s)
                if rng.random() < 0.05:
                    self.seats[worker.name].observe_entry(worker.entry())
                if rng.random() < 0.0008:
                    worker.restart(now_s)
            if rng.random() < 0.05:
                self.change_demand()
            if rng.random() < 0.002:
                orders_from_s = now_s + HANDOVER_S
                self.begin_term()
            self.deliver(now_s)
            if now_s >= orders_from_s:
                self.round(now_s)

    def change_demand(self):
        names = list(self.spec.models_by_name)
        self.demands = []
        for name in self.rng.sample(names, min(4, len(names))):
            adapter = self.rng.choice(("", "", *ADAPTERS))
            rate = self.rng.choice((0.0, 500.0, 9000.0))
            self.demands.append(Demand(name, adapter, self.rng.randint(0, 3), rate))

    def round(self, now_s):
        for name, seat in self.seats.items():
            worker = self.workers[name]
            if seat.wants_report(now_s) and self.rng.random() < 0.9:
                seat.observe_report(worker.report(now_s), now_s)
            again = seat.wants_resend(now_s)
            if again is not None:
                seat.begin(again, now_s, 1.0)
                self.send(seat, again, now_s)
        self.asked |= {each.model for each in self.demands if each.waiting}
        planned = self.plan.plan(self.spec, self.seats.values(), self.demands, 20_000.0, now_s)
        for timed in planned:
            seat = self.seats[timed.order.endpoint]
            seat.begin(timed.order, now_s, timed.expected_s)
            self.send(seat, timed.order, now_s)

    def send(self, seat, order, now_s):
        worker = self.workers[seat.entry.endpoint]
        fate = self.rng.random()
        late_s = self.rng.uniform(2, 12) if fate < 0.1 else 0.02
        is_answered = fate >= 0.15
        call = Call(now_s + late_s, seat, order, seat.order_count, worker.started_ms, is_answered)
        self.calls.append(call)
        if not is_answered:
            self.late.append((now_s + 1.0, seat))

    def deliver(self, now_s):
        for call in [each for each in self.calls if each.due_s <= now_s]:
            self.calls.remove(call)
            worker = self.workers[call.seat.entry.endpoint]
            if worker.started_ms != call.started_ms:
                reply = OrderReply.REFUSED
            else:
                reply = worker.take(call.order, call.expected, now_s)
            if call.is_answered:
                call.seat.answered(reply, now_s)
        for due in [each for each in self.late if each[0] <= now_s]:
            self.late.remove(due)
            due[1].answered(OrderReply.UNKNOWN, now_s)
