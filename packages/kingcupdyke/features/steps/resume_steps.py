"""
resume_steps
~~~~~~~~~~~~

Steps of attempts that gateways ask for again.
"""

from behave import given, then, when

from kingcupdyke.resume import AttemptMemory


@given("resume remembers attempts for {seconds:g} s")
def remember(context, seconds):
    context.memory = AttemptMemory(seconds)


@when("resume meets {events}")
def meet(context, events):
    now_s = 0.0
    context.said = []
    for event in events.split("; "):
        word, *rest = event.split()
        if word == "pass":
            now_s += float(rest[0])
        elif word == "arrive":
            context.said.append("run" if context.memory.arrived("a", now_s) else "refused")
        else:
            same, age_s = rest[0] == "same", float(rest[1])
            context.said.append(context.memory.resolve("a", same, age_s, now_s).value)


@then("resume says {said}")
def check(context, said):
    assert context.said == said.split(", "), context.said
