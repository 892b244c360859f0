"""
http_steps
~~~~~~~~~~

Steps for the HTTP client, against a server with the faults of the scenario.
"""

from anyio import move_on_after, run, sleep
from behave import given, then, when

from kingcupdyke.error import Outcome, Step
from kingcupdyke_standins.asgi import HttpRequest, Reply, StandinApp
from kingcupdyke_standins.protocol import StandinProtocol
from kingcupdyke_standins.server import open_standin
from kingcupdyke_wire.decode import make_failure
from kingcupdyke_wire.http import ExchangeError, HttpAnswer, HttpClient

LATE_ANSWER_S = 0.1
FIRST_PART = b"first half, "


class EchoApp(StandinApp):
    """Answers with the request's path, or simulates a fault."""

    def __init__(self, behaviour):
        super().__init__("service")
        self.behaviour = behaviour

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        path = "/".join(request.path).encode()
        match self.behaviour:
            case "drops the connection":
                await reply.drop()
            case "never answers":
                await reply.wait_disconnect()
            case "answers too late":
                await sleep(LATE_ANSWER_S)
                await reply.send_response(200, path)
            case "closes within the answer":
                await reply.begin(200, {"content-length": "100"})
                await reply.part(FIRST_PART)
                await sleep(0.01)
                await reply.drop()
            case "stalls within the answer":
                await reply.begin(200, {"content-length": "100"})
                await reply.part(FIRST_PART)
                await reply.wait_disconnect()
            case "answers twice":
                await reply.send_response(200, path)
                head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(path)}\r\n\r\n"
                reply.send_unsolicited(head.encode() + path)
            case "stalls its connections":
                StandinProtocol.freeze_all()
                await reply.send_response(200, path)
            case "ends a stream inside an event":
                headers = {"content-type": "text/event-stream"}
                await reply.send_response(200, b"data: 1\n\ndata", headers)
            case "ends its connection inside an event":
                await end_connection(reply, "text/event-stream", b"data: 1\n\ndata")
            case "ends its connection inside a JSON value":
                await end_connection(reply, "application/json", b'{"a":')
            case str(text) if text.startswith("answers with status "):
                status = text.removeprefix("answers with status ")
                reply.send_unsolicited(
                    f"HTTP/1.1 {status} X\r\ncontent-length: 1\r\n\r\na".encode()
                )
                await sleep(0.01)
                await reply.drop()
            case (content_type, body):
                await end_connection(reply, content_type, body)
            case _:
                await reply.send_response(200, path)


async def end_connection(reply, content_type, body):
    """Send an answer that has neither a length nor chunks."""
    head = f"HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\n\r\n"
    reply.send_unsolicited(head.encode() + body)
    await sleep(0.01)
    await reply.drop()


async def send_all(context, requests):
    """Send requests with one client to the scenario's server and store the last result."""
    app = EchoApp(context.behaviour)
    async with open_standin(app) as address:
        if context.behaviour == "refuses connections":
            address = "127.0.0.1:1"
        context.address = address
        client = HttpClient(f"http://{address}", timeout_s=1.0)
        for request in requests:
            context.result = await request(app, client)
        await client.aclose()


@given("a server for http that {behaviour}")
def give_server(context, behaviour):
    context.behaviour = behaviour
    context.requests = []


@given('a server for http whose answer "{body}" of type "{content_type}" ends with its connection')
def give_ending_server(context, body, content_type):
    context.behaviour = (content_type, unescape(body).encode())
    context.requests = []


def unescape(text):
    return text.replace("\\r", "\r").replace("\\n", "\n")


@when("http sends a request with a timeout of {timeout_s:g} s")
def send_request(context, timeout_s):
    async def request(app, client):
        return await client.request("GET", "/first", timeout_s=timeout_s)

    context.requests.append(request)
    run(send_all, context, context.requests)


@when("http sends a request that is cancelled after {cancel_s:g} s")
def send_cancelled(context, cancel_s):
    async def request(app, client):
        with move_on_after(cancel_s):
            await client.request("GET", "/first")

    context.requests.append(request)


@when("http sends another request once the server works")
def send_other(context):
    async def request(app, client):
        app.behaviour = "behaves"
        await sleep(LATE_ANSWER_S)
        return await client.request("GET", "/other")

    run(send_all, context, [*context.requests, request])


@when("http reads a stream with a timeout of {timeout_s:g} s between its parts")
def read_stream(context, timeout_s):
    async def request(app, client):
        context.parts = []
        try:
            async with client.stream("GET", "/first", timeout_s=timeout_s) as stream:
                async for part in stream.parts:
                    context.parts.append(part)
        except ExchangeError as error:
            return error.failure

    run(send_all, context, [request])


def check_failure(context, failure, outcome, step):
    assert failure.outcome == Outcome(outcome), failure
    assert failure.step == Step(step), failure
    assert failure.peer == context.address, failure
    assert failure.reason, failure


@then('http reports "{outcome}" at step "{step}" with the peer\'s address')
def check_report(context, outcome, step):
    check_failure(context, context.result.error, outcome, step)


@then("http has the answer to the other request")
def check_other(context):
    assert context.result.is_ok(), context.result
    assert context.result.ok.body == b"other", context.result


@then('http has the answer "{body}"')
def check_answer(context, body):
    assert context.result.is_ok(), context.result
    assert context.result.ok.body == unescape(body).encode(), context.result


@then('http has read a part and reports "{outcome}" at step "{step}" with the peer\'s address')
def check_stream(context, outcome, step):
    assert context.parts == [FIRST_PART], context.parts
    check_failure(context, context.result, outcome, step)


@then('http has read no part and reports "{outcome}" at step "{step}" with the peer\'s address')
def check_no_part(context, outcome, step):
    assert context.parts == [], context.parts
    check_failure(context, context.result, outcome, step)


@then('http: an answer of 503 with the Retry-After "{value}" is a failure with {seconds}')
def check_retry_after(context, value, seconds):
    answer = HttpAnswer(503, {"retry-after": value}, b"")
    assert str(make_failure(answer, Step.RUN, "peer").retry_after_s) == seconds
