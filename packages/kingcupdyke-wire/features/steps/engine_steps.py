"""
engine_steps
~~~~~~~~~~~~

Steps for the engine client.
"""

import json
from functools import wraps

from anyio import create_task_group, run, sleep
from behave import given, then, when
from engine_fixture import GB, OPTIONS, build_body, open_engine, run_request, send_order

from kingcupdyke.error import Outcome
from kingcupdyke_standins.answer import expected_text
from kingcupdyke_wire.http import ExchangeError
from kingcupdyke_wire.sse import DONE_EVENT

PROMPT = "who referees on Monday?"
#: Tokens of a request that takes three times as long as the client's timeout.
LONG_TOKENS = 500


@given('an engine of 10 GB that holds "m" of 2 GB')
@given('an engine of 10 GB that holds "m" of 2 GB and {checks:w} fences')
@given('an engine of 10 GB that holds "m" of 2 GB and caches {blocks:d} blocks')
def give_engine(context, checks="checks", blocks=100):
    context.options = OPTIONS._replace(checks_fence=checks == "checks", cache_blocks=blocks)
    context.faults = {}


@given("the engine has the faults {faults}")
def give_faults(context, faults):
    context.faults = json.loads(faults)


def with_engine(step):
    """:return: a step that runs the coroutine with the scenario's engine and its client"""

    @wraps(step)
    def run_step(context, **arguments):
        async def main():
            async with open_engine(context.options, context.faults) as (app, client):
                await step(context, app, client, **arguments)

        run(main)

    return run_step


def describe(result):
    """:return: the state of an order that ended, or the outcome of a failed order"""
    return result.ok.state if result.is_ok() else str(result.error.outcome)


@when('engine receives the orders "{orders}"')
@with_engine
async def send_orders(context, app, client, orders):
    context.results = []
    for number, order in enumerate(orders.split()):
        kind, name, size = order.split(":")
        result = await send_order(client, f"o{number}", 1, kind, name, int(size) * GB)
        context.results.append(result)
    context.inventory = (await client.inventory()).ok


@when('engine receives the order to load "{name}" again after it was unloaded')
@with_engine
async def send_duplicate_order(context, app, client, name):
    orders = [("o1", "load"), ("o2", "unload"), ("o1", "load")]
    context.results = [
        await send_order(client, order_id, 1, kind, name, GB) for order_id, kind in orders
    ]
    context.inventory = (await client.inventory()).ok


@when(
    "engine receives an order of 3 GB with the fences {fences} and a lifetime of {lifetime_s:g} s"
)
@with_engine
async def send_order_with_fences(context, app, client, fences, lifetime_s):
    context.results = []
    for fence in fences.split():
        result = await send_order(client, "o", int(fence), "load", "n", 3 * GB, lifetime_s)
        context.results.append(result)
    await sleep(0.28)
    context.inventory = (await client.inventory()).ok


@when("engine receives the orders of two sidecars with the fences {first:d} and {second:d}")
@with_engine
async def send_fenced_orders(context, app, client, first, second):
    await send_order(client, "o1", first, "load", "n", GB)
    context.result = await send_order(client, "o2", second, "load", "k", GB)
    context.report = app.report()


@then('engine has answered "{answers}"')
def check_answers(context, answers):
    assert [describe(each) for each in context.results] == answers.split(), context.results


@then('engine has {used:d} GB in use, the models "{models}" and the adapters "{adapters}"')
@then('engine has {used:d} GB in use, the models "{models}" and the adapters ""')
def check_inventory(context, used, models, adapters=""):
    inventory = context.inventory
    assert inventory.used_bytes == used * GB, inventory
    assert sorted(inventory.models) == models.split(), inventory
    assert sorted(inventory.adapters) == adapters.split(), inventory


@then('engine has returned the outcomes "{outcomes}" and executed the order {runs:d} times')
def check_outcomes(context, outcomes, runs):
    assert [describe(each) for each in context.results] == outcomes.split(), context.results
    assert context.inventory.used_bytes == (2 + 3 * runs) * GB, context.inventory
    assert context.inventory.orders == ({"o": "done"} if runs else {}), context.inventory


@then('engine has returned "{outcome}" for the second and recorded {recorded:d} old fences')
def check_fence(context, outcome, recorded):
    described = describe(context.result)
    if context.result.is_error():
        described += f" {context.result.error.reason}"
    assert described == outcome, context.result
    assert len(context.report["old_fences"]) == recorded, context.report


@when("engine runs a {form} request for {tokens:d} tokens, {mode}")
@with_engine
async def run_one(context, app, client, form, tokens, mode):
    context.tokens = tokens
    context.chat = form == "chat"
    path, body = build_body(PROMPT, tokens, context.chat, mode == "streamed")
    try:
        context.answer, context.parts = await run_request(client, "r", path, body)
    except ExchangeError as error:
        context.answer, context.parts = None, error.failure


def read_text(parts):
    """:return: the text and the usage of an answer, streamed or not"""
    if not parts[0].startswith(b"data: "):
        chunks = [json.loads(b"".join(parts))]
    else:
        assert parts[-1] == DONE_EVENT, parts
        chunks = [json.loads(part.removeprefix(b"data: ")) for part in parts[:-1]]
    choices = [chunk["choices"][0] for chunk in chunks]
    pieces = [each.get("delta") or each.get("message") or each for each in choices]
    text = "".join(each["content"] if "content" in each else each["text"] for each in pieces)
    return text, chunks[-1]["usage"]


