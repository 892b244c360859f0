"""
report_steps
~~~~~~~~~~~~

Steps for load reports.
"""

from behave import then, when
from herd import ENDPOINTS, find_largest_share

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


@when("the report tracker is sent to at seconds {seconds} and hears 3 and 1 at second {heard:g}")
def hear_report(context, seconds, heard):
    context.tracker = LoadTracker(correct=False)
    for second in seconds.split():
        context.tracker.parts("e1", float(second))
        context.tracker.dispatched("e1", second)
    context.tracker.heard("e1", 3, 1, 0.01, heard)


@then("the report tracker shows 3 running, {unseen:d} unseen and age {age:g} at second 3")
def check_parts(context, unseen, age):
    parts = context.tracker.parts("e1", 3.0)
    assert parts == (3, 1, age, unseen, 0.01), parts


@then("the report tracker shows nothing unseen once the request ended, and nothing once e1 left")
def check_end(context):
    context.tracker.finished("e1", "1.9")
    assert context.tracker.parts("e1", 3.0).dispatched_since == 0
    context.tracker.forget("e1")
    assert context.tracker.parts("e1", 3.0) == (0, 0, 0.0, 0, 0.0)
