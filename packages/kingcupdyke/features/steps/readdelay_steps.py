"""
readdelay_steps
~~~~~~~~~~~~~~~

Steps for the control of the delay of reads.
"""

from behave import then, when

from kingcupdyke.forwarding.readdelay import ReadDelayControl


@when("readdelay: requests are read at these times with these delays, in s: {reads}")
def read(context, reads):
    control = ReadDelayControl()
    context.decisions = []
    for each in reads.split():
        now_s, delay_s = map(float, each.split(":"))
        context.decisions.append("taken" if control.note_read(delay_s, now_s) else "rejected")


@then("readdelay: they are {decisions}")
def check(context, decisions):
    assert context.decisions == decisions.split(), context.decisions
