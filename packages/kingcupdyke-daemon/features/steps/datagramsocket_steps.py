"""
datagramsocket_steps
~~~~~~~~~~~~~~~~~~~~

Steps for the UDP socket of a gateway.
"""

import logging

from anyio import create_task_group, fail_after, sleep
from behave import then, when
from process_steps import LOOPBACK, capture, find_port

from kingcupdyke_daemon.forwarder.datagramsocket import DatagramSocket
from kingcupdyke_daemon.forwarder.settings import SocketAddress

#: A datagram that no socket accepts.
TOO_LONG = bytes(70_000)


async def open_pair():
    """:return: a sender, a receiver and the receiver's address"""
    address = SocketAddress(LOOPBACK, find_port())
    sender = await DatagramSocket.bind(SocketAddress(LOOPBACK, find_port()))
    return sender, await DatagramSocket.bind(address), address


def run_with_pair(context, job):
    async def run_job():
        sender, receiver, address = await open_pair()
        try:
            with fail_after(5):
                await job(sender, receiver, address)
        finally:
            sender.close()
            receiver.close()

    logger = logging.getLogger("kingcupdyke_daemon")
    logger.setLevel(logging.DEBUG)
    try:
        capture(context, run_job)
    finally:
        logger.setLevel(logging.NOTSET)


async def receive(receiver):
    """:return: the datagrams of the first call that brings some"""
    calls = []
    with receiver.reading(calls.append):
        while not calls:
            await sleep(0.005)
    return calls[0]


@when("datagramsocket: {count:d} messages are sent, then received")
def send_many(context, count):
    async def job(sender, receiver, address):
        for number in range(count):
            sender.send(b"%d" % number, address)
        await sleep(0.05)
        context.expected = [b"%d" % number for number in range(count)]
        context.received = await receive(receiver)

    run_with_pair(context, job)


@then("datagramsocket: all came in one call, in order")
def check_received(context):
    assert context.received == context.expected, context.received


@when("datagramsocket: {count:d} messages are sent while another task counts its steps")
def send_beside(context, count):
    async def job(sender, receiver, address):
        steps = 0

        async def count_steps():
            nonlocal steps
            while True:
                steps += 1
                await sleep(0)

        async with create_task_group() as tasks:
            tasks.start_soon(count_steps)
            await sleep(0.01)
            before = steps
            for _ in range(count):
                sender.send(b"x", address)
            context.steps = steps - before
            tasks.cancel_scope.cancel()

    run_with_pair(context, job)


@then("datagramsocket: that task has made no step")
def check_steps(context):
    assert context.steps == 0, context.steps


@when("datagramsocket: a message that is too long is sent, then a short one")
def send_too_long(context):
    async def job(sender, receiver, address):
        context.address = address
        sender.send(TOO_LONG, address)
        sender.send(b"short", address)
        context.received = await receive(receiver)

    run_with_pair(context, job)


@then("datagramsocket: only the short one is received, and the log names the other one's address")
def check_lost(context):
    assert context.received == [b"short"], context.received
    address, port = context.address
    lost = [each for each in context.log_records if f"{address}:{port}" in each]
    assert len(lost) == 1, context.log_records
