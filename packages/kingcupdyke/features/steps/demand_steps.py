"""
demand_steps
~~~~~~~~~~~~

Steps for the demand tracker.
"""

from behave import then

from kingcupdyke.demand import DemandTracker

KEY = ("m", "north")


@then("the demand {after:d} s after {rate:d} arrivals a second is within a tenth of {expected:g}")
def check_rate(context, after, rate, expected):
    tracker = DemandTracker(20.0)
    for number in range(120 * rate):
        tracker.arrived(*KEY, number / rate)
    found = tracker.rates(120.0 + after).get(KEY, 0.0)
    assert abs(found - expected) <= 0.1 * expected + 1e-9, found


@then("the demand deltas of one tracker are merged by another and returned again only when relayed")
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
