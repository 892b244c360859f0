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

from anyio import run, sleep
from behave import then, when
from forwarder_rig import open_rig
from forwarder_steps import write_request

from kingcupdyke_daemon.logs import JsonFormatter, LineSampler, QueuedHandler, log_record
from kingcupdyke_daemon.records import DataAges, EndpointRecord, RequestRecord
from kingcupdyke_tool.timeline import explain_request

LOGGER = logging.getLogger("kingcupdyke_daemon")
REQUEST = "walk-1"


def collect(context, job):
    """Run a job and keep what it logs."""
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


@when("walks: a request is refused under load")
def refuse_under_load(context):
    async def job():
        async with open_rig(["hang"]) as rig:
            rig.dispatcher.ended("x", "e1", "service", 30.0)
            busy = [await rig.send(write_request("GET /safe/1", f"b{n}")) for n in range(4)]
            await sleep(0.1)
            await rig.ask(write_request("GET /safe/1", REQUEST))
            for each in busy:
                await each.aclose()

    collect(context, job)


@when("walks: a request is lost with its endpoint")
def lose_with_endpoint(context):
    async def job():
        async with open_rig(["close"]) as rig:
            log_record(LOGGER, "endpoint changed", EndpointRecord("e1", "removed", 40))
            await rig.ask(write_request("POST /once/1", REQUEST))

    collect(context, job)


@when("walks: a request is served by an old configuration")
def serve_by_old(context):
    async def job():
        async with open_rig(["ok"]) as rig:
            rig.handler.get_ages = lambda: DataAges(9000, 40)
            LOGGER.warning("configuration 2 is in force")
            await rig.ask(write_request("GET /safe/1", REQUEST))

    collect(context, job)


@when("walks: the logs are searched for the request as the page says")
def search(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "entry-n1.log"
        path.write_text(context.log)
        context.report = explain_request(REQUEST, [path, Path(folder) / "missing.log"])


@then('walks: the end of the request tells "{words}"')
def check_end(context, words):
    lines = [each for each in context.report.text.splitlines() if f"request={REQUEST}" in each]
    (line,) = [each for each in lines if "request ended" in each]
    for word in words.replace(" reason=", "\nreason=").splitlines():
        for each in [word] if word.startswith("reason") else word.split():
            assert each in line, (each, line)


@then('walks: the story holds "{cause}"')
def check_cause(context, cause):
    assert cause in context.report.text, context.report.text
    assert "missing.log" in context.report.text


class BlockedStream:
    """A pipe whose reader has stopped reading."""

    def __init__(self):
        self.is_writing = Event()

    def write(self, text):
        self.is_writing.set()
        Event().wait()

    def flush(self):
        """Never reached."""


@when("walks: {count:d} lines are logged to a stream that nobody reads")
def log_blocked(context, count):
    handler = QueuedHandler(BlockedStream(), 100)
    handler.setFormatter(JsonFormatter())
    began_s = monotonic()
    for number in range(count):
        handler.handle(logging.LogRecord("x", logging.INFO, "", 0, "line %d", (number,), None))
    context.seconds = monotonic() - began_s
    context.dropped = handler.dropped


@then("walks: logging them took less than {limit:g} s")
def check_quick(context, limit):
    assert context.seconds < limit, context.seconds


@then("walks: the lines that were dropped are counted")
def check_dropped(context):
    assert context.dropped >= 19_000, context.dropped


@when("walks: lines with quotes, line breaks and an exception are logged")
def log_strange(context):
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


def make_end(status):
    """:return: the end of a request"""
    return RequestRecord("r", "route", 1, 0, 0, "", "", (), status, "answered", "", 0, 1, 1, 9)


@when("walks: {well:d} requests go well and {refused:d} are refused within a second")
def log_many(context, well, refused):
    now_s = 0.0
    sampler = LineSampler(lambda: now_s)

    async def job():
        nonlocal now_s
        for _ in range(well):
            sampler.log(LOGGER, "request ended", make_end(200))
        for _ in range(refused):
            log_record(LOGGER, "request refused", make_end(503))
        now_s = 2.0
        sampler.log(LOGGER, "request ended", make_end(200))

    collect(context, job)
    context.lines = [json.loads(each) for each in context.log.splitlines()]


@then(
    "walks: {count:d} lines tell of those that went well, and the next one says that {skipped:d} "
    "were left out"
)
def check_sampled(context, count, skipped):
    *lines, last = [each for each in context.lines if each["event"] == "request ended"]
    assert len(lines) == count, len(lines)
    assert last["skipped_lines"] == skipped, last


@then("walks: {count:d} lines tell of those that were refused")
def check_kept(context, count):
    found = [each for each in context.lines if each["event"] == "request refused"]
    assert len(found) == count, len(found)


@when("walks: a log that nobody reads, with its buffer full, is to be written within {limit:g} s")
def flush_blocked(context, limit):
    stream = BlockedStream()
    handler = QueuedHandler(stream, 10)
    handler.setFormatter(JsonFormatter())
    line = logging.LogRecord("x", logging.INFO, "", 0, "a line", (), None)
    handler.handle(line)
    # From here on nothing is taken out of the buffer.
    assert stream.is_writing.wait(5.0)
    for _ in range(100):
        handler.handle(line)
    assert handler.dropped == 90, handler.dropped
    began_s = monotonic()
    handler.flush_for(limit)
    context.seconds = monotonic() - began_s


@then("walks: that took less than {limit:g} s")
def check_flushed(context, limit):
    assert context.seconds < limit, context.seconds
