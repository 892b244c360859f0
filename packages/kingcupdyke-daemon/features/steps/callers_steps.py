"""
callers_steps
~~~~~~~~~~~~~

Steps for the keys of callers at a gateway, over real sockets.
"""

import json
import logging
import tracemalloc

from anyio import run, sleep
from behave import then, when
from forwarder_rig import find, make_configuration, open_rig

from kingcupdyke.forwarding.callertable import Caller, CallerTable, hash_key
from kingcupdyke.forwarding.configuration import ClientLimits, Configuration
from kingcupdyke.forwarding.metadata import RequestMetadata
from kingcupdyke_daemon.forwarder.fingerprint import make_fingerprint
from kingcupdyke_daemon.forwarder.reply import ClientRequest, Reply

LIMITS = ClientLimits(16_384, 10_000, 0.3, 0.6)
CALLERS = CallerTable(
    (
        Caller("a", frozenset((hash_key("key-a"),))),
        Caller("b", frozenset((hash_key("key-b"),)), 0),
    )
)
#: Bytes that may be held in the end: a metric and counters for each reason, whatever the number.
MAX_GROWTH_BYTES = 300_000


def configure(callers, version=1):
    """:return: a configuration with a public route for requests that are not idempotent"""
    plain = make_configuration(version, 1.0, LIMITS)
    routes = tuple(each._replace(is_public=each.name == "once") for each in plain.routes)
    services = tuple(plain.services_by_name.values())
    return Configuration(version, routes, services, LIMITS, callers)


def prepare(rig, situation=""):
    rig.limits = LIMITS
    rig.handler.configuration = {
        "no configuration is known": None,
        "no callers are configured": configure(None),
        "callers are configured and none is known": configure(CallerTable(())),
    }.get(situation, configure(CALLERS))
    if situation == "the configuration is not confirmed":
        rig.handler.is_configuration_fresh = False


