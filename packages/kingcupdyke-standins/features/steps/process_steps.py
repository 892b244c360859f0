"""
process_steps
~~~~~~~~~~~~~

Steps for stand-ins that run as processes.
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


@then("process sets the fault {fault}, reports no violations and exits with status {status:d}")
def check_fault_and_stop(context, fault, status):
    fault = json.loads(fault)
    context.standin.set_faults(**fault)
    shown = context.standin.call("GET", "/faults")
    assert fault.items() <= shown.items(), shown
    assert context.standin.violations() == []
    assert context.standin.stop() == status


@then("process answers a request sent while it is frozen only after it is thawed")
def check_frozen(context):
    answers = []

    async def call(client):
        response = await client.request("GET", "/anything")
        answers.append(response.ok.status)

    async def send_and_thaw():
        client = HttpClient(context.standin.url, timeout_s=5.0)
        context.standin.freeze()
        async with create_task_group() as tasks:
            tasks.start_soon(call, client)
            await sleep(0.1)
            answers_while_frozen = list(answers)
            context.standin.thaw()
        return answers_while_frozen

    assert run(send_and_thaw) == []
    assert answers == [200], answers


@then("process no longer runs after it is killed")
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


@then('process counts {counts} executions for the keys "{keys}" although the first answer is lost')
def check_counts(context, counts, keys):
    async def send_calls():
        client = HttpClient(context.standin.url, timeout_s=2.0)
        context.standin.set_faults(lose_answers=1)
        headers = [{"idempotency-key": key} for key in keys.split()]
        return [(await client.request("POST", "/book", each)).is_ok() for each in headers]

    assert run(send_calls) == [False, True, True]
    assert context.standin.call("GET", "/counts") == json.loads(counts)
