"""
estimate_steps
~~~~~~~~~~~~~~

Steps for estimated waits.
"""

from behave import given, then, when
from builders import make_request, make_view

from kingcupdyke.estimate import estimate_wait


@given("the estimate of an endpoint with token interval 0.01 for 50 tokens and 4 prefixes")
def make_estimate(context):
    context.request = make_request(max_tokens=50, prefixes=("1", "2", "3", "4"))
    context.before_s = estimate_wait(make_view("e1"), context.request)


@when("the estimate is made again with {field} at {value:g}")
def estimate_again(context, field, value):
    context.after_s = estimate_wait(make_view("e1", **{field: value}), context.request)


@then("the estimate is longer by {least:g} to {most:g} seconds")
def check_estimate(context, least, most):
    assert least - 1e-9 <= context.after_s - context.before_s <= most + 1e-9, context.after_s


@then("the estimate of a plain service grows with 9 requests in progress tenfold")
def check_service(context):
    idle = make_view("e1", token_interval_s=0.0)
    ratio = estimate_wait(idle._replace(running=9), make_request()) / estimate_wait(
        idle, make_request()
    )
    assert abs(ratio - 10) < 1e-9, ratio
