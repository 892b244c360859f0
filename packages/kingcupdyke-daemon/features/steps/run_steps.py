"""
run_steps
~~~~~~~~~

Steps for attempts that a sidecar runs.
"""

import tracemalloc
from contextlib import asynccontextmanager

import anyio
from behave import given, then, when

from kingcupdyke.error import Failure, Outcome
from kingcupdyke_daemon.sidecar.backend import Backend, BackendHead, BackendPart, EngineBackend
from kingcupdyke_daemon.sidecar.run import RunTable
from kingcupdyke_wire.engine import EngineRun
from kingcupdyke_wire.sidecar_pb2 import RunRequest


class UnresponsiveBackend(Backend):
    """Never answers.

    :param cancel_s: seconds that a cancel takes
    """

    def __init__(self, cancel_s):
        self._cancel_s = cancel_s
        self.is_cancelled = False

    async def run(self, request):
        await anyio.sleep_forever()
        yield

    async def cancel(self, request):
        await anyio.sleep(self._cancel_s)
        self.is_cancelled = True


class JsonEngine:
    """Answers each request with JSON.

    :param body: the body, which may be truncated
    """

    def __init__(self, body):
        self._body = body

    @asynccontextmanager
    async def open_run(self, path, body, request_id, *options):
        async def read_parts():
            yield self._body

        yield EngineRun(400, "application/json", request_id, read_parts())


class EndlessEngine:
    """Answers each request with JSON without end."""

    @asynccontextmanager
    async def open_run(self, path, body, request_id, *options):
        async def read_parts():
            for _ in range(10_000):
                yield b" " * 65_536
            raise AssertionError("the engine's answer was read without end")

        yield EngineRun(200, "application/json", request_id, read_parts())


async def collect_items(context, engine, is_stream):
    backend = EngineBackend(engine, "e1")
    request = RunRequest(attempt_id="one", service_class="interactive", stream=is_stream)
    context.items = [each async for each in backend.run(request)]


@when('an engine answers a streaming request with the JSON "{body}"')
def answer_json(context, body):
    anyio.run(collect_items, context, JsonEngine(body.encode()), True)


@when("an engine answers a {kind} request with {size:d} empty lists")
def answer_lists(context, kind, size):
    engine = JsonEngine(b"[" + b"[]," * (size - 1) + b"[]]")
    tracemalloc.start()
    anyio.run(collect_items, context, engine, kind == "streaming")
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then("the run has used at most {limit:d} MB")
def check_memory(context, limit):
    assert context.peak_bytes <= limit * 1_000_000, context.peak_bytes


@when("an engine answers a {kind} request with JSON without end")
def answer_without_end(context, kind):
    anyio.run(collect_items, context, EndlessEngine(), kind == "streaming")


@then('the run\'s backend yields "{items}"')
def check_items(context, items):
    word_by_type = {BackendHead: "head", BackendPart: "part", Failure: "fail"}
    found = " ".join(word_by_type[type(each)] for each in context.items)
    assert found == items, context.items


@given("a run at a backend that never answers and takes {cancel_ms:d} ms to cancel")
def give_backend(context, cancel_ms):
    context.backend = UnresponsiveBackend(cancel_ms / 1000)


@when("the run passes its deadline of {deadline_ms:d} ms")
def pass_deadline(context, deadline_ms):
    async def execute():
        async with anyio.create_task_group() as tasks:
            table = RunTable(tasks, 0.01, 5.0)
            request = RunRequest(attempt_id="one", deadline_ms=deadline_ms, idempotent=True)
            context.failure = await table.execute(table.open(request), context.backend)
            context.was_cancelled = context.backend.is_cancelled

    anyio.run(execute)


@then("the run ends with an unknown outcome")
def check_failure(context):
    assert context.failure.outcome is Outcome.UNKNOWN


@then("the run's backend was {state} at its end")
def check_cancelled(context, state):
    assert context.was_cancelled == (state == "cancelled")
