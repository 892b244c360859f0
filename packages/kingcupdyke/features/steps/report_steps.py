"""
report_steps
~~~~~~~~~~~~

Steps for load reports.
"""

from behave import then, when
from thundering_herd import ENDPOINTS, find_largest_share

from kingcupdyke.report import LoadTracker


@then(
    "the report simulation of {gateways:d} {router} routers, seed {seed:d}, is {relation} the bound"
)
def check_share(context, gateways, router, seed, relation):
    name, _, switched_off = router.partition(" without ")
    options = {switched_off: False} if switched_off == "two_choices" else {}
    correct = switched_off != "correction"
    share = find_largest_share(name, gateways, 0.5, options, correct, seed)
    assert (share <= 2 / len(ENDPOINTS)) == (relation == "below"), share


@when("the report tracker sends at {seconds} s and gets 3 running, 1 waiting at {at:g} s")
def receive_report(context, seconds, at):
    context.tracker = LoadTracker(correct=False)
    for second in seconds.split():
        context.tracker.estimate_load("e1", float(second))
        context.tracker.dispatched("e1", second)
    context.tracker.record_report("e1", 3, 1, 0.01, at)


@then("the report tracker shows 3 running, {unreported:d} unreported and age {age:g} at second 3")
def check_load(context, unreported, age):
    load = context.tracker.estimate_load("e1", 3.0)
    assert load == (3, 1, age, unreported, 0.01), load


@then("the report tracker shows none unreported once the request ended, and nothing once e1 left")
def check_end(context):
    context.tracker.finished("e1", "1.9")
    assert context.tracker.estimate_load("e1", 3.0).dispatched_since == 0
    context.tracker.forget("e1")
    assert context.tracker.estimate_load("e1", 3.0) == (0, 0, 0.0, 0, 0.0)
