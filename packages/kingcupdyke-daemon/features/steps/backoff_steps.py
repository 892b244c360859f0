"""
backoff_steps
~~~~~~~~~~~~~

Steps for endpoints that request backoff in their answers, at several gateways.
"""

import re

from anyio import create_task_group, current_time, run, sleep
from behave import given, then, when
from crashes_steps import Fleet, open_fleet
from expression import Ok
from forwarder_rig import (
    ForwarderRig,
    ScriptedEndpoint,
    make_configuration,
)
from forwarder_steps import describe, write_request
from planning_steps import EngineDialect, make_item, make_planner_runner

from kingcupdyke.forwarding.endpoint import EndpointReport

#: Seconds before and after the time of the backoff in which requests come.
MARGIN_S = 0.7
EVENT_AFTER_S = 0.5
RETRY_AFTER = re.compile(rb"retry-after: ([0-9.]+)")


class BusyEndpoint(ScriptedEndpoint):
    """An endpoint that can request backoff, once from each gateway or once at all.

    The ids of requests begin with the host of the gateway that is to forward them.
    """

    def __init__(self, name, script="ok"):
        super().__init__(name, script)
        #: Seconds to request from each gateway in the next answer to it, or None.
        self.seconds = None
        #: Time in seconds of the answer that requests backoff, by host.
        self.requested_s_by_host = {}
        #: Time in seconds, host and id of each received request.
        self.received = []

    async def do_ok(self, stream, attempt_id):
        host = attempt_id.partition("-")[0]
        self.received.append((current_time(), host, attempt_id))
        if self.seconds is not None and host not in self.requested_s_by_host:
            return await self.do_busy(stream, attempt_id)
        return await super().do_ok(stream, attempt_id)

    async def reject(self, stream, attempt_id, status, marks):
        self.requested_s_by_host[attempt_id.partition("-")[0]] = current_time()
        extra = f"retry-after: {self.seconds}\r\n"
        await self.answer(stream, attempt_id, status, b"busy", extra, marks)
        return True

    async def do_busy(self, stream, attempt_id):
        return await self.reject(stream, attempt_id, 503, "x-not-run: 1")

    async def do_toomany(self, stream, attempt_id):
        return await self.reject(stream, attempt_id, 429, "x-not-run: 1")

    async def do_foreign(self, stream, attempt_id):
        return await self.reject(stream, attempt_id, 503, "x-not-run: 1\r\nx-endpoint: e2")

    async def do_failed(self, stream, attempt_id):
        return await self.reject(stream, attempt_id, 503, "x-mark: m")

    async def do_done(self, stream, attempt_id):
        return await self.reject(stream, attempt_id, 200, "x-mark: m")

    async def do_stray(self, stream, attempt_id):
        await self.do_busy(stream, "another-attempt")
        return await super().do_ok(stream, attempt_id)

    async def do_cutoff(self, stream, attempt_id):
        head = f"HTTP/1.1 503 X\r\nx-id: {attempt_id}\r\nx-not-run: 1\r\ncontent-length: 9\r\n"
        await stream.send(f"{head}retry-after: {self.seconds}\r\n\r\nbusy".encode())
        return False

    async def do_step(self, stream, attempt_id, count=1):
        self.received.append((current_time(), "stream", attempt_id))
        return await super().do_step(stream, attempt_id, count)

    async def do_rest(self, stream, attempt_id):
        self.received.append((current_time(), "stream", attempt_id))
        return await super().do_rest(stream, attempt_id)


@given("backoff: {gateways:d} gateways before an endpoint that will request backoff and {other}")
def give_fleet(context, gateways, other):
    context.gateways = gateways
    context.endpoints = [BusyEndpoint("e1")]
    if other != "no other":
        context.endpoints.append(BusyEndpoint("e2"))
    context.messages = "soon"
    context.answers = []
    context.retry_share = 1.0


@given('backoff: messages between the gateways are "{messages}"')
def give_messages(context, messages):
    context.messages = messages


