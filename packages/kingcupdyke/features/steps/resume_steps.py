"""
resume_steps
~~~~~~~~~~~~

Steps for attempts that gateways want to resume.
"""

from behave import then, when

from kingcupdyke.resume import AttemptHistory


@when("resume, with a retention of {seconds:g} s, processes {events}")
def process_events(context, seconds, events):
    memory = AttemptHistory(seconds)
    now_s = 0.0
    context.reported = []
    for event in events.split("; "):
        word, *arguments = event.split()
        if word == "pass":
            now_s += float(arguments[0])
        elif word == "arrive":
            context.reported.append("run" if memory.arrived("a", now_s) else "refused")
        else:
            same, age_s = arguments[0] == "same", float(arguments[1])
            context.reported.append(memory.resolve("a", same, age_s, now_s).value)


@then("resume reports {reported}")
def check(context, reported):
    assert context.reported == reported.split(", "), context.reported
