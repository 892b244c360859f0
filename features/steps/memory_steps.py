"""
memory_steps
~~~~~~~~~~~~

Steps that replace hosts, or pause a sidecar while its successor takes over.
"""

import anyio
from behave import then, when
from caller_steps import make_body, send
from grpclib.client import Channel
from site_steps import wait_until

from kingcupdyke_wire.sidecar_grpc import SidecarStub
from kingcupdyke_wire.sidecar_pb2 import RunRequest


@then("{model} is reachable within {seconds:g} s at {gateway}")
def check_reachable(context, model, seconds, gateway):
    def is_reachable():
        body = make_body(model, 3, False)
        return send(context, gateway, "POST", "/v1/chat/completions", body).status == 200

    wait_until(is_reachable, seconds, f"{model} is reachable")


@then("the host {name} is replaced")
def replace_host(context, name):
    context.site.start_sidecar(context.plans_by_name[name])


@when("sidecar {name} is paused and its successor is started")
def pause_and_start_successor(context, name):
    context.paused_sidecar = context.site.sidecars_by_name[name]
    context.paused_sidecar.freeze()
    context.site.restart_sidecar(context.plans_by_name[name])


@then("the paused sidecar resumes and rejects requests as superseded")
def check_superseded(context):
    context.paused_sidecar.thaw()
    process = context.paused_sidecar

    async def send_late_request():
        channel = Channel(process.address, process.port)
        request = RunRequest(
            request_id="late",
            attempt_id=f"late-{anyio.current_time()}",
            target="chat-7b",
            service_class="interactive",
            path="/v1/chat/completions",
            method="POST",
            deadline_ms=500,
            idempotent=True,
        )
        replies = await SidecarStub(channel).Run(request)
        channel.close()
        return replies[-1]

    def is_rejected():
        reply = anyio.run(send_late_request)
        return reply.HasField("refusal") and "later sidecar" in reply.refusal.reason

    wait_until(is_rejected, 6.0, "the paused sidecar rejects requests as superseded")
    process.kill()
