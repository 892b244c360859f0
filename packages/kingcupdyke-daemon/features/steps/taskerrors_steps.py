"""
taskerrors_steps
~~~~~~~~~~~~~~~~

Steps for errors of single tasks, calls and connections.
"""

import errno
import json
import logging
from collections import Counter
from contextlib import contextmanager

from anyio import create_task_group, current_time, run, sleep
from anyio.abc import SocketAttribute
from behave import then, when
from forwarder_rig import ForwarderRig, ScriptedEndpoint, open_rig
from forwarder_steps import write_request
from planning_steps import (
    PLANNING_S,
    EngineDialect,
    LeavingEngine,
    make_item,
    make_planner_runner,
)

from kingcupdyke.forwarding.peermessage import MessageKind, pack_message
from kingcupdyke.forwarding.peerstate import GatewayState
from kingcupdyke_daemon.forwarder.clientserver import ClientServer
from kingcupdyke_daemon.forwarder.settings import SocketAddress
from kingcupdyke_daemon.taskerrors import IsolatedTaskGroup, TaskErrors
from kingcupdyke_daemon.timer import LoopTimer

STATE = GatewayState("h", "i", 1, False, 1, (), (), (), 0, None, ())
GET = write_request("GET /safe/1")


class RecordList(logging.Handler):
    """Collects log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@contextmanager
def collect_records():
    """Collect what is logged of errors of tasks."""
    collector = RecordList()
    logger = logging.getLogger("kingcupdyke_daemon.taskerrors")
    logger.addHandler(collector)
    try:
        yield collector.records
    finally:
        logger.removeHandler(collector)


async def fail():
    raise KeyError("expected by the test")


@when("taskerrors: of two tasks of a group one fails, and another one is started later")
def run_tasks(context):
    context.ended = []

    async def work(name):
        await sleep(0.05)
        context.ended.append(name)

    async def job():
        context.counts = Counter()
        errors = TaskErrors(lambda task: context.counts.update([task]))
        async with create_task_group() as group:
            tasks = IsolatedTaskGroup(group, errors)
            tasks.start_soon(work, "first")
            tasks.start_soon(fail)
            await sleep(0.02)
            tasks.start_soon(work, "second")

    with collect_records() as context.records:
        run(job)


@then("taskerrors: the other tasks have ended as usual")
def check_ended(context):
    assert context.ended == ["first", "second"], context.ended


@then("taskerrors: the error was logged with its traceback, and counted for that task")
def check_logged(context):
    assert context.counts == {"fail": 1}, context.counts
    (record,) = context.records
    assert record.exc_info and "fail" in record.getMessage(), record


@when("taskerrors: a task that must go on fails {count:d} times and then ends")
def run_again(context, count):
    context.started_s = []

    async def work():
        context.started_s.append(current_time())
        if len(context.started_s) <= count:
            raise ValueError("expected by the test")

    async def job():
        async with create_task_group() as group:
            IsolatedTaskGroup(group, TaskErrors()).keep_running(work)

    run(job)


@then("taskerrors: it was started {count:d} times, with growing pauses")
def check_restarts(context, count):
    times = context.started_s
    assert len(times) == count, times
    pauses = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert pauses == sorted(pauses) and pauses[0] >= 0.09, pauses


@when("taskerrors: a task fails {count:d} times within 0.1 s")
def fail_often(context, count):
    context.counts = Counter()
    errors = TaskErrors(lambda task: context.counts.update([task]))
    with collect_records() as context.records:
        for _ in range(count):
            with errors.contain("often"):
                raise ValueError("expected by the test")


@then("taskerrors: all {count:d} are counted, and at most {limit:d} are logged")
def check_rate(context, count, limit):
    assert context.counts["often"] == count, context.counts
    assert 1 <= len(context.records) <= limit, len(context.records)


@when("taskerrors: a subscriber fails each time that it is called")
def subscribe_failing(context):
    context.calls = Counter()

    def call(name):
        context.calls[name] += 1
        if name == "failing":
            raise ValueError("expected by the test")

    async def job():
        async with create_task_group() as tasks:
            timer = LoopTimer(tasks)
            for name in ("failing", "sound"):
                timer.subscribe(name, 0.02, lambda _, name=name: call(name))
            await sleep(0.3)
            tasks.cancel_scope.cancel()

    run(job)


@then("taskerrors: it is called again, and so are the others")
def check_subscribers(context):
    assert context.calls["failing"] >= 3 and context.calls["sound"] >= 3, context.calls


class FailingListener:
    """A listener that can't accept the first connections.

    :param listener: the listener that accepts the others
    """

    def __init__(self, listener, code):
        self._listener = listener
        self._errors = [OSError(code, "expected by the test")] * 2

    async def accept(self):
        if self._errors:
            raise self._errors.pop()
        return await self._listener.accept()

    def extra(self, attribute):
        return self._listener.extra(attribute)

    async def serve(self, handler, tasks):
        while True:
            tasks.start_soon(handler, await self.accept())


@when("taskerrors: accepting a connection fails with {code}, and a client connects")
def fail_accept(context, code):
    async def job():
        async with open_rig(["ok"]) as rig, create_task_group() as tasks:
            server = ClientServer(
                rig.handler, lambda: rig.limits, rig.timer.now, rig.memory, TaskErrors()
            )
            listener = await server.listen(SocketAddress("127.0.0.1", 0))
            failing = FailingListener(listener, getattr(errno, code))
            tasks.start_soon(server.serve, failing, tasks)
            rig.address = listener.extra(SocketAttribute.local_address)
            context.answer = await rig.ask(GET)
            tasks.cancel_scope.cancel()

    run(job)


@then("taskerrors: the client gets its answer")
def check_answer(context):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer


@when("taskerrors: the handler of a request fails")
def fail_handler(context):
    async def job():
        async with open_rig(["ok"]) as rig:
            handle = rig.handler.handle

            async def handle_badly(request, reply):
                raise KeyError("expected by the test")

            rig.handler.handle = handle_badly
            context.first = await rig.ask(GET)
            rig.handler.handle = handle
            context.answer = await rig.ask(GET)

    run(job)


@then("taskerrors: that client gets status {status:d}, and the next one its answer")
def check_error_answer(context, status):
    assert context.first.startswith(f"HTTP/1.1 {status}".encode()), context.first
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer


class FailingDialect(EngineDialect):
    """Can't read the answers of one engine."""

    def read_answer(self, headers):
        if dict(headers).get(b"x-odd"):
            raise ValueError("expected by the test")
        return super().read_answer(headers)


