"""
stop_steps
~~~~~~~~~~

Steps that stop, drain or restart processes as planned.
"""

from concurrent.futures import ThreadPoolExecutor
from threading import Event
from time import sleep

import anyio
from behave import step, then, when
from caller_steps import is_complete, make_body, send
from grpclib.client import Channel
from site_steps import find_process, start_again, wait_ready

from kingcupdyke_wire.sidecar_grpc import SidecarStub
from kingcupdyke_wire.sidecar_pb2 import DrainRequest

CALLER_COUNT = 4
STOP_TIMEOUT_S = 15.0


@step("{name} is asked to stop")
def ask_to_stop(context, name):
    find_process(context, name).terminate()


@then("{name} exits cleanly within {seconds:g} s")
def check_exit(context, name, seconds):
    assert find_process(context, name).wait(seconds) == 0


@when("the operator drains sidecar {name}")
def drain(context, name):
    process = context.site.sidecars_by_name[name]

    async def send_drain():
        channel = Channel(process.address, process.port)
        await SidecarStub(channel).Drain(DrainRequest(reason="tests"))
        channel.close()

    anyio.run(send_drain)


@then("no answer came from {name}")
def check_endpoints(context, name):
    endpoints = {answer.headers["x-endpoint"] for answer, _ in context.answers}
    assert name not in endpoints, endpoints


@when("callers keep asking {model} while all gateways are restarted in turn")
def restart_gateways(context, model):
    stop = Event()
    context.model = model
    context.answers = []

    def keep_asking(index):
        while not stop.is_set():
            names = [n for n, p in context.site.gateways_by_name.items() if p.is_running()]
            body = make_body(model, 20, index % 2 == 0, f"caller {index}")
            answer = send(context, names[index % len(names)], "POST", "/v1/chat/completions", body)
            context.answers.append((answer, body))
            sleep(0.02)

    with ThreadPoolExecutor(CALLER_COUNT) as pool:
        for index in range(CALLER_COUNT):
            pool.submit(keep_asking, index)
        try:
            for name in list(context.site.gateways_by_name):
                process = find_process(context, f"gateway {name}")
                process.terminate()
                assert process.wait(STOP_TIMEOUT_S) == 0
                start_again(context, f"gateway {name}")
                wait_ready(context)
        finally:
            stop.set()


@then("no answer was truncated")
def check_answers(context):
    assert len(context.answers) > CALLER_COUNT * 5, len(context.answers)
    for answer, body in context.answers:
        # A gateway that has exited refuses the connection, so the request was never in progress.
        refused = answer.status == 0 and answer.seconds < 0.5
        not_run = answer.status == 503 and answer.error["outcome"] == "not_run"
        assert refused or not_run or is_complete(answer, body, context.model), answer
