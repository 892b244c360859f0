"""
placements_steps
~~~~~~~~~~~~~~~~

Steps for placement policies.
"""

from collections import Counter

from behave import given, then, when
from builders import make_model, make_rules
from fleet_fake import FleetFake, RegionPlanners

from kingcupdyke.placements import get_placement
from kingcupdyke.placements.share import TURN_S, AdapterShare
from kingcupdyke.rule import AdapterRule


def read_option(text):
    name, value = text.split("=")
    if name in ("loads_at_once", "adapter_knee"):
        return name, int(value)
    return name, value if name == "store_region" else float(value)


@given("a placement fleet of {endpoints}")
def give_endpoints(context, endpoints):
    parts = [each.split("/") for each in endpoints.split()]
    context.endpoints = [(name, region, centre) for region, centre, name in parts]


@given("{policy} placement of {models:d} models with {replicas:d} replicas")
def make_fleet(context, policy, models, replicas):
    make_fleet_with_adapters(context, policy, models, replicas, 0)


@given(
    "{policy} placement of {models:d} models with {replicas:d} replicas and {adapters:d} adapters"
)
def make_fleet_with_adapters(context, policy, models, replicas, adapters):
    name, *options = policy.split()
    names = [f"m{number}" for number in range(models)]
    rules = make_rules(
        [make_model(each, replicas=replicas) for each in names],
        [AdapterRule(f"a{at}", names[at % models], 1, ("*",)) for at in range(adapters)],
    )
    placement = get_placement(name, **dict(map(read_option, options)))
    capacity = 60 if adapters else 20
    context.fleet = FleetFake(rules, placement, context.endpoints, capacity)


@given("the placement regions {regions} have a planner each")
def make_planners(context, regions):
    planners = {
        each: get_placement("greedy", planner=each, region=each, lean=0.0, loads_at_once=50)
        for each in regions.split(",")
    }
    context.fleet.placement = RegionPlanners(planners)


@given("the placement fleet holds {held}")
def place_models(context, held):
    for each in held.split():
        endpoint, models = each.split("=")
        context.fleet.place(endpoint, *models.split(","))


@when("the placement runs {rounds:d} rounds")
def run_rounds(context, rounds):
    context.fleet.run(rounds)


@when("the placement runs {rounds:d} rounds that lose 4 in 10 orders")
def run_lossy(context, rounds):
    context.fleet.loss = 0.4
    context.fleet.run(rounds)


@when("the placement runs {rounds:d} rounds with {demand:d} requests a second for {models}")
def run_demand(context, rounds, demand, models):
    parts = [each.split(" in ") for each in models.split(", ")]
    keys = [(model, region) for names, region in parts for model in names.split(" and ")]
    context.fleet.run(rounds, {key: float(demand) for key in keys})


@when("the placement runs {rounds:d} rounds and another planner {more:d} more")
def run_two_planners(context, rounds, more):
    context.fleet.run(rounds)
    context.fleet.placement = get_placement("static", planner="second")
    context.fleet.run(more)


