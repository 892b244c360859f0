"""
seat_steps
~~~~~~~~~~

Steps for a planner's seats at engines.
"""

from behave import then, when
from fake_worker import WorkerDay
from forwarding_builders import make_entry, make_held

from kingcupdyke.forwarding.endpoint import EndpointReport
from kingcupdyke.forwarding.enginestate import EngineState, OrderReply
from kingcupdyke.placement import Order, OrderKind


def read_held(text):
    return () if text == "-" else make_held(text.replace(",", " "))


class SeatStory:
    """A seat, the time, and what happens to them."""

    def __init__(self):
        self.seat = EngineState(make_entry("e1", models=make_held("m1+a1")))
        self.now_s = 0.0

    def run(self, events):
        for event in filter(None, (each.strip() for each in events.split(";"))):
            self.now_s += 1.0
            word, *rest = event.split()
            getattr(self, f"do_{word}")(*rest)

    def do_report(self, count, held, is_busy=False):
        models = read_held(held)
        report = EndpointReport(models, is_busy, int(count), 0, 0, (), frozenset(), frozenset())
        self.seat.observe_report(report, self.now_s)

    def do_busy(self, count, held):
        self.do_report(count, held, True)

    def do_mute(self):
        self.seat.report_failed(self.now_s)

    def do_entry(self, heartbeat, held):
        self.seat.observe_entry(make_entry("e1", heartbeat=int(heartbeat), models=read_held(held)))

    def do_restart(self, heartbeat, held):
        entry = make_entry("e1", heartbeat=int(heartbeat), started_ms=2000, models=read_held(held))
        self.seat.observe_entry(entry)

    def do_load(self, model):
        self.begin(OrderKind.LOAD, model)

    def do_longload(self, model):
        self.seat.begin(Order("o1", "e1", OrderKind.LOAD, model, ""), self.now_s, 9.0)

    def do_unload(self, model):
        self.begin(OrderKind.UNLOAD, model)

    def do_adapter(self, adapter):
        self.begin(OrderKind.LOAD_ADAPTER, "m1", adapter)

    def begin(self, kind, model, adapter=""):
        assert self.seat.takes_orders
        self.seat.begin(Order("o1", "e1", kind, model, adapter), self.now_s, 1.0)

    def do_again(self):
        order = self.seat.wants_resend(self.now_s)
        assert order is not None
        self.seat.begin(order, self.now_s, 1.0)

    def do_accepted(self):
        self.seat.answered(OrderReply.ACCEPTED, self.now_s)

    def do_conflict(self):
        self.seat.answered(OrderReply.CONFLICT, self.now_s)

    def do_refused(self):
        self.seat.answered(OrderReply.REFUSED, self.now_s)

    def do_unknown(self):
        self.seat.answered(OrderReply.UNKNOWN, self.now_s)


@when('seat: "{events}" happens to an engine that holds "m1+a1"')
def run_events(context, events):
    context.story = SeatStory()
    context.story.run(events)


@when('seat: "" happens to an engine that holds "m1+a1"')
def run_nothing(context):
    context.story = SeatStory()


@then("seat: in the next 3 s its report is asked for {times:d} times")
def count_reports(context, times):
    story = context.story
    asked = [story.seat.wants_report(story.now_s + step * 0.05) for step in range(60)]
    assert sum(asked) == times, sum(asked)


@then('seat: it {takes} orders and holds "{held}" after {count:d} orders')
def check_seat(context, takes, held, count):
    seat = context.story.seat
    assert seat.takes_orders == (takes == "takes"), vars(seat)
    names = set()
    for model in seat.models_by_name.values():
        names |= {(model.name, "")} | {(model.name, each) for each in model.adapters}
    names |= seat.ordered_adapters
    wanted = {(model.name, "") for model in read_held(held)}
    wanted |= {(model.name, each) for model in read_held(held) for each in model.adapters}
    assert names == wanted, names
    assert seat.order_count == count, seat.order_count


@when(
    'seat: {engines:d} engines of 200 GB with models of "{sizes}" GB live for {length:d} s under '
    "faults, with seed {seed:d}"
)
def run_day(context, engines, sizes, length, seed):
    context.day = WorkerDay(engines, tuple(int(each) for each in sizes.split()), seed)
    context.day.run(length)


@then("seat: no engine was ever told to hold more than its memory and adapter places")
def check_memory(context):
    assert not context.day.overfull, context.day.overfull[0]
    assert context.day.held


@then("seat: in no 5 s did more loads from the weight store begin than its rate allows")
def check_rate(context):
    loads = context.day.loads
    most = context.day.spec.loads_per_s * 5 * 1.1 + 3
    for start_s in loads:
        count = sum(start_s <= each <= start_s + 5 for each in loads)
        assert count <= most, (start_s, count)


@then("seat: each model that was asked for was held at some time")
def check_held(context):
    day = context.day
    assert day.asked <= day.held, day.asked - day.held
