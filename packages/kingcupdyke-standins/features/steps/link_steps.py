"""
link_steps
~~~~~~~~~~

Steps for connections over the link.
"""

import json

from anyio import (
    BrokenResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    fail_after,
    run,
    sleep,
)
from anyio.abc import SocketAttribute
from behave import then, when

from kingcupdyke_standins.link import LinkApp
from kingcupdyke_standins.server import open_standin
from kingcupdyke_wire.http import HttpClient
from kingcupdyke_wire.sockets import reset


async def read_through_link(data, is_reset):
    """:return: the bytes that a client reads through the link, and how its connection ended"""

    async def answer(stream):
        async with stream:
            await stream.send(data)
            await sleep(0.05)
            if is_reset:
                reset(stream)

    found = b""
    async with create_task_group() as tasks, open_standin(LinkApp(0.01, 0.0)) as address:
        listener = (await create_tcp_listener(local_host="127.0.0.1")).listeners[0]
        tasks.start_soon(listener.serve, answer)
        control = HttpClient(f"http://{address}", timeout_s=1.0)
        port = listener.extra(SocketAttribute.local_port)
        opened = (await control.request("PUT", f"/targets/127.0.0.1/{port}")).ok
        await control.aclose()
        async with await connect_tcp("127.0.0.1", json.loads(opened.body)["port"]) as client:
            try:
                with fail_after(2.0):
                    while True:
                        found += await client.receive()
            except EndOfStream:
                end = "closed"
            except BrokenResourceError:
                end = "reset"
        tasks.cancel_scope.cancel()
    return found, end


@when('a server behind the link sends "{data}" and its connection is {end}')
def send(context, data, end):
    context.found = run(read_through_link, data.encode(), end == "reset")


@then('the client of the link reads "{data}" and sees its connection {end}')
def check(context, data, end):
    assert context.found == (data.encode(), end), context.found
