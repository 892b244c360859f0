"""
link_steps
~~~~~~~~~~

Steps for the connection of a gateway to one sidecar.
"""

import socket
import struct
from select import select

from anyio import create_task_group, fail_after, run, sleep
from behave import then, when

from kingcupdyke.error import Failure
from kingcupdyke.host import Host
from kingcupdyke_daemon.gateway.link import SidecarLink
from kingcupdyke_daemon.gateway.streamwatch import StreamWatch
from kingcupdyke_wire.sidecar_pb2 import RunRequest

#: Linger time of zero, with which a closed connection is reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResettingHost:
    """A host that resets each connection a number of steps of the event loop after it is made."""

    def __init__(self, steps):
        self.steps = steps
        self.reset_count = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()

    async def run(self):
        while True:
            await sleep(0)
            if not select([self.listener], [], [], 0)[0]:
                continue
            for _ in range(self.steps):
                await sleep(0)
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.close()
            self.reset_count += 1


def open_link(host):
    entry = Host("n1", *host.address, "sidecar", "north", "dc1", "live")
    return SidecarLink(entry, "g1", 0.05, 0.2, print, print, StreamWatch(0.2))


@when(
    "link: the connection is reset {steps:d} steps of the event loop"
    " after the sidecar's host has accepted it"
)
def reset_heartbeats(context, steps):
    async def job():
        host = ResettingHost(steps)
        async with create_task_group() as tasks:
            tasks.start_soon(host.run)
            link = open_link(host)
            tasks.start_soon(link.send_heartbeats_forever)
            with fail_after(5):
                while host.reset_count < 3:
                    await sleep(0.01)
            context.reset_count = host.reset_count
            tasks.cancel_scope.cancel()
        link.close()
        host.listener.close()

    run(job)


@then("link: the heartbeats go on and connect again")
def check_heartbeats(context):
    assert context.reset_count >= 3, context.reset_count


@when(
    "link: an attempt's connection is reset {steps:d} steps of the event loop"
    " after the sidecar's host has accepted it"
)
def reset_attempt(context, steps):
    async def job():
        host = ResettingHost(steps)
        async with create_task_group() as tasks:
            tasks.start_soon(host.run)
            link = open_link(host)
            with fail_after(5):
                context.replies = [each async for each in link.run(RunRequest(attempt_id="a1"))]
            tasks.cancel_scope.cancel()
        link.close()
        host.listener.close()

    run(job)


@then("link: the attempt ends with a failure")
def check_attempt(context):
    assert [type(each) for each in context.replies] == [Failure], context.replies
