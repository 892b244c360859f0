"""
pauses_steps
~~~~~~~~~~~~

Steps for the longest pause of a stream.
"""

from anyio import run, sleep
from behave import then, when
from forwarder_rig import ScriptedEndpoint
from forwarder_steps import write_request
from slow_rig import PouringEndpoint, connect_slowly, list_lines, open_slow_rig

#: Time by which a pause may be longer than what the endpoint has waited.
TOLERANCE_MS = 90


class WaitingEndpoint(ScriptedEndpoint):
    """An endpoint that waits for given seconds before each event.

    Among the times, ``half`` sends half of the next event first, and ``cut`` breaks off.
    """

    async def do_wait(self, stream, attempt_id, times, is_stream=True):
        kind = "text/event-stream" if is_stream else "text/plain"
        head = f"HTTP/1.1 200 X\r\nx-id: {attempt_id}\r\nx-mark: m\r\ncontent-type: {kind}\r\n"
        await stream.send(f"{head}transfer-encoding: chunked\r\n\r\n".encode())
        is_begun = False
        for number, each in enumerate(times.split(","), 1):
            if each == "cut":
                return False
            if each == "half":
                await stream.send(b"6\r\ndata: \r\n")
                is_begun = True
                continue
            await sleep(float(each))
            event = f"x\nid: {number}\n\n" if is_begun else f"data: x\nid: {number}\n\n"
            is_begun = False
            await stream.send(b"%x\r\n%s\r\n" % (len(event), event.encode()))
        await stream.send(b"0\r\n\r\n")
        return True

    async def do_plain(self, stream, attempt_id, times):
        return await self.do_wait(stream, attempt_id, times, is_stream=False)


@when('pauses: a client reads "{line}" from endpoints with the scripts "{scripts}"')
def read_stream(context, line, scripts):
    context.endpoints = [
        WaitingEndpoint(f"e{n}", each) for n, each in enumerate(scripts.split("; "), 1)
    ]

    async def job():
        async with open_slow_rig(context) as rig:
            await rig.ask(write_request(line))

    run(job)


@when("pauses: a client reads nothing for {pause_s:g} s, and its stream is stopped meanwhile")
def stop_stream(context, pause_s):
    context.endpoints = [PouringEndpoint("e1", 1_000_000)]
    context.budget_bytes = 1_600_000

    async def job():
        async with open_slow_rig(context) as rig:
            stream = await connect_slowly(rig, write_request("GET /stream/1"))
            await sleep(pause_s)
            await rig.read_all(stream)
        assert list_lines(context, "answer stopped")

    run(job)


def find_pause(context):
    ((_, fields),) = list_lines(context, "request ended")
    assert (fields["status"], fields["outcome"]) == (200, "answered"), fields
    return fields["longest_pause_ms"]


@then("pauses: the longest pause was {pause_ms:d} ms")
def check_pause(context, pause_ms):
    found = find_pause(context)
    if pause_ms < 0:
        assert found == -1, found
    else:
        # Timers and times of arrival are rounded to milliseconds.
        assert pause_ms - 5 <= found <= pause_ms + TOLERANCE_MS, found


@then("pauses: the longest pause was less than {most_ms:d} ms")
def check_short_pause(context, most_ms):
    assert -1 < find_pause(context) < most_ms, find_pause(context)


@then('pauses: the histogram of the route "{route}" has {count:d} pauses')
def check_histogram(context, route, count):
    line = f'kingcupdyke_longest_pause_seconds_count{{route="{route}"}} {count}.0'
    assert (line in context.metrics) if count else ("longest_pause" not in context.metrics)
