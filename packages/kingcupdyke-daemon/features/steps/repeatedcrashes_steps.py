"""
repeatedcrashes_steps
~~~~~~~~~~~~~~~~~~~~~

Steps for one request that crashes endpoints and comes again, at several gateways.
"""

from anyio import Event, create_task_group, current_time, run, sleep
from behave import given, then, when
from crashes_steps import EVENTS, EndpointCrash, FragileEndpoint, open_fleet
from forwarder_rig import ScriptedEndpoint, find
from forwarder_steps import describe

#: Seconds from the beginning of a run to its crash.
RUN_S = 0.02
#: Seconds within which all gateways have the messages that are not lost, and repeated ones.
MESSAGES_S = 3.5
BAD_BODY = b"bad"
#: A part of prompts that no endpoint crashes on.
SOUND_PART = "sound-part"
HEAD = "{line} HTTP/1.1\r\nhost: a.example\r\nx-id: {id}\r\nx-caller: {caller}\r\n"
END = "connection: close\r\ncontent-length: {length}\r\n\r\n"


class PlainFragileEndpoint(FragileEndpoint):
    """An endpoint that crashes when it runs a request with a certain path, caller and body, and no
    prompt in parts.

    :param is_renamed: whether it is listed under another id after each start
    """

    def __init__(self, name, is_renamed=False):
        super().__init__(name, "")
        self.script = ["ok"]
        self._name = name
        self.is_renamed = is_renamed
        #: Whether it breaks all connections off and goes on.
        self.is_breaking = False
        #: Number of requests that have crashed it, or would have.
        self.bad_requests = 0

    async def run(self, on_start):
        def list_started(endpoint):
            if self.is_renamed:
                endpoint.name = f"{self._name}-{endpoint.starts}"
            on_start(endpoint)

        await super().run(list_started)

    async def do_ok(self, stream, attempt_id):
        head, body = self.requests[-1]
        if self.is_breaking:
            return False
        if self.ending is not None:
            await self.ending.wait()
            raise EndpointCrash
        path = head.split()[1].partition("?")[0]
        is_suspect = find(head, "x-caller") == "c1" and "x-parts" not in head
        if path.endswith("/bad") and body == BAD_BODY and is_suspect:
            self.bad_requests += 1
            await sleep(RUN_S)
            raise EndpointCrash
        if path.startswith("/stream/"):
            return await ScriptedEndpoint.do_events(self, stream, attempt_id)
        await self.answer(stream, attempt_id, body=b"sound")
        return True


def write(line, attempt_id, body=BAD_BODY, caller="c1", parts=""):
    """:return: the bytes of a request"""
    head = HEAD.format(line=line, id=attempt_id, caller=caller)
    if parts:
        head += f"x-parts: {parts}\r\n"
    return (head + END.format(length=len(body))).encode() + body


@given(
    "repeatedcrashes: {gateways:d} gateways before {endpoints:d} endpoints that crash on one "
    "request"
)
def give_fleet(context, gateways, endpoints):
    context.gateways = gateways
    context.endpoints = [PlainFragileEndpoint(f"e{number}") for number in range(endpoints)]
    context.messages = "soon"


@given('repeatedcrashes: messages between the gateways are "{messages}"')
def give_messages(context, messages):
    context.messages = messages


@given("repeatedcrashes: the endpoints start again under other ids")
def give_renamed(context):
    for each in context.endpoints:
        each.is_renamed = True


async def ask_sound(context, rig, line, number):
    """Send requests that differ from the bad one in one property each."""
    requests = (
        write(line, f"body{number}", b"good"),
        write(line.replace("/bad", "/good"), f"path{number}"),
        write(line, f"caller{number}", caller="c2"),
        write(line, f"parts{number}", parts=SOUND_PART),
    )
    for each in requests:
        context.sound.append(describe(await rig.ask(each)))


@when(
    'repeatedcrashes: it comes {count:d} times as "{line}" at all gateways, and "{event}" happens '
    "after the fifth"
)
def send_requests(context, count, line, event):
    starting = list(EVENTS[event])
    context.sound = []

    async def job():
        async with open_fleet(context) as fleet:
            for number in range(count):
                if number >= 5 and starting:
                    await fleet.start(starting.pop(0))
                    await sleep(0.6)
                rig = fleet.choose(number)
                # The query does not belong to the path.
                await rig.ask(write(f"{line}?try={number}", f"bad{number}"))
                await sleep(0.3)
                await ask_sound(context, rig, line, number)
            await sleep(MESSAGES_S if context.messages == "lost" else 1.0)
            context.rejections = await ask_all(fleet, line)

    run(job)


async def ask_all(fleet, line):
    """:return: the answers of all gateways to the bad request"""
    rigs = list(fleet.rig_by_host.values())
    return [describe(await rig.ask(write(line, "last"))) for rig in rigs]


@then("repeatedcrashes: it has reached endpoints at most {limit:d} times")
def check_received(context, limit):
    found = sum(each.bad_requests for each in context.endpoints)
    assert found <= limit, found


@then("repeatedcrashes: requests with another body, path, caller or prompt have been answered")
def check_sound(context):
    assert context.sound
    assert set(context.sound) <= {"200 sound", "200 events 1,2,3,4"}, context.sound


@then("repeatedcrashes: all gateways reject it")
def check_rejected(context):
    assert set(context.rejections) == {"503"}, context.rejections


@when('repeatedcrashes: it comes {count:d} times as "{line}" within {seconds:g} s')
def send_quickly(context, count, line, seconds):
    async def job():
        async with open_fleet(context) as fleet:
            for number in range(count):
                sent_s = current_time()
                context.last = await fleet.choose(number).ask(write(line, f"bad{number}"))
                context.last_s = current_time() - sent_s
                await sleep(seconds / count)
            await sleep(0.3)
            context.rejections = await ask_all(fleet, line)

    run(job)


@then("repeatedcrashes: the last answer is a 503 within {seconds:g} s, with a Retry-After header")
def check_last(context, seconds):
    assert describe(context.last) == "503", context.last
    assert b"retry-after: " in context.last
    assert context.last_s <= seconds, context.last_s


@when("repeatedcrashes: the endpoints end together under {copies:d} copies each of another request")
def end_together(context, copies):
    async def job():
        async with open_fleet(context) as fleet:
            ending = Event()
            for each in context.endpoints:
                each.ending = ending
            async with create_task_group() as tasks:
                for number in range(copies * len(context.endpoints)):
                    request = write("POST /once/other", f"lost{number}")
                    tasks.start_soon(fleet.choose(number).ask, request)
                await sleep(0.3)
                ending.set()
            for each in context.endpoints:
                each.ending = None
            await sleep(0.6)
            assert all(each.starts > 1 for each in context.endpoints)
            context.next = describe(await fleet.choose(0).ask(write("POST /once/other", "next")))

    run(job)


@when("repeatedcrashes: {count:d} answers to another request break off, but the endpoints go on")
def break_off(context, count):
    async def job():
        async with open_fleet(context) as fleet:
            for each in context.endpoints:
                each.is_breaking = True
            for number in range(count):
                await fleet.choose(0).ask(write("POST /once/other", f"cut{number}"))
                await sleep(0.5)
            for each in context.endpoints:
                each.is_breaking = False
            await sleep(3.0)
            context.next = describe(await fleet.choose(0).ask(write("POST /once/other", "next")))

    run(job)


@then("repeatedcrashes: that request is answered")
def check_next(context):
    assert context.next == "200 sound", context.next
