"""
crashes_steps
~~~~~~~~~~~~~

Steps for requests that crash endpoints, at several gateways before the same endpoints.
"""

from contextlib import AsyncExitStack

from anyio import create_task_group, create_tcp_listener, run, sleep
from anyio.abc import SocketAttribute
from behave import given, then, when
from forwarder_rig import ScriptedEndpoint, find, open_rig
from forwarder_steps import describe, write_request

#: Time for which an endpoint that has crashed refuses connections.
RESTART_S = 0.25


class FragileEndpoint(ScriptedEndpoint):
    """An endpoint that crashes when it begins to answer a prompt with a certain part.

    :param bad: id of the part
    """

    def __init__(self, name, bad):
        super().__init__(name, "events")
        self.bad = bad
        #: Parts of all requests that it has received.
        self.received = []

    async def run(self, on_start):
        """Serve, and start again after each crash.

        :param on_start: called with the endpoint at each start
        """
        while True:
            listener = (await create_tcp_listener(local_host="127.0.0.1")).listeners[0]
            self.address = listener.extra(SocketAttribute.local_address)
            on_start(self)
            try:
                await listener.serve(self.handle)
            except Exception as error:
                if not is_crash(error):
                    raise
            await sleep(RESTART_S)
            self.starts += 1

    async def do_events(self, stream, attempt_id, first=1, last=4, cut=False):
        parts = find(self.requests[-1][0], "x-parts").split()
        self.received.append(parts)
        if self.bad in parts:
            head = f"HTTP/1.1 200 X\r\nx-id: {attempt_id}\r\nx-mark: m\r\n"
            await stream.send(f"{head}transfer-encoding: chunked\r\n\r\n".encode())
            await sleep(0.02)
            raise EndpointCrash
        return await super().do_events(stream, attempt_id, first, last, cut)


class EndpointCrash(Exception):
    """Ends an endpoint with all its connections."""


def is_crash(error):
    """:return: whether an error, or each one of a group, is the crash of an endpoint"""
    if isinstance(error, BaseExceptionGroup):
        return all(is_crash(each) for each in error.exceptions)
    return isinstance(error, EndpointCrash)


def write_prompt(line, parts, attempt_id):
    """:return: the bytes of a request with the given parts of its prompt"""
    request = write_request(line, attempt_id)
    return request.replace(b"connection:", f"x-parts: {parts}\r\nconnection:".encode())


@given(
    'crashes: {gateways:d} gateways before {endpoints:d} endpoints that crash on the part "{bad}"'
)
def give_fleet(context, gateways, endpoints, bad):
    context.gateways = gateways
    context.endpoints = [FragileEndpoint(f"e{n}", bad) for n in range(endpoints)]


@when(
    'crashes: {count:d} requests "{line}" with the part "{bad}" come at all gateways, '
    "{interval_s:g} s apart"
)
def send_requests(context, count, line, bad, interval_s):
    async def job():
        async with create_task_group() as tasks, AsyncExitStack() as stack:
            rigs = [await stack.enter_async_context(open_rig([])) for _ in range(context.gateways)]

            def list_endpoint(endpoint):
                for rig in rigs:
                    rig.list_endpoint(endpoint)

            for endpoint in context.endpoints:
                tasks.start_soon(endpoint.run, list_endpoint)
            await sleep(0.1)
            context.sound = []
            for number in range(count):
                rig = rigs[number % len(rigs)]
                await rig.ask(write_prompt(line, f"first {bad} own{number}", f"bad{number}"))
                await sleep(interval_s / 2)
                sound = write_prompt(line, f"first other own{number}", f"sound{number}")
                context.sound.append(describe(await rig.ask(sound)))
                await sleep(interval_s / 2)
            tasks.cancel_scope.cancel()

    run(job)


@then('crashes: at most {limit:d} requests with the part "{bad}" have reached endpoints')
def check_received(context, limit, bad):
    received = [parts for each in context.endpoints for parts in each.received if bad in parts]
    assert len(received) <= limit, len(received)


@then("crashes: sound requests with the other parts have been answered")
def check_sound(context):
    answered = [each for each in context.sound if each == "200 events 1,2,3,4"]
    assert len(answered) == len(context.sound), context.sound
