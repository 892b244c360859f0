"""
batch_steps
~~~~~~~~~~~

Steps for continuous batching.
"""

from anyio import create_task_group, current_time, run
from behave import given, then, when

from kingcupdyke_standins.batch import Batcher, Run, RunRequest, Speed


@given("a batch of {slots:d} slot with {token_ms:g} ms per token")
@given(
    "a batch of {slots:d} slots with {token_ms:g} ms per token, "
    "plus {slope_ms:g} ms per further request"
)
def create_speed(context, slots, token_ms, slope_ms=0.0):
    context.speed = Speed(token_ms, slope_ms, 0.0, slots)


async def run_batch(speed, priorities, tokens, prefill_tokens=None):
    """:return: the priorities in the order of completion, and the duration in seconds

    :param prefill_tokens: prompt length of each request in tokens; None prefills nothing
    """
    completed = []
    batcher = Batcher(speed)

    async def run_one(number, priority):
        request = RunRequest(f"r{number}", "m", "", "prompt", tokens, priority, False)
        batch_run = Run(request, 0.0, prefill_tokens[number] if prefill_tokens else 0.0)
        batcher.submit(batch_run)
        await batch_run.wait_end()
        completed.append(priority)

    async with create_task_group() as outer:
        outer.start_soon(batcher.step_forever)
        started_s = current_time()
        async with create_task_group() as tasks:
            for number, priority in enumerate(priorities):
                tasks.start_soon(run_one, number, priority)
        duration_s = current_time() - started_s
        outer.cancel_scope.cancel()
    return completed, duration_s


@when('batch runs requests with the priorities "{priorities}"')
def run_priorities(context, priorities):
    context.completed, _ = run(run_batch, context.speed, [int(p) for p in priorities.split()], 2)


@when("batch runs {requests:d} requests of {tokens:d} tokens")
def run_requests(context, requests, tokens):
    _, context.duration_s = run(run_batch, context.speed, [0] * requests, tokens)


@then('batch has completed the priorities in the order "{priorities}"')
def check_order(context, priorities):
    assert context.completed == [int(p) for p in priorities.split()], context.completed


@then("batch has taken at least {least_s:g} s")
def check_time(context, least_s):
    assert least_s <= context.duration_s, context.duration_s


@given("batch prefills {tokens:d} prompt tokens per second")
def set_prefill_rate(context, tokens):
    context.speed = context.speed._replace(prompt_tokens_per_s=float(tokens))


@when('batch runs a request of 1 token for each prompt length "{prompts}"')
def run_prompts(context, prompts):
    prefill_tokens = [float(each) for each in prompts.split()]
    _, context.duration_s = run(
        run_batch, context.speed, [0] * len(prefill_tokens), 1, prefill_tokens
    )
