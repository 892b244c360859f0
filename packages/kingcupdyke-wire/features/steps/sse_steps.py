"""
sse_steps
~~~~~~~~~

Steps for server-sent events.
"""

import json

from anyio import run
from behave import then

from kingcupdyke_wire.sse import split_events


async def read_events(parts):
    """:return: the events of a stream that arrives in these parts"""

    async def stream():
        for part in parts:
            yield part.encode()

    return [event.decode() async for event in split_events(stream())]


@then("sse reads the events {events} from the parts {parts}")
def check_events(context, events, parts):
    found = run(read_events, json.loads(parts))
    assert found == json.loads(events), found
