"""
walks_steps
~~~~~~~~~~~

Steps that follow a failed request through the logs.
"""

import io
import json
import logging
import tempfile
from pathlib import Path
from threading import Event
from time import monotonic

from anyio import current_time, run, sleep
from behave import then, when
from forwarder_rig import open_rig
from forwarder_steps import write_request

from kingcupdyke_daemon.logs import JsonFormatter, LineSampler, QueuedHandler, log_record
from kingcupdyke_daemon.records import DataAges, EndpointRecord, RequestRecord
from kingcupdyke_tool.timeline import explain_request

LOGGER = logging.getLogger("kingcupdyke_daemon")
REQUEST = "walk-1"


def collect(context, job):
    """Run a job and collect its log lines."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter())
    level = LOGGER.level
    LOGGER.addHandler(handler)
    LOGGER.setLevel(logging.INFO)
    try:
        run(job)
    finally:
        LOGGER.removeHandler(handler)
        LOGGER.setLevel(level)
    context.log = stream.getvalue()


@when("walks: a request is rejected under load")
def reject_under_load(context):
    async def job():
        async with open_rig(["hang"]) as rig:
            rig.dispatcher.ended("x", "e1", "service", 30.0, current_time(), True)
            busy = [await rig.send(write_request("GET /safe/1", f"b{n}")) for n in range(4)]
            await sleep(0.1)
            await rig.ask(write_request("GET /safe/1", REQUEST))
            for each in busy:
                await each.aclose()

    collect(context, job)


@when("walks: a request is lost when its endpoint fails")
def fail_with_endpoint(context):
    async def job():
        async with open_rig(["close"]) as rig:
            log_record(LOGGER, "endpoint changed", EndpointRecord("e1", "removed", "v1", 40))
            await rig.ask(write_request("POST /once/1", REQUEST))

    collect(context, job)


@when("walks: a request is served with a stale configuration")
def serve_with_stale_configuration(context):
    async def job():
        async with open_rig(["ok"]) as rig:
            rig.handler.get_ages = lambda: DataAges(9000, 40)
            LOGGER.warning("configuration 2 is in force")
            await rig.ask(write_request("GET /safe/1", REQUEST))

    collect(context, job)


@when("walks: the logs are searched for the request")
def search(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "entry-n1.log"
        path.write_text(context.log)
        context.report = explain_request(REQUEST, [path, Path(folder) / "missing.log"])


@then('walks: the end record of the request contains "{words}"')
def check_end(context, words):
    lines = [each for each in context.report.text.splitlines() if f"request={REQUEST}" in each]
    (line,) = [each for each in lines if "request ended" in each]
    for word in words.replace(" reason=", "\nreason=").splitlines():
        for each in [word] if word.startswith("reason") else word.split():
            assert each in line, (each, line)


@then('walks: the timeline contains "{cause}"')
def check_cause(context, cause):
    assert cause in context.report.text, context.report.text
    assert "missing.log" in context.report.text


class BlockedStream:
    """A stream on which each write blocks forever, like a pipe that is not read."""

    def __init__(self):
        self.is_writing = Event()

    def write(self, text):
        self.is_writing.set()
        Event().wait()

    def flush(self):
        """Not reached, as no write returns."""


@when("walks: {count:d} lines are logged to a stream that is not read")
def log_blocked(context, count):
    handler = QueuedHandler(BlockedStream(), 100)
    handler.setFormatter(JsonFormatter())
    started_s = monotonic()
    for number in range(count):
        handler.handle(logging.LogRecord("x", logging.INFO, "", 0, "line %d", (number,), None))
    context.seconds = monotonic() - started_s
    context.dropped = handler.dropped


@then("walks: logging them took less than {limit:g} s")
def check_duration(context, limit):
    assert context.seconds < limit, context.seconds


@then("walks: the dropped lines are counted")
def check_dropped(context):
    assert context.dropped >= 19_000, context.dropped


@when("walks: lines with quotes, line breaks and an exception are logged")
def log_special_lines(context):
    async def job():
        LOGGER.info('a "quoted" line\nand another')
        try:
            raise ValueError("a fault")
        except ValueError:
            LOGGER.exception("it failed")

    collect(context, job)


@then("walks: each line is one JSON object with its time, level and event")
def check_lines(context):
    lines = [json.loads(each) for each in context.log.splitlines()]
    assert len(lines) == 2, lines
    assert all({"time", "level", "event"} <= each.keys() for each in lines)
    assert "a fault" in lines[1]["error"]


def make_end_record(status):
    """:return: the record that is logged at the end of a request"""
    end = (status, "answered", "", 0, 1, 1, 9, "length", 0, 0, -1.0, (), -1)
    return RequestRecord("r", "route", 1, 0, 0, "", "", (), "", "", (), (), *end)


@when("walks: {succeeded:d} requests succeed and {rejected:d} are rejected within a second")
def log_many(context, succeeded, rejected):
    now_s = 0.0
    sampler = LineSampler(lambda: now_s)

    async def job():
        nonlocal now_s
        for _ in range(succeeded):
            sampler.log(LOGGER, "request ended", make_end_record(200))
        for _ in range(rejected):
            log_record(LOGGER, "request refused", make_end_record(503))
        now_s = 2.0
        sampler.log(LOGGER, "request ended", make_end_record(200))

    collect(context, job)
    context.lines = [json.loads(each) for each in context.log.splitlines()]


@then(
    "walks: {count:d} lines are logged for the successful requests, and the next one reports "
    "{skipped:d} skipped lines"
)
def check_sampled(context, count, skipped):
    *lines, last = [each for each in context.lines if each["event"] == "request ended"]
    assert len(lines) == count, len(lines)
    assert last["skipped_lines"] == skipped, last


@then("walks: {count:d} lines are logged for the rejected requests")
def check_kept(context, count):
    found = [each for each in context.lines if each["event"] == "request refused"]
    assert len(found) == count, len(found)


@when("walks: a log that is not read, with a full buffer, is flushed with a timeout of {limit:g} s")
def flush_blocked(context, limit):
    stream = BlockedStream()
    handler = QueuedHandler(stream, 10)
    handler.setFormatter(JsonFormatter())
    line = logging.LogRecord("x", logging.INFO, "", 0, "a line", (), None)
    handler.handle(line)
    # The first write blocks now, so no further line leaves the buffer.
    assert stream.is_writing.wait(5.0)
    for _ in range(100):
        handler.handle(line)
    assert handler.dropped == 90, handler.dropped
    started_s = monotonic()
    handler.flush_for(limit)
    context.seconds = monotonic() - started_s


@then("walks: the flush took less than {limit:g} s")
def check_flushed(context, limit):
    assert context.seconds < limit, context.seconds
