"""
process_steps
~~~~~~~~~~~~~

Steps for stand-ins as processes.
"""

import json

from anyio import create_task_group, run, sleep
from behave import given, then, when

from kingcupdyke_standins.process import StandinProcess
from kingcupdyke_wire.http import HttpClient


@given('process has started "{arguments}"')
def start(context, arguments):
    context.standin = StandinProcess(*arguments.split())
    context.add_cleanup(context.standin.stop)


@when("process sets the fault {fault} of it")
def set_fault(context, fault):
    context.fault = json.loads(fault)
    context.standin.set_faults(**context.fault)


@then("process finds the fault set, no violations and the exit status {status:d}")
def check_obeys(context, status):
    shown = context.standin.call("GET", "/faults")
    assert context.fault.items() <= shown.items(), shown
    assert context.standin.violations() == []
    assert context.standin.stop() == status


@when("process freezes it during a call")
def freeze(context):
    context.answers = []

    async def call(client):
        answer = await client.request("GET", "/anything")
        context.answers.append(answer.ok.status)

    async def job():
        client = HttpClient(context.standin.url, timeout_s=5.0)
        context.standin.freeze()
        async with create_task_group() as tasks:
            tasks.start_soon(call, client)
            await sleep(0.1)
            context.while_frozen = list(context.answers)
            context.standin.thaw()

    run(job)


@then("process has the answer only after the thaw")
def check_frozen(context):
    assert context.while_frozen == [], context.while_frozen
    assert context.answers == [200], context.answers


@when("process kills it")
def kill(context):
    assert context.standin.is_running()
    context.standin.kill()


@then("process finds it ended")
def check_ended(context):
    assert not context.standin.is_running()


@when('process starts "{arguments}"')
def start_wrong(context, arguments):
    try:
        StandinProcess(*arguments.split()).stop()
        context.error = None
    except RuntimeError as error:
        context.error = error


@then("process reports that it did not start")
def check_not_started(context):
    assert "did not start" in str(context.error), context.error


@when('process calls it with the keys "{keys}" and loses the answer to the first')
def call_with_keys(context, keys):
    async def job():
        client = HttpClient(context.standin.url, timeout_s=2.0)
        context.standin.set_faults(lose_answers=1)
        context.answers = []
        for key in keys.split():
            answer = await client.request("POST", "/book", {"idempotency-key": key})
            context.answers.append(answer.is_ok())

    run(job)


@then("process reads the counts {counts}")
def check_counts(context, counts):
    assert context.answers == [False, True, True], context.answers
    assert context.standin.call("GET", "/counts") == json.loads(counts)
