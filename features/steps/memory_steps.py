"""
memory_steps
~~~~~~~~~~~~

Steps of hosts that die, are replaced, or wake after their successor began.
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
    def reached():
        body = make_body(model, 3, False)
        return send(context, gateway, "POST", "/v1/chat/completions", body).status == 200

    wait_until(reached, seconds, f"{model} is reachable")


@then("the host {name} is replaced")
def replace_host(context, name):
    context.site.start_sidecar(context.plans_by_name[name])


@when("sidecar {name} is frozen and a successor is started")
def freeze_and_succeed(context, name):
    context.frozen = context.site.sidecars_by_name[name]
    context.frozen.freeze()
    context.site.restart_sidecar(context.plans_by_name[name])


@then("the frozen one wakes and takes no work")
def check_superseded(context):
    context.frozen.thaw()
    process = context.frozen

    async def ask():
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

    def refused():
        reply = anyio.run(ask)
        return reply.HasField("refusal") and "later sidecar" in reply.refusal.reason

    wait_until(refused, 6.0, "the frozen sidecar refuses as superseded")
    process.kill()