@then("engine has returned the complete answer with its id, text and usage")
def check_complete(context):
    text, usage = read_text(context.parts)
    prompt = f"user: {PROMPT}\n" if context.chat else PROMPT
    assert context.answer.status == 200, context.answer
    assert context.answer.request_id == "r", context.answer
    assert text == expected_text("m", prompt, context.tokens), text
    assert usage["completion_tokens"] == context.tokens, usage


@then("engine's answer is {state}")
def check_state(context, state):
    match state:
        case "failed":
            assert context.parts.outcome == Outcome.UNKNOWN, context.parts
        case "without its end":
            assert context.answer.request_id == "r", context.answer
            assert 0 < len(context.parts) < context.tokens, context.parts
            assert DONE_EVENT not in context.parts, context.parts
        case "of another request":
            assert context.answer.request_id != "r", context.answer
        case "longer than complete":
            end = context.parts.index(DONE_EVENT)
            assert end == context.tokens, context.parts
            assert len(context.parts) > end + 1, context.parts


@when("engine resumes a stream of {tokens:d} tokens at event {offset:d}")
@with_engine
async def resume(context, app, client, tokens, offset):
    path, body = build_body(PROMPT, tokens, stream=True)
    _, context.parts = await run_request(client, "r", path, body)
    _, context.resumed = await run_request(client, "r", path, body, offset=offset)


@then("engine has returned the events from {offset:d} on")
def check_resumed(context, offset):
    assert context.resumed == context.parts[offset:], context.resumed


@when("engine streams {tokens:d} tokens and after the first one {event}")
@with_engine
async def interrupt_stream(context, app, client, tokens, event):
    path, body = build_body(PROMPT, tokens, stream=True)
    context.tokens = tokens
    try:
        async with client.open_run(path, body, "r", 0, "") as answer:
            await anext(answer.parts)
            await apply_event(app, client, event)
            async for _ in answer.parts:
                pass
    except ExchangeError as error:
        context.failure = error.failure
    try:
        context.answer, context.parts = await run_request(client, "r", path, body, offset=0)
    except ExchangeError as error:
        context.answer, context.parts = None, error.failure


async def apply_event(app, client, event):
    if event == "its connections are frozen":
        app.faults.set({"freeze": True})
    elif event == "the request is cancelled":
        await client.cancel("r")
    else:
        app.faults.set({"restart": True})
    await app.apply_faults()
    if event.endswith("reloads"):
        await send_order(client, "o", 1, "load", "m", GB)


@then('engine\'s stream has failed as "{outcome}", and resuming it returns "{resumed}"')
def check_interrupted(context, outcome, resumed):
    assert context.failure.outcome == Outcome(outcome), context.failure
    match resumed:
        case "the complete answer":
            text, _ = read_text(context.parts)
            assert text == expected_text("m", PROMPT, context.tokens), text
        case "failed":
            assert context.answer is None, context.parts
        case "404":
            assert context.answer.status == 404, context.answer


@when('engine runs a request for the model "{model}" with the adapter "{adapter}"')
@when('engine runs a request for the model "{model}" with the adapter ""')
@with_engine
async def request_missing(context, app, client, model, adapter=""):
    path, body = build_body(PROMPT, 2, model=model)
    context.answer, _ = await run_request(client, "r", path, body, adapter)


@then('engine has returned "not found"')
def check_missing(context):
    assert context.answer.status == 404, context.answer
    assert context.answer.request_id == "r", context.answer


@when("engine moves the KV cache of a request with {free:d} bytes free")
def move_kv(context, free):
    context.options = context.options._replace(capacity_bytes=2 * GB + free)
    export_and_import(context)


@with_engine
async def export_and_import(context, app, client):
    path, body = build_body("p" * 300, 2)
    await run_request(client, "r", path, body)
    exported = await client.kv_export("r")
    context.outcomes = [exported.is_ok()]
    if exported.is_error():
        return
    imported = await client.kv_import(exported.ok)
    context.outcomes.append(imported.is_ok())
    context.inventory = (await client.inventory()).ok
    await run_request(client, "r", path, body)
    context.after = (await client.inventory()).ok
    context.violations = app.violations


@then("engine has moved it: {moved}")
def check_moved(context, moved):
    assert all(context.outcomes) == (moved == "yes"), context.outcomes
    if len(context.outcomes) == 2:
        assert context.inventory.kv_bytes == ({"r": 300_000} if moved == "yes" else {})
        assert context.after.kv_bytes == {}, context.after
        assert context.violations == [], context.violations


@when("engine runs a prompt of {blocks:d} blocks and reads the cache events after {position:d}")
@with_engine
async def read_cache_events(context, app, client, blocks, position):
    path, body = build_body("b" * 256 * blocks, 1)
    await run_request(client, "r", path, body)
    context.batch = (await client.cache_events(position, 0.03)).ok


@then('engine has reported the cache events "{events}"')
@then('engine has reported the cache events ""')
def check_cache_events(context, events=""):
    seen = [f"{'+' if each.stored else '-'}{each.sequence}" for each in context.batch.events]
    assert seen == events.split(), context.batch
    assert context.batch.incarnation == "engine-1", context.batch


@when("engine runs {count:d} requests and reads the load after {delay_s:g} s")
@with_engine
async def read_load(context, app, client, count, delay_s):
    # The requests take longer than the client's timeout, so that all run when the load is read.
    path, body = build_body(PROMPT, LONG_TOKENS)
    async with create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(run_request, client, f"r{number}", path, body)
        await sleep(delay_s)
        context.load = (await client.load()).ok
        tasks.cancel_scope.cancel()


@then("engine reports {running:d} running and an age of at least {age_s:g} s")
def check_load(context, running, age_s):
    assert context.load.running == running, context.load
    assert context.load.age_s >= age_s, context.load
