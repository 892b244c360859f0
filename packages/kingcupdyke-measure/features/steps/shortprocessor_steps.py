"""
shortprocessor_steps
~~~~~~~~~~~~~~~~~~~~

Steps for gateways whose processes get less processor time than they need.
"""

import re
import socket
from contextlib import contextmanager
from random import Random
from threading import Event, Thread
from time import monotonic, sleep
from typing import NamedTuple

import anyio
from behave import given, then, when

from kingcupdyke_measure.fleet import LOOPBACK, open_fleet, write_request
from kingcupdyke_measure.fleetdialect import PLAIN_PATH, SILENT_PATH, STREAM_PATH

#: Paths of the requests under load; of eight, one gets no answer from its endpoint.
PATHS = (SILENT_PATH, *3 * (PLAIN_PATH,), *4 * (STREAM_PATH,))
CLIENT_TIMEOUT_S = 20.0
PLAIN_BODY = 800 * b"x"


class Ended(NamedTuple):
    """How a request ended for its client."""

    seconds: float
    #: Status of the answer, or 0 without one.
    status: int
    #: Whether the answer is whole.
    is_whole: bool


@given("shortprocessor: a gateway whose routes have a timeout of {seconds:g} s")
def set_timeout(context, seconds):
    context.timeout_s = seconds


@when(
    "shortprocessor: {new:d} new clients and {kept:d} with open connections send requests that no "
    "endpoint answers, and the process stands still for {seconds:g} s"
)
def stand_still(context, new, kept, seconds):
    with open_fleet(1, timeout_s=context.timeout_s) as fleet:
        (gateway,) = fleet.gateways
        clients = [connect(gateway) for _ in range(kept)]
        for number, each in enumerate(clients):
            each.sendall(write_request(PLAIN_PATH, number, False))
            found = b""
            while not found.endswith(PLAIN_BODY):
                found += each.recv(65_536)
        sleep(0.3)
        gateway.freeze()
        clients += [connect(gateway) for _ in range(new)]
        sent_s = monotonic()
        for number, each in enumerate(clients, len(clients)):
            each.sendall(write_request(SILENT_PATH, number))
        Thread(target=lambda: (sleep(seconds), gateway.thaw())).start()
        context.ended = [read_answer(each, sent_s) for each in clients]
        context.metrics = gateway.read_metrics().decode()


@then(
    "shortprocessor: its metrics count {count:d} requests as read more than {seconds:g} s after "
    "their arrival"
)
def check_unread(context, count, seconds):
    bound = re.escape(f"{seconds:g}")
    labels = r'route="silent"'
    total = re.search(rf"unread_seconds_count{{{labels}}} (\S+)", context.metrics)[1]
    within = re.search(rf'unread_seconds_bucket{{le="{bound}",{labels}}} (\S+)', context.metrics)[1]
    assert float(total) - float(within) == count, (total, within)


@then("shortprocessor: each is answered within {seconds:g} s")
def check_each(context, seconds):
    assert all(each.status in (503, 504) and each.is_whole for each in context.ended), context.ended
    late = [each for each in context.ended if each.seconds > seconds]
    assert not late, late


@when(
    "shortprocessor: it runs for {run_ms:d} ms of each {period_ms:d} ms, and {rate:d} requests a "
    "second come for {seconds:d} s"
)
def press(context, run_ms, period_ms, rate, seconds):
    with open_fleet(1, timeout_s=context.timeout_s) as fleet:
        (gateway,) = fleet.gateways
        with throttled(gateway, run_ms / 1000, period_ms / 1000):
            context.ended = anyio.run(load, gateway, rate * seconds, seconds)


@then(
    "shortprocessor: of the requests that outlast their timeout, less than a quarter end more than "
    "{seconds:g} s after it"
)
def check_held(context, seconds):
    outlasting = [each.seconds for each in context.ended if each.seconds > context.timeout_s]
    held = [each for each in outlasting if each > context.timeout_s + seconds]
    assert len(held) < max(8, len(outlasting) / 4), (len(held), len(outlasting), max(held))


@then(
    "shortprocessor: those that get no success within their timeout are rejected as not run, or "
    "have reached an endpoint"
)
def check_statuses(context):
    statuses = {each.status for each in context.ended}
    assert statuses <= {200, 503, 504}, statuses


@then("shortprocessor: a tenth of the requests at least are served")
def check_served(context):
    served = sum(each.status == 200 and each.is_whole for each in context.ended)
    assert served >= len(context.ended) / 10, (served, len(context.ended))


def connect(gateway):
    return socket.create_connection((LOOPBACK, gateway.ports["front"]), CLIENT_TIMEOUT_S)


def read_answer(client, sent_s):
    """:return: how a request ended whose answer ends with its connection"""
    found = b""
    with client:
        try:
            while part := client.recv(65_536):
                found += part
        except ConnectionResetError:
            return describe(found, sent_s, False)
    return describe(found, sent_s, True)


def describe(found, sent_s, is_whole):
    return Ended(monotonic() - sent_s, int(found[9:12] or 0), is_whole and bool(found))


@contextmanager
def throttled(gateway, run_s, period_s):
    """Let a process run for a part of each period only."""
    ended = Event()

    def throttle():
        while not ended.wait(run_s):
            gateway.freeze()
            sleep(period_s - run_s)
            gateway.thaw()

    thread = Thread(target=throttle)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


async def load(gateway, count, seconds):
    """:return: how requests ended that came at random times"""
    rng = Random(1)
    ended = []

    async def ask(number, delay_s, path):
        await anyio.sleep(delay_s)
        sent_s, found, is_whole = monotonic(), b"", True
        try:
            async with await anyio.connect_tcp(LOOPBACK, gateway.ports["front"]) as stream:
                await stream.send(write_request(path, number))
                async for part in stream:
                    found += part
        except (OSError, anyio.BrokenResourceError):
            is_whole = False
        ended.append(describe(found, sent_s, is_whole))

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(ask, number, rng.uniform(0.0, seconds), rng.choice(PATHS))
    return ended
