"""
enginestate_steps
~~~~~~~~~~~~~~~~~

Steps for a planner's records of engines.
"""

from behave import then, when
from engine_simulation import EngineSimulation
from forwarding_builders import make_entry, make_held

from kingcupdyke.forwarding.endpoint import EndpointReport
from kingcupdyke.forwarding.enginestate import EngineState, OrderReply
from kingcupdyke.placement import Order, OrderKind


def read_held(text):
    return () if text == "-" else make_held(text.replace(",", " "))


class EngineStateScript:
    """The record of one engine and the time; runs scripts of events on them."""

    def __init__(self):
        self.engine = EngineState(make_entry("e1", models=make_held("m1+a1")))
        self.now_s = 0.0

    def run(self, events):
        for event in filter(None, (each.strip() for each in events.split(";"))):
            self.now_s += 1.0
            word, *rest = event.split()
            getattr(self, f"do_{word}")(*rest)

    def do_report(self, count, held, is_busy=False, started_ms=None):
        started_ms = self.engine.entry.started_ms if started_ms is None else started_ms
        models = read_held(held)
        report = EndpointReport(
            models, is_busy, int(count), 0, 0, (), frozenset(), frozenset(), started_ms
        )
        self.engine.observe_report(report, self.now_s)

    def do_busy(self, count, held):
        self.do_report(count, held, True)

    def do_former(self, count, held):
        self.do_report(count, held, started_ms=1000)

    def do_later(self, count, held):
        self.do_report(count, held, started_ms=2000)

    def do_unnamed(self, count, held):
        self.do_report(count, held, started_ms=0)

    def do_unanswered(self):
        self.engine.report_failed(self.now_s)

    def do_faultyreport(self, *waits):
        """Ask for the report at each time at which that is due; each answer is faulty.

        :param waits: expected seconds until the next request
        """
        for wait in waits:
            assert self.engine.begin_report_request(self.now_s)
            self.engine.report_failed(self.now_s, True)
            self.now_s += float(wait) - 0.01
            assert not self.engine.begin_report_request(self.now_s), wait
            self.now_s += 0.02

    def do_faulty(self, *waits):
        """Let the answers to an order be faulty.

        :param waits: expected seconds until it is sent again
        """
        for wait in waits:
            self.engine.answered(OrderReply.FAULTY, self.now_s)
            self.now_s += float(wait) - 0.01
            assert self.engine.get_order_to_resend(self.now_s) is None, wait
            self.now_s += 0.02
            self.engine.begin(self.engine.get_order_to_resend(self.now_s), self.now_s, 1.0)
        self.engine.answered(OrderReply.FAULTY, self.now_s)

    def do_entry(self, heartbeat, held):
        self.engine.observe_entry(
            make_entry("e1", heartbeat=int(heartbeat), models=read_held(held))
        )

    def do_restart(self, heartbeat, held):
        entry = make_entry("e1", heartbeat=int(heartbeat), started_ms=2000, models=read_held(held))
        self.engine.observe_entry(entry)

    def do_backoff(self):
        self.engine.backoff_s = 1.0

    def do_accept(self):
        self.engine.backoff_s = 0.0

    def do_resendnothing(self):
        assert self.engine.get_order_to_resend(self.now_s + 60.0) is None

    def do_leave(self):
        self.engine.observe_entry(self.engine.entry._replace(is_leaving=True))

    def do_load(self, model):
        self.begin(OrderKind.LOAD, model)

    def do_longload(self, model):
        self.engine.begin(Order("o1", "e1", OrderKind.LOAD, model, ""), self.now_s, 9.0)

    def do_unload(self, model):
        self.begin(OrderKind.UNLOAD, model)

    def do_adapter(self, adapter):
        self.begin(OrderKind.LOAD_ADAPTER, "m1", adapter)

    def begin(self, kind, model, adapter=""):
        assert self.engine.accepts_orders
        self.engine.begin(Order("o1", "e1", kind, model, adapter), self.now_s, 1.0)

    def do_resend(self):
        order = self.engine.get_order_to_resend(self.now_s)
        assert order is not None
        self.engine.begin(order, self.now_s, 1.0)

    def do_unloadadapter(self, adapter):
        self.begin(OrderKind.UNLOAD_ADAPTER, "m1", adapter)

    def do_holds(self):
        self.engine.answered(OrderReply.HOLDS, self.now_s)

    def do_accepted(self):
        self.engine.answered(OrderReply.ACCEPTED, self.now_s)

    def do_conflict(self):
        self.engine.answered(OrderReply.CONFLICT, self.now_s)

    def do_refused(self):
        self.engine.answered(OrderReply.REFUSED, self.now_s)

    def do_unknown(self):
        self.engine.answered(OrderReply.UNKNOWN, self.now_s)


@when('enginestate: "{events}" happens to an engine that holds "m1+a1"')
def run_events(context, events):
    context.script = EngineStateScript()
    context.script.run(events)


@when('enginestate: "" happens to an engine that holds "m1+a1"')
def run_nothing(context):
    context.script = EngineStateScript()


@then("enginestate: in the next 3 s its report is requested {times:d} times")
def count_reports(context, times):
    script = context.script
    requested = [
        script.engine.begin_report_request(script.now_s + step * 0.05) for step in range(60)
    ]
    assert sum(requested) == times, sum(requested)


@then('enginestate: it {accepts} orders and holds "{held}" after {count:d} orders')
def check_engine(context, accepts, held, count):
    engine = context.script.engine
    assert engine.accepts_orders == (accepts == "accepts"), vars(engine)
    names = set()
    for model in engine.models_by_name.values():
        names |= {(model.name, "")} | {(model.name, each) for each in model.adapters}
    names |= engine.ordered_adapters
    expected = {(model.name, "") for model in read_held(held)}
    expected |= {(model.name, each) for model in read_held(held) for each in model.adapters}
    assert names == expected, names
    assert engine.order_count == count, engine.order_count


@then("enginestate: the open order expects {count:d} orders")
def check_expected(context, count):
    engine = context.script.engine
    assert engine.open_order is not None
    assert engine.expected_count == count, engine.expected_count


@when(
    'enginestate: {engines:d} engines of 200 GB with models of "{sizes}" GB run for {length:d} s '
    "under faults, with seed {seed:d}"
)
def run_simulation(context, engines, sizes, length, seed):
    context.simulation = EngineSimulation(engines, tuple(int(each) for each in sizes.split()), seed)
    context.simulation.run(length)


@when(
    'enginestate: {engines:d} engines of 200 GB with models of "{sizes}" GB run for {length:d} s '
    "under faults and outages of their list, with seed {seed:d}"
)
def run_simulation_with_outages(context, engines, sizes, length, seed):
    sizes_gb = tuple(int(each) for each in sizes.split())
    context.simulation = EngineSimulation(engines, sizes_gb, seed, has_list_outages=True)
    context.simulation.run(length)


@then("enginestate: no engine was ever ordered to hold more than its memory and adapter slots")
def check_memory(context):
    assert not context.simulation.overfull, context.simulation.overfull[0]
    assert context.simulation.held


@then("enginestate: in no 5 s did more loads from the weight store begin than its rate allows")
def check_rate(context):
    loads = context.simulation.loads
    limit = context.simulation.spec.loads_per_s * 5 * 1.1 + 3
    for start_s in loads:
        count = sum(start_s <= each <= start_s + 5 for each in loads)
        assert count <= limit, (start_s, count)


@then("enginestate: each requested model was held at some time")
def check_held(context):
    simulation = context.simulation
    assert simulation.requested <= simulation.held, simulation.requested - simulation.held
