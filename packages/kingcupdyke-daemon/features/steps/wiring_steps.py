"""
wiring_steps
~~~~~~~~~~~~

Steps for how the gateway and the sidecar use the core.
"""

from hashlib import sha256
from pathlib import Path
from tempfile import TemporaryDirectory
from types import SimpleNamespace

import anyio
from behave import given, then, when
from expression import Ok
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from kingcupdyke.answer import AnswerAssembler
from kingcupdyke.budget import RetryBudget
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.placements import get_placement
from kingcupdyke.request import Request
from kingcupdyke.retry import RetryPolicy
from kingcupdyke.routing import Choice
from kingcupdyke.rule import ServiceClass
from kingcupdyke_daemon.gateway.admission import AdmissionController
from kingcupdyke_daemon.gateway.call import Call, CallDependencies, CallHandler
from kingcupdyke_daemon.gateway.planner import make_placement_options
from kingcupdyke_daemon.settings import GatewaySettings, load_settings
from kingcupdyke_daemon.sidecar.service import ServiceDependencies, SidecarService
from kingcupdyke_wire.sidecar_pb2 import DrainReply, DrainRequest, End, RunReply, RunRequest, Start

COMMON_SETTINGS = "{host: g, address: 127.0.0.1, region: north, data_centre: n1, "
COMMON_SETTINGS += "store_url: 'http://127.0.0.1:1', hosts_url: 'http://127.0.0.1:2', "
TIMER = SimpleNamespace(now=lambda: 10.0, subscribe=lambda *_: None)
CONNECT_FAILURE = Failure(Outcome.NOT_RUN, Step.CONNECT, "e", "refused")


def make_request(name):
    """:return: a request with a minute left"""
    return Request(name, "desk", ServiceClass.ALL[0], "chat", "", 10.0, 70.0, True)


@given("a gateway's settings with placement {placement} and {name} {value}")
def write_settings(context, placement, name, value):
    with TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.yaml"
        path.write_text(f"{COMMON_SETTINGS}placement: {placement}, {name}: {value}}}")
        context.settings = load_settings(path, GatewaySettings)


@then("its placement policy is created with {name} {value}")
def check_options(context, name, value):
    assert context.settings.is_ok(), context.settings
    settings = context.settings.ok
    options = make_placement_options(settings, "1")
    assert str(options[name]) == value, options
    assert get_placement(settings.placement, **options)


@when("a request waits at a target of capacity {first:d} and another comes when it has {second:d}")
def wait_at_target(context, first, second):
    async def enter_requests():
        admission = AdmissionController(9, TIMER, True)
        await admission.enter(make_request("one"), first, 1.0, 1.0)
        with anyio.move_on_after(0.5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(admission.enter, make_request("two"), first, 1.0, 1.0)
                await anyio.wait_all_tasks_blocked()
                tasks.start_soon(admission.enter, make_request("three"), second, 1.0, 1.0)
            context.running = admission.queues_by_target["chat"].running

    context.running = {}
    anyio.run(enter_requests)


@then("both are admitted immediately")
def check_admitted(context):
    assert sum(context.running.values()) == 3, context.running


class CountingRouter:
    """Always chooses an untried endpoint in another region."""

    def __init__(self):
        self.taken = 0
        self.refunded = 0

    def choose(self, request, views, now_s, rng):
        self.taken += 1
        return Ok(Choice(views[0], 1.0, True))

    def refund(self, request):
        self.refunded += 1


class ScriptedLink:
    """A link that answers, or fails to connect to its endpoint."""

    def __init__(self, name, answers):
        self.host = SimpleNamespace(host=name)
        self.peer = name
        self._answers = answers

    async def run(self, message):
        if not self._answers:
            yield CONNECT_FAILURE
            return
        ids = {"request_id": message.request_id, "attempt_id": message.attempt_id}
        yield RunReply(**ids, start=Start(status=200))
        yield RunReply(**ids, end=End(count=0))


async def do_nothing(*_):
    """Ignore a part of an answer."""


@when("a call that crosses regions meets {first} and then {second}")
def call_across_regions(context, first, second):
    outcomes = (first, second, "no endpoint")
    links = {
        f"e{i}": ScriptedLink(f"e{i}", outcome == "an answer") for i, outcome in enumerate(outcomes)
    }
    recorder = SimpleNamespace(
        dispatched=lambda *_: None,
        finished=lambda *_: None,
        count=lambda *_: None,
        record_queue_wait=lambda *_: None,
    )
    directory = SimpleNamespace(
        links_by_host=links,
        links_for=lambda *_: list(links.values()),
        views=lambda request, untried, now_s: [each.host.host for each in untried],
        loads=recorder,
        cancel_attempt=lambda *_: None,
    )
    context.router = CountingRouter()
    budget = RetryBudget(1.0)
    budget.first_attempt(10.0)
    budget.first_attempt(10.0)
    context.retry = RetryPolicy(budget)
    admission = AdmissionController(9, TIMER, True)
    deps = CallDependencies(
        directory,
        context.router,
        admission,
        context.retry,
        budget,
        recorder,
        TIMER,
        None,
        "g",
        9,
        lambda: 1,
    )
    sink = SimpleNamespace(
        committed=False,
        reset=lambda: None,
        start=lambda *_: None,
        end=do_nothing,
        fail=do_nothing,
        part=do_nothing,
    )
    call = Call(make_request("one"), False, "POST", "/", "", b"", False, 1.0)
    anyio.run(CallHandler(deps).run, call, sink)


@then("it took from the budget {taken:d} times and refunded it {refunded:d} times")
def check_budget(context, taken, refunded):
    router = context.router
    assert (router.taken, router.refunded) == (taken, refunded), vars(router)


@then("no state of its retries is kept")
def check_forgotten(context):
    assert not context.retry._worst_by_request


@when("a sidecar that requires {required} is drained with {sent}")
def drain_sidecar(context, required, sent):
    token = {"the token": "right", "another token": "wrong"}.get(sent, "")
    replies = []

    async def recv_message():
        return DrainRequest(token=token)

    async def send_message(reply):
        replies.append(reply)

    fields = dict.fromkeys(ServiceDependencies._fields) | {
        "table": SimpleNamespace(running=1),
        "begin_stop": lambda: replies.append("stop"),
        "operator_digest": sha256(b"right").hexdigest() if required == "a token" else "",
    }
    stream = SimpleNamespace(recv_message=recv_message, send_message=send_message)
    try:
        anyio.run(SidecarService(ServiceDependencies(**fields)).Drain, stream)
    except GRPCError as error:
        replies.append(error.status)
    context.replies = replies


@then("its stop is {stop}")
def check_stop(context, stop):
    done = ["stop", DrainReply(in_flight=1)]
    assert context.replies == {"begun": done, "refused": [Status.PERMISSION_DENIED]}[stop]


@when("a call receives the head of a reply to another request")
def meet_crossed(context):
    context.heads = []
    sink = SimpleNamespace(start=lambda *head: context.heads.append(head))
    message = RunRequest(request_id="one", attempt_id="a1")
    reply = RunReply(request_id="two", attempt_id="a2", start=Start(status=418))
    assembler = AnswerAssembler("one", "a1")
    context.taken = anyio.run(CallHandler(None)._process_reply, message, reply, assembler, sink)


@then("the call rejects the reply and no head is sent")
def check_crossed(context):
    assert context.taken.is_error() and context.heads == [], context.heads
