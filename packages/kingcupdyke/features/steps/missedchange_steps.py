"""
missedchange_steps
~~~~~~~~~~~~~~~~~~

Steps for changes that peers know.
"""

from behave import then, when

from kingcupdyke.forwarding.missedchange import MissedChange

CHECKS_PER_S = 10


@when('missedchange: "{script}" happens')
def play(context, script):
    missed_change, position, tick = MissedChange(), 0, 0
    context.times = []
    for event in script.split("; "):
        time_s, word, *number = event.split()
        while tick < float(time_s) * CHECKS_PER_S:
            if missed_change.is_due(position, tick / CHECKS_PER_S):
                context.times.append(tick / CHECKS_PER_S)
            tick += 1
        if word == "read":
            position = int(number[0])
        elif word == "named":
            missed_change.note(int(number[0]))


@then('missedchange: the store is asked again at "{times}"')
def check_times(context, times):
    expected = [] if times == "-" else [float(each) for each in times.split()]
    assert len(context.times) == len(expected), context.times
    for found, wanted in zip(context.times, expected, strict=True):
        assert abs(found - wanted) <= 0.1 + 1e-9, context.times
