"""
badstatus_steps
~~~~~~~~~~~~~~~

Steps for endpoints that answer with a status that HTTP does not have.
"""

from anyio import create_task_group, current_time, run, sleep
from anyio.abc import SocketAttribute
from behave import then, when
from enginecalls_steps import FaultyEngine, JsonDialect
from forwarder_rig import ForwarderRig, ScriptedEndpoint, open_rig
from forwarder_steps import describe, write_request
from planning_steps import make_item, make_planner_runner

from kingcupdyke_daemon.forwarder.clientserver import ClientServer
from kingcupdyke_daemon.forwarder.reply import RequestHandler
from kingcupdyke_daemon.forwarder.settings import SocketAddress
from kingcupdyke_daemon.taskerrors import TaskErrors

PLANNING_S = 3.0
MARKS = {"": "", "with a mark that it has not run": "x-not-run: 1\r\n"}
OTHER_ATTEMPT = "with the id of another attempt"


class StatusEndpoint(ScriptedEndpoint):
    """An endpoint that answers each request with one status.

    :param status: the status as it is written
    :param mark: what else the answer says, as in the scenarios
    """

    def __init__(self, name, status, mark=""):
        super().__init__(name, "status")
        self._status = status
        self._mark = mark

    async def do_status(self, stream, attempt_id):
        extra = MARKS.get(self._mark, "")
        attempt_id = "other" if self._mark == OTHER_ATTEMPT else attempt_id
        await self.answer(stream, attempt_id, self._status, b"strange", extra)
        return True


class StatusEngine(FaultyEngine):
    """An engine that answers one kind of call with one status."""

    def __init__(self, name, method, status):
        super().__init__(name, method)
        self._status = status

    async def do_ok(self, stream, attempt_id):
        is_strange = self.requests[-1][0].split()[0] == self._method
        await self.answer(stream, attempt_id, self._status if is_strange else 200, b"{}")
        return True


class StatusServer(ClientServer):
    """A listener beside that of the rig."""

    name = "status"


class StatusHandler(RequestHandler):
    """Answers each request with one status."""

    def __init__(self, status):
        self._status = status

    async def handle(self, request, reply):
        await reply.answer(self._status, [], b"")


async def ask(context, request, endpoints, sound=None):
    async with open_rig(["down", sound] if sound else ["down"]) as rig:
        for each in endpoints:
            await rig.serve_endpoint(each)
        if sound:
            # The first request goes to the endpoint with the strange status.
            rig.endpoint_table.note_failure("e2", current_time(), False)
        context.raw = await rig.ask(write_request(request))
        context.metrics = rig.metrics.render().decode()
        context.sent = len(rig.endpoints[-1].requests) if sound else 0


@when('badstatus: "{request}" goes to an endpoint that answers "{status}", and then to a sound one')
def send_request(context, request, status):
    send_marked(context, request, status, "")


@when(
    'badstatus: "{request}" goes to an endpoint that answers "{status}"{mark}, and then to a sound '
    "one"
)
def send_marked(context, request, status, mark):
    sound = "rest" if "resume" in request else "ok"
    run(ask, context, request, [StatusEndpoint("e1", status, mark)], sound)


@then('badstatus: the answer is "{answer}", and the fault counted is "{fault}"')
def check_answer(context, answer, fault):
    assert describe(context.raw) == answer, context.raw
    lines = [each for each in context.metrics.splitlines() if "faulty_answers_total{" in each]
    assert lines == [f'kingcupdyke_faulty_answers_total{{fault="{fault}"}} 1.0'], lines


@then("badstatus: the sound endpoint has got {count:d} requests")
def check_sent(context, count):
    assert context.sent == count, context.sent


@when('badstatus: "{request}" goes to endpoints that all answer "{status}"')
def send_to_all(context, request, status):
    run(ask, context, request, [StatusEndpoint("e1", status), StatusEndpoint("e2", status)])


@then("badstatus: the status of the answer is {status:d}")
def check_status(context, status):
    assert context.raw.split()[1].decode() == str(status), context.raw[:200]


@when('badstatus: a stream breaks off, and the endpoint that takes it up answers "{status}"')
def break_stream(context, status):
    async def job():
        async with open_rig(["cutevents"]) as rig:
            await rig.serve_endpoint(StatusEndpoint("e2", status))
            rig.endpoint_table.note_failure("e2", current_time(), False)
            context.raw = await rig.ask(write_request("GET /resume/1"))

    run(job)


@then("badstatus: the stream ends as broken off")
def check_broken(context):
    assert context.raw.startswith(b"HTTP/1.1 200"), context.raw
    assert not context.raw.endswith(b"0\r\n\r\n"), context.raw
    assert b"strange" not in context.raw, context.raw


@when("badstatus: a handler answers with the status {status:d}")
def answer_with(context, status):
    async def job():
        async with open_rig(["ok"]) as rig:
            server = StatusServer(
                StatusHandler(status), lambda: rig.limits, rig.timer.now, rig.memory, TaskErrors()
            )
            async with create_task_group() as tasks:
                listener = await server.listen(SocketAddress("127.0.0.1", 0))
                rig.address = listener.extra(SocketAttribute.local_address)
                tasks.start_soon(server.serve, listener, tasks)
                context.raw = await rig.ask(write_request("GET /safe/1"))
                tasks.cancel_scope.cancel()

    run(job)


@when('badstatus: an engine answers "{status}" to a planner\'s "{method}" call')
def plan(context, status, method):
    strange, sound = StatusEngine("e1", method, status), FaultyEngine("e2")

    async def job():
        async with create_task_group() as tasks:
            rig = ForwarderRig(tasks, [])
            for each in (strange, sound):
                await rig.serve_endpoint(each)
            runner = make_planner_runner(rig, JsonDialect())
            for model in ("m1", "m2"):
                item = make_item(model)._replace(attempt_id=model)
                rig.dispatcher.submit(item, frozenset(), current_time())
            tasks.start_soon(runner.run)
            await sleep(PLANNING_S)
            context.metrics = rig.metrics.render().decode()
            rig.metrics.close()
            tasks.cancel_scope.cancel()

    run(job)
    context.orders = sound.count("POST")


@then('badstatus: it is counted as "{fault}", and another engine gets an order')
def check_counted(context, fault):
    assert f'kingcupdyke_faulty_answers_total{{fault="{fault}"}}' in context.metrics
    assert context.orders > 0
