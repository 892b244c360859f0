"""
leaving_steps
~~~~~~~~~~~~~

Steps for endpoints that say in their answers that they leave, at several gateways.
"""

from anyio import create_task_group, current_time, run, sleep
from behave import given, then, when
from crashes_steps import Fleet, open_fleet
from forwarder_rig import ScriptedEndpoint, find, make_entry
from forwarder_steps import describe, write_request

#: Seconds after which the endpoint begins to say that it leaves, and until the event after that.
LEAVES_AFTER_S = 1.0
EVENT_AFTER_S = 1.0
#: Seconds until all gateways have the messages that are sent soon.
MESSAGE_S = 0.2


class LeavingEndpoint(ScriptedEndpoint):
    """An endpoint that can say in its answers that it leaves."""

    def __init__(self, name):
        super().__init__(name, "ok")
        self.is_leaving = False
        #: Time in seconds of the first answer that says so, or None.
        self.said_s = None
        #: Times in seconds at which it received requests.
        self.received_s = []

    async def read(self, stream, data):
        found = await super().read(stream, data)
        self.received_s.append(current_time())
        return found

    async def answer(
        self, stream, attempt_id, status=200, body=b"hello", extra="", mark="x-mark: m"
    ):
        if self.is_leaving:
            self.said_s = self.said_s or current_time()
            extra += "x-leaving: 1\r\n"
        await super().answer(stream, attempt_id, status, body, extra, mark)

    async def do_stream(self, stream, attempt_id):
        data = self.write_events("1,2")
        extra = f"x-leaving: 1\r\ncontent-length: {len(data)}\r\n"
        await self.send_stream(stream, attempt_id, extra, data)
        return True


@given("leaving: {gateways:d} gateways before an endpoint that will leave and one that stays")
def give_fleet(context, gateways):
    context.gateways = gateways
    context.endpoints = [LeavingEndpoint("e1"), LeavingEndpoint("e2")]
    context.messages = "soon"
    context.answers = []


@given('leaving: messages between the gateways are "{messages}"')
def give_messages(context, messages):
    context.messages = messages


async def ask(context, rig, number, line="GET /safe/1"):
    context.answers.append(describe(await rig.ask(write_request(line, f"r{number}"))))


async def send_evenly(context, fleet, seconds, rate=20.0):
    """Send requests to the gateways in turn."""
    for number in range(round(rate * seconds)):
        fleet.tasks.start_soon(ask, context, fleet.choose(number), number)
        await sleep(1.0 / rate)
    await sleep(0.1)


async def do_nothing(fleet, endpoint):
    pass


async def start_again(fleet: Fleet, endpoint):
    await fleet.start("g0")


async def join(fleet: Fleet, endpoint):
    await fleet.start("g3")


async def list_again(fleet: Fleet, endpoint):
    fleet.list_endpoint(endpoint)


async def lapse(fleet: Fleet, endpoint):
    for rig in fleet.rig_by_host.values():
        rig.endpoint_table.remove(endpoint.name, current_time(), False)
    await sleep(0.3)
    list_first(fleet, endpoint)


def list_first(fleet, endpoint):
    """List an endpoint before the other one: of endpoints that cost the same, it is chosen."""
    for rig in fleet.rig_by_host.values():
        other = rig.endpoint_table.state_by_id["e2"].entry
        rig.endpoint_table.remove("e2", current_time(), False)
        rig.list_endpoint(endpoint)
        rig.endpoint_table.put(other)


EVENTS = {
    "nothing": do_nothing,
    "a restart": start_again,
    "a join": join,
    "an entry": list_again,
    "a lapse": lapse,
}


@when(
    "leaving: {rate:d} requests a second come for {seconds:d} s, it says after 1 s that it leaves, "
    'and "{event}" happens 1 s later'
)
def send_requests(context, rate, seconds, event):
    async def job():
        endpoint = context.endpoints[0]
        async with open_fleet(context) as fleet:
            await send_evenly(context, fleet, LEAVES_AFTER_S, rate)
            endpoint.is_leaving = True
            await send_evenly(context, fleet, EVENT_AFTER_S, rate)
            await EVENTS[event](fleet, endpoint)
            left_s = seconds - LEAVES_AFTER_S - EVENT_AFTER_S
            await send_evenly(context, fleet, left_s, rate)

    run(job)


@then("leaving: from {seconds:g} s after its first such answer on it has received no request")
def check_none_received(context, seconds):
    endpoint = context.endpoints[0]
    assert endpoint.said_s is not None
    late = [each - endpoint.said_s for each in endpoint.received_s]
    late = [each for each in late if each > seconds]
    assert not late, (len(late), max(late))


@then("leaving: all requests have been answered")
def check_answered(context):
    assert context.answers
    assert set(context.answers) <= {"200 e1", "200 e2"}, context.answers


@when('leaving: it gives the answer "{answer}" to "{request}" and says so there')
def answer_once(context, answer, request):
    endpoint = context.endpoints[0]
    endpoint.script = [answer, "ok"]
    endpoint.is_leaving = True

    async def job():
        async with open_fleet(context) as fleet:
            rig = fleet.choose(0)
            # The other endpoint is not listed yet, so that this one gets the first request.
            rig.endpoint_table.remove("e2", current_time(), False)
            await rig.ask(write_request(request, "first"))
            rig.list_endpoint(context.endpoints[1])
            context.ready = [each.entry.endpoint for each in list_ready(rig)]

    run(job)


