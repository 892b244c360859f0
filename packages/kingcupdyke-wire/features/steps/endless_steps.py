"""
endless_steps
~~~~~~~~~~~~~

Steps for servers that send bytes without end.
"""

import tracemalloc

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

from kingcupdyke.error import Outcome
from kingcupdyke_wire.engine import HttpEngineClient
from kingcupdyke_wire.http import ExchangeError, HttpClient

BLOCK = b"a" * 65_536


async def send_request(url):
    """:return: the failure of a request"""
    client = HttpClient(url, timeout_s=10.0)
    answer = await client.request("GET", "/")
    await client.aclose()
    return answer.error


async def run_engine(url):
    """:return: the failure of a streaming run"""
    client = HttpEngineClient(url, timeout_s=10.0)
    try:
        async with client.open_run("/v1/completions", b"{}", "r1", 0, "") as opened:
            async for _ in opened.parts:
                pass
    except ExchangeError as error:
        return error.failure
    finally:
        await client.aclose()


CLIENTS = {"a request": send_request, "a streaming run of an engine": run_engine}


@when('endless: a server sends "{start}" and then bytes without end to {client}')
def exchange(context, start, client):
    head = start.replace("\\r", "\r").replace("\\n", "\n").encode()
    context.closed = False

    async def serve(stream):
        async with stream:
            await stream.receive()
            try:
                await stream.send(head)
                while True:
                    await stream.send(BLOCK)
            except (BrokenResourceError, ClosedResourceError):
                context.closed = True

    async def job():
        listener = (await create_tcp_listener(local_host="127.0.0.1")).listeners[0]
        host, port = listener.extra(SocketAttribute.local_address)
        async with create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            started_s = current_time()
            context.failure = await CLIENTS[client](f"http://{host}:{port}")
            context.seconds = current_time() - started_s
            await sleep(0.1)
            tasks.cancel_scope.cancel()

    # Tracing memory slows the client down, so that time is measured without it.
    tracemalloc.start()
    run(job)
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    run(job)


@then("endless: the exchange fails as unknown within {seconds:g} s")
def check_failure(context, seconds):
    assert context.failure.outcome is Outcome.UNKNOWN, context.failure
    assert context.seconds <= seconds, context.seconds


@then("endless: at most {limit:d} MB have been used")
def check_memory(context, limit):
    assert context.peak_bytes <= limit * 1_000_000, context.peak_bytes


@then("endless: the server's connection is closed")
def check_closed(context):
    assert context.closed