async def ask(context, rig, attempt_id, line="GET /safe/1"):
    raw = await rig.ask(write_request(line, attempt_id))
    context.answers.append((current_time(), attempt_id, describe(raw), raw))


async def send_evenly(context, fleet: Fleet, rate, seconds):
    """Send requests to the gateways in turn."""
    for number in range(round(rate * seconds)):
        hosts = list(fleet.rig_by_host)
        host = hosts[number % len(hosts)]
        attempt_id = f"{host}-{len(context.answers)}-{number}"
        fleet.tasks.start_soon(ask, context, fleet.rig_by_host[host], attempt_id)
        await sleep(1.0 / rate)


async def do_nothing(fleet, context):
    pass


async def start_again(fleet, context):
    context.late_hosts.add("g0")
    await fleet.start("g0")


async def join(fleet, context):
    context.late_hosts.add("g3")
    await fleet.start("g3")


async def list_again(fleet, context):
    fleet.list_endpoint(context.endpoints[0])


async def lapse(fleet, context):
    for rig in fleet.rig_by_host.values():
        rig.endpoint_table.remove("e1", current_time(), False)
    await sleep(0.2)
    for rig in fleet.rig_by_host.values():
        other = list_other_late(rig)
        rig.list_endpoint(context.endpoints[0])
        rig.endpoint_table.put(other)


async def note_success(fleet, context):
    for rig in fleet.rig_by_host.values():
        rig.endpoint_table.note_success("e1")
        rig.endpoint_table.note_success("e2")


EVENTS = {
    "nothing": do_nothing,
    "a restart": start_again,
    "a join": join,
    "an entry": list_again,
    "a lapse": lapse,
    "a success": note_success,
}


@when(
    "backoff: {rate:d} requests a second come, it requests {seconds:g} s from each gateway, and "
    '"{event}" happens 0.5 s later'
)
def send_requests(context, rate, seconds, event):
    context.seconds = seconds
    #: Hosts of the gateways that have not run all the time.
    context.late_hosts = set()
    endpoint = context.endpoints[0]

    async def job():
        async with open_fleet(context) as fleet:
            await send_evenly(context, fleet, rate, MARGIN_S)
            endpoint.seconds = seconds
            await send_evenly(context, fleet, rate, EVENT_AFTER_S)
            # From now on, no answer requests backoff.
            endpoint.seconds = None
            await EVENTS[event](fleet, context)
            await send_evenly(context, fleet, rate, seconds + MARGIN_S)
            await sleep(0.2)

    run(job)


def list_hosts(context):
    hosts = set(context.endpoints[0].requested_s_by_host) - context.late_hosts
    assert len(hosts) >= context.gateways - 1, hosts
    return hosts


def count_received(endpoint, host, start_s, end_s):
    return sum(each == host and start_s < at_s < end_s for at_s, each, _ in endpoint.received)


@then(
    "backoff: no gateway that has run all the time has sent it a request from {seconds:g} s after "
    "its answer to the end"
)
def check_none_received(context, seconds):
    endpoint = context.endpoints[0]
    counts = {
        host: count_received(
            endpoint,
            host,
            endpoint.requested_s_by_host[host] + seconds,
            endpoint.requested_s_by_host[host] + context.seconds,
        )
        for host in list_hosts(context)
    }
    assert not any(counts.values()), counts


@then("backoff: each of them has sent it requests within {seconds:g} s after the end")
def check_used_again(context, seconds):
    endpoint = context.endpoints[0]
    for host in list_hosts(context):
        end_s = endpoint.requested_s_by_host[host] + context.seconds
        assert count_received(endpoint, host, end_s, end_s + seconds), (host, endpoint.received)


@then("backoff: all requests have been answered")
def check_answered(context):
    answers = {each[2] for each in context.answers}
    assert answers and answers <= {"200 e1", "200 e2"}, answers


def list_other_late(rig):
    """List the other endpoint after this one, so that this one is chosen of those that cost the
    same.
    """
    entry = rig.endpoint_table.state_by_id["e2"].entry
    rig.endpoint_table.remove("e2", current_time(), False)
    return entry


