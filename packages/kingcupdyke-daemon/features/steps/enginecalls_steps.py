"""
enginecalls_steps
~~~~~~~~~~~~~~~~~

Steps for a planner and engines whose answers are faulty.
"""

import json
import tracemalloc

from anyio import create_task_group, current_time, run, sleep
from behave import then, when
from expression import Error, Ok
from forwarder_rig import ForwarderRig, ScriptedEndpoint
from planning_steps import EngineDialect, make_item, make_planner_runner

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.forwarding.endpoint import EndpointReport

#: Seconds in which a planner asks for reports and gives orders.
PLANNING_S = 3.0
BLOCK_BYTES = 65_536
DRIP_INTERVAL_S = 0.01
HELD_INTERVAL_S = 0.01
HEAD = "HTTP/1.1 200 X\r\ncontent-type: application/json\r\n"


class JsonDialect(EngineDialect):
    """Reads reports as JSON."""

    def decode_report(self, value):
        try:
            json.loads(value)
        except ValueError as error:
            return Error(Failure(Outcome.FAILED, Step.PARSE, "", repr(error)))
        return Ok(EndpointReport((), False, 0, 0, 0, (), frozenset(), frozenset()))


class FaultyEngine(ScriptedEndpoint):
    """An engine that answers one kind of call with a large body.

    :param method: HTTP method of these calls
    """

    def __init__(self, name, method="", body=b"", framing="sized", pause_s=0.0):
        super().__init__(name, "ok")
        self._method = method
        self._body = body
        self._framing = framing
        self._pause_s = pause_s

    async def do_ok(self, stream, attempt_id):
        if self.requests[-1][0].split()[0] != self._method:
            await self.answer(stream, attempt_id, body=b"{}")
            return True
        length = f"content-length: {len(self._body)}\r\n" if self._framing == "sized" else ""
        await stream.send(f"{HEAD}{length}\r\n".encode())
        for at in range(0, len(self._body), BLOCK_BYTES):
            await stream.send(self._body[at : at + BLOCK_BYTES])
            await sleep(self._pause_s)
        return self._framing == "sized"

    def count(self, method):
        return sum(head.startswith(method) for head, _ in self.requests)


async def plan(context, engines, memory_bytes=None):
    """Let a planner call engines, with demand for a model that none of them holds."""
    context.held_bytes = 0
    async with create_task_group() as tasks:
        rig = ForwarderRig(tasks, [])
        rig.memory.configure(memory_bytes)
        for each in engines:
            await rig.serve_endpoint(each)
        runner = make_planner_runner(rig, JsonDialect())
        for model in ("m1", "m2"):
            item = make_item(model)._replace(attempt_id=model)
            rig.dispatcher.submit(item, frozenset(), current_time())
        tasks.start_soon(runner.run)
        end_s = current_time() + PLANNING_S
        while current_time() < end_s:
            held = rig.memory.unfinished_parts.size_bytes
            context.held_bytes = max(context.held_bytes, held)
            await sleep(HELD_INTERVAL_S)
        context.metrics = rig.metrics.render().decode()
        rig.metrics.close()
        tasks.cancel_scope.cancel()
    context.left_bytes = rig.memory.unfinished_parts.size_bytes


@when(
    'enginecalls: of two engines one answers to "{method}" with {size:d} bytes of "{unit}", '
    "{framing}"
)
def play(context, method, size, unit, framing):
    body = b"[" + unit.encode() * (size // len(unit)) + b"{}]"
    context.faulty = FaultyEngine("e1", method, body, framing)
    context.sound = FaultyEngine("e2")
    tracemalloc.start()
    run(plan, context, [context.faulty, context.sound])
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then("enginecalls: at most {limit:d} MB have been used, and nothing is held")
def check_memory(context, limit):
    assert context.peak_bytes <= limit * 1_000_000, context.peak_bytes
    assert context.left_bytes == 0, context.left_bytes


@then("enginecalls: the sound engine gets an order")
def check_order(context):
    assert context.sound.count("POST") > 0, context.sound.requests


@then(
    "enginecalls: the faulty one is asked for its report at most {limit:d} times, and counted as "
    '"{fault}"'
)
def check_fault(context, limit, fault):
    assert 0 < context.faulty.count("GET") <= limit, context.faulty.count("GET")
    assert f'kingcupdyke_faulty_answers_total{{fault="{fault}"}}' in context.metrics


@when(
    "enginecalls: {count:d} engines drip reports of {size:d} bytes, with a memory limit of "
    "{limit:d} MB"
)
def drip(context, count, size, limit):
    body = b"[" + b" " * size + b"]"
    engines = [
        FaultyEngine(f"e{number}", "GET", body, pause_s=DRIP_INTERVAL_S) for number in range(count)
    ]
    run(plan, context, engines, limit * 1_000_000)


@then('enginecalls: at most {limit:d} bytes are held, and some are refused as "{fault}"')
def check_held(context, limit, fault):
    assert 0 < context.held_bytes <= limit, context.held_bytes
    assert f'kingcupdyke_faulty_answers_total{{fault="{fault}"}}' in context.metrics
    assert context.left_bytes == 0, context.left_bytes
