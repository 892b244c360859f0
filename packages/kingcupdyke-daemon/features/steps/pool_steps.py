"""
pool_steps
~~~~~~~~~~

Steps for the pool of connections to endpoints.
"""

from contextlib import asynccontextmanager, suppress
from random import Random

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    Event,
    create_task_group,
    create_tcp_listener,
    current_time,
    move_on_after,
    run,
    sleep,
)
from anyio.abc import SocketAttribute
from behave import then, when
from forwarder_rig import PlainDialect

from kingcupdyke.forwarding.unfinishedparts import UnfinishedParts
from kingcupdyke_daemon.forwarder.connection import (
    EndpointConnection,
    Progress,
    ReadTurns,
    TransferError,
)
from kingcupdyke_daemon.forwarder.exchange import Exchange
from kingcupdyke_daemon.forwarder.pool import ConnectionPool
from kingcupdyke_daemon.timer import LoopTimer

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
#: Time for which the closing of a broken connection is delayed, so that other tasks run meanwhile.
CLOSE_S = 0.5


class PoolRig:
    """A pool and one endpoint."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.timer = LoopTimer(tasks)
        self.pool = ConnectionPool(self.timer, tasks)
        self.address = None
        self.streams = []

    async def serve(self, stream):
        self.streams.append(stream)
        with suppress(BrokenResourceError, ClosedResourceError):
            async with stream:
                async for _ in stream:
                    await stream.send(ANSWER)

    async def open(self):
        """:return: a new connection that has served a request, and its stream at the endpoint"""
        connection = await EndpointConnection.open(self.address, ReadTurns())
        await read_answer(begin(self.tasks, connection))
        return connection, self.streams[-1]

    async def acquire(self, endpoint="e1"):
        return await self.pool.acquire(endpoint, self.address, False, "r1")


@asynccontextmanager
async def open_pool():
    async with create_task_group() as tasks:
        rig = PoolRig(tasks)
        listener = (await create_tcp_listener(local_host="127.0.0.1")).listeners[0]
        rig.address = listener.extra(SocketAttribute.local_address)
        tasks.start_soon(listener.serve, rig.serve)
        yield rig
        tasks.cancel_scope.cancel()


def begin(tasks, connection):
    """Send a request."""
    exchange = Exchange(connection, PlainDialect(), "")
    exchange.send(tasks, b"GET", b"/", [(b"host", b"e")], b"")
    return exchange


async def read_answer(exchange):
    await exchange.read_head(lambda status, metadata: None)
    return await exchange.read_short_body(UnfinishedParts(1_000_000).open_part("e"))


def delay_close(connection, delay_s=CLOSE_S):
    """Let the connection be closed only after a delay."""
    aclose = connection.aclose

    async def aclose_late():
        await sleep(delay_s)
        await aclose()

    connection.aclose = aclose_late


async def add_broken(rig):
    """Put a sound and then a broken connection, which is tried first, into the pool."""
    for is_broken in (False, True):
        connection, stream = await rig.open()
        rig.pool.release("e1", connection)
        if is_broken:
            await stream.aclose()
            await sleep(0.05)
            delay_close(connection)


def interrupt(rig, case):
    if case == "expired connections are closed":
        rig.pool.close_expired()
    elif case == "all connections are closed":
        rig.pool.close_all()


@when("pool: a request takes the sound one of two connections while {case}, and another follows")
def take_meanwhile(context, case):
    async def take(rig, found):
        found.append(await rig.acquire())

    async def job():
        async with open_pool() as rig:
            await add_broken(rig)
            found = []
            async with create_task_group() as tasks:
                tasks.start_soon(take, rig, found)
                await sleep(0.05)
                interrupt(rig, case)
                tasks.start_soon(take, rig, found)
            context.found = found
            context.answer = await read_answer(begin(rig.tasks, found[0]))

    run(job)


@then("pool: the two requests have different connections")
def check_different(context):
    assert context.found[0] is not context.found[1]


@then("pool: the connection of the first request is open")
def check_open(context):
    assert context.answer == b"ok", context.answer


@when("pool: a second request is sent on a connection in use")
def send_twice(context):
    async def job():
        async with open_pool() as rig:
            connection, _ = await rig.open()
            assert connection.prepare_reuse()
            first = begin(rig.tasks, connection)
            try:
                begin(rig.tasks, connection)
            except TransferError as error:
                context.error = error
            context.progress = first.progress
            context.answer = await read_answer(first)

    run(job)


@then("pool: the second request was not sent")
def check_not_sent(context):
    assert context.error.progress is Progress.NOT_SENT, context.error.progress


@then("pool: the first request gets its answer")
def check_answer(context):
    assert context.progress is Progress.SENT, context.progress
    assert context.answer == b"ok", context.answer


@when("pool: a request finds a broken connection that takes {delay_s:g} s to close")
def find_broken(context, delay_s):
    async def job():
        async with open_pool() as rig:
            connection, stream = await rig.open()
            rig.pool.release("e1", connection)
            await stream.aclose()
            await sleep(0.05)
            delay_close(connection, delay_s)
            since_s = current_time()
            await rig.acquire()
            context.seconds = current_time() - since_s

    run(job)


@then("pool: it has another connection within {limit_s:g} s")
def check_soon(context, limit_s):
    assert context.seconds < limit_s, context.seconds


class Schedule:
    """Requests that overlap with everything else that takes connections out of a pool."""

    def __init__(self, rig, seed):
        self.rig = rig
        self.rng = Random(seed)
        self.held = set()
        self.opened = []
        self.twice = []
        self.is_over = Event()

    async def request(self):
        await sleep(self.rng.uniform(0, 0.3))
        endpoint = self.rng.choice(("e1", "e2"))
        with move_on_after(self.rng.choice((0.003, 1.0))):
            connection = await self.rig.acquire(endpoint)
            if connection not in self.opened:
                self.opened.append(connection)
                delay_close(connection, self.rng.uniform(0, 0.02))
            if connection in self.held:
                self.twice.append(connection)
            self.held.add(connection)
            try:
                await read_answer(begin(self.rig.tasks, connection))
                await sleep(self.rng.uniform(0, 0.01))
            finally:
                self.held.discard(connection)
            self.rig.pool.release(endpoint, connection)

    async def disturb(self):
        while not self.is_over.is_set():
            await sleep(self.rng.uniform(0, 0.01))
            if self.rng.random() < 0.3 and self.rig.streams:
                await self.rng.choice(self.rig.streams).aclose()
            else:
                self.rig.pool.close_expired()


@when("pool: {count:d} requests with the seed {seed:d} overlap with expiry and broken connections")
def overlap(context, count, seed):
    async def contain(schedule):
        try:
            await schedule.request()
        except TransferError:
            schedule.failures += 1

    async def job():
        async with open_pool() as rig:
            schedule = Schedule(rig, seed)
            schedule.failures = 0
            async with create_task_group() as disturbances:
                disturbances.start_soon(schedule.disturb)
                async with create_task_group() as tasks:
                    for _ in range(count):
                        tasks.start_soon(contain, schedule)
                schedule.is_over.set()
            rig.pool.close_all()
            context.schedule = schedule
            context.idle_count = rig.pool.idle_count

    run(job)


@then("pool: no connection was held by two requests at once")
def check_owners(context):
    assert not context.schedule.twice, len(context.schedule.twice)
    assert len(context.schedule.opened) > 2


@then("pool: no idle connection is left after the pool is closed")
def check_none_left(context):
    assert context.idle_count == 0, context.idle_count