@when('backoff: it requests {seconds:g} s in its answer "{answer}" to a request')
def answer_once(context, seconds, answer):
    context.seconds = seconds
    endpoint = context.endpoints[0]
    endpoint.seconds = seconds
    endpoint.script = [answer, "ok"]
    endpoint.requested_s_by_host["g0"] = 0.0


async def ask_several(context, rig, count):
    """:return: number of requests that the first endpoint has received of several"""
    endpoint = context.endpoints[0]
    before = len(endpoint.received)
    for number in range(count):
        await ask(context, rig, f"g0-{number}")
    return len(endpoint.received) - before


async def ask_first(context, fleet):
    rig = fleet.choose(0)
    other = list_other_late(rig)
    await ask(context, rig, "g0-first")
    rig.endpoint_table.put(other)
    return rig


@then("backoff: the gateway rejects requests, and sends them again after {seconds:g} s")
def check_kept(context, seconds):
    async def job():
        async with open_fleet(context) as fleet:
            rig = fleet.choose(0)
            began_s = current_time()
            await ask(context, rig, "g0-first")
            context.during = await ask_several(context, rig, 5)
            # Connections that have failed are not tried again at once.
            await sleep(seconds + 0.5 - (current_time() - began_s))
            context.after = await ask_several(context, rig, 5)

    run(job)
    assert context.during == 0, context.during
    assert context.after == 5, context.after


@then("backoff: the gateway sends to this one immediately")
def check_not_kept(context):
    async def job():
        async with open_fleet(context) as fleet:
            rig = await ask_first(context, fleet)
            context.delays = dict(rig.endpoint_table.backoff_table.list_delays(current_time()))
            context.during = await ask_several(context, rig, 10)

    run(job)
    assert context.during > 0
    assert not context.delays, context.delays


@when("backoff: it requests {seconds:g} s from one gateway")
def request_from_one(context, seconds):
    endpoint = context.endpoints[0]
    endpoint.seconds = seconds

    async def job():
        async with open_fleet(context) as fleet:
            await ask_first(context, fleet)
            endpoint.seconds = None
            endpoint.received.clear()
            await send_evenly(context, fleet, 30, 1.0)
            await sleep(0.1)

    run(job)


@then("backoff: the other gateways send to it")
def check_others(context):
    hosts = {host for _, host, _ in context.endpoints[0].received}
    assert hosts == {"g1", "g2"}, hosts


@when("backoff: it requests {seconds:g} s, and another endpoint takes its address")
def replace_endpoint(context, seconds):
    endpoint = context.endpoints[0]
    endpoint.seconds = seconds

    async def job():
        async with open_fleet(context) as fleet:
            rig = await ask_first(context, fleet)
            endpoint.received.clear()
            rig.endpoint_table.remove("e1", current_time(), False)
            endpoint.name = "e3"
            other = list_other_late(rig)
            rig.list_endpoint(endpoint)
            rig.endpoint_table.put(other)
            await ask_several(context, rig, 10)

    run(job)


@then("backoff: the gateway sends to that one")
def check_replacement(context):
    assert context.endpoints[0].received


@when("backoff: it requests {seconds:g} s while a request to it waits for its connection")
def request_meanwhile(context, seconds):
    async def job():
        async with open_fleet(context) as fleet:
            rig = fleet.choose(0)
            other = list_other_late(rig)
            acquire = rig.pool.acquire

            async def acquire_late(endpoint, address, *rest):
                if endpoint == "e1":
                    rig.endpoint_table.backoff_table.note("e1", seconds, current_time())
                    rig.endpoint_table.put(other)
                return await acquire(endpoint, address, *rest)

            rig.pool.acquire = acquire_late
            await ask(context, rig, "g0-first")

    run(job)


