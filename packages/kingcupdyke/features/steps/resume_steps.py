"""
resume_steps
~~~~~~~~~~~~

Steps of attempts that gateways ask for again.
"""

from behave import then, when

from kingcupdyke.resume import AttemptMemory


@when("resume, which remembers for {seconds:g} s, meets {events}")
def meet(context, seconds, events):
    memory = AttemptMemory(seconds)
    now_s = 0.0
    context.said = []
    for event in events.split("; "):
        word, *rest = event.split()
        if word == "pass":
            now_s += float(rest[0])
        elif word == "arrive":
            context.said.append("run" if memory.arrived("a", now_s) else "refused")
        else:
            same, age_s = rest[0] == "same", float(rest[1])
            context.said.append(memory.resolve("a", same, age_s, now_s).value)


@then("resume says {said}")
def check(context, said):
    assert context.said == said.split(", "), context.said
