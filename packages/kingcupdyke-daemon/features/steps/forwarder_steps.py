"""
forwarder_steps
~~~~~~~~~~~~~~~

Steps for the HTTP front of a forwarding gateway.
"""

import re

from anyio import create_task_group, current_time, run, sleep
from behave import given, then, when
from forwarder_rig import make_configuration, open_rig

from kingcupdyke.forwarding.leavingtable import LeavingProcess

TAIL = "HTTP/1.1\r\nhost: a.example\r\nx-id: {id}\r\nconnection: close\r\n\r\n"
EVENT_ID = re.compile(rb"id: (\d+)")


def write_request(line, attempt_id="r1", is_last=True):
    text = f"{line} {TAIL}".replace("{id}", attempt_id)
    return (text if is_last else text.replace("connection: close\r\n", "")).encode()


def describe(answer):
    """:return: status and body, or ``cut`` if the answer is truncated"""
    head, _, body = answer.partition(b"\r\n\r\n")
    if not answer:
        return "closed"
    status = head.split()[1].decode()
    if b"transfer-encoding: chunked" in head.lower():
        if not body.endswith(b"0\r\n\r\n"):
            return "cut"
        return describe_body(status, decode_chunks(body))
    length = int(re.search(rb"content-length: (\d+)", head.lower()).group(1))
    if len(body) != length:
        return "cut"
    if EVENT_ID.search(body):
        return describe_body(status, body)
    is_gateway_error = b'"error"' in body
    return status if is_gateway_error else f"{status} {body.decode()}"


def describe_body(status, body):
    """:return: status and body, or the ids of its events"""
    ids = b",".join(EVENT_ID.findall(body)).decode()
    return f"{status} events {ids}" if ids else f"{status} {body.decode()}"


def decode_chunks(body):
    """:return: the contents of a chunked body"""
    content = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        content += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return content


def ask(context, data, scripts, prepare=lambda rig: None):
    async def job():
        async with open_rig(scripts) as rig:
            prepare(rig)
            context.raw = await rig.ask(data)
            context.endpoints = rig.endpoints

    run(job)


@when('forwarder: "{request}" goes to endpoints with the scripts "{scripts}"')
def send_request(context, request, scripts):
    ask(context, write_request(request), scripts.split("; "))


@when('forwarder: within {timeout:g} s "{request}" goes to endpoints with the scripts "{scripts}"')
def send_request_with_timeout(context, timeout, request, scripts):
    def prepare(rig):
        rig.handler.configuration = make_configuration(1, timeout, rig.limits)

    ask(context, write_request(request), scripts.split("; "), prepare)


@then('forwarder: the answer is "{answer}"')
def check_answer(context, answer):
    assert describe(context.raw) == answer, context.raw


@then('forwarder: the endpoints received "{counts}" requests')
def check_received(context, counts):
    found = " ".join(str(len(each.requests)) for each in context.endpoints)
    assert found == counts, found


@when(
    "forwarder: {count:d} idempotent requests fail at two endpoints with a budget of {budget:d} "
    "retries"
)
def fail_often(context, count, budget):
    async def job():
        async with open_rig(["fail", "fail"], retry_allowance=budget) as rig:
            for number in range(count):
                await rig.ask(write_request("GET /safe/1", f"r{number}"))
            context.endpoints = rig.endpoints

    run(job)


@then("forwarder: the endpoints received at most {max_count:d} requests in total")
def check_total(context, max_count):
    total = sum(len(each.requests) for each in context.endpoints)
    assert 20 < total <= max_count, total


def forget_configuration(rig):
    rig.handler.configuration = None


def make_configuration_stale(rig):
    rig.handler.is_configuration_fresh = False


def reject_all(rig):
    rig.handler.reject_from_s = 0.0


SITUATIONS = {
    "no configuration is known": ("GET /safe/1", forget_configuration),
    "the routes may be stale and none matches": ("GET /none/1", make_configuration_stale),
    "the gateway is stopping and rejects requests": ("GET /safe/1", reject_all),
}


@when("forwarder: a request arrives while {situation}")
def ask_in_situation(context, situation):
    line, prepare = SITUATIONS[situation]
    ask(context, write_request(line), ["ok"], prepare)


@then("forwarder: the answer has a Retry-After header")
def check_retry_after(context):
    assert b"retry-after: " in context.raw.lower(), context.raw


