"""
sse_steps
~~~~~~~~~

Steps for server-sent events.
"""

import json

from anyio import run
from behave import then, when

from kingcupdyke_wire.sse import split_events


async def read_events(parts):
    """:return: the events of a stream that comes in these parts"""

    async def stream():
        for part in parts:
            yield part.encode()

    return [event.decode() async for event in split_events(stream())]


@when("sse reads the parts {parts}")
def read_parts(context, parts):
    context.events = run(read_events, json.loads(parts))


@then("sse gives the events {events}")
def check_events(context, events):
    assert context.events == json.loads(events), context.events
