"""
app_steps
~~~~~~~~~

Steps for what callers reach over HTTP.
"""

import json
import logging
from hashlib import sha256
from types import SimpleNamespace

from anyio import run, sleep_forever
from behave import then, when
from expression import Ok

from kingcupdyke_daemon.gateway.app import AppDependencies, GatewayApp

TOKEN = "token"


class ScriptedCalls:
    """A call handler with a fault, or without."""

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
    """Keeps what is logged."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


def make_app(calls):
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
    nothing = SimpleNamespace(
        paths=("/healthz",),
        admit=lambda request_id: Ok(None),
        finished=lambda request_id: None,
        record_first=lambda *values: None,
        record_between=lambda *values: None,
        record_whole=lambda *values: None,
        now=lambda: 1.0,
    )
    return GatewayApp(
        AppDependencies(
            calls=calls,
            status=nothing,
            admin=nothing,
            drain=nothing,
            demand=nothing,
            metrics=nothing,
            timer=nothing,
            get_rules=lambda: rules,
            has_rules=lambda: True,
            host="entry-n1",
            region="north",
            most_body_bytes=1000,
        )
    )


@when("app: a call raises an error that nobody expected {moment} the answer began")
def call_broken(context, moment):
    ask(context, ScriptedCalls(moment == "after"))


@when("app: a call is answered")
def call_whole(context):
    ask(context, ScriptedCalls(True, True))


@when("app: a caller without a token asks")
def call_unknown(context):
    ask(context, ScriptedCalls(True, True), token="none")


def ask(context, calls, token=TOKEN):
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
            await make_app(calls)(scope, receive, send)
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
    wanted = dict(each.split("=") for each in fields.split())
    assert wanted.items() <= found.items(), found