@when("forwarder: a client disconnects while the endpoint works")
def disconnect_during_work(context):
    async def job():
        async with open_rig(["hang"]) as rig:
            stream = await rig.send(write_request("GET /safe/1"))
            await sleep(0.1)
            assert len(rig.endpoints[0].requests) == 1
            context.disconnected_s = current_time()
            await stream.aclose()
            await sleep(0.25)
            context.endpoints = rig.endpoints
            context.loads = rig.dispatcher.list_loads()

    run(job)


@then("forwarder: the connection to the endpoint is closed within {limit:g} s")
def check_closed(context, limit):
    (closed_s,) = context.endpoints[0].closed_times_s
    assert closed_s - context.disconnected_s <= limit, closed_s - context.disconnected_s


@then("forwarder: no request counts as in progress")
def check_idle(context):
    assert context.loads == (), context.loads


@when("forwarder: a client disconnects while its request waits for a free slot")
def disconnect_while_waiting(context):
    async def job():
        async with open_rig(["hang hang hang hang ok"]) as rig:
            busy = [await rig.send(write_request("GET /safe/1", f"b{n}")) for n in range(4)]
            await sleep(0.1)
            waiting = await rig.send(write_request("GET /safe/1", "late"))
            await sleep(0.05)
            assert rig.dispatcher.waiting == 1
            await waiting.aclose()
            for each in busy:
                await each.aclose()
            await sleep(0.2)
            context.endpoints = rig.endpoints
            context.loads = rig.dispatcher.list_loads()

    run(job)


@when("forwarder: an endpoint leaves just after a waiting request was assigned to it")
def leave_after_decision(context):
    async def job():
        async with open_rig(["hang hang hang hang ok"]) as rig:
            busy = [await rig.send(write_request("GET /safe/1", f"b{n}")) for n in range(4)]
            await sleep(0.1)
            late = await rig.send(write_request("GET /safe/1", "late"))
            await sleep(0.05)
            ((endpoint, state),) = rig.endpoint_table.state_by_id.items()
            # Without a wait in between: the task of the request runs after both.
            rig.dispatcher.cancel("b0", endpoint)
            rig.handler._deps.queue.poll(rig.timer.now())
            assert "late" in state.tokens_by_attempt
            rig.endpoint_table.note_leaving(LeavingProcess(endpoint, state.entry.started_ms))
            await sleep(0.1)
            for each in (*busy, late):
                await each.aclose()
            await sleep(0.2)
            context.endpoints = rig.endpoints
            context.loads = rig.dispatcher.list_loads()

    run(job)


@then("forwarder: the request never reaches the endpoint")
def check_never_sent(context):
    assert len(context.endpoints[0].requests) == 4, context.endpoints[0].requests


@when('forwarder: the bytes "{text}" are sent')
def send_bytes(context, text):
    text = text.replace("\\r", "\r").replace("\\n", "\n")
    text = re.sub(r"\{(\d+)\}", lambda match: "x" * int(match[1]), text)
    ask(context, text.encode(), ["ok"])


@when("forwarder: a body holds a second request")
def smuggle(context):
    context.body = b"GET /safe/2 HTTP/1.1\r\nhost: a.example\r\nx-id: r2\r\n\r\n"
    head = write_request("POST /safe/1").replace(
        b"\r\n\r\n", b"\r\ncontent-length: %d\r\n\r\n" % len(context.body)
    )
    ask(context, head + context.body, ["ok"])


@then("forwarder: the endpoint receives one request with that body")
def check_smuggled(context):
    ((_, body),) = context.endpoints[0].requests
    assert body == context.body
    assert describe(context.raw) == "200 e1"


@when("forwarder: three requests are pipelined on one connection")
def send_pipelined(context):
    lines = [("GET /safe/1", "r1"), ("GET /safe/2", "r2"), ("GET /safe/3", "r3")]
    data = b"".join(write_request(line, name, name == "r3") for line, name in lines)
    ask(context, data, ["ok"])


@then("forwarder: three answers arrive in their order")
def check_pipelined(context):
    assert re.findall(rb"x-id: (\w+)", context.raw) == [b"r1", b"r2", b"r3"], context.raw


@when("forwarder: a chunked body is sent")
def send_chunks(context):
    head = write_request("POST /safe/1").replace(
        b"\r\n\r\n", b"\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    ask(context, head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", ["ok"])


@then("forwarder: the endpoint receives the complete body")
def check_body(context):
    ((_, body),) = context.endpoints[0].requests
    assert body == b"abcde", body


