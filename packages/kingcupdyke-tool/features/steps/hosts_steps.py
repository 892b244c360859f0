"""
hosts_steps
~~~~~~~~~~~

Steps for the commands that show, explain and drain hosts.
"""

import json
from contextlib import asynccontextmanager
from functools import partial
from urllib.parse import parse_qs, urlsplit

from anyio import create_task_group, create_tcp_listener, run, sleep_forever
from anyio.abc import SocketAttribute
from behave import given, then, when
from expression import Error, Ok
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.host import Host
from kingcupdyke_tool import hostcalls
from kingcupdyke_tool.hosts import drain_host, explain_model, show_status
from kingcupdyke_wire.sidecar_grpc import SidecarBase
from kingcupdyke_wire.sidecar_pb2 import DescribeReply, DrainReply, Load

GB = 10**9
TOKEN = "a token"
STATUS = {"config_version": 4, "in_flight": 2, "leaving": False}
#: What a gateway sends in place of its answers.
BODY_BY_FAULT = {
    "gateway garbles": b"<p>",
    "gateway floods": b"[" + b" " * 5_000_000 + b"]",
    "gateway nests": b"[" + b"[]," * 1_000_000 + b"[]]",
}
EXPLANATION = {"candidates": [{"endpoint": "e1", "running": 3}]}


class FakeSidecar(SidecarBase):
    """A sidecar that answers operators, hangs or rejects their token."""

    def __init__(self, fault):
        self.hangs = fault == "sidecar hangs"
        self.token = "another" if fault == "sidecar rejects" else TOKEN

    async def Describe(self, stream):  # noqa: N802
        await stream.recv_message()
        if self.hangs:
            await sleep_forever()
        reply = DescribeReply(capacity_bytes=80 * GB, reserved_bytes=14 * GB, models=["cs-7b"])
        reply.config_version = 4
        reply.load.CopyFrom(Load(running=2, waiting=1))
        await stream.send_message(reply)

    async def Drain(self, stream):  # noqa: N802
        request = await stream.recv_message()
        if self.hangs:
            await sleep_forever()
        if request.token != self.token:
            raise GRPCError(Status.PERMISSION_DENIED, "an operator's token is needed")
        await stream.send_message(DrainReply(in_flight=3))

    Run = Cancel = Order = Beat = Describe


async def answer_http(fault, connection):
    async with connection:
        head = (await connection.receive()).decode()
        method, target, _ = head.split(" ", 2)
        status, data = answer_route(fault, method, urlsplit(target))
        if f"Bearer {TOKEN}" not in head or fault == "gateway rejects":
            status, data = 401, {"error": "an operator's token is needed"}
        status = 600 if fault == "gateway strays" else status
        body = BODY_BY_FAULT.get(fault, json.dumps(data).encode())
        await connection.send(
            f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body
        )


def answer_route(fault, method, target):
    route = (method, target.path)
    if route == ("GET", "/admin/status"):
        return 200, STATUS
    if route == ("POST", "/admin/drain"):
        return 200, {"in_flight": 2}
    query = parse_qs(target.query)
    if route == ("GET", "/admin/explain") and query["model"] == ["cs-7b"]:
        assert query["caller"] == ["app & co"]
        return 200, EXPLANATION
    return 404, {"error": "no rule names the model"}


@asynccontextmanager
async def serve(fault):
    """Run a gateway and a sidecar and yield their entries of the host list."""
    server = Server([FakeSidecar(fault)])
    await server.start("127.0.0.1", 0)
    sidecar_port = server._server.sockets[0].getsockname()[1]
    listener = await create_tcp_listener(local_host="127.0.0.1")
    gateway_port = listener.extra(SocketAttribute.local_port)
    location = ("bohemia", "praha-1", "live")
    hosts = [
        Host("g1", "127.0.0.1", gateway_port, "gateway", *location),
        Host("e1", "127.0.0.1", sidecar_port, "sidecar", *location),
    ]
    async with create_task_group() as group:
        if fault == "sidecar stopped":
            server.close()
        if fault == "gateway stopped":
            await listener.aclose()
        else:
            group.start_soon(listener.serve, partial(answer_http, fault))
        yield hosts
        group.cancel_scope.cancel()
    server.close()
    await server.wait_closed()


@given('tool hosts at version 4 with the fault "{fault}"')
def give_fault(context, fault):
    context.fault = fault


def run_command(context, command):
    async def run_with_hosts():
        async with serve(context.fault) as hosts:
            return await command(hosts)

    timeout_s, hostcalls.CALL_TIMEOUT_S = hostcalls.CALL_TIMEOUT_S, 0.3
    try:
        context.report = run(run_with_hosts)
    finally:
        hostcalls.CALL_TIMEOUT_S = timeout_s


@when("tool status runs with the store at {head}")
def run_status(context, head):
    failure = Failure(Outcome.NOT_RUN, Step.STORE, "store", "down")
    head = Error(failure) if head == "away" else Ok(int(head.split()[1]))
    run_command(context, lambda hosts: show_status(hosts, head, TOKEN))


@when('tool drain runs for "{host}"')
def run_drain(context, host):
    run_command(context, lambda hosts: drain_host(hosts, host, TOKEN))


@when('tool explain runs for "{model}" and caller "{caller}"')
def run_explain(context, model, caller):
    run_command(context, lambda hosts: explain_model(hosts, model, caller, TOKEN))


@then('tool hosts end with code {code:d} and print "{text}"')
def check_report(context, code, text):
    assert context.report.code == code, context.report
    assert text in " ".join(context.report.text.split()), context.report.text