@when(
    "the placement demand alternates tenfold between m0 and m1 every {period:d} rounds "
    "for 600 rounds"
)
def run_alternating(context, period):
    for turn in range(600 // period):
        first, second = (10.0, 1.0) if turn % 2 else (1.0, 10.0)
        context.fleet.run(period, {("m0", "north"): first, ("m1", "north"): second})


@when("placement endpoint {endpoint:w} drains and {rounds:d} rounds run")
def drain(context, endpoint, rounds):
    inventories = context.fleet.inventories
    inventories[endpoint] = inventories[endpoint]._replace(leaving=True)
    context.fleet.run(rounds)


@then("placement holds each model on {replicas:d} endpoints in as many data centres")
def check_spread(context, replicas):
    centres = {name: centre for name, _, centre in context.endpoints}
    for model in context.fleet.rules.models_by_name:
        holders = context.fleet.holders(model)
        assert len(holders) == replicas, (model, holders)
        assert len({centres[each] for each in holders}) == replicas, (model, holders)


@then("placement began at most {rate:d} load a second and had at most {most:d} in flight")
def check_store(context, rate, most):
    times = Counter(time_s for time_s, _ in context.fleet.loads)
    assert max(times.values()) <= rate, times
    assert 1 <= context.fleet.max_loads <= most, context.fleet.max_loads


@then("placement never overcommitted nor fell below a rule")
def check_problems(context):
    assert not context.fleet.problems, context.fleet.problems


@then("placement holds each of {models:d} models on at least one endpoint")
def check_reachable(context, models):
    holders = [context.fleet.holders(each) for each in context.fleet.rules.models_by_name]
    assert len(holders) == models and all(holders), holders


@then("placement loaded {least:d} to {most:d} times, at most {burst:d} in any 4 rounds")
def check_rate(context, least, most, burst):
    check_loads(context, least, most)
    times = [time_s for time_s, _ in context.fleet.loads]
    counts = [sum(start <= each < start + 4 for each in times) for start in times]
    assert max(counts) <= burst, times


@then("placement loaded {least:d} to {most:d} times and left {unmet:g} of the demand at most")
def check_following(context, least, most, unmet):
    check_loads(context, least, most)
    assert context.fleet.unmet <= unmet * context.fleet.requested, context.fleet.unmet


@then("placement loaded {least:d} to {most:d} times")
def check_loads(context, least, most):
    assert least <= len(context.fleet.loads) <= most, len(context.fleet.loads)


@then("placement loaded {loads:d} times, {crossings:d} of them across the link")
def check_moves(context, loads, crossings):
    crossed = [each for each in context.fleet.crossings if each[1] == "south"]
    assert (len(context.fleet.loads), len(crossed)) == (loads, crossings), crossed


@then(
    "placement holds {models:d} models and {copies:d} copies of adapters after {unloads:d} unloads"
)
def check_full(context, models, copies, unloads):
    inventories = context.fleet.inventories.values()
    resident = set().union(*(each.models for each in inventories))
    assert len(resident) == models, resident
    assert sum(len(each.adapters) for each in inventories) == copies, inventories
    assert context.fleet.unloads == unloads, context.fleet.unloads


@then(
    "placement holds {model:w} on {count:d} endpoints in {region} and loaded it over the link once"
)
def check_copies(context, model, count, region):
    inventories = context.fleet.inventories
    holders = context.fleet.holders(model)
    assert sum(inventories[each].region == region for each in holders) == count, holders
    assert context.fleet.crossings.count((model, region)) == 1, context.fleet.crossings


@then("placement unloaded {unloads:d} times")
def check_unloads(context, unloads):
    assert context.fleet.unloads == unloads, context.fleet.orders


@then("placement holds m0 and m1 on one other endpoint each and sent no order to e1")
def check_left(context):
    for model in ("m0", "m1"):
        assert len(set(context.fleet.holders(model)) - {"e1"}) == 1
    assert all(each.endpoint != "e1" for each in context.fleet.orders)


@then("placement holds {count:d} model on each endpoint")
def check_even(context, count):
    counts = [len(each.models) for each in context.fleet.inventories.values()]
    assert set(counts) == {count}, counts


@then("placement holds each model on {replicas:d} other endpoints and each adapter on at least one")
def check_others(context, replicas):
    others = [each for each in context.fleet.inventories.values() if not each.leaving]
    for model in context.fleet.rules.models_by_name:
        assert sum(model in each.models for each in others) >= replicas, model
    for adapter in context.fleet.rules.adapters_by_name:
        assert any(adapter in each.adapters for each in others), adapter


@then("placement holds each adapter on {count:d} holders of its model")
def check_adapters(context, count):
    for rule in context.fleet.rules.adapters_by_name.values():
        inventories = context.fleet.inventories.values()
        holders = [each for each in inventories if rule.name in each.adapters]
        assert len(holders) == count, (rule, holders)
        assert all(rule.model in each.models for each in holders), (rule, holders)


@then(
    "placement had over {some:d} and under {knee:d} adapter loads in flight, "
    "at most {share:d} at one endpoint"
)
def check_knee(context, some, knee, share):
    assert some < context.fleet.max_adapter_loads < knee, context.fleet.max_adapter_loads
    assert context.fleet.max_adapter_loads_at_one <= share


@then(
    "placement shares of {endpoints:d} endpoints add up to {least:d} to {most:d} "
    "below a saturation point of {knee:d}"
)
def check_shares(context, endpoints, least, most, knee):
    shares = [AdapterShare(knee, endpoints, index) for index in range(endpoints)]
    turns = range(-(-endpoints // (knee - 1)))
    totals = [sum(each.get_limit(turn * TURN_S + 0.001) for each in shares) for turn in turns]
    assert least <= max(totals) <= most < knee, totals
    late = [sum(each.get_limit(turn * TURN_S + 0.049) for each in shares) for turn in turns]
    assert max(late) == (0 if endpoints >= knee else max(totals)), late