@when("forwarder: an incomplete head is sent")
def send_half(context):
    async def job():
        async with open_rig(["ok"]) as rig:
            started_s = current_time()
            context.raw = await rig.ask(b"GET /safe/1 HTTP/1.1\r\nhost: a")
            context.seconds = current_time() - started_s

    run(job)


@then("forwarder: the connection is closed within {limit:g} s")
def check_seconds(context, limit):
    assert context.seconds <= limit, context.seconds


@when("forwarder: a connection is used twice {interval_s:g} s apart")
def use_twice(context, interval_s):
    async def job():
        async with open_rig(["ok"]) as rig:
            stream = await rig.send(write_request("GET /safe/1", "r1", False))
            context.first = await stream.receive()
            await sleep(interval_s)
            await stream.send(write_request("GET /safe/1", "r2", False))
            context.second = await stream.receive()
            started_s = current_time()
            await rig.read_all(stream)
            context.seconds = current_time() - started_s

    run(job)


@then("forwarder: both requests are answered")
def check_both(context):
    assert b"x-id: r1" in context.first
    assert b"x-id: r2" in context.second


@then("forwarder: the connection is closed within {limit:g} s after that")
def check_idle_end(context, limit):
    assert 0.3 <= context.seconds <= limit, context.seconds


@when("forwarder: {count:d} requests are sent one after the other")
def send_many(context, count):
    async def job():
        async with open_rig(["ok"]) as rig:
            for number in range(count):
                await rig.ask(write_request("POST /once/1", f"r{number}"))
            context.endpoints = rig.endpoints

    run(job)


@then("forwarder: the endpoint has accepted one connection")
def check_connections(context):
    assert context.endpoints[0].connections == 1, context.endpoints[0].connections


@when("forwarder: an endpoint answers twice and receives a second request")
def answer_twice(context):
    async def job():
        async with open_rig(["twice ok"]) as rig:
            context.first = await rig.ask(write_request("GET /safe/1", "r1"))
            await sleep(0.05)
            context.second = await rig.ask(write_request("GET /safe/1", "r2"))

    run(job)


@then("forwarder: each request received its own answer")
def check_own(context):
    assert describe(context.first) == "200 first"
    assert describe(context.second) == "200 e1"


@when("forwarder: the process ends while an endpoint works")
def end_during_work(context):
    async def job():
        async with open_rig(["hang"]) as rig:

            async def ask_one():
                context.raw = await rig.ask(write_request("POST /once/1"))

            async with create_task_group() as tasks:
                tasks.start_soon(ask_one)
                await sleep(0.1)
                rig.handler.cancel_all()

    run(job)


@when('forwarder: a client of HTTP/1.0 reads the answer to "{line}" when {case}')
def read_http_1_0(context, line, case):
    async def job():
        script = "cutevents" if case == "the endpoint breaks off" else "latecut"
        async with open_rig([script]) as rig:
            stream = await rig.send(
                f"{line} HTTP/1.0\r\nhost: a.example\r\nx-id: r1\r\n\r\n".encode()
            )
            context.raw = await stream.receive()
            while b"id: 1" not in context.raw:
                context.raw += await stream.receive()
            if script == "cutevents":
                context.raw += await rig.read_all(stream)
        if script == "latecut":
            context.raw += await rig.read_all(stream)

    run(job)


@then("forwarder: its connection is reset after a part of the answer")
def check_reset(context):
    assert b"transfer-encoding" not in context.raw.lower(), context.raw
    assert context.raw.endswith(b"!"), context.raw


@given('forwarder: endpoints with the scripts "{scripts}"')
def give_endpoints(context, scripts):
    context.scripts = scripts.split("; ")


@when('forwarder: a client\'s stream breaks off, and "{gone}" is gone')
def break_off(context, gone):
    context.gone = gone


@when('forwarder: the client continues it with the header "{header}"')
def continue_stream(context, header):
    async def job():
        # Without a budget of retries, the gateway leaves it to the client to continue.
        async with open_rig(context.scripts, retry_allowance=0.0) as rig:
            context.raw = await rig.ask(write_request("GET /resume/1"))
            assert describe(context.raw) == "cut", context.raw
            rig.endpoint_table.remove(context.gone, 0.0, False)
            fields = f"last-event-id: 2\r\n{header}\r\n".encode()
            request = write_request("GET /resume/1", "r2")
            context.raw = await rig.ask(request.replace(b"connection:", fields + b"connection:"))
            context.endpoints = rig.endpoints

    run(job)
