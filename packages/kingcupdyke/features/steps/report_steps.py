"""
report_steps
~~~~~~~~~~~~

Steps for load reports.
"""

from behave import given, then, when
from herd import ENDPOINTS, find_largest_share

from kingcupdyke.report import LoadTracker


@when(
    "the report module's trackers of {gateways:d} gateways feed the {router} router, "
    "with seed {seed:d}"
)
def run_herd(context, gateways, router, seed):
    name, _, switched_off = router.partition(" without ")
    options = {switched_off: False} if switched_off == "two_choices" else {}
    correct = switched_off != "correction"
    context.share = find_largest_share(name, gateways, 0.5, options, correct, seed)


@then("the report simulation's largest share is {relation} twice the fair share")
def check_share(context, relation):
    bound = 2 / len(ENDPOINTS)
    assert (context.share <= bound) == (relation == "below"), context.share


@given("the report module's tracker with requests sent to e1 at seconds {seconds}")
def make_tracker(context, seconds):
    context.tracker = LoadTracker(correct=False)
    for second in seconds.split():
        context.tracker.parts("e1", float(second))
        context.tracker.dispatched("e1", second)


@when("the report tracker hears 3 running and 1 waiting at second {heard:g}")
def hear_report(context, heard):
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