@when("backoff: it requests {seconds:g} s just after a request was assigned to it")
def request_after_decision(context, seconds):
    async def job():
        async with open_fleet(context) as fleet:
            rig = fleet.choose(0)
            other = list_other_late(rig)
            submit = rig.dispatcher.submit

            def submit_and_request(item, excluded, now_s):
                decision = submit(item, excluded, now_s)
                rig.endpoint_table.backoff_table.note("e1", seconds, now_s)
                rig.endpoint_table.put(other)
                return decision

            rig.dispatcher.submit = submit_and_request
            await ask(context, rig, "g0-first")

    run(job)


@then("backoff: no connection to it was opened")
def check_no_connection(context):
    assert context.endpoints[0].connections == 0


@then("backoff: that request has gone to the other endpoint")
def check_moved(context):
    assert not context.endpoints[0].received
    assert [each[2] for each in context.answers] == ["200 e2"], context.answers


@when("backoff: it requests {seconds:g} s, and requests with a timeout of {timeout_s:g} s come")
def send_with_timeout(context, seconds, timeout_s):
    context.seconds = seconds
    context.endpoints[0].seconds = seconds

    async def job():
        async with open_fleet(context) as fleet:
            rig = fleet.choose(0)
            rig.handler.configuration = make_configuration(1, timeout_s, rig.limits)
            rig.retry_budget.configure(context.retry_share, 100 * context.retry_share, 10.0)
            async with create_task_group() as tasks:
                tasks.start_soon(ask, context, rig, "g0-first")
                await sleep(0.1)
                context.began_s = current_time()
                for number in range(5):
                    tasks.start_soon(ask, context, rig, f"g0-{number}")

    run(job)
    context.end_s = context.endpoints[0].requested_s_by_host["g0"] + seconds


@then(
    "backoff: they and the one that it has rejected are answered within {seconds:g} s after the "
    "end, and not before"
)
def check_waited(context, seconds):
    assert len(context.answers) == 6
    assert {each[2] for each in context.answers} == {"200 e1"}, context.answers
    times_s = [each[0] - context.end_s for each in context.answers]
    assert min(times_s) >= 0.0 and max(times_s) <= seconds, times_s


@then("backoff: it has received none of them in between")
def check_none_between(context):
    received = [at_s - context.end_s for at_s, _, _ in context.endpoints[0].received]
    assert len(received) == 7 and min(received[1:]) >= 0.0, received


@then(
    "backoff: they and the one that it has rejected are rejected at once, and told to return after "
    "the end"
)
def check_rejected(context):
    assert len(context.answers) == 6
    check_returns(context)
    assert len(context.endpoints[0].received) == 1


def check_returns(context):
    """Check that all requests were rejected at once, and told to return after the end."""
    for answered_s, _, text, raw in context.answers:
        assert text == "503", text
        assert answered_s - context.began_s < 0.3, answered_s - context.began_s
        return_s = answered_s + float(RETRY_AFTER.search(raw).group(1))
        assert 0.0 <= return_s - context.end_s < 0.5, return_s - context.end_s


@given("backoff: the retry budget is exhausted")
def exhaust_budget(context):
    context.retry_share = 0.0


@then("backoff: the one that it has rejected is rejected at once, and told to return after the end")
def check_first_rejected(context):
    context.answers = [each for each in context.answers if each[1] == "g0-first"]
    check_returns(context)


class LateEndpoint(BusyEndpoint):
    """An endpoint that requests backoff some time after the client's attempt has ended."""

    def __init__(self, name, seconds):
        super().__init__(name, "late")
        self.seconds = seconds
        self.answers_at_s = 0.0

    async def do_late(self, stream, attempt_id):
        await sleep(self.answers_at_s - current_time())
        return await self.do_busy(stream, attempt_id)


