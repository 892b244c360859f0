"""
timer_steps
~~~~~~~~~~~

Steps for the timer service.
"""

from functools import partial

from behave import then

from kingcupdyke.timer import ManualTimer


def record_call(calls, name, now_s):
    calls.append(f"{name}@{now_s:g}")


@then('timer with events "{events}" calls "{calls}"')
def check_calls(context, events, calls):
    timer, found = ManualTimer(), []
    total_s = 0.0
    for event in events.split():
        name, _, period = event.partition("=")
        if period:
            timer.subscribe(name, float(period), partial(record_call, found, name))
        elif event.startswith("-"):
            timer.unsubscribe(event[1:])
        else:
            total_s += float(event)
            timer.advance(float(event))
    assert found == calls.split(), found
    assert timer.now() == total_s