def write(path, headers, attempt_id="r1"):
    lines = [f"GET {path} HTTP/1.1", "host: a.example", f"x-id: {attempt_id}", "connection: close"]
    for each in filter(None, headers.replace("<8192>", "x" * 8192).split(", ")):
        is_name = each.startswith("tenant ")
        lines.append(f"x-tenant: {each[7:]}" if is_name else f"x-caller: {each}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def describe(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    status = head.split()[1].decode()
    if status == "200":
        return status
    assert (b"www-authenticate: Bearer" in head) == (status == "401"), head
    assert (b"retry-after" in head) == (status == "503"), head
    return f"{status} {json.loads(body)['error']['message']}"


def describe_received(requests):
    if not requests:
        return "nothing"
    ((head, _),) = requests
    key = "key " if "key-" in head else ""
    return f"{key}tenant {find(head, 'x-tenant') or '-'} rank {find(head, 'x-rank')}"


@when('callers: a request on "{path}" has the headers "{headers}" while "{situation}"')
def ask(context, path, headers, situation):
    async def job():
        async with open_rig(["ok"]) as rig:
            prepare(rig, situation)
            context.answer = await rig.ask(write(path, headers))
            context.requests = rig.endpoints[0].requests

    run(job)


@when('callers: a request on "{path}" has the headers "" while "{situation}"')
def ask_without_in_situation(context, path, situation):
    ask(context, path, "", situation)


@when('callers: a request on "{path}" has the headers "{headers}"')
def ask_plainly(context, path, headers):
    ask(context, path, headers, "")


@when('callers: a request on "{path}" has the headers ""')
def ask_without(context, path):
    ask(context, path, "", "")


@then('callers: the answer is "{answer}" and the endpoint receives "{received}"')
def check(context, answer, received):
    assert describe(context.answer) == answer, context.answer
    found = describe_received(context.requests)
    assert found == received, found


@when("callers: the key of a request is removed while it runs, and it is sent again")
def remove_key(context):
    async def job():
        async with open_rig(["slow"]) as rig:
            prepare(rig)
            stream = await rig.send(write("/safe/1", "Bearer key-a"))
            await sleep(0.2)
            rig.handler.configuration = configure(CallerTable(()), 2)
            second = await rig.ask(write("/safe/1", "Bearer key-a", "r2"))
            context.answers = [await rig.read_all(stream), second]

    run(job)


@then('callers: the answers are "{statuses}"')
def check_statuses(context, statuses):
    found = " ".join(describe(each).split()[0] for each in context.answers)
    assert found == statuses, found


class LineList(logging.Handler):
    """Keeps all that is logged."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(f"{self.format(record)} {getattr(record, 'fields', '')}")


class LineCounter(logging.Handler):
    """Counts the lines about refused requests."""

    def __init__(self):
        super().__init__()
        self.count = 0

    def emit(self, record):
        self.count += record.getMessage() == "request refused"


class Capture:
    """Keeps all that is logged, at all levels, while it is open."""

    def __enter__(self):
        self.handler = LineList()
        root = logging.getLogger()
        self.level = root.level
        root.addHandler(self.handler)
        root.setLevel(logging.DEBUG)
        return self.handler.lines

    def __exit__(self, *error):
        logging.getLogger().removeHandler(self.handler)
        logging.getLogger().setLevel(self.level)


@when(
    "callers: requests with known, unknown and malformed keys are sent, some with invalid headers"
)
def send_all(context):
    context.found = []
    values = ("Bearer key-a", "Bearer key-x", "Basic key-x", "Bearer key-é", "Bearer key-a\x01")

    async def job():
        async with open_rig(["ok ok close"]) as rig:
            prepare(rig)
            rig.network.send = lambda host, data: context.found.append(repr(data))
            for value in values:
                data = write("/safe/1", value)
                context.found.append(repr(await rig.ask(data)))
                # The second request on a connection is malformed.
                first = write("/safe/1", "Bearer key-a").replace(b"connection: close\r\n", b"")
                broken = data.replace(b"x-caller: ", b"x-caller key-a: ")
                context.found.append(repr(await rig.ask(first + broken)))
            context.found.append(rig.metrics.render().decode())

    with Capture() as lines:
        run(job)
    context.found += lines


@then("callers: no log line, metric, answer or message contains a key")
def check_no_key(context):
    text = "\n".join(context.found)
    assert "request refused" in text and "illegal header line" in text, text
    assert "key-" not in text, [each for each in context.found if "key-" in each]


@then("callers: the fingerprint depends on the caller's name and not on its key")
def check_fingerprints(context):
    request = ClientRequest(b"GET", b"/safe/1", [(b"host", b"a.example")], b"", 0.0)
    first = RequestMetadata("r1", None, "", "", 0, 0, (), "", "Bearer key-a")
    second = first._replace(authorization="Bearer key-a2")
    named = [make_fingerprint(request, each, "a", True) for each in (first, second)]
    assert named[0] == named[1] != make_fingerprint(request, first, "b", True)
    plain = [make_fingerprint(request, each, "", False) for each in (first, second)]
    assert plain[0] != plain[1]


class NoReply(Reply):
    """Counts the statuses."""

    def __init__(self):
        self.count = 0

    async def begin(self, status, headers):
        assert status == 401
        self.count += 1

    async def write(self, data):
        pass

    async def end(self):
        pass


@when("callers: {count:d} requests with unknown keys reach the handler")
def flood(context, count):
    async def job():
        async with open_rig(["ok"]) as rig:
            prepare(rig)
            reply = NoReply()

            async def refuse(number):
                headers = [(b"host", b"a.example"), (b"x-caller", b"Bearer other-%d" % number)]
                request = ClientRequest(b"GET", b"/safe/1", headers, b"", 0.0)
                await rig.handler.handle(request, reply)

            for number in range(1000):
                await refuse(number)
            tracemalloc.start()
            before, _ = tracemalloc.get_traced_memory()
            for number in range(1000, count):
                await refuse(number)
            after, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            context.growth_bytes, context.refused = after - before, reply.count

    # Lines that are kept would count as memory of the process.
    counter = LineCounter()
    root = logging.getLogger()
    root.handlers[:], kept = [counter], root.handlers[:]
    try:
        run(job)
    finally:
        root.handlers[:] = kept
    context.line_count = counter.count


@then("callers: the process holds no more memory for them, and few lines are logged")
def check_growth(context):
    assert context.refused == 100_000
    assert 0 < context.line_count < context.refused / 10, context.line_count
    assert context.growth_bytes < MAX_GROWTH_BYTES, context.growth_bytes
