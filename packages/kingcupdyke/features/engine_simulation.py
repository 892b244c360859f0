"""
engine_simulation
~~~~~~~~~~~~~~~~~

Simulated model engines that execute a planner's orders, with faults.
"""

from random import Random
from typing import NamedTuple

from forwarding_builders import make_engine_spec, make_entry

from kingcupdyke.forwarding.endpoint import EndpointReport, LoadedModel
from kingcupdyke.forwarding.enginestate import EngineState, OrderReply
from kingcupdyke.forwarding.peerstate import Demand
from kingcupdyke.forwarding.residencyplan import ResidencyPlan
from kingcupdyke.placement import OrderKind

__all__ = ["FakeEngine", "EngineSimulation"]

ROUND_S = 0.05
#: More adapters than an engine has slots for.
ADAPTERS = ("a1", "a2", "a3", "a4", "a5", "a6")
REPORT_LAG_S = 0.1
#: Seconds without orders between the terms of two planners.
HANDOVER_S = 4.0
#: Probability with which an outage of the list begins in a round, and its length in seconds.
LIST_OUTAGE_PROBABILITY = 0.004
LIST_OUTAGE_S = (1.0, 8.0)


class Call(NamedTuple):
    """An order in flight to an engine."""

    arrival_s: float
    engine: EngineState
    order: object
    expected: int
    started_ms: int
    is_answered: bool


class FakeEngine:
    """One engine; it executes one order at a time and checks the expected number of orders."""

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
        self.executing = None
        self.history = []

    def restart(self, now_s):
        self.started_ms += 1
        self.reset()
        self.record_report(now_s)

    def record_report(self, now_s):
        held = tuple(LoadedModel(name, 1, frozenset(each)) for name, each in self.models.items())
        report = EndpointReport(
            held,
            self.executing is not None,
            self.count,
            0,
            0,
            (),
            frozenset(),
            frozenset(self.on_disk),
        )
        self.history.append((now_s, report))

    def report(self, now_s):
        """:return: the latest report that is at least REPORT_LAG_S old"""
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
        if self.executing is None or self.executing[0] > now_s:
            return
        _, order = self.executing
        self.executing = None
        if order.kind == OrderKind.LOAD:
            self.models[order.model] = set()
            self.on_disk.add(order.model)
            self.log.held.add(order.model)
        else:
            self.models.pop(order.model, None)
        self.record_report(now_s)

    def take(self, order, expected, now_s):
        """:return: the answer to an order"""
        if self.executing is not None or expected != self.count:
            return OrderReply.CONFLICT
        if order.kind == OrderKind.LOAD and order.model in self.models:
            return OrderReply.HOLDS
        self.count += 1
        if order.kind == OrderKind.LOAD:
            is_cold = order.model not in self.on_disk
            if is_cold:
                self.log.loads.append(now_s)
            spec = self.spec.models_by_name[order.model]
            self.executing = (now_s + (spec.load_s if is_cold else spec.disk_load_s), order)
        elif order.kind == OrderKind.UNLOAD:
            self.executing = (now_s + 0.3, order)
        elif order.kind == OrderKind.LOAD_ADAPTER:
            self.models.get(order.model, set()).add(order.adapter)
        else:
            self.models.get(order.model, set()).discard(order.adapter)
        self.check()
        self.record_report(now_s)
        is_complete = order.kind == OrderKind.UNLOAD_ADAPTER
        return OrderReply.HOLDS if is_complete else OrderReply.ACCEPTED

    def check(self):
        loading = (
            [self.executing[1].model]
            if self.executing and self.executing[1].kind == OrderKind.LOAD
            else []
        )
        used = sum(
            self.spec.models_by_name[name].weights_bytes for name in [*self.models, *loading]
        )
        adapters = [(name, each) for name, held in self.models.items() for each in held]
        used += sum(self.spec.models_by_name[name].adapter_bytes for name, _ in adapters)
        if used > self.spec.memory_bytes or len(adapters) > self.spec.adapter_slots:
            self.log.overfull.append((self.name, sorted(self.models), loading, adapters))


