"""
badinput_steps
~~~~~~~~~~~~~~

Steps that send invalid input to each kind of port.
"""

import json
from random import Random
from socket import create_connection
from time import monotonic, sleep

import anyio
from behave import then, when
from caller_steps import count_in_flight, make_body
from grpclib.client import Channel, UnaryStreamMethod
from grpclib.const import Cardinality
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from site_steps import find_process, wait_until

from kingcupdyke_wire.sidecar_grpc import SidecarStub
from kingcupdyke_wire.sidecar_pb2 import OrderRequest, RunReply, RunRequest

HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
EMPTY_SETTINGS = b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
PARTIAL_HEADERS = (
    b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer token-desk\r\n"
)
INPUTS_BY_NAME = {
    "garbage": Random(5).randbytes(4000) + b"\r\n\r\n",
    "an HTTP/1.1 request": b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
    "an oversized frame": HTTP2_PREFACE + EMPTY_SETTINGS + b"\xff\xff\xff\x00\x00\x00\x00\x00\x01",
    "a partial preface": HTTP2_PREFACE[:10],
    "partial headers": PARTIAL_HEADERS,
    "a body that stalls": PARTIAL_HEADERS + b'content-length: 50\r\n\r\n{"model": ',
    "a partial request": b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\nGET /he",
}
#: Size limit of a gRPC message in gateways and sidecars.
MAX_MESSAGE_BYTES = 16 << 20
CALL_TIMEOUT_S = 15.0
VALID_RUN = {
    "request_id": "bad-request",
    "service_class": "interactive",
    "target": "chat-7b",
    "method": "POST",
    "path": "/v1/chat/completions",
    "body": json.dumps(make_body("chat-7b", 3, False)).encode(),
    "deadline_ms": 5000,
    "idempotent": True,
    "content_type": "application/json",
}
SERVICE_RUN_FIELDS = {"target": "bookings", "path": "/confirm", "body": b"{}"}
VALID_ORDER = {"order_id": "bad-order", "kind": "load", "model": "chat-9b", "bytes": 1000}


class RawCodec(CodecBase):
    """Sends messages as given, without encoding them."""

    __content_subtype__ = "proto"

    def encode(self, message, message_type):
        return message

    def decode(self, data, message_type):
        return message_type.FromString(data)


def find_port(context, port, host):
    """:return: address and port of a sidecar or gateway"""
    site = context.site
    process = site.sidecars_by_name.get(host) or site.gateways_by_name[host]
    return process.address, process.ports_by_label[port]


@when("{what} is written to the {port} port of {host}")
def write_raw(context, what, port, host):
    context.connection = create_connection(find_port(context, port, host))
    context.connection.sendall(INPUTS_BY_NAME[what])


@then("the port answers with {answer} and the connection is closed within {seconds:g} s")
def check_closed(context, seconds, answer):
    started_s = monotonic()
    received = b""
    with context.connection as connection:
        connection.settimeout(seconds)
        try:
            while data := connection.recv(65536):
                received += data
        except ConnectionError:
            pass
    assert monotonic() - started_s < seconds
    if answer != "nothing":
        assert received.startswith(f"HTTP/1.1 {answer} ".encode()), received
    if answer == "408":
        error = json.loads(received.partition(b"\r\n\r\n")[2])["error"]
        assert (error["outcome"], error["step"]) == ("not_run", "parse"), error


@then("every gateway and sidecar still runs")
def check_daemons_run(context):
    site = context.site
    sleep(0.1)
    daemons = site.sidecars_by_name | site.gateways_by_name
    stopped = [name for name, each in daemons.items() if not each.is_running()]
    assert not stopped, stopped


def call(context, port, host, ask):
    """Call a process and keep the result and the duration of the call."""

    async def connect():
        channel = Channel(*find_port(context, port, host), codec=context.codec)
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                return await ask(channel)
        finally:
            channel.close()

    started_s = monotonic()
    context.call = anyio.run(connect)
    context.call_s = monotonic() - started_s