@when(
    "backoff: it requests {seconds:g} s in an answer that comes {milliseconds:d} ms after "
    '"{case}"'
)
def answer_late(context, seconds, milliseconds, case):
    endpoint = LateEndpoint("e1", seconds)
    context.endpoints = [endpoint]

    async def job():
        async with open_fleet(context) as fleet:
            rig = fleet.choose(0)
            rig.handler.configuration = make_configuration(1, 0.5, rig.limits)
            end_s = current_time() + (0.5 if case == "the deadline" else 0.2)
            endpoint.answers_at_s = end_s + milliseconds / 1000
            stream = await rig.send(write_request("GET /safe/1", "g0-first"))
            await sleep(end_s - current_time())
            if case == "the client has left":
                await stream.aclose()
            await sleep(milliseconds / 1000 + 0.1)
            context.delay_s = rig.endpoint_table.backoff_table.find_delay("e1", current_time())
            await stream.aclose()

    run(job)


@then("backoff: the gateway knows it")
def check_known(context):
    assert context.delay_s > 0.0


@when("backoff: it requests {seconds:g} s, and breaks off a stream at once")
def break_stream(context, seconds):
    context.seconds = seconds
    endpoint = context.endpoints[0]
    endpoint.script = ["step", "busy", "rest"]

    async def job():
        async with open_fleet(context) as fleet:
            rig = fleet.choose(0)
            rig.handler.configuration = make_configuration(1, 4.0, rig.limits)
            async with create_task_group() as tasks:
                tasks.start_soon(ask, context, rig, "g0-stream", "GET /resume/1")
                await sleep(0.2)
                endpoint.seconds = seconds
                tasks.start_soon(ask, context, rig, "g0-second", "GET /once/1")
                await sleep(0.1)
                endpoint.is_broken = True

    run(job)


@then("backoff: the stream is complete, and has gone on there only after the end")
def check_stream(context):
    endpoint = context.endpoints[0]
    text_by_id = {attempt_id: text for _, attempt_id, text, _ in context.answers}
    assert text_by_id["g0-stream"] == "200 events 1,2,3,4", text_by_id
    end_s = endpoint.requested_s_by_host["g0"] + context.seconds
    later = [at_s - end_s for at_s, _, _ in endpoint.received[1:]]
    assert later and min(later) >= 0.0, later


class BusyEngine(ScriptedEndpoint):
    """An engine that requests backoff in its first answer to one kind of call.

    :param method: HTTP method of these calls
    """

    def __init__(self, method, seconds):
        super().__init__("e1", "ok")
        self._method = method
        self._seconds = seconds
        self.requested_s = None
        #: Times in seconds of all calls.
        self.received_s = []

    async def do_ok(self, stream, attempt_id):
        self.received_s.append(current_time())
        if self.requested_s is None and self.requests[-1][0].startswith(self._method):
            self.requested_s = current_time()
            extra = f"retry-after: {self._seconds}\r\nretry-after: 0\r\n"
            await self.answer(stream, attempt_id, 503, extra=extra)
        else:
            await self.answer(stream, attempt_id)
        return True


class BusyDialect(EngineDialect):
    """Reports that an order is in progress, so that the planner asks again and again."""

    def decode_report(self, value):
        return Ok(EndpointReport((), True, 0, 0, 0, (), frozenset(), frozenset()))


@when('backoff: an engine requests {seconds:g} s in its answer to a planner\'s "{method}" call')
def plan(context, seconds, method):
    context.seconds = seconds
    engine = context.engine = BusyEngine(method, seconds)

    async def job():
        async with create_task_group() as tasks:
            rig = ForwarderRig(tasks, [])
            await rig.serve_endpoint(engine)
            dialect = BusyDialect() if method == "GET" else EngineDialect()
            runner = make_planner_runner(rig, dialect)
            rig.dispatcher.submit(make_item("m1"), frozenset(), current_time())
            tasks.start_soon(runner.run)
            while engine.requested_s is None:
                await sleep(0.05)
            await sleep(seconds + 1.5)
            rig.metrics.close()
            tasks.cancel_scope.cancel()

    run(job)


@then("backoff: it gets no call of the planner in that time, and some after it")
def check_calls(context):
    engine = context.engine
    later = [each - engine.requested_s for each in engine.received_s]
    early = [each for each in later if 0.0 < each < context.seconds]
    assert not early, early
    assert max(later) >= context.seconds
