"""
crashes_steps
~~~~~~~~~~~~~

Steps for requests that crash endpoints, at several gateways before the same endpoints.
"""

from contextlib import AsyncExitStack, asynccontextmanager

from anyio import Event, create_task_group, create_tcp_listener, current_time, run, sleep
from anyio.abc import SocketAttribute
from behave import given, then, when
from forwarder_rig import PeerNetwork, ScriptedEndpoint, find, open_rig
from forwarder_steps import describe, write_request

from kingcupdyke.forwarding.crashreport import CrashReport

#: Time for which an endpoint that has crashed refuses connections.
RESTART_S = 0.25
#: Delay in seconds, and loss interval, of the messages between gateways.
MESSAGES = {"soon": (0.002, 1), "late": (0.4, 1), "lost": (0.002, 3)}
#: Gateways that start, or start again, one before each of the requests after the fifth.
EVENTS = {"nothing": [], "a restart": ["g0"], "a join": ["g3"], "restarts": ["g0", "g1", "g2"]}


class FragileEndpoint(ScriptedEndpoint):
    """An endpoint that crashes when it begins to answer a prompt with a certain part.

    :param bad: id of the part
    """

    def __init__(self, name, bad):
        super().__init__(name, "events")
        self.bad = bad
        #: Whether it starts again at once, while its address accepts connections.
        self.is_fast = False
        #: Ends it together with others, under the answers that it has begun, or None.
        self.ending = None
        #: Parts of all requests that it has received.
        self.received = []

    async def run(self, on_start):
        """Serve, and start again after each crash.

        :param on_start: called with the endpoint at each start
        """
        listener = await self._listen()
        while True:
            on_start(self)
            try:
                async with create_task_group() as tasks:
                    await listener.serve(self.handle, tasks)
            except Exception as error:
                if not is_crash(error):
                    raise
            if not self.is_fast:
                await listener.aclose()
                await sleep(RESTART_S)
                listener = await self._listen()
            self.starts += 1

    async def _listen(self):
        listener = (await create_tcp_listener(local_host="127.0.0.1")).listeners[0]
        self.address = listener.extra(SocketAttribute.local_address)
        return listener

    async def do_events(self, stream, attempt_id, first=1, last=4, cut=False):
        parts = find(self.requests[-1][0], "x-parts").split()
        self.received.append(parts)
        if self.ending is not None or self.bad in parts:
            head = f"HTTP/1.1 200 X\r\nx-id: {attempt_id}\r\nx-mark: m\r\n"
            await stream.send(f"{head}transfer-encoding: chunked\r\n\r\n".encode())
            await (sleep(0.02) if self.ending is None else self.ending.wait())
            raise EndpointCrash
        return await super().do_events(stream, attempt_id, first, last, cut)


class CuttingEndpoint(FragileEndpoint):
    """An endpoint that closes the connection where a fragile one crashes."""

    async def do_events(self, stream, attempt_id, first=1, last=4, cut=False):
        try:
            return await super().do_events(stream, attempt_id, first, last, cut)
        except EndpointCrash:
            return False


class EndpointCrash(Exception):
    """Ends an endpoint with all its connections."""


def is_crash(error):
    """:return: whether an error, or each one of a group, is the crash of an endpoint"""
    if isinstance(error, BaseExceptionGroup):
        return all(is_crash(each) for each in error.exceptions)
    return isinstance(error, EndpointCrash)


class Fleet:
    """Gateways before the same endpoints, in contact over a network.

    :param tasks: runs the endpoints and the network
    :param stack: closes the gateways
    """

    def __init__(self, tasks, stack, network, endpoints):
        self.tasks = tasks
        self._stack = stack
        self._network = network
        self._endpoints = endpoints
        self.rig_by_host = {}

    async def start(self, host):
        """Start a gateway, or start it again without what it knew."""
        rig = await self._stack.enter_async_context(open_rig([], host=host, network=self._network))
        for endpoint in self._endpoints:
            rig.list_endpoint(endpoint)
        self.rig_by_host[host] = rig

    def list_endpoint(self, endpoint):
        for rig in self.rig_by_host.values():
            rig.list_endpoint(endpoint)

    def choose(self, number):
        """:return: the gateway that receives a request"""
        rigs = list(self.rig_by_host.values())
        return rigs[number % len(rigs)]


@asynccontextmanager
async def open_fleet(context):
    """Run the gateways and endpoints while the context is open."""
    async with create_task_group() as tasks, AsyncExitStack() as stack:
        network = PeerNetwork(tasks, *MESSAGES[context.messages])
        fleet = Fleet(tasks, stack, network, context.endpoints)
        for number in range(context.gateways):
            await fleet.start(f"g{number}")
        for endpoint in context.endpoints:
            tasks.start_soon(endpoint.run, fleet.list_endpoint)
        await sleep(0.1)
        yield fleet
        tasks.cancel_scope.cancel()


def write_prompt(line, parts, attempt_id):
    """:return: the bytes of a request with the given parts of its prompt"""
    request = write_request(line, attempt_id)
    return request.replace(b"connection:", f"x-parts: {parts}\r\nconnection:".encode())


def list_received(context, bad):
    """:return: the prompts with a part that have reached endpoints"""
    return [parts for each in context.endpoints for parts in each.received if bad in parts]


