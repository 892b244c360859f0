"""
incomingbodies_steps
~~~~~~~~~~~~~~~~~~~~

Steps for request bodies that are being received.
"""

from random import Random

from behave import given, then, when

from kingcupdyke.forwarding.incomingbodies import IncomingBodies, Room
from kingcupdyke.forwarding.memorybudget import MemoryBudget


@given("incomingbodies: a budget of {size:d} bytes")
def give_budget(context, size):
    context.budget = MemoryBudget(size)
    context.bodies = IncomingBodies(context.budget)
    context.body_by_name = {}
    context.is_accepted = {}
    context.given_way = []


def open_body(context, name, size, now_s):
    body = context.bodies.begin(now_s, lambda room: context.given_way.append((name, room)))
    context.body_by_name[name] = body
    context.is_accepted[name] = body.take(size, now_s)
    return body


@given(
    'incomingbodies: a body "{name}" that declares {declared:d} bytes, of which {received:d} '
    "arrive at {at_s:g} s"
)
def give_body(context, name, declared, received, at_s):
    body = open_body(context, name, declared, 0.0)
    assert body.add(bytes(received), at_s)


@when('incomingbodies: a body "{name}" declares {size:d} bytes at {now_s:g} s')
def declare(context, name, size, now_s):
    open_body(context, name, size, now_s)


@when('incomingbodies: "{name}" is handed over and closed')
def hand_over(context, name):
    body = context.body_by_name[name]
    assert len(body.hand_over()) == 70
    body.close()


@then('incomingbodies: "{new}" is {outcome}, and "{old}" {what}')
def check_outcome(context, new, outcome, old, what):
    assert context.is_accepted[new] == (outcome == "accepted")
    expected = [(old, Room.MEMORY)] if what == "gives way" else []
    assert context.given_way == expected, context.given_way
    for name, _ in context.given_way:
        body = context.body_by_name[name]
        assert (body.has_given_way, body.hand_over(), body.taken_bytes) == (True, b"", 0)
    held = sum(each.taken_bytes for each in context.body_by_name.values())
    assert context.budget.body_bytes == held <= context.budget.size_bytes


@then('incomingbodies: "{first}" and "{second}" stay')
def check_stay(context, first, second):
    assert not {first, second} & {name for name, _ in context.given_way}


@then("incomingbodies: {size:d} bytes are held")
def check_held(context, size):
    assert context.budget.body_bytes == size, context.budget.body_bytes


@then(
    "incomingbodies: bodies of up to {most:d} bytes in parts of {least_part:d} to {most_part:d} "
    "bytes are handed over as they came"
)
def check_parts(context, most, least_part, most_part):
    random = Random(1)
    bodies = IncomingBodies(MemoryBudget(most))
    for _ in range(100):
        body = bodies.begin(0.0, lambda room: None)
        sent = random.randbytes(int(most ** random.random()))
        at = 0
        while at < len(sent):
            part = sent[at : at + int(least_part + most_part ** random.random() - 1)]
            assert part and body.add(part, 0.0)
            at += len(part)
        assert body.hand_over() == sent
        bodies.budget.release_body(len(sent))
