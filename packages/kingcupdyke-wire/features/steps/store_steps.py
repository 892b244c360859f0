"""
store_steps
~~~~~~~~~~~

Steps for the store clients; the in-memory client and the HTTP client share them.
"""

import re
from contextlib import asynccontextmanager

from anyio import create_task_group, run, sleep
from behave import given, then, when

from kingcupdyke.error import Outcome
from kingcupdyke_standins.server import open_standin
from kingcupdyke_standins.store import StoreApp
from kingcupdyke_wire.memorystore import MemoryStoreClient
from kingcupdyke_wire.store import Conflict, HttpStoreClient

KIND = "sorts"
TIMEOUT_S = 0.1
WATCH_TIMEOUT_S = 0.1
#: Delay of an answer: longer than the client's timeout, but the write still takes effect.
SLOW_ANSWER_MS = 120.0
RATE_PER_S = 100_000.0
CALL_PATTERN = re.compile(r"(?P<name>[^=?]+?)(=(?P<value>.*)@|-@|\?)(?P<version>\d*)")
FAULTS = {"down": {"down": True}, "lose_answers": {"lose_answers": 1}}
FAULTS |= {"slow_ms": {"slow_ms": SLOW_ANSWER_MS}, "silent_watches": {"silent_watches": True}}


@asynccontextmanager
async def open_store(context):
    """Yield a client of the scenario's store and a function that ends its faults."""
    fault = context.fault
    if context.store == "memory":
        client = MemoryStoreClient()
        client.down = fault == "down"
        client.answers_to_lose = int(fault == "lose_answers")
        yield client, lambda: setattr(client, "down", False)
        return
    app = StoreApp(0.01 if fault == "rate exceeded" else RATE_PER_S, RATE_PER_S)
    app.faults.set(FAULTS.get(fault, {}))
    async with open_standin(app) as address:
        client = HttpStoreClient(f"http://{address}", TIMEOUT_S)
        yield client, lambda: app.faults.set({"down": False, "slow_ms": 0.0})
        await client.aclose()


async def make_calls(client, calls):
    """:return: the results of calls in the notation of the feature"""
    results = []
    for call in calls.split():
        match = CALL_PATTERN.fullmatch(call)
        name, version = match["name"], int(match["version"] or 0)
        if call.endswith("?"):
            results.append(await client.get(KIND, name))
        elif match["value"] is None:
            results.append(await client.delete(KIND, name, version))
        else:
            results.append(await client.put(KIND, name, match["value"].encode(), version))
    return results


def describe(value):
    """:return: an object, a conflict or None in the notation of the feature"""
    if isinstance(value, Conflict):
        return f"conflict:{describe(value.current)}"
    if value is None:
        return "none"
    return f"{value.name}:{value.version}={value.value.decode()}"


@given("the {store:w} store")
@given("the {store:w} store with the fault {fault}")
def give_store(context, store, fault=""):
    context.store = store
    context.fault = fault


@when('store makes the calls "{calls}"')
def call_store(context, calls):
    async def job():
        async with open_store(context) as (client, end_faults):
            if context.fault == "rate exceeded":
                await client.put(KIND, "other", b"", 0)
            if context.fault == "value too large":
                context.results = [await client.put(KIND, "a", bytes(1_000_001), 0)]
            else:
                context.results = await make_calls(client, calls)
            end_faults()
            await sleep(SLOW_ANSWER_MS / 1000 if context.fault == "slow_ms" else 0)
            context.after = (await client.get(KIND, "a")).ok

    run(job)


@when('store lists "{prefix}" after "{calls}" and watches from its position during "{later}"')
@when('store lists "{prefix}" after "{calls}" and watches from its position during ""')
def list_and_watch(context, prefix, calls, later=""):
    async def call_later(client):
        await sleep(0.01)
        await make_calls(client, later)

    async def job():
        async with open_store(context) as (client, _):
            await make_calls(client, calls)
            position, context.listed = (await client.list(KIND, prefix)).ok
            async with create_task_group() as tasks:
                tasks.start_soon(call_later, client)
                context.events = (await client.watch(KIND, position, WATCH_TIMEOUT_S)).ok.events
            context.position = position

    run(job)


@when("store watches from the beginning after {count:d} writes")
def watch_after_writes(context, count):
    async def job():
        async with open_store(context) as (client, _):
            for index in range(count):
                written = await client.put(KIND, "a", b"", index)
                assert written.is_ok(), written
            context.results = [await client.watch(KIND, 0, WATCH_TIMEOUT_S)]

    run(job)


@then('store has answered "{answers}"')
def check_answers(context, answers):
    described = [describe(each.ok) for each in context.results]
    assert described == answers.split(), described


@then('store has listed "{listed}" and reported "{events}"')
@then('store has listed "{listed}" and reported ""')
def check_watch(context, listed, events=""):
    assert [describe(each) for each in context.listed] == listed.split(), context.listed
    reported = [
        describe(each.current) if each.current else f"{each.name}:none" for each in context.events
    ]
    assert reported == events.split(), reported
    assert all(each.position > context.position for each in context.events)


@then('store has failed with "{outcome}" and the reason "{reason}"')
def check_reason(context, outcome, reason):
    failure = context.results[0].error
    assert failure.outcome == Outcome(outcome), failure
    assert failure.reason == reason, failure


@then('store has failed with "{outcome}" and the object is {state}')
def check_effect(context, outcome, state):
    failure = context.results[0].error
    assert failure.outcome == Outcome(outcome), failure
    assert (context.after is not None) == (state == "written"), context.after
    if context.fault == "rate exceeded":
        assert failure.retry_after_s > 0, failure
