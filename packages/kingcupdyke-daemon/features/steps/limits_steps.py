"""
limits_steps
~~~~~~~~~~~~

Steps for endpoints that name a limit, at several gateways before the same endpoints.
"""

from anyio import current_time, run, sleep
from behave import given, then, when
from crashes_steps import open_fleet
from forwarder_rig import ScriptedEndpoint
from forwarder_steps import describe, write_request

EVENT_AFTER_S = 5.0


class LimitedEndpoint(ScriptedEndpoint):
    """An endpoint that names a limit in its answers.

    :param limit: requests a second, or None to name none
    """

    def __init__(self, name, limit):
        super().__init__(name, "ok")
        self.limit = limit
        #: Times in seconds at which it received requests.
        self.received_s = []

    async def do_ok(self, stream, attempt_id):
        self.received_s.append(current_time())
        extra = "" if self.limit is None else f"x-limit: {self.limit}\r\n"
        await self.answer(stream, attempt_id, body=self.name.encode(), extra=extra)
        return True


@given(
    "limits: {gateways:d} gateways before an endpoint with a limit of {limit:g} a second and one "
    "without"
)
def give_fleet(context, gateways, limit):
    context.gateways = gateways
    context.endpoints = [LimitedEndpoint("e1", limit), LimitedEndpoint("e2", None)]
    context.messages = "soon"


@given(
    "limits: {gateways:d} gateways before an endpoint with a limit of {limit:g} a second and no "
    "other"
)
def give_single(context, gateways, limit):
    give_fleet(context, gateways, limit)
    del context.endpoints[1:]


@given('limits: messages between the gateways are "{messages}"')
def give_messages(context, messages):
    context.messages = messages


async def ask(context, rig, number):
    context.answers.append(describe(await rig.ask(write_request("GET /safe/1", f"r{number}"))))


async def send_evenly(context, fleet, rate, seconds, first=0):
    """Send requests to the gateways in turn.

    :return: their number
    """
    count = round(rate * seconds)
    for number in range(first, first + count):
        fleet.tasks.start_soon(ask, context, fleet.choose(number), number)
        await sleep(1.0 / rate)
    return count


async def await_answers(context, count):
    while len(context.answers) < count:
        await sleep(0.05)


@when('limits: {rate:d} requests a second come for {seconds:d} s, and "{event}" happens after 5 s')
def send_requests(context, rate, seconds, event):
    host = {"a restart": "g0", "a join": "g3"}.get(event)

    async def job():
        context.answers = []
        async with open_fleet(context) as fleet:
            context.started_s = current_time()
            count = await send_evenly(context, fleet, rate, EVENT_AFTER_S)
            if host is not None:
                await fleet.start(host)
            count += await send_evenly(context, fleet, rate, seconds - EVENT_AFTER_S, count)
            context.ended_s = current_time()
            await await_answers(context, count)

    run(job)


@when(
    "limits: {rate:d} requests a second come for {seconds:d} s, and the endpoint names no limit "
    "after {end_s:d} s"
)
def end_limit(context, rate, seconds, end_s):
    async def job():
        context.answers = []
        async with open_fleet(context) as fleet:
            context.started_s = current_time()
            count = await send_evenly(context, fleet, rate, end_s)
            context.endpoints[0].limit = None
            count += await send_evenly(context, fleet, rate, seconds - end_s, count)
            context.ended_s = current_time()
            await await_answers(context, count)

    run(job)


@when("limits: {count:d} requests come at the same time, after the endpoint has named its limit")
def send_together(context, count):
    context.rejections = []

    async def ask_one(rig, number):
        raw = await rig.ask(write_request("GET /safe/1", f"r{number}"))
        context.answers.append(describe(raw))
        if describe(raw) == "503":
            context.rejections.append(raw)

    async def job():
        context.answers = []
        async with open_fleet(context) as fleet:
            await ask(context, fleet.choose(0), "first")
            await sleep(0.05)
            for number in range(count):
                fleet.tasks.start_soon(ask_one, fleet.choose(number), number)
            await await_answers(context, count + 1)
            metrics = [rig.metrics.render() for rig in fleet.rig_by_host.values()]
            context.has_waited = any(b'decision="wait"' in each for each in metrics)

    run(job)


@then("limits: no request has waited, and those that are rejected have a Retry-After header")
def check_rejections(context):
    assert not context.has_waited
    assert context.rejections
    assert all(b"retry-after: " in raw for raw in context.rejections), context.rejections


@then("limits: at most {count:d} are answered")
def check_answered_count(context, count):
    answered = context.answers.count("200 e1")
    assert answered <= count, context.answers


def list_received(context):
    """:return: seconds after the start at which the endpoint with a limit received requests"""
    return [each - context.started_s for each in context.endpoints[0].received_s]


@then(
    "limits: from {start:d} s on the endpoint has received at most {limit:d} requests in any "
    "{window:d} s"
)
def check_windows(context, start, limit, window):
    times_s = [each for each in list_received(context) if each >= start]
    counts = [sum(0 <= each - first < window for each in times_s) for first in times_s]
    assert max(counts, default=0) <= limit, max(counts)


@then("limits: it has received at least {count:d} requests in the last {window:d} s")
def check_used(context, count, window):
    since_s = context.ended_s - window
    found = sum(each >= since_s for each in context.endpoints[0].received_s)
    assert found >= count, found


@then("limits: all requests have been answered")
def check_answered(context):
    assert set(context.answers) == {"200 e1", "200 e2"}, context.answers


@when(
    "limits: a request comes at one gateway, {seconds:g} s after the endpoint has named its limit"
)
def send_later(context, seconds):
    context.seconds = seconds


@then("limits: {seconds:g} s later no gateway may send to the endpoint")
def check_counted(context, seconds):
    async def job():
        context.answers = []
        async with open_fleet(context) as fleet:
            await ask(context, fleet.choose(0), "first")
            await sleep(context.seconds)
            context.before = list_delays(fleet)
            await ask(context, fleet.choose(0), "second")
            await sleep(seconds)
            context.after = list_delays(fleet)

    run(job)
    assert context.answers == ["200 e1", "200 e1"], context.answers
    assert not any(context.before), context.before
    assert all(context.after), context.after


def list_delays(fleet):
    """:return: seconds until each gateway may send to the first endpoint"""
    return [
        rig.dispatcher.limit_table.find_delay(
            rig.endpoint_table.state_by_id["e1"].entry, current_time()
        )
        for rig in fleet.rig_by_host.values()
    ]


@when("limits: one gateway knows the limit, as all messages on it were lost")
def lose_messages(context):
    pass


@then("limits: after {seconds:g} s all gateways know it")
def check_known(context, seconds):
    async def job():
        async with open_fleet(context) as fleet:
            rigs = list(fleet.rig_by_host.values())
            entry = rigs[0].endpoint_table.state_by_id["e1"].entry
            rigs[0].dispatcher.limit_table.note_answer(entry, 1.0, current_time())
            await sleep(seconds)
            context.limits = [each.dispatcher.limit_table.get_limit(entry) for each in rigs]

    run(job)
    assert context.limits == [1.0, 1.0, 1.0], context.limits
