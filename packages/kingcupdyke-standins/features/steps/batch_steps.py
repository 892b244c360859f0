"""
batch_steps
~~~~~~~~~~~

Steps for continuous batching.
"""

from anyio import create_task_group, current_time, run
from behave import given, then, when

from kingcupdyke_standins.batch import Batcher, Run, RunRequest, Speed


@given("a batch of {slots:d} slot with {token_ms:g} ms a token")
@given("a batch of {slots:d} slots with {token_ms:g} ms a token, {slope_ms:g} more for each other")
def give_slots(context, slots, token_ms, slope_ms=0.0):
    context.speed = Speed(token_ms, slope_ms, 0.0, slots)


async def run_batch(speed, priorities, tokens, unread=None):
    """:return: the priorities in the order in which they ended, and the seconds it took"""
    ended = []
    batcher = Batcher(speed)

    async def run_one(number, priority):
        request = RunRequest(f"r{number}", "m", "", "prompt", tokens, priority, False)
        each = Run(request, 0.0, unread[number] if unread else 0.0)
        batcher.submit(each)
        await each.wait_end()
        ended.append(priority)

    async with create_task_group() as outer:
        outer.start_soon(batcher.step_forever)
        began_s = current_time()
        async with create_task_group() as tasks:
            for number, priority in enumerate(priorities):
                tasks.start_soon(run_one, number, priority)
        took_s = current_time() - began_s
        outer.cancel_scope.cancel()
    return ended, took_s


@when('batch runs the priorities "{priorities}"')
def run_priorities(context, priorities):
    context.ended, _ = run(run_batch, context.speed, [int(p) for p in priorities.split()], 2)


@when("batch runs {requests:d} requests of {tokens:d} tokens")
def run_requests(context, requests, tokens):
    _, context.took_s = run(run_batch, context.speed, [0] * requests, tokens)


@then('batch has ended them in the order "{priorities}"')
def check_order(context, priorities):
    assert context.ended == [int(p) for p in priorities.split()], context.ended


@then("batch has taken at least {least_s:g} s")
def check_time(context, least_s):
    assert least_s <= context.took_s, context.took_s


@given("batch reads {tokens:d} prompt tokens a second")
def give_reading(context, tokens):
    context.speed = context.speed._replace(prompt_tokens_per_s=float(tokens))


@when('batch runs a request of 1 token for each of the prompts "{prompts}"')
def run_prompts(context, prompts):
    unread = [float(each) for each in prompts.split()]
    _, context.took_s = run(run_batch, context.speed, [0] * len(unread), 1, unread)
