"""
forecast_steps
~~~~~~~~~~~~~~

Steps for forecasts.
"""

from behave import then

from kingcupdyke.forecast import Forecast, Pace


@then("the forecast of {left} left with capacity {capacity:d} has place {place:d} wait {wait:g}")
def check_wait(context, left, capacity, place, wait):
    forecast = Forecast.make(map(float, left.split()), capacity, 2.0)
    assert forecast.get_wait(place) == wait, forecast


@then("the forecast pace learns that requests take three times their estimates")
def check_pace(context):
    pace = Pace()
    for _ in range(200):
        pace.learn(2.0, 6.0)
    assert abs(pace.correct(1.0) - 3.0) < 0.01
    pace.learn(0.001, 1e9)
    assert pace.correct(1.0) < 4.0
