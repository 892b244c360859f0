"""
brokenstreams_steps
~~~~~~~~~~~~~~~~~~~

Steps for streams that break off, and the errors of the endpoints that are to go on.
"""

from anyio import create_task_group, run, sleep
from behave import given, then, when
from forwarder_rig import ScriptedEndpoint, find, make_configuration, open_rig
from forwarder_steps import decode_chunks, write_request

EVENT_TYPE = "content-type: text/event-stream\r\n"
JSON_TYPE = "content-type: application/json\r\n"
ERROR = b'{"error":"broken"}\n\n'
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
BARE_EVENTS = b"data: a\n\ndata: b\n\n"
REST = b"id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
WHOLE = b'{"answer":"whole"}'
#: Status, headers and body of answers to the attempt to resume.
ANSWERS = {
    "a failure": (500, JSON_TYPE, ERROR),
    "a client's error": (404, JSON_TYPE, ERROR),
    "an answer without a stamp": (200, EVENT_TYPE, REST),
    "an encoded answer": (200, EVENT_TYPE + "x-coded: 1\r\n", REST),
    "a rejection": (503, JSON_TYPE + "x-not-run: 1\r\n", ERROR),
    "an error as a success": (200, JSON_TYPE, ERROR),
    "a text as a success": (200, "content-type: text/plain\r\n", ERROR),
    "a success of another kind that names no type": (203, "", ERROR),
    "an empty success": (200, JSON_TYPE, b""),
}
CHUNKED = " in chunks"
UNFRAMED = " up to the end of its connection"
EARLY = " that ends early"


class BreakingEndpoint(ScriptedEndpoint):
    """An endpoint whose answer breaks off.

    :param framing: what marks the end of the body
    :param headers: further headers, with line ends
    :param body: what is sent of the body
    """

    def __init__(self, name, framing, headers, body):
        super().__init__(name, "ok")
        self._framing, self._headers, self._body = framing, headers, body

    async def do_ok(self, stream, attempt_id):
        if find(self.requests[-1][0], "last-event-id"):
            return False
        head = f"HTTP/1.1 200 X\r\nx-id: {attempt_id}\r\nx-mark: m\r\n{self._headers}"
        body = self._body
        if self._framing == "in chunks":
            head += "transfer-encoding: chunked\r\n"
            body = b"%x\r\n%s\r\n" % (len(body), body)
        elif self._framing == "with a length":
            head += f"content-length: {len(body) + 9}\r\n"
        elif body:
            # Without another mark, only an event that is not whole shows that the stream broke off.
            body += b"id: 3\nda"
        await stream.send(f"{head}\r\n".encode() + body)
        await sleep(0.02)
        return False


class AnsweringEndpoint(ScriptedEndpoint):
    """An endpoint with one answer.

    :param case: a key of ANSWERS, with a framing
    """

    def __init__(self, name, case):
        super().__init__(name, "ok")
        self._case = case

    async def do_ok(self, stream, attempt_id):
        case = self._case
        if case == "a closed connection":
            return False
        if case == "bytes that are no answer":
            return await self.do_garbage(stream, attempt_id)
        framing = next((each for each in (CHUNKED, UNFRAMED, EARLY) if case.endswith(each)), "")
        status, headers, body = ANSWERS[case.removesuffix(framing)]
        mark = "" if "without a stamp" in case or "x-coded" in headers else "x-mark: m\r\n"
        head = f"HTTP/1.1 {status} X\r\nx-id: {attempt_id}\r\n{mark}{headers}"
        if framing == CHUNKED:
            head += "transfer-encoding: chunked\r\n"
            body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
        elif framing != UNFRAMED:
            head += f"content-length: {len(body) + (9 if framing == EARLY else 0)}\r\n"
        await stream.send(f"{head}\r\n".encode() + body)
        await sleep(0.02)
        return framing == CHUNKED or not framing


