"""
repeatedrefusals_steps
~~~~~~~~~~~~~~~~~~~~~~

Steps for an endpoint that writes an earlier refusal again on a kept connection.
"""

from anyio import create_task_group, run, sleep
from behave import given, then, when
from forwarder_rig import ForwarderRig, ScriptedEndpoint, make_configuration, open_rig
from forwarder_steps import describe, write_request

#: Time for which the endpoint runs a request before it answers.
RUN_S = 0.05


class RepeatingEndpoint(ScriptedEndpoint):
    """An endpoint that refuses its first request, and answers all further ones.

    :param behaviour: what it does after the refusal, in words of the feature
    """

    def __init__(self, behaviour):
        super().__init__("e1", "ok")
        self.behaviour = behaviour
        self.refused = None
        #: Seconds for which the refusal requests backoff, or None.
        self.backoff_s = None
        #: Ids of the requests that have run, and the connection of each received request.
        self.ran = []
        self.streams = []

    async def do_ok(self, stream, attempt_id):
        self.streams.append(stream)
        if self.refused is None:
            await self.refuse(stream, attempt_id)
            return True
        # The endpoint repeats only what it has written on this connection.
        if stream is self.streams[0]:
            await self.repeat(stream)
        self.ran.append(attempt_id)
        if "runs for long" in self.behaviour:
            await sleep(5.0)
        await sleep(RUN_S)
        is_stream = "/stream/" in self.requests[-1][0]
        await self.answer(stream, attempt_id, body=b"id: 1\n\n" if is_stream else b"ran")
        return True

    async def refuse(self, stream, attempt_id):
        self.refused = attempt_id
        await self.write_refusal(stream, attempt_id)
        if "at once" in self.behaviour:
            await sleep(0.02)
            await self.repeat(stream)

    async def write_refusal(self, stream, attempt_id, status=503):
        extra = "x-not-run: 1\r\n"
        if "misdirection" in self.behaviour:
            # Its status alone says that the request has not run.
            status, extra = 421, ""
        if self.backoff_s is not None and attempt_id:
            extra += f"retry-after: {self.backoff_s}\r\n"
        await self.answer(stream, attempt_id, status, b"full", extra, "x-a: b")

    async def repeat(self, stream):
        named = "" if "without an id" in self.behaviour else self.refused
        if "success" in self.behaviour:
            await self.answer(stream, named, body=b"other")
        elif "misdirected" in self.behaviour:
            await self.write_refusal(stream, named, 421)
        else:
            for _ in range(2 if "twice" in self.behaviour else 1):
                await self.write_refusal(stream, named)


@given(
    "repeatedrefusals: an endpoint that refuses a request, keeps the connection, and then {then}"
)
def give_endpoint(context, then):
    context.endpoint = RepeatingEndpoint(then)


def write(text, attempt_id):
    """:return: the bytes of a request such as ``POST /once/1 without an id``"""
    line, _, rest = text.partition(" without")
    raw = write_request(line, attempt_id)
    return raw.replace(f"x-id: {attempt_id}\r\n".encode(), b"") if rest else raw


async def ask_twice(context, first, second, second_id):
    async with create_task_group() as tasks:
        async with open_rig(["ok"]) as rig:
            rig.handler.configuration = make_configuration(1, 1.0, rig.limits)
            context.other = rig.endpoints[0]
            rig.endpoint_table.remove("e1", 0.0, False)
            await rig.serve_endpoint(context.endpoint)
            context.first = await rig.ask(write(first, "first"))
            await sleep(0.05)
            context.second = await rig.ask(write(second, second_id))
        tasks.cancel_scope.cancel()


@when('repeatedrefusals: "{first}" is refused there, and "{second}" follows')
def send_two(context, first, second):
    context.second_id = "" if "without" in second else "second"
    run(ask_twice, context, first, second, "second")


@when('repeatedrefusals: "{first}" is refused there, and "{second}" with the same id follows')
def send_same(context, first, second):
    context.second_id = "first"
    run(ask_twice, context, first, second, "first")


@when(
    'repeatedrefusals: "{line}" is refused there for {seconds:g} s, and sent again by the gateway'
)
def send_again(context, line, seconds):
    context.endpoint.backoff_s = seconds
    context.second_id = "first"
    run(ask_twice, context, line, "GET /safe/1", "second")


@then('repeatedrefusals: the first answer is "{answer}"')
def check_first(context, answer):
    assert describe(context.first) == answer, context.first


@then('repeatedrefusals: the second answer is "{answer}"')
def check_second(context, answer):
    assert describe(context.first) == "503", context.first
    assert describe(context.second) == answer, context.second


@then("repeatedrefusals: it has run {count:d} times")
@then("repeatedrefusals: the second request has run {count:d} times, at the first endpoint")
def check_runs(context, count):
    assert context.endpoint.ran.count(context.second_id) == count, context.endpoint.ran
    assert not context.other.requests


@then("repeatedrefusals: other requests use the connection of the refusal")
def check_connection(context):
    refused, again, other = context.endpoint.streams
    assert again is not refused
    assert other in (refused, again)


class NamelessEndpoint(ScriptedEndpoint):
    """An endpoint whose answers name no attempt."""

    async def answer(
        self, stream, attempt_id, status=200, body=b"hello", extra="", mark="x-mark: m"
    ):
        await super().answer(stream, "", status, body, extra, mark)


@given("repeatedrefusals: an endpoint that names no attempt")
def give_nameless(context):
    context.endpoint = NamelessEndpoint("e1", "ok")


@when("repeatedrefusals: {count:d} requests follow each other")
def send_several(context, count):
    async def job():
        context.answers = []
        async with create_task_group() as tasks:
            rig = ForwarderRig(tasks, [])
            await rig.serve_endpoint(context.endpoint)
            async with open_rig([]) as front:
                front.endpoint_table.put(rig.endpoint_table.state_by_id["e1"].entry)
                for number in range(count):
                    raw = await front.ask(write_request("GET /safe/1", f"r{number}"))
                    context.answers.append(describe(raw))
            rig.metrics.close()
            tasks.cancel_scope.cancel()

    run(job)


@then("repeatedrefusals: all are answered, over {count:d} connections")
def check_connections(context, count):
    assert context.answers == ["200 e1"] * count, context.answers
    assert context.endpoint.connections == count, context.endpoint.connections