def list_ready(rig):
    return rig.endpoint_table.list_ready("service")


@then("leaving: the gateway sends to the other endpoint only")
def check_ready(context):
    assert context.ready == ["e2"], context.ready


@then("leaving: it has received {count:d} requests")
def check_received(context, count):
    assert len(context.endpoints[0].received_s) == count, len(context.endpoints[0].received_s)


@when("leaving: its entry says so, and its entry from before comes again")
def bring_back_entry(context):
    async def job():
        async with open_fleet(context) as fleet:
            rig = fleet.choose(0)
            entry = make_entry("e1", context.endpoints[0].address)
            rig.endpoint_table.put(entry._replace(is_leaving=True, heartbeat=2))
            rig.endpoint_table.put(entry)
            await send_evenly(context, fleet, 0.5)

    run(job)


@when("leaving: it is known to leave while a request to it waits for its connection")
def leave_meanwhile(context):
    async def job():
        async with open_fleet(context) as fleet:
            rig = fleet.choose(0)
            acquire = rig.pool.acquire
            entry = make_entry("e1", context.endpoints[0].address)

            async def acquire_late(endpoint, address, *rest):
                if endpoint == "e1":
                    rig.endpoint_table.put(entry._replace(is_leaving=True, heartbeat=2))
                return await acquire(endpoint, address, *rest)

            rig.pool.acquire = acquire_late
            # The other endpoint comes later, so that this one is chosen.
            rig.endpoint_table.remove("e2", current_time(), False)
            async with create_task_group() as tasks:
                tasks.start_soon(ask, context, rig, 1)
                rig.list_endpoint(context.endpoints[1])

    run(job)


@when('leaving: it has left, and "{successor}" is listed')
def list_successor(context, successor):
    endpoint = context.endpoints[0]
    endpoint.is_leaving = True

    async def job():
        async with open_fleet(context) as fleet:
            await send_evenly(context, fleet, 0.5)
            await sleep(MESSAGE_S)
            endpoint.is_leaving = False
            endpoint.received_s.clear()
            endpoint.requests.clear()
            if successor == "another endpoint":
                endpoint.name = "e3"
            else:
                endpoint.starts += 1
            list_first(fleet, endpoint)
            for host, rig in fleet.rig_by_host.items():
                for number in range(10):
                    await ask(context, rig, f"{host}-{number}")

    run(job)


@then("leaving: the successor has received requests of each gateway")
def check_successor(context):
    endpoint = context.endpoints[0]
    ids = [find(head, "x-id") for head, _ in endpoint.requests]
    assert {each.partition("-")[0] for each in ids} == {"rg0", "rg1", "rg2"}, ids
    assert {find(head, "x-endpoint") for head, _ in endpoint.requests} == {endpoint.name}


@when("leaving: another endpoint answers at its address that it leaves")
def answer_as_another(context):
    endpoint = context.endpoints[0]
    endpoint.script = ["misdirected", "ok"]
    endpoint.is_leaving = True


@then("leaving: after {seconds:g} s it gets requests")
def check_used(context, seconds):
    endpoint = context.endpoints[0]

    async def job():
        async with open_fleet(context) as fleet:
            rig = fleet.choose(0)
            rig.endpoint_table.remove("e2", current_time(), False)
            await rig.ask(write_request("GET /safe/1", "first"))
            endpoint.is_leaving = False
            await sleep(seconds)
            await ask(context, rig, "second")

    run(job)
    assert context.answers == ["200 e1"], context.answers


@when("leaving: one gateway knows it, as all messages on it were lost")
def lose_messages(context):
    async def know(rig):
        entry = rig.endpoint_table.state_by_id["e1"].entry
        rig.endpoint_table.put(entry._replace(is_leaving=True))

    context.let_know = know
    context.newcomers = []


@when("leaving: one gateway gets an answer that says so")
def get_answer(context):
    async def know(rig):
        await rig.ask(write_request("GET /safe/1"))

    context.endpoints[0].is_leaving = True
    context.let_know = know
    context.newcomers = []


@when("leaving: another gateway starts")
def start_another(context):
    context.newcomers = ["g9"]


@then("leaving: after {seconds:g} s that gateway knows it")
@then("leaving: after {seconds:g} s all gateways know it")
def check_known(context, seconds):
    async def job():
        async with open_fleet(context) as fleet:
            # The gateways have greeted each other.
            await sleep(0.3)
            await context.let_know(fleet.choose(0))
            for host in context.newcomers:
                await fleet.start(host)
            await sleep(seconds)
            tables = [rig.endpoint_table for rig in fleet.rig_by_host.values()]
            context.known = [each.state_by_id["e1"].entry.is_leaving for each in tables]

    run(job)
    # The newcomer is the last one.
    known = context.known[-1:] if context.newcomers else context.known
    assert all(known), context.known
