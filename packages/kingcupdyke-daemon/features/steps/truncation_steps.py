"""
truncation_steps
~~~~~~~~~~~~~~~~

Steps for answers that break off, and whose framing does not show it.
"""

from contextlib import suppress

from anyio import ClosedResourceError, create_task_group, run, sleep
from behave import given, then, when
from brokenstreams_steps import EVENT_TYPE, EVENTS, JSON_TYPE, REST, WHOLE, read_body
from forwarder_rig import ScriptedEndpoint, find, make_configuration, open_rig
from forwarder_steps import write_request

TEXT_TYPE = "content-type: text/plain\r\n"
TEXT = b"until the end"
LONG = b"0123456789" * 10_000
#: Headers and body of answers up to the end of their connections.
SENT = {
    "half of its JSON": (JSON_TYPE, WHOLE[:9]),
    "its whole JSON": (JSON_TYPE, WHOLE),
    "half of a number": (JSON_TYPE, b"12"),
    "half of its text": (TEXT_TYPE, TEXT[:5]),
    "its whole text": (TEXT_TYPE, TEXT),
    "no byte": (TEXT_TYPE, b""),
    "half of a long text": (TEXT_TYPE, LONG[:90_000]),
    "a long text": (TEXT_TYPE, LONG),
    "status 204": ("", b""),
    "two events": (EVENT_TYPE, EVENTS),
    "a part of a stream": (EVENT_TYPE, EVENTS + b"id: 3\nda"),
}
SOUND = b"sound"
LINES = {"may be repeated": "GET /safe/1", "runs once": "POST /once/1"}
LINES["may be resumed"] = "GET /resume/1"


class EndingEndpoint(ScriptedEndpoint):
    """An endpoint that sends an answer without framing, and ends its connection or its process.

    :param sent: a key of SENT
    :param then: ``closes`` or ``ends``
    """

    def __init__(self, name, sent, then):
        super().__init__(name, "ok")
        self._sent, self._then = sent, then
        self._listener = None

    async def serve(self, listener):
        self._listener = listener
        async with create_task_group() as tasks:
            with suppress(ClosedResourceError):
                while True:
                    tasks.start_soon(self.handle, await listener.accept())

    async def handle(self, stream):
        await super().handle(stream)
        if self._then == "ends":
            await self._listener.aclose()

    async def do_ok(self, stream, attempt_id):
        headers, body = SENT[self._sent]
        status = 204 if self._sent == "status 204" else 200
        head = f"HTTP/1.1 {status} X\r\nx-id: {attempt_id}\r\nx-mark: m\r\n{headers}\r\n"
        await stream.send(head.encode() + body)
        await sleep(0.02)
        return False


class SoundEndpoint(ScriptedEndpoint):
    """An endpoint with whole answers, which goes on with streams."""

    async def do_ok(self, stream, attempt_id):
        is_stream = "/resume/" in self.requests[-1][0]
        body = REST if find(self.requests[-1][0], "last-event-id") else EVENTS + REST
        body = body if is_stream else SOUND
        await self.answer(stream, attempt_id, body=body, extra=EVENT_TYPE if is_stream else "")
        return True


@given("truncation: an endpoint that sends {sent} and then {then}, and a sound one")
def give_ending(context, sent, then):
    context.endpoints = [EndingEndpoint("e1", sent, then), SoundEndpoint("e2", "ok")]


@when("truncation: a client sends a request that {kind}")
def send(context, kind):
    async def job():
        async with create_task_group() as tasks, open_rig([]) as rig:
            rig.handler.configuration = make_configuration(1, 2.0, rig.limits)
            await rig.serve_endpoint(context.endpoints[0])
            tasks.start_soon(add_later, rig, context.endpoints[1])
            context.raw = await rig.ask(write_request(LINES[kind]))
            await sleep(0.3)
            context.may_have_restarted = rig.endpoint_table.starts.may_have_restarted("e1")
            tasks.cancel_scope.cancel()

    run(job)


async def add_later(rig, endpoint):
    """List an endpoint after the first request has been sent."""
    await sleep(0.01)
    await rig.serve_endpoint(endpoint)


