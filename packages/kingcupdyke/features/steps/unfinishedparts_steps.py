"""
unfinishedparts_steps
~~~~~~~~~~~~~~~~~~~~~

Steps for the bytes of answers that a gateway can't pass on yet.
"""

from behave import given, then, when

from kingcupdyke.forwarding.memorybudget import MemoryBudget

#: Rounds in which answers grow; more than any of them may.
MAX_ROUNDS = 1000


@given("unfinishedparts: a budget of {size:d} bytes")
def make_budget(context, size):
    context.budget = MemoryBudget(size)
    context.parts = context.budget.unfinished_parts
    context.answers = []


@when('unfinishedparts: answers of "{endpoints}" grow in turn by {step:d} bytes until none may')
def grow(context, endpoints, step):
    context.answers = [[each, context.parts.open_part(each), 0] for each in endpoints.split()]
    for _ in range(MAX_ROUNDS):
        grown = [each for each in context.answers if each[1].resize(each[2] + step)]
        for answer in grown:
            answer[2] += step
        if not grown:
            return
    raise AssertionError(f"still growing: {context.answers}")


@when("unfinishedparts: the first answer ends")
def end(context):
    context.answers.pop(0)[1].close()


@when("unfinishedparts: the budget becomes {size:d} bytes")
def configure(context, size):
    context.budget.configure(size)


@then('unfinishedparts: the endpoints hold "{sizes}"')
def check_held(context, sizes):
    held = {}
    for endpoint, _, size in context.answers:
        held[endpoint] = held.get(endpoint, 0) + size
    assert " ".join(map(str, held.values())) == sizes, held
    assert context.parts.size_bytes == sum(held.values()), context.parts.size_bytes


@then('unfinishedparts: an answer of "{endpoint}" may hold {size:d} bytes, and not {more:d}')
def check_room(context, endpoint, size, more):
    part = context.parts.open_part(endpoint)
    assert not part.resize(more)
    assert part.resize(size)
    part.close()


@then("unfinishedparts: a body of {size:d} bytes is accepted, and one of 1 byte more is not")
def check_body(context, size):
    assert not context.budget.take_body(size + 1)
    assert context.budget.take_body(size)
    context.budget.release_body(size)


@then("unfinishedparts: an answer for a client is not read further beside a body of {size:d} bytes")
def check_answer(context, size):
    assert context.budget.take_body(size)
    context.resumed = []
    answer = context.budget.open_answer(lambda: context.resumed.append("answer"))
    assert answer.may_read()
    answer.add(1)
    assert not answer.may_read()


@then("unfinishedparts: the answer for a client is read again")
def check_resumed(context):
    assert context.resumed == ["answer"], context.resumed
