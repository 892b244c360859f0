"""
demand_steps
~~~~~~~~~~~~

Steps for demand.
"""

from behave import given, then

from kingcupdyke.demand import DemandTracker

KEY = ("m", "north")


@given("the demand module's tracker of 20 seconds with {rate:d} arrivals a second for 120 seconds")
def make_tracker(context, rate):
    context.tracker = DemandTracker(20.0)
    for number in range(120 * rate):
        context.tracker.arrived(*KEY, number / rate)


@then("the demand {after:d} seconds later is within a tenth of {expected:g}")
def check_rate(context, after, expected):
    rate = context.tracker.rates(120.0 + after).get(KEY, 0.0)
    assert abs(rate - expected) <= 0.1 * expected + 1e-9, rate


@then("the demand deltas of one tracker reach another once and go on only when relayed")
def check_deltas(context):
    first, second = DemandTracker(10.0), DemandTracker(10.0)
    first.arrived(*KEY, 0.0)
    first.arrived(*KEY, 1.0)
    deltas = first.take_deltas()
    assert deltas == [(*KEY, 2.0)]
    assert first.take_deltas() == []
    second.merge(deltas)
    assert second.take_deltas() == []
    assert second.rates(5.0) == {KEY: 0.2}
    assert second.rates(5.0) == {KEY: 0.2}
    second.merge(deltas, relay=True)
    assert second.take_deltas() == deltas
