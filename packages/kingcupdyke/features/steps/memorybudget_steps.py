"""
memorybudget_steps
~~~~~~~~~~~~~~~~~~

Steps for the memory budget of answers and request bodies.
"""

from functools import partial
from random import Random

from behave import given, then, when

from kingcupdyke.forwarding.memorybudget import MemoryBudget, choose_budget_bytes


def open_answers(context, names):
    for name in names:
        resume = partial(context.resumed.append, name)
        context.answers[name] = context.budget.open_answer(resume)


def read_until_stopped(answers, part):
    while readable := [each for each in answers if each.may_read()]:
        for each in readable:
            each.add(part)


@then("memorybudget: a limit of {limit} bytes gives a budget of {budget:d} bytes")
def check_budget(context, limit, budget):
    assert choose_budget_bytes(None if limit == "None" else int(limit)) == budget


@given("memorybudget: a budget of {size:d} bytes")
def make_budget(context, size):
    context.budget = MemoryBudget(size)
    context.answers, context.resumed = {}, []


@given("memorybudget: bodies of {size:d} bytes")
def hold_bodies(context, size):
    assert context.budget.take_body(size)


@given('memorybudget: answers "{names}" that hold "{sizes}"')
def hold_answers(context, names, sizes):
    open_answers(context, names.split())
    for name, size in zip(names.split(), sizes.split(), strict=True):
        for _ in range(int(size)):
            context.answers[name].add(1)


@when('memorybudget: answers "{names}" are read in parts of {part:d} bytes until all are stopped')
def read_answers(context, names, part):
    open_answers(context, names.split())
    read_until_stopped([context.answers[each] for each in names.split()], part)


@when("memorybudget: {count:d} answers are read in parts of {part:d} bytes until all are stopped")
def read_many(context, count, part):
    open_answers(context, range(count))
    read_until_stopped(context.answers.values(), part)


@then('memorybudget: the answers hold "{sizes}"')
def check_held(context, sizes):
    found = " ".join(str(each.held_bytes) for each in context.answers.values())
    assert found == sizes, found


@when('memorybudget: the client of "{name}" reads {size:d} bytes')
def take(context, name, size):
    context.answers[name].remove(size)


@then('memorybudget: the answers resumed are "{names}"')
@then('memorybudget: the answers resumed are ""')
def check_resumed(context, names=""):
    assert " ".join(context.resumed) == names, context.resumed


@then('memorybudget: the answers that may be read are "{names}"')
@then('memorybudget: the answers that may be read are ""')
def check_readable(context, names=""):
    found = " ".join(name for name, each in context.answers.items() if each.may_read())
    assert found == names, found


@when("memorybudget: {size:d} bytes of bodies are released")
def release_bodies(context, size):
    context.budget.release_body(size)


@when('memorybudget: the answer "{name}" ends')
def end_answer(context, name):
    context.answers[name].close()


@when("memorybudget: the budget becomes {size:d} bytes")
def change_budget(context, size):
    context.budget.configure(size)


@then("memorybudget: a body of {size:d} bytes is {outcome}")
def check_body(context, size, outcome):
    assert context.budget.take_body(size) == (outcome == "accepted")


@when("memorybudget: {readers:d} clients read {part:d} bytes a round at most, with seed {seed:d}")
def run_readers(context, readers, part, seed):
    rng = Random(seed)
    budget, context.part = context.budget, part
    open_answers(context, range(readers))
    answers = context.answers
    # Each answer is larger than what an even division of the budget lets it hold.
    left_by_name = dict.fromkeys(answers, 2 * budget.size_bytes // readers)
    readable = set(answers)
    context.most = 0
    context.spread = None
    rounds = 0
    while any(left_by_name.values()) or budget.answer_bytes:
        readable.update(context.resumed)
        context.resumed.clear()
        for name in sorted(readable):
            if answers[name].may_read():
                size = min(left_by_name[name], part)
                answers[name].add(size)
                left_by_name[name] -= size
        readable = {
            name for name in readable if left_by_name[name] and not answers[name].is_stopped
        }
        context.most = max(context.most, budget.answer_bytes)
        if not readable and context.spread is None:
            held = [each.held_bytes for each in answers.values()]
            context.spread = max(held) - min(held)
        if not readable or (context.spread is not None and rounds % 7 == 0):
            for each in answers.values():
                if each.held_bytes and rng.random() < 0.3:
                    each.remove(min(each.held_bytes, rng.randint(1, 5 * part)))
        rounds += 1
        assert rounds < 100_000, "an answer is never read again"
    context.left = sum(left_by_name.values())


@then("memorybudget: the budget is never exceeded by more than one part an answer")
def check_most(context):
    limit = context.budget.size_bytes + context.part * len(context.answers)
    assert context.most <= limit, context.most


@then("memorybudget: every client gets its whole answer")
def check_left(context):
    assert context.left == 0, context.left


@then("memorybudget: while all are slow, none holds more than another and one part")
def check_spread(context):
    assert context.spread is not None
    assert context.spread <= context.part, context.spread


@then("memorybudget: nothing is held at the end")
def check_empty(context):
    assert context.budget.answer_bytes == 0