async def send_raw(channel, method, what):
    """:return: name of the gRPC status that the call ends with"""
    data = {
        "invalid bytes": b"\xff" * 40,
        "nothing": b"",
        "an oversized message": b"",
        "a truncated message": b"",
        "a compressed message": b"",
    }[what]
    path = f"/kingcupdyke.v1.{method}"
    try:
        async with channel.request(path, Cardinality.UNARY_STREAM, bytes, RunReply) as stream:
            await stream.send_request()
            if what == "an oversized message":
                await stream._stream.send_data(
                    b"\x00" + (MAX_MESSAGE_BYTES + 1).to_bytes(4, "big") + b"x" * 1000
                )
            elif what == "a truncated message":
                await stream._stream.send_data(b"\x00\x00\x00\x01\x00xyz", end_stream=True)
            elif what == "a compressed message":
                await stream._stream.send_data(b"\x01\x00\x00\x00\x01x", end_stream=True)
            else:
                await stream.send_message(data, end=True)
            await stream.recv_message()
    except GRPCError as error:
        return error.status.name
    return "OK"


@when("{method} is called with {what} at the {port} port of {host}")
def call_raw(context, method, what, port, host):
    context.codec = RawCodec()
    call(context, port, host, lambda channel: send_raw(channel, method, what))


@then("the call ends within {seconds:g} s with status {status}")
def check_status(context, seconds, status):
    assert (context.call, context.call_s < seconds) == (status, True), context.call


async def send_run(channel, data):
    """:return: all replies to an attempt"""
    method = UnaryStreamMethod(channel, "/kingcupdyke.v1.Sidecar/Run", bytes, RunReply)
    return await method(data)


def make_run(host, **fields):
    """:return: a valid attempt in which the given fields are replaced"""
    base = VALID_RUN | (SERVICE_RUN_FIELDS if host.startswith("app") else {})
    return RunRequest(**(base | {"attempt_id": f"bad-{Random().getrandbits(64)}"} | fields))


@when("Run is called with {field} set to {value} at {host}")
def call_run(context, field, value, host):
    context.codec = RawCodec()
    data = make_run(host, **{field: eval(value)}).SerializeToString()
    call(context, "listening", host, lambda channel: send_run(channel, data))


@when("Order is called with {field} set to {value} at {host}")
def call_order(context, field, value, host):
    context.codec = None
    order = OrderRequest(**(VALID_ORDER | {field: eval(value)}))
    call(context, "listening", host, lambda channel: SidecarStub(channel).Order(order))


@when("Run is called with an unknown field at {host}")
def call_with_unknown_field(context, host):
    context.codec = RawCodec()
    data = make_run(host).SerializeToString() + b"\xfa\x3f\x03abc"
    call(context, "listening", host, lambda channel: send_run(channel, data))


@then('it is rejected as not run with a reason that contains "{reason}"')
def check_rejected(context, reason):
    if isinstance(context.call, list):
        refusal = context.call[-1].refusal
        assert refusal.outcome == "not_run" and refusal.step, context.call
    else:
        refusal = context.call
        assert refusal.state == "refused", refusal
    assert reason in refusal.reason, refusal


@then("it is answered with status {status:d}")
def check_answered(context, status):
    statuses = [each.start.status for each in context.call if each.HasField("start")]
    assert statuses == [status] and context.call[-1].HasField("end"), context.call


@when("a caller disconnects in the middle of a stream of {model} at {gateway}")
def disconnect_in_stream(context, model, gateway):
    body = json.dumps(make_body(model, 2000, True)).encode()
    head = PARTIAL_HEADERS.replace(b"/v1/completions", b"/v1/chat/completions")
    with create_connection(find_port(context, "listening", gateway)) as connection:
        connection.sendall(head + b"content-length: %d\r\n\r\n" % len(body) + body)
        assert connection.recv(100)
    context.gateway = gateway


@then("no request is in flight any more within {seconds:g} s")
def check_nothing_in_flight(context, seconds):
    def is_idle():
        engines = context.site.engines_by_name.values()
        running = [each.call("GET", "/admin/load")["running"] for each in engines]
        return not any(running) and not count_in_flight(context, context.gateway)

    assert find_process(context, f"gateway {context.gateway}").is_running()
    wait_until(is_idle, seconds, "no request is in flight")
