"""
residencyplan_steps
~~~~~~~~~~~~~~~~~~~

Steps for the plan of what engines hold.
"""

from behave import given, then, when
from forwarding_builders import make_engine, make_entry, make_held

from kingcupdyke.forwarding.endpoint import EndpointReport
from kingcupdyke.forwarding.enginestate import EngineState, OrderReply
from kingcupdyke.forwarding.peerstate import Demand
from kingcupdyke.forwarding.residencyplan import ResidencyPlan
from kingcupdyke.placement import Order, OrderKind

TOKENS_PER_S = 20_000.0


def make_seat(text):
    """:return: a seat of a text such as ``e1=m1:a1,m2/m3!busy``, disk copies after the slash"""
    name, _, held = text.partition("=")
    held, _, mark = held.partition("!")
    held, _, on_disk = held.partition("/")
    models = make_held(held.replace(":", "+").replace(",", " "))
    entry = make_entry(
        name,
        models=models,
        is_leaving=mark == "leaving",
        on_disk=frozenset(filter(None, [on_disk])),
    )
    seat = EngineState(entry)
    report = EndpointReport(models, mark == "busy", 0, 0, 0, (), frozenset(), frozenset())
    if mark != "new":
        seat.observe_report(report, 0.0)
    seat.is_reachable = mark != "unreachable"
    return seat


@given('residencyplan: engines "{engines}" of {memory:d} GB with models of "{sizes}" GB')
def make_seats(context, engines, memory, sizes):
    context.engine = make_engine(tuple(int(each) for each in sizes.split()), memory_gb=memory)
    context.seats = {}
    for text in engines.replace("+e", " e").split():
        seat = make_seat(text)
        context.seats[seat.entry.endpoint] = seat
    context.plan = ResidencyPlan("service")
    context.now_s = 0.0


@given("residencyplan: the models have the adapters a1 to a3, and engines 4 places")
def name_adapters(context):
    models = {
        name: spec._replace(adapters=("a1", "a2", "a3"))
        for name, spec in context.engine.models_by_name.items()
    }
    context.engine = context.engine._replace(models_by_name=models, adapter_slots=4)


@given("residencyplan: the engine e1 carries out an order for {seconds:g} s more")
def occupy_for(context, seconds):
    seat = context.seats["e1"]
    # The next look at the demand is one second later.
    seat.begin(Order("o1", "e1", OrderKind.LOAD, "m2", ""), context.now_s, seconds + 1.0)
    seat.answered(OrderReply.ACCEPTED, context.now_s)


@when('residencyplan: "{demand}" is asked for')
def ask(context, demand):
    demands = []
    for text in demand.split("; "):
        replica, waiting, rate = text.split()
        model, _, adapter = replica.partition("+")
        demands.append(Demand(model, adapter, int(waiting), float(rate)))
    context.now_s += 1.0
    seats = context.seats.values()
    context.orders = context.plan.plan(context.engine, seats, demands, TOKENS_PER_S, context.now_s)


@when("residencyplan: the orders are carried out")
def carry_out(context):
    for timed in context.orders:
        order = timed.order
        seat = context.seats[order.endpoint]
        if order.kind == OrderKind.UNLOAD:
            del seat.models_by_name[order.model]


@when("residencyplan: the engine e1 goes")
def remove_engine(context):
    del context.seats["e1"]


@when("residencyplan: the engine e1 falls silent")
def silence_engine(context):
    context.seats["e1"].is_reachable = False


@when("residencyplan: the engine e1 is busy for 2 s")
def occupy_engine(context):
    context.seats["e1"].is_busy = True
    context.now_s += 2.0


@then('residencyplan: the orders are "{orders}"')
def check_orders(context, orders):
    found = []
    for each in (timed.order for timed in context.orders):
        replica = f"{each.model}+{each.adapter}" if each.adapter else each.model
        found.append(f"{each.kind} {replica} {each.endpoint}")
    assert "; ".join(found) == orders, found


@then('residencyplan: the orders are ""')
def check_no_orders(context):
    assert context.orders == [], context.orders