class OddEngine(ScriptedEndpoint):
    """An engine whose answers have a header that can't be read."""

    def __init__(self, name):
        super().__init__(name, "ok")

    async def do_ok(self, stream, attempt_id):
        await self.answer(stream, attempt_id, extra="x-odd: 1\r\n")
        return True


@when("taskerrors: of two engines one {case}")
def plan_with_failing(context, case):
    async def job():
        async with create_task_group() as tasks:
            rig = ForwarderRig(tasks, [])
            odd, sound = OddEngine("e0"), LeavingEngine("none")
            for engine in (odd, sound):
                await rig.serve_endpoint(engine)
            if "address" in case:
                odd.address = ("::1", 8080)
                rig.endpoint_table.remove("e0", current_time(), False)
                rig.list_endpoint(odd)
            runner = make_planner_runner(rig, FailingDialect())
            rig.dispatcher.submit(make_item("m1"), frozenset(), current_time())
            tasks.start_soon(runner.run)
            await sleep(2 * PLANNING_S)
            context.orders = sound.list_orders()
            context.metrics = rig.metrics.render().decode()
            rig.metrics.close()
            tasks.cancel_scope.cancel()

    run(job)


@then("taskerrors: the planner gives orders to the other one, and the errors are counted")
def check_orders(context):
    assert context.orders
    lines = [each for each in context.metrics.splitlines() if "task_errors_total{" in each]
    assert lines and all(float(each.rsplit(" ", 1)[1]) > 0 for each in lines), lines


@then("taskerrors: the state with {field} as {value} can't be decoded")
def check_state(context, field, value):
    assert GatewayState.decode(STATE.encode()).ok == STATE
    fields = STATE._replace(**{field: json.loads(value)})
    found = GatewayState.decode(pack_message(MessageKind.STATE, fields))
    assert found.is_error(), found
