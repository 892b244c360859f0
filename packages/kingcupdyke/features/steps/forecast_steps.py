"""
forecast_steps
~~~~~~~~~~~~~~

Steps for predicted waits.
"""

from behave import then

from kingcupdyke.forecast import EstimateCorrection, Forecast


@then(
    "the forecast of {left} s left at capacity {capacity:d} has wait {wait:g}"
    " at position {position:d}"
)
def check_wait(context, left, capacity, position, wait):
    forecast = Forecast.make(map(float, left.split()), capacity, 2.0)
    assert forecast.get_wait(position) == wait, forecast


@then("the forecast correction learns that requests take three times their estimates")
def check_pace(context):
    correction = EstimateCorrection()
    for _ in range(200):
        correction.learn(2.0, 6.0)
    assert abs(correction.correct(1.0) - 3.0) < 0.01
    correction.learn(0.001, 1e9)
    assert correction.correct(1.0) < 4.0
