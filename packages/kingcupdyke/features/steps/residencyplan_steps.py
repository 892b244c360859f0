"""
residencyplan_steps
~~~~~~~~~~~~~~~~~~~

Steps for planning which models and adapters engines hold.
"""

from behave import given, then, when
from forwarding_builders import make_engine_spec, make_entry, make_held

from kingcupdyke.forwarding.endpoint import EndpointReport
from kingcupdyke.forwarding.enginestate import EngineState, OrderReply
from kingcupdyke.forwarding.peerstate import Demand
from kingcupdyke.forwarding.pinneddemand import PinnedDemand
from kingcupdyke.forwarding.residencyplan import ResidencyPlan
from kingcupdyke.placement import Order, OrderKind

TOKENS_PER_S = 20_000.0


def make_engine_state(text):
    """:return: an engine from text such as ``e1=m1:a1,m2/m3!busy``, disk copies after the slash"""
    name, _, held = text.partition("=")
    held, _, mark = held.partition("!")
    held, _, on_disk = held.partition("/")
    models = make_held(held.replace(":", "+").replace(",", " "))
    entry = make_entry(
        name,
        models=models,
        is_leaving=mark == "draining",
        on_disk=frozenset(filter(None, [on_disk])),
    )
    engine = EngineState(entry)
    report = EndpointReport(models, mark == "busy", 0, 0, 0, (), frozenset(), frozenset())
    state, _, backoff_s = mark.partition("-")
    if state not in ("new", "silent"):
        engine.observe_report(report, 0.0)
    engine.is_reachable = mark != "unreachable"
    engine.backoff_s = float(backoff_s or 0.0)
    return engine


@given('residencyplan: engines "{names}" of {memory:d} GB with models of "{sizes}" GB')
def make_engines(context, names, memory, sizes):
    context.engine_spec = make_engine_spec(
        tuple(int(each) for each in sizes.split()), memory_gb=memory
    )
    context.engines = {}
    for text in names.replace("+e", " e").split():
        engine = make_engine_state(text)
        context.engines[engine.entry.endpoint] = engine
    context.plan = ResidencyPlan("service")
    context.now_s = 0.0


@given("residencyplan: the models have the adapters a1 to a3, and engines 4 slots")
def name_adapters(context):
    models = {
        name: spec._replace(adapters=("a1", "a2", "a3"))
        for name, spec in context.engine_spec.models_by_name.items()
    }
    context.engine_spec = context.engine_spec._replace(models_by_name=models, adapter_slots=4)


@given("residencyplan: the engine e1 executes an order for {seconds:g} s more")
def occupy_for(context, seconds):
    engine = context.engines["e1"]
    # The next demand step advances the time by one second, so the order ends one second later.
    engine.begin(Order("o1", "e1", OrderKind.LOAD, "m2", ""), context.now_s, seconds + 1.0)
    engine.answered(OrderReply.ACCEPTED, context.now_s)


@when('residencyplan: "{demand}" is requested')
def request(context, demand):
    demands = []
    for text in demand.split("; "):
        replica, waiting, rate = text.split()
        model, _, adapter = replica.partition("+")
        demands.append(Demand(model, adapter, int(waiting), float(rate)))
    context.now_s += 1.0
    engines = context.engines.values()
    context.orders = context.plan.plan(
        context.engine_spec, engines, demands, TOKENS_PER_S, context.now_s
    )


@given('residencyplan: the engines "{names}" run another software version')
def set_version(context, names):
    for name in names.split():
        engine = context.engines[name]
        engine.entry = engine.entry._replace(software_version="v2")


@when('residencyplan: streams of that version wait for "{replicas}"')
def wait_pinned(context, replicas):
    pinned = []
    for text in replicas.split("; "):
        replica, waiting = text.split()
        model, _, adapter = replica.partition("+")
        pinned.append(PinnedDemand("service", model, adapter, "v2", int(waiting)))
    context.now_s += 1.0
    context.orders = context.plan.plan(
        context.engine_spec, context.engines.values(), [], TOKENS_PER_S, context.now_s, pinned
    )


@when("residencyplan: the orders are executed")
def execute(context):
    for timed in context.orders:
        order = timed.order
        engine = context.engines[order.endpoint]
        if order.kind == OrderKind.UNLOAD:
            del engine.models_by_name[order.model]


@when("residencyplan: the engine e1 is removed")
def remove_engine(context):
    del context.engines["e1"]


@when("residencyplan: the engine e1 becomes unreachable")
def make_unreachable(context):
    context.engines["e1"].is_reachable = False


@when("residencyplan: the engine e1 is busy for 2 s")
def occupy_engine(context):
    context.engines["e1"].is_busy = True
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
