"""
process_steps
~~~~~~~~~~~~~

Steps for stand-ins as processes.
"""

import json

from anyio import create_task_group, run, sleep
from behave import given, then

from kingcupdyke_standins.process import StandinProcess
from kingcupdyke_wire.http import HttpClient


@given('process has started "{arguments}"')
def start(context, arguments):
    context.standin = StandinProcess(*arguments.split())
    context.add_cleanup(context.standin.stop)


@then("process takes the fault {fault}, finds no violations and ends with status {status:d}")
def check_obeys(context, fault, status):
    fault = json.loads(fault)
    context.standin.set_faults(**fault)
    shown = context.standin.call("GET", "/faults")
    assert fault.items() <= shown.items(), shown
    assert context.standin.violations() == []
    assert context.standin.stop() == status


@then("process gives an answer that it was frozen over only after the thaw")
def check_frozen(context):
    answers = []

    async def call(client):
        answer = await client.request("GET", "/anything")
        answers.append(answer.ok.status)

    async def job():
        client = HttpClient(context.standin.url, timeout_s=5.0)
        context.standin.freeze()
        async with create_task_group() as tasks:
            tasks.start_soon(call, client)
            await sleep(0.1)
            while_frozen = list(answers)
            context.standin.thaw()
        return while_frozen

    assert run(job) == []
    assert answers == [200], answers


@then("process has ended once it is killed")
def check_killed(context):
    assert context.standin.is_running()
    context.standin.kill()
    assert not context.standin.is_running()


@then('process reports that "{arguments}" did not start')
def check_not_started(context, arguments):
    try:
        StandinProcess(*arguments.split()).stop()
    except RuntimeError as error:
        assert "did not start" in str(error), error
    else:
        raise AssertionError("started")


@then('process counts {counts} calls for the keys "{keys}" though the first answer is lost')
def check_counts(context, counts, keys):
    async def job():
        client = HttpClient(context.standin.url, timeout_s=2.0)
        context.standin.set_faults(lose_answers=1)
        headers = [{"idempotency-key": key} for key in keys.split()]
        return [(await client.request("POST", "/book", each)).is_ok() for each in headers]

    assert run(job) == [False, True, True]
    assert context.standin.call("GET", "/counts") == json.loads(counts)