@then("truncation: it gets {result}")
def check_result(context, result):
    raw = context.raw
    bodies = {
        "the sound one's answer": SOUND,
        "that JSON": WHOLE,
        "that text": TEXT,
        "that long text": LONG,
        "all four events": EVENTS + REST,
        "two events": EVENTS,
    }
    if result.startswith("status"):
        assert raw.startswith(f"HTTP/1.1 {result.split()[1]}".encode()), raw
    elif result in bodies:
        assert read_body(raw) == (bodies[result], True), raw[:300]
    else:
        assert not read_body(raw)[1], raw[:300]


@then("truncation: whether the endpoint's process has ended is known: {is_known}")
def check_known(context, is_known):
    assert read_body(context.raw) == (EVENTS + REST, True), context.raw
    assert context.may_have_restarted == (is_known == "yes")


class CuttingEndpoint(ScriptedEndpoint):
    """An endpoint that cuts off its answers at one byte after the other.

    :param answer: the whole bytes of an answer
    :param before: what is sent before
    """

    def __init__(self, name, answer, before=""):
        super().__init__(name, "ok")
        self.whole = answer
        self._before = before
        self._cuts = 0
        self._is_kept = False

    async def do_ok(self, stream, attempt_id):
        if self._before == "after a whole answer" and not self._is_kept:
            self._is_kept = True
            await self.answer(stream, attempt_id)
            return True
        self._is_kept = False
        if self._before.startswith("after status"):
            await stream.send(f"HTTP/1.1 {self._before[-3:]} X\r\n\r\n".encode())
        elif self._before == "after a stray answer":
            await self.answer(stream, "another", body=b"stray")
        self._cuts += 1
        data = self.whole.replace(b"ID", attempt_id.encode())
        await stream.send(data[: self._cuts])
        await sleep(0.001)
        return False


@given(
    "truncation: an endpoint that cuts off its head at one byte after the other, {before}, with "
    "lines that end with {line_end}"
)
def give_cut_head(context, before, line_end):
    end = {"CRLF": "\r\n", "LF": "\n"}[line_end]
    lines = ("HTTP/1.1 200 X", "x-id: ID", "x-mark: m", "content-type: text/plain", "", "")
    context.endpoint = CuttingEndpoint("e1", end.join(lines).encode(), before)
    #: The last byte completes the head.
    context.count = len(context.endpoint.whole) - 1
    context.is_kept = before == "after a whole answer"


@given("truncation: an endpoint whose body {framing} is cut off at one byte after the other")
def give_cut_body(context, framing):
    head = "HTTP/1.1 200 X\r\nx-id: ID\r\nx-mark: m\r\n"
    if framing == "with a length":
        data = head + "content-length: 12\r\n\r\nhello, hello"
    else:
        data = head + "transfer-encoding: chunked\r\n\r\n6\r\nhello,\r\n6\r\n hello\r\n0\r\n\r\n"
    context.endpoint = CuttingEndpoint("e1", data.encode())
    context.count = len(data) - 1
    context.is_kept = False


@when("truncation: a client sends a request for each of them")
def send_each(context):
    async def job():
        async with open_rig([]) as rig:
            rig.handler.configuration = make_configuration(1, 2.0, rig.limits)
            await rig.serve_endpoint(context.endpoint)
            state = rig.endpoint_table.state_by_id["e1"]
            context.answers = []
            for number in range(context.count):
                if context.is_kept:
                    await rig.ask(write_request("POST /once/1", f"k{number}"))
                # A backoff of the endpoint would keep the next request away from it.
                state.backoff_until_s, state.consecutive_failures = 0.0, 0
                context.answers.append(await rig.ask(write_request("POST /once/1", f"r{number}")))

    run(job)


@then("truncation: none gets a success")
def check_no_success(context):
    wrong = [each for each in context.answers if each.startswith(b"HTTP/1.1 200")]
    assert not wrong and len(context.answers) == context.count, wrong[:3]
    assert len(context.endpoint.requests) >= context.count, len(context.endpoint.requests)


@then("truncation: none gets a success that is complete")
def check_no_complete(context):
    started = [each for each in context.answers if each.startswith(b"HTTP/1.1 200")]
    wrong = [each for each in started if read_body(each)[1]]
    assert not wrong, wrong[:3]
    assert len(context.endpoint.requests) >= context.count, len(context.endpoint.requests)