def give_endpoints(context, gateways, endpoints):
    context.gateways = gateways
    context.endpoints = endpoints
    context.messages = "soon"


@given(
    'crashes: {gateways:d} gateways before {endpoints:d} endpoints that crash on the part "{bad}"'
)
def give_fleet(context, gateways, endpoints, bad):
    give_endpoints(context, gateways, [FragileEndpoint(f"e{n}", bad) for n in range(endpoints)])


@given('crashes: messages between the gateways are "{messages}"')
def give_messages(context, messages):
    context.messages = messages


@given("crashes: the endpoints start again at once, at the same address")
def give_fast_restart(context):
    for each in context.endpoints:
        each.is_fast = True


@when(
    'crashes: {count:d} requests "{line}" with the part "{bad}" come at all gateways, '
    'and "{event}" happens after the fifth'
)
def send_requests(context, count, line, bad, event):
    starting = list(EVENTS[event])

    async def job():
        async with open_fleet(context) as fleet:
            context.sound = []
            for number in range(count):
                # Crashes within half a second count as one.
                interval_s = 0.6 if number < 5 else 0.3
                if number >= 5 and starting:
                    await fleet.start(starting.pop(0))
                    await sleep(interval_s)
                rig = fleet.choose(number)
                await rig.ask(write_prompt(line, f"first {bad} own{number}", f"bad{number}"))
                await sleep(interval_s / 2)
                sound = write_prompt(line, f"first other own{number}", f"sound{number}")
                context.sound.append(describe(await rig.ask(sound)))
                await sleep(interval_s / 2)
            await sleep(1.0)
            context.rejects = list_rejecting(fleet, (bad, "new"))

    run(job)


def list_rejecting(fleet, parts):
    """:return: whether each gateway rejects a prompt"""
    tables = [rig.crash_table for rig in fleet.rig_by_host.values()]
    return [each.find_signature(parts, current_time()) is not None for each in tables]


@then('crashes: all gateways reject a prompt with "{bad}" alone')
def check_rejects(context, bad):
    assert all(context.rejects), context.rejects


@when(
    'crashes: {count:d} answers to prompts with the part "{bad}" break off, but the endpoints go on'
)
def break_off(context, count, bad):
    give_endpoints(context, 1, [CuttingEndpoint(f"e{n}", bad) for n in range(4)])

    async def job():
        async with open_fleet(context) as fleet:
            for number in range(count):
                prompt = write_prompt("GET /stream/1", f"{bad} own{number}", f"bad{number}")
                await fleet.choose(0).ask(prompt)
                await sleep(0.6)

    run(job)


@then('crashes: {count:d} requests with the part "{bad}" have reached endpoints')
def check_all_received(context, count, bad):
    assert len(list_received(context, bad)) == count, len(list_received(context, bad))


@when('crashes: {count:d} endpoints end together under requests with the part "{bad}"')
def end_together(context, count, bad):
    give_endpoints(context, 2, [FragileEndpoint(f"e{n}", "") for n in range(count)])

    async def job():
        async with open_fleet(context) as fleet:
            ending = Event()
            for each in context.endpoints:
                each.ending = ending
            async with create_task_group() as tasks:
                for number in range(count * 3):
                    prompt = write_prompt("GET /stream/1", f"{bad} own{number}", f"lost{number}")
                    tasks.start_soon(fleet.choose(number).ask, prompt)
                await sleep(0.3)
                ending.set()
            for each in context.endpoints:
                each.ending = None
            await sleep(0.5)
            assert all(each.starts > 1 for each in context.endpoints)
            context.sound = []
            for number in range(3):
                prompt = write_prompt("GET /stream/1", f"{bad} own{number}", f"next{number}")
                context.sound.append(describe(await fleet.choose(number).ask(prompt)))

    run(job)


@then('crashes: the next {count:d} requests with the part "{bad}" are answered')
def check_next(context, count, bad):
    assert context.sound == ["200 events 1,2,3,4"] * count, context.sound


@then('crashes: at most {limit:d} requests with the part "{bad}" have reached endpoints')
def check_received(context, limit, bad):
    assert len(list_received(context, bad)) <= limit, len(list_received(context, bad))


@then("crashes: requests with the other parts have been answered")
def check_sound(context):
    assert set(context.sound) == {"200 events 1,2,3,4"}, context.sound


@when(
    'crashes: three crashes under "{bad}" are known at one gateway, as all messages on them were '
    "lost"
)
def lose_messages(context, bad):
    context.bad = bad
    context.newcomers = []


@when("crashes: another gateway starts")
def start_another(context):
    context.newcomers = ["g9"]


@then('crashes: after {seconds:g} s that gateway rejects "{bad}"')
@then('crashes: after {seconds:g} s all gateways reject "{bad}"')
def check_known(context, seconds, bad):
    async def job():
        async with open_fleet(context) as fleet:
            # The gateways have greeted each other.
            await sleep(0.3)
            now_s = current_time()
            for number in range(3):
                report = CrashReport(f"e{number}", 1, (bad, f"own{number}"), True, 3.0 - number)
                fleet.choose(0).crash_table.record(report, now_s)
            for host in context.newcomers:
                await fleet.start(host)
            await sleep(seconds)
            context.found = list_rejecting(fleet, (bad, "new"))

    run(job)
    # The newcomer is the last one.
    found = context.found[-1:] if context.newcomers else context.found
    assert all(found), context.found
