"""
answerlimit_steps
~~~~~~~~~~~~~~~~~

Steps for answers that are too long, too large once decoded, or too slow.
"""

import json
import tracemalloc
from contextlib import suppress
from unicodedata import lookup

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    create_task_group,
    create_tcp_listener,
    current_time,
    run,
    sleep,
)
from anyio.abc import SocketAttribute
from behave import then, when

from kingcupdyke_wire.answerlimit import choose_store_limit, estimate_decoded_bytes
from kingcupdyke_wire.engine import HttpEngineClient
from kingcupdyke_wire.hostlist import HostListClient
from kingcupdyke_wire.http import HttpClient
from kingcupdyke_wire.store import HttpStoreClient

TIMEOUT_S = 0.5
#: Timeout of calls whose duration is not checked: tracing memory slows them down.
LONG_TIMEOUT_S = 20.0
BLOCK_BYTES = 65_536
DEPTH = 90
HEAD = "HTTP/1.1 200 X\r\ncontent-type: application/json\r\n"
SHAPES = {
    "deep list": "[" * DEPTH + "]" * DEPTH + ",",
    "deep object": '{"":' * DEPTH + "1" + "}" * DEPTH + ",",
}
TEXTS = {
    "text": lambda size: json.dumps("a" * size + lookup("GRINNING FACE"), ensure_ascii=False),
    "escaped text": lambda size: json.dumps("a" * size + lookup("GRINNING FACE")),
    "cjk text": lambda size: json.dumps("\u4e2d" * (size // 3), ensure_ascii=False),
    "names": lambda size: json.dumps({f"{number:x}": [] for number in range(size // 10)}),
}


def make_json(unit, size):
    """:return: about so many bytes of JSON"""
    if unit in TEXTS:
        return TEXTS[unit](size).encode()
    unit = SHAPES.get(unit, unit).replace("\\N{GRINNING FACE}", lookup("GRINNING FACE")).encode()
    return b"[" + unit * (size // len(unit)) + unit.rstrip(b",") + b"]"


async def call_store(url, timeout_s, call):
    client = HttpStoreClient(url, timeout_s)
    result = await call(client)
    await client.aclose()
    return result


async def call_engine(url, timeout_s, call):
    client = HttpEngineClient(url, timeout_s)
    result = await call(client)
    await client.aclose()
    return result


async def list_hosts(url, timeout_s):
    client = HostListClient(url)
    result = await client.hosts()
    await client.aclose()
    return result


async def request_whole(url, timeout_s):
    client = HttpClient(url, timeout_s)
    result = await client.request("GET", "/")
    await client.aclose()
    return result


CALLS = {
    "a list of the store": lambda *at: call_store(*at, lambda each: each.list("k")),
    "a watch of the store": lambda *at: call_store(*at, lambda each: each.watch("k", 1, 0.1)),
    "a get of the store": lambda *at: call_store(*at, lambda each: each.get("k", "n")),
    "an order to an engine": lambda *at: call_engine(
        *at, lambda each: each.order("o", 1, "load", "m", "", "1", "", 1, 1.0)
    ),
    "a question for an engine's inventory": lambda *at: call_engine(
        *at, lambda each: each.inventory()
    ),
    "a question for an engine's load": lambda *at: call_engine(*at, lambda each: each.load()),
    "a question for cache events": lambda *at: call_engine(
        *at, lambda each: each.cache_events(0, 0.1)
    ),
    "a question for a KV cache": lambda *at: call_engine(*at, lambda each: each.kv_export("r")),
    "a list of hosts": list_hosts,
    "a whole answer": request_whole,
}


async def send_body(stream, framing, blocks, size, pause_s=0.0):
    """Send an answer in blocks, framed as the scenario says."""
    if framing == "with a length":
        await stream.send(f"{HEAD}content-length: {size}\r\n\r\n".encode())
    elif framing == "in chunks":
        await stream.send(f"{HEAD}transfer-encoding: chunked\r\n\r\n".encode())
    else:
        await stream.send(f"{HEAD}\r\n".encode())
    for block in blocks:
        is_chunked = framing == "in chunks"
        await stream.send(b"%x\r\n%b\r\n" % (len(block), block) if is_chunked else block)
        await sleep(pause_s)
    if framing == "in chunks":
        await stream.send(b"0\r\n\r\n")


async def ask(context, call, timeout_s, send):
    async def serve(stream):
        async with stream:
            await stream.receive()
            with suppress(BrokenResourceError, ClosedResourceError):
                await send(stream)

    listener = (await create_tcp_listener(local_host="127.0.0.1")).listeners[0]
    host, port = listener.extra(SocketAttribute.local_address)
    async with create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        started_s = current_time()
        context.result = await CALLS[call](f"http://{host}:{port}", timeout_s)
        context.seconds = current_time() - started_s
        tasks.cancel_scope.cancel()


@then(
    'answerlimit: decoding {size:d} bytes of "{unit}" takes no more than is estimated, and at '
    "least an eighth of it"
)
def check_estimate(context, size, unit):
    body = make_json(unit, size)
    tracemalloc.start()
    value = json.loads(body.decode())
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert value
    estimate_bytes = estimate_decoded_bytes(body)
    assert peak_bytes <= estimate_bytes <= 8 * peak_bytes, (peak_bytes, estimate_bytes)


@when('answerlimit: a server answers to {call} with {size:d} bytes of "{unit}", {framing}')
def answer_large(context, call, size, unit, framing):
    body = make_json(unit, size)
    blocks = [body[at : at + BLOCK_BYTES] for at in range(0, len(body), BLOCK_BYTES)]

    async def send(stream):
        await send_body(stream, framing, blocks, len(body))

    tracemalloc.start()
    run(ask, context, call, LONG_TIMEOUT_S, send)
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@when("answerlimit: a server answers to {call} with a byte every {pause_s:g} s, {framing}")
def answer_slowly(context, call, pause_s, framing):
    async def send(stream):
        await send_body(stream, framing, [b" "] * 1000, 1000, pause_s)

    run(ask, context, call, TIMEOUT_S, send)


@then('answerlimit: the call fails with "{fault}"')
def check_fault(context, fault):
    assert context.result.is_error(), str(context.result)[:200]
    assert context.result.error.fault == fault, context.result.error


@then("answerlimit: the call fails without a fault after {least_s:g} to {most_s:g} s")
def check_slow(context, least_s, most_s):
    assert context.result.error.fault is None, context.result.error
    assert least_s <= context.seconds <= most_s, context.seconds


@then("answerlimit: at most {limit:d} MB have been used")
def check_memory(context, limit):
    assert context.peak_bytes <= limit * 1_000_000, context.peak_bytes


@then(
    "answerlimit: with a memory limit of {memory:d} bytes, decoding an answer of the store may "
    "take {decoded:d} bytes"
)
def check_store_limit(context, memory, decoded):
    assert choose_store_limit(memory).decoded_bytes == decoded
