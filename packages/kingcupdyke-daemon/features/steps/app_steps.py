"""
app_steps
~~~~~~~~~

Steps for the gateway's HTTP interface for callers.
"""

import json
import logging
from hashlib import sha256
from types import SimpleNamespace

from anyio import run, sleep_forever
from behave import then, when
from expression import Ok

from kingcupdyke.forwarding.incomingbodies import IncomingBodies
from kingcupdyke.forwarding.memorybudget import MemoryBudget
from kingcupdyke_daemon.gateway.app import AppDependencies, GatewayApp
from kingcupdyke_daemon.gateway.bodyreader import BodyReader

TOKEN = "token"


class ScriptedCallHandler:
    """A call handler that answers, or raises an error before or after the first part."""

    def __init__(self, begins, ends=False):
        self.begins = begins
        self.ends = ends

    async def run(self, call, sink):
        if self.begins:
            sink.start(200, "text/plain", "model-n1")
            await sink.part(b"a part")
        if self.ends:
            await sink.end()
            return "delivered"
        raise RuntimeError("a fault")


class LogList(logging.Handler):
    """Keeps all log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


def make_app(call_handler):
    caller = SimpleNamespace(name="desk", weight=1.0)
    service = SimpleNamespace(
        name="bookings",
        callers=("desk",),
        service_class="interactive",
        deadline_s=3.0,
        idempotent_methods=("GET",),
    )
    rules = SimpleNamespace(
        callers_by_digest={sha256(TOKEN.encode()).hexdigest(): caller},
        services_by_name={"bookings": service},
        models_by_name={},
        adapters_by_name={},
    )
    stub = SimpleNamespace(
        paths=("/healthz",),
        admit=lambda request_id: Ok(None),
        finished=lambda request_id: None,
        record_time_to_first_part=lambda *values: None,
        record_time_between_parts=lambda *values: None,
        record_request=lambda *values: None,
        now=lambda: 1.0,
    )
    return GatewayApp(
        AppDependencies(
            call_handler=call_handler,
            status=stub,
            admin=stub,
            drain=stub,
            demand=stub,
            metrics=stub,
            timer=stub,
            get_rules=lambda: rules,
            has_rules=lambda: True,
            host="entry-n1",
            region="north",
            body_reader=BodyReader(IncomingBodies(MemoryBudget(2000)), 1000, "entry-n1", stub),
        )
    )


@when("app: a call raises an unexpected error {moment} the answer started")
def raise_error(context, moment):
    send_request(context, ScriptedCallHandler(moment == "after"))


@when("app: a call is answered")
def answer_call(context):
    send_request(context, ScriptedCallHandler(True, True))


@when("app: a caller with an unknown token sends a request")
def send_unknown_token(context):
    send_request(context, ScriptedCallHandler(True, True), token="none")


def send_request(context, call_handler, token=TOKEN):
    context.sent = []
    context.logs = LogList()
    scope = {
        "type": "http",
        "method": "GET",
        "path": "/services/bookings/1",
        "raw_path": b"/services/bookings/1",
        "query_string": b"",
        "headers": [
            (b"authorization", f"Bearer {token}".encode()),
            (b"x-request-id", b"own-id"),
        ],
    }
    messages = [{"type": "http.request", "body": b"", "more_body": False}]

    async def receive():
        if messages:
            return messages.pop(0)
        return await sleep_forever()

    async def send(message):
        context.sent.append(message)

    async def job():
        context.escaped = None
        try:
            await make_app(call_handler)(scope, receive, send)
        except Exception as error:
            context.escaped = error

    logger = logging.getLogger("kingcupdyke_daemon")
    logger.addHandler(context.logs)
    level = logger.level
    logger.setLevel(logging.INFO)
    try:
        run(job)
    finally:
        logger.setLevel(level)
        logger.removeHandler(context.logs)


@then("app: the caller gets an error with the outcome unknown and the step run")
def check_error(context):
    assert context.escaped is None, context.escaped
    head, body = context.sent
    assert head["status"] == 504, head
    error = json.loads(body["body"])["error"]
    assert (error["outcome"], error["step"]) == ("unknown", "run"), error


@then("app: the error is logged with its cause")
def check_logged(context):
    assert any(
        each.exc_info and "a fault" in str(each.exc_info[1]) for each in context.logs.records
    )


@then('app: the log has "{event}" with "{fields}"')
def check_line(context, event, fields):
    (record,) = [each for each in context.logs.records if each.getMessage() == event]
    found = {name: str(value) for name, value in record.fields.items()}
    expected = dict(each.split("=") for each in fields.split())
    assert expected.items() <= found.items(), found
