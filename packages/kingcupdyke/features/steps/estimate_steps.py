"""
estimate_steps
~~~~~~~~~~~~~~

Steps for estimated durations.
"""

from behave import then
from builders import make_request, make_view

from kingcupdyke.estimate import estimate_wait


@then("the estimate with {field} at {value:g} is longer by {min_s:g} to {max_s:g} seconds")
def check_estimate(context, field, value, min_s, max_s):
    request = make_request(max_tokens=50, prefixes=("1", "2", "3", "4"))
    before_s = estimate_wait(make_view("e1", token_interval_s=0.01), request)
    after_s = estimate_wait(make_view("e1", **{field: value}), request)
    assert min_s - 1e-9 <= after_s - before_s <= max_s + 1e-9, after_s


@then("the estimate of a plain service grows with 9 requests in progress tenfold")
def check_service(context):
    idle = make_view("e1", token_interval_s=0.0)
    busy_s = estimate_wait(idle._replace(running=9), make_request())
    ratio = busy_s / estimate_wait(idle, make_request())
    assert abs(ratio - 10) < 1e-9, ratio
