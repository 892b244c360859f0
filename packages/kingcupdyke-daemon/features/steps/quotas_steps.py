"""
quotas_steps
~~~~~~~~~~~~

Steps for quotas of callers, at gateways over real sockets.
"""

from contextlib import asynccontextmanager

from anyio import current_time, run, sleep
from behave import given, then, when
from crashes_steps import MESSAGES, open_fleet
from forwarder_rig import ScriptedEndpoint, find, make_configuration

from kingcupdyke.forwarding.callertable import Caller, CallerTable, hash_key
from kingcupdyke.forwarding.configuration import Configuration
from kingcupdyke.forwarding.quotaspec import QuotaSpec, QuotaUnit

#: Time in which the gateways choose the owner and its bucket fills.
START_S = 3.5
REQUEST = (
    "GET /once/1 HTTP/1.1\r\nhost: a.example\r\nx-id: {id}\r\nx-caller: Bearer key\r\n"
    "connection: close\r\n\r\n"
)
MESSAGES["none"] = (0.002, 1_000_000_000)


class Answer:
    """An answer of a gateway."""

    def __init__(self, data, seconds):
        head = data.partition(b"\r\n\r\n")[0].decode()
        self.status = int(head.split()[1])
        self.retry_after = find(head, "retry-after")
        self.seconds = seconds
        self.time_s = current_time()


def make_callers(quota):
    plain = make_configuration(1, 1.0)
    table = CallerTable((Caller("c", frozenset({hash_key("key")}), None, quota),))
    services = tuple(plain.services_by_name.values())
    return Configuration(1, plain.routes, services, plain.limits, table)


@given(
    "quotas: {gateways:d} gateways and a caller with {rate:g} requests a second and a burst of "
    "{burst:g}"
)
def give_quota(context, gateways, rate, burst):
    context.gateways, context.messages = gateways, "soon"
    context.quota = QuotaSpec(rate, burst, QuotaUnit.REQUESTS, 0)
    context.endpoints = [ScriptedEndpoint("e1", "ok")]
    context.answers = []


@given("quotas: {gateways:d} gateways and a caller without a quota")
def give_no_quota(context, gateways):
    give_quota(context, gateways, 1.0, 1.0)
    context.quota = None


@given('quotas: the endpoint does "{script}"')
def give_script(context, script):
    context.endpoints = [] if script == "down" else [ScriptedEndpoint("e1", script)]


@given("quotas: messages between the gateways get lost")
def lose_messages(context):
    context.messages = "none"


@asynccontextmanager
async def open_gateways(context):
    async with open_fleet(context) as fleet:
        configuration = make_callers(context.quota)
        for rig in fleet.rig_by_host.values():
            rig.handler.configuration = configuration
            rig.quotas.configure(configuration.callers)
        await sleep(START_S)
        yield fleet


async def ask(context, rig, number):
    since_s = current_time()
    data = await rig.ask(REQUEST.format(id=f"r{number}").encode())
    context.answers.append(Answer(data, current_time() - since_s))


async def send(context, fleet, count, gap_s):
    for number in range(count):
        fleet.tasks.start_soon(ask, context, fleet.choose(number), number)
        if gap_s:
            await sleep(gap_s)
    while len(context.answers) < count:
        await sleep(0.02)


@when("quotas: {count:d} requests come at once, to all gateways in turn")
def send_at_once(context, count):
    async def job():
        async with open_gateways(context) as fleet:
            await send(context, fleet, count, 0.0)
            context.received = sum(len(each.requests) for each in context.endpoints)
            context.sent = next(iter(fleet.rig_by_host.values())).network._sent
            denied = [float(each.retry_after) for each in context.answers if each.status != 200]
            await sleep(max(denied, default=0.0) + 0.05)
            await ask(context, fleet.choose(0), "last")
            context.last = context.answers.pop()

    run(job)


@when("quotas: {rate:d} requests a second come for {seconds:d} s, to all gateways in turn")
def send_evenly(context, rate, seconds):
    async def job():
        async with open_gateways(context) as fleet:
            await send(context, fleet, rate * seconds, 1.0 / rate)
            context.received = sum(len(each.requests) for each in context.endpoints)

    run(job)


@when("quotas: {count:d} requests come one after the other, {gap:g} s apart")
def send_in_turn(context, count, gap):
    async def job():
        async with open_gateways(context) as fleet:
            for number in range(count):
                await ask(context, fleet.choose(number), number)
                await sleep(gap)

    run(job)


@then(
    "quotas: {least:d} to {most:d} are answered and the others get 429, and the endpoint has "
    "received no others"
)
def check_answered(context, least, most):
    statuses = [each.status for each in context.answers]
    assert set(statuses) == {200, 429}, statuses
    assert least <= statuses.count(200) <= most, statuses
    assert context.received == statuses.count(200), (context.received, statuses)
    for each in context.answers:
        assert (each.status == 429) == bool(each.retry_after), vars(each)


@then("quotas: {least:d} to {most:d} are answered in any {window:g} s, and the others get 429")
def check_windows(context, least, most, window):
    assert {each.status for each in context.answers} == {200, 429}
    times_s = sorted(each.time_s for each in context.answers if each.status == 200)
    assert len(times_s) == context.received, context.received
    counts = [sum(since <= each < since + window for each in times_s) for since in times_s]
    whole = [
        each for since, each in zip(times_s, counts, strict=True) if since + window <= times_s[-1]
    ]
    assert whole and min(whole) >= least and max(counts) <= most, counts


@then("quotas: a request is answered after the longest Retry-After")
def check_last(context):
    assert context.last.status == 200, vars(context.last)


@then('quotas: their statuses are "{statuses}"')
def check_statuses(context, statuses):
    found = " ".join(str(each.status) for each in context.answers)
    assert found == statuses, found


@then("quotas: all get 503 within {limit:g} s")
def check_unknown(context, limit):
    for each in context.answers:
        assert each.status == 503 and each.retry_after and each.seconds < limit, vars(each)


@then("quotas: all are answered, and no gateway has sent a message on quotas")
def check_all(context):
    assert all(each.status == 200 for each in context.answers)
    assert context.sent == 0, context.sent