class WholeEndpoint(ScriptedEndpoint):
    """An endpoint with one complete answer in chunks."""

    def __init__(self, name, headers, body):
        super().__init__(name, "ok")
        self._headers, self._body = headers, body

    async def do_ok(self, stream, attempt_id):
        head = f"HTTP/1.1 200 X\r\nx-id: {attempt_id}\r\nx-mark: m\r\n{self._headers}"
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(self._body), self._body)
        await stream.send(f"{head}transfer-encoding: chunked\r\n\r\n".encode() + chunk)
        return True


@given(
    "brokenstreams: an endpoint whose stream {first} breaks off after two events, and one that "
    "answers {second}"
)
def give_pair(context, first, second):
    context.attempts = 2
    context.endpoints = [
        BreakingEndpoint("e1", first, EVENT_TYPE, EVENTS),
        AnsweringEndpoint("e2", second),
    ]


@given(
    "brokenstreams: a third endpoint that goes on with the stream, and three attempts are permitted"
)
def give_third(context):
    context.attempts = 3
    context.endpoints.append(WholeEndpoint("e3", EVENT_TYPE, REST))


@given(
    "brokenstreams: an endpoint whose answer {framing} breaks off, and one that answers it from "
    "its beginning"
)
def give_whole(context, framing):
    context.attempts = 2
    context.endpoints = [
        BreakingEndpoint("e1", framing, JSON_TYPE, WHOLE[:9]),
        WholeEndpoint("e2", JSON_TYPE, WHOLE),
    ]


@given(
    "brokenstreams: an endpoint whose stream without ids breaks off after two events, and one that "
    "begins it anew"
)
def give_without_ids(context):
    context.attempts = 2
    context.endpoints = [
        BreakingEndpoint("e1", "in chunks", EVENT_TYPE, BARE_EVENTS),
        WholeEndpoint("e2", EVENT_TYPE, BARE_EVENTS),
    ]


def permit_attempts(configuration, attempts):
    routes = [each._replace(max_attempts=attempts) for each in configuration.routes]
    services = tuple(configuration.services_by_name.values())
    return type(configuration)(1, tuple(routes), services, configuration.limits)


@when('brokenstreams: a client asks for a stream that can be resumed, with "{protocol}"')
def ask(context, protocol):
    async def job():
        async with create_task_group() as tasks, open_rig([]) as rig:
            configuration = make_configuration(1, 2.0, rig.limits)
            rig.handler.configuration = permit_attempts(configuration, context.attempts)
            for endpoint in context.endpoints:
                await rig.serve_endpoint(endpoint)
            request = write_request("GET /resume/1").replace(b"HTTP/1.1", protocol.encode())
            context.raw = await rig.ask(request)
            tasks.cancel_scope.cancel()

    run(job)


def read_body(raw):
    """:return: the body received, and whether it is complete"""
    is_reset = raw.endswith(b"!")
    head, _, body = raw.removesuffix(b"!").partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head
    if b"transfer-encoding: chunked" in head.lower():
        is_complete = body.endswith(b"0\r\n\r\n")
        return decode_chunks(body) if body else b"", is_complete and not is_reset
    _, _, length = head.lower().partition(b"content-length: ")
    if length:
        return body, len(body) == int(length.split()[0])
    return body, not is_reset


@then("brokenstreams: it has got two events and nothing else, and its answer is not complete")
def check_events(context):
    assert read_body(context.raw) == (EVENTS, False), context.raw


@then("brokenstreams: it has got all four events, and its answer is complete")
def check_all(context):
    assert read_body(context.raw) == (EVENTS + REST, True), context.raw


@then("brokenstreams: it has got the beginning only, and its answer is not complete")
def check_beginning(context):
    assert read_body(context.raw) == (WHOLE[:9], False), context.raw


@then("brokenstreams: the second endpoint has received nothing")
def check_not_sent(context):
    assert not context.endpoints[1].requests


@then(
    "brokenstreams: it has got two events without ids and nothing else, and its answer is not "
    "complete"
)
def check_without_ids(context):
    assert read_body(context.raw) == (BARE_EVENTS, False), context.raw