class EngineSimulation:
    """Engines, consecutive planners, and random faults that depend on a seed.

    :param has_list_outages: whether the list of engines fails at times; an entry that was written
        before an outage then comes after it
    """

    def __init__(self, engines, sizes, seed, has_list_outages=False):
        self.rng = Random(seed)
        self.has_list_outages = has_list_outages
        self.list_outage_until_s = 0.0
        #: Entries that were written before the outage of the list and are read after it.
        self.late_entries = []
        self.spec = make_engine_spec(sizes, adapter_slots=3)
        self.held, self.loads, self.overfull, self.requested = set(), [], [], set()
        self.engine_by_name = {
            f"e{n}": FakeEngine(f"e{n}", self.spec, self) for n in range(engines)
        }
        for each in self.engine_by_name.values():
            each.record_report(0.0)
        self.calls = []
        self.connection_closed = []
        self.demands = []
        self.begin_term()

    def begin_term(self):
        self.plan = ResidencyPlan("s")
        self.engine_state_by_name = {
            name: EngineState(each.entry()) for name, each in self.engine_by_name.items()
        }

    def run(self, length_s):
        rng = self.rng
        orders_from_s = 0.0
        now_s = 0.0
        while now_s < length_s:
            now_s += ROUND_S
            for fake_engine in self.engine_by_name.values():
                fake_engine.advance(now_s)
                if rng.random() < 0.05 and not self.late_entries:
                    self.engine_state_by_name[fake_engine.name].observe_entry(fake_engine.entry())
                if rng.random() < 0.0008:
                    fake_engine.restart(now_s)
            if self.has_list_outages:
                self.play_list_outages(now_s)
            if rng.random() < 0.05:
                self.change_demand()
            if rng.random() < 0.002:
                orders_from_s = now_s + HANDOVER_S
                self.begin_term()
            self.deliver(now_s)
            if now_s >= orders_from_s:
                self.run_round(now_s)

    def play_list_outages(self, now_s):
        if self.late_entries and now_s >= self.list_outage_until_s:
            for entry in self.late_entries:
                self.engine_state_by_name[entry.endpoint].observe_entry(entry)
            self.late_entries.clear()
        elif not self.late_entries and self.rng.random() < LIST_OUTAGE_PROBABILITY:
            self.list_outage_until_s = now_s + self.rng.uniform(*LIST_OUTAGE_S)
            self.late_entries = [each.entry() for each in self.engine_by_name.values()]

    def change_demand(self):
        names = list(self.spec.models_by_name)
        self.demands = []
        for name in self.rng.sample(names, min(4, len(names))):
            adapter = self.rng.choice(("", "", *ADAPTERS))
            rate = self.rng.choice((0.0, 500.0, 9000.0))
            self.demands.append(Demand(name, adapter, self.rng.randint(0, 3), rate))

    def run_round(self, now_s):
        for name, engine in self.engine_state_by_name.items():
            fake_engine = self.engine_by_name[name]
            if engine.begin_report_request(now_s) and self.rng.random() < 0.9:
                engine.observe_report(fake_engine.report(now_s), now_s)
            resent = engine.get_order_to_resend(now_s)
            if resent is not None:
                engine.begin(resent, now_s, 1.0)
                self.send(engine, resent, now_s)
        self.requested |= {each.model for each in self.demands if each.waiting}
        orders = self.plan.plan(
            self.spec, self.engine_state_by_name.values(), self.demands, 20_000.0, now_s
        )
        for timed in orders:
            engine = self.engine_state_by_name[timed.order.endpoint]
            engine.begin(timed.order, now_s, timed.expected_s)
            self.send(engine, timed.order, now_s)

    def send(self, engine, order, now_s):
        fake_engine = self.engine_by_name[engine.entry.endpoint]
        draw = self.rng.random()
        delay_s = self.rng.uniform(2, 12) if draw < 0.1 else 0.02
        is_answered = draw >= 0.15
        call = Call(
            now_s + delay_s,
            engine,
            order,
            engine.expected_count,
            fake_engine.started_ms,
            is_answered,
        )
        self.calls.append(call)
        if not is_answered:
            self.connection_closed.append((now_s + 1.0, engine))

    def deliver(self, now_s):
        for call in [each for each in self.calls if each.arrival_s <= now_s]:
            self.calls.remove(call)
            fake_engine = self.engine_by_name[call.engine.entry.endpoint]
            if fake_engine.started_ms != call.started_ms:
                reply = OrderReply.REFUSED
            else:
                reply = fake_engine.take(call.order, call.expected, now_s)
            if call.is_answered:
                call.engine.answered(reply, now_s)
        for expired in [each for each in self.connection_closed if each[0] <= now_s]:
            self.connection_closed.remove(expired)
            expired[1].answered(OrderReply.UNKNOWN, now_s)
