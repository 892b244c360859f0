"""
endless_steps
~~~~~~~~~~~~~

Steps for endpoints that send bytes without end.
"""

import tracemalloc

from anyio import current_time, run, sleep
from behave import then, when
from forwarder_rig import DISCONNECT_ERRORS, ScriptedEndpoint, open_rig
from forwarder_steps import describe, write_request

BLOCK = b"a" * 65_536
#: What each script sends before the bytes that it repeats, those bytes, and the pause between them.
SCRIPTS = {
    "line": ("HTTP/1.1 200 X\r\nx-a: ", BLOCK, 0.0),
    "lines": ("HTTP/1.1 200 X\r\n", b"x-a: b\r\n" * 1000, 0.0),
    "continue": ("", b"HTTP/1.1 100 X\r\n\r\n" * 100, 0.0),
    "stray": ("HTTP/1.1 200 X\r\nx-id: another\r\nx-mark: m\r\n\r\n", BLOCK, 0.0),
    "notrun": ("HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\n\r\n", BLOCK, 0.0),
    "slownotrun": ("HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\n\r\n", b"a", 0.05),
    "failure": ("HTTP/1.1 500 X\r\nx-id: {id}\r\nx-mark: m\r\n\r\n", BLOCK, 0.0),
    "slowfailure": ("HTTP/1.1 500 X\r\nx-id: {id}\r\nx-mark: m\r\n\r\n", b"a", 0.05),
    "event": ("HTTP/1.1 200 X\r\nx-id: {id}\r\nx-mark: m\r\n\r\nid: 1\ndata: ", BLOCK, 0.0),
    "chunk": (
        "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-mark: m\r\ntransfer-encoding: chunked\r\n\r\n1;a=",
        BLOCK,
        0.0,
    ),
    "sizedevent": (
        "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-mark: m\r\ncontent-length: 999999999999\r\n\r\n"
        "id: 1\ndata: ",
        BLOCK,
        0.0,
    ),
    "readbody": ("HTTP/1.1 200 X\r\nx-id: {id}\r\nx-mark: m\r\n\r\n", BLOCK, 0.001),
    "body": ("HTTP/1.1 200 X\r\nx-id: {id}\r\nx-mark: m\r\n\r\n", BLOCK, 0.0),
}


#: What each script sends once, before it closes the connection.
ENDING_SCRIPTS = {
    "half": "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-mark: m\r\ncontent-type: application/json\r\n\r\n["
    + "1, " * 7000,
    "longfailure": "HTTP/1.1 500 X\r\nx-id: {id}\r\nx-mark: m\r\ncontent-length: 20000\r\n\r\n"
    + "a" * 20_000,
}


class EndlessEndpoint(ScriptedEndpoint):
    """An endpoint that sends bytes until the gateway closes the connection, or once."""

    closed = False

    async def do_endless(self, stream, attempt_id, script):
        if script in ENDING_SCRIPTS:
            await stream.send(ENDING_SCRIPTS[script].replace("{id}", attempt_id).encode())
            return False
        head, block, pause_s = SCRIPTS[script]
        try:
            await stream.send(head.replace("{id}", attempt_id).encode())
            while True:
                await stream.send(block)
                await sleep(pause_s)
        except DISCONNECT_ERRORS:
            self.closed = True
        return False


async def ask(context, request, script, memory_bytes=None):
    sound = "rest" if "resume" in request else "ok"
    async with open_rig(["down", sound]) as rig:
        rig.memory.configure(memory_bytes)
        endpoint = EndlessEndpoint("e1", f"endless:{script}")
        await rig.serve_endpoint(endpoint)
        # The first request goes to the endpoint without end.
        rig.endpoint_table.note_failure("e2", current_time(), False)
        started_s = current_time()
        if script == "body":
            stream = await rig.send(write_request(request))
            await sleep(1.4)
            context.raw = (await stream.receive())[:1000]
            await stream.aclose()
        elif script == "readbody":
            stream = await rig.send(write_request(request))
            context.raw = await read_tail(stream)
        else:
            context.raw = await rig.ask(write_request(request))
        context.seconds = current_time() - started_s
        # A slow endpoint sees that its connection was closed when it sends twice more.
        await sleep(0.3)
        context.closed = endpoint.closed
        context.metrics = rig.metrics.render().decode()
        context.unfinished = rig.memory.unfinished_parts.size_bytes


async def read_tail(stream):
    """:return: the last bytes that are received on a connection until it ends"""
    found = b""
    try:
        while True:
            found = await stream.receive()
    except DISCONNECT_ERRORS:
        await stream.aclose()
        return found[-1000:]


@when(
    'endless: "{request}" goes to an endpoint that sends "{script}" without end, and then to a '
    "sound one"
)
def send_request(context, request, script):
    # Tracing memory slows the gateway down, so that time is measured without it.
    tracemalloc.start()
    run(ask, context, request, script)
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    run(ask, context, request, script)


@when(
    'endless: with a memory limit of {limit:d} bytes, "{request}" goes to an endpoint that sends '
    '"{script}", and then to a sound one'
)
def send_with_limit(context, limit, request, script):
    run(ask, context, request, script, limit)


@then('endless: the status of the answer is "{answer}"')
def check_status(context, answer):
    found = context.raw.split()[1].decode()
    assert found == answer, context.raw[:200]
    assert context.unfinished == 0, context.unfinished


@then('endless: the answer is "{answer}", and the fault counted is "{fault}"')
def check_fault(context, answer, fault):
    assert describe(context.raw) == answer, context.raw
    lines = [each for each in context.metrics.splitlines() if "faulty_answers_total{" in each]
    assert lines == [f'kingcupdyke_faulty_answers_total{{fault="{fault}"}} 1.0'], lines
    assert context.unfinished == 0, context.unfinished


@then('endless: the answer is "{answer}" within {seconds:g} s')
def check_answer(context, answer, seconds):
    found = "cut" if context.raw.endswith(b"!") or b"aaaa" in context.raw else None
    found = found or describe(context.raw)
    assert found == answer, (found, context.seconds)
    assert context.seconds <= seconds, context.seconds


@then("endless: at most {limit:d} MB have been used")
def check_memory(context, limit):
    assert context.peak_bytes <= limit * 1_000_000, context.peak_bytes


@then("endless: the connection to the endpoint is closed")
def check_closed(context):
    assert context.closed
