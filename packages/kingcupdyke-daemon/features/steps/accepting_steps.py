"""
accepting_steps
~~~~~~~~~~~~~~~

Steps for connections that wait to be accepted.
"""

import socket
from select import select

from anyio import create_task_group, fail_after, run, sleep
from behave import then, when
from forwarder_rig import open_rig
from forwarder_steps import write_request


class PassCounter:
    """Counts the passes of the event loop."""

    def __init__(self):
        self.passes = 0

    async def run(self):
        while True:
            self.passes += 1
            await sleep(0)


@when("accepting: {count:d} clients connect and send a request before the gateway runs")
def connect_together(context, count):
    async def job():
        async with open_rig(["ok"]) as rig, create_task_group() as tasks:
            counter = PassCounter()
            tasks.start_soon(counter.run)
            await sleep(0.05)
            clients = [socket.create_connection(rig.address) for _ in range(count)]
            for number, each in enumerate(clients):
                each.sendall(write_request("GET /unknown/1", f"c{number}"))
            before = counter.passes
            with fail_after(5.0):
                while len(select(clients, [], [], 0.0)[0]) < count:
                    await sleep(0)
            context.passes = counter.passes - before
            context.answers = [each.recv(4096) for each in clients]
            for each in clients:
                each.close()
            tasks.cancel_scope.cancel()

    run(job)


@then("accepting: all are answered within {limit:d} passes of its event loop")
def check_passes(context, limit):
    assert all(each.startswith(b"HTTP/1.1 404") for each in context.answers), context.answers
    assert context.passes <= limit, context.passes
