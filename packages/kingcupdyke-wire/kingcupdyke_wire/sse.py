"""
kingcupdyke_wire.sse
~~~~~~~~~~~~~~~~~~~~

Splits a byte stream into server-sent events.
"""

import re
from collections.abc import AsyncIterator

__all__ = [
    "DONE_EVENT",
    "EVENT_END",
    "EVENT_STREAM",
    "EventTooLongError",
    "LINE_ENDS",
    "MAX_EVENT_BYTES",
    "ends_inside_event",
    "split_events",
]

#: Content type of a stream of events.
EVENT_STREAM = "text/event-stream"
#: The blank line after an event; a line ends with LF, CR or both.
EVENT_END = re.compile(rb"(?>\r\n|\n|\r){2}")
LINE_ENDS = b"\r\n"

#: Limit of the size of an event.
MAX_EVENT_BYTES = 1_048_576
#: Event that ends a complete stream in the OpenAI format.
DONE_EVENT = b"data: [DONE]\n\n"

BLANK_LINE = b"\n\n"


class EventTooLongError(Exception):
    """An event of a stream is too long.

    :param max_bytes: limit of its size
    """

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"an event is longer than {max_bytes} bytes")


async def split_events(parts: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Split a stream into complete events.

    Bytes after the last blank line belong to a truncated event and are dropped.

    :param parts: parts of the stream, which may end within an event
    :return: events, each with its final blank line
    :raises EventTooLongError: when an event has no end within MAX_EVENT_BYTES
    """
    remainder = b""
    async for part in parts:
        *events, remainder = (remainder + part).replace(b"\r\n", b"\n").split(BLANK_LINE)
        for event in events:
            yield event + BLANK_LINE
        if len(remainder) > MAX_EVENT_BYTES:
            raise EventTooLongError(MAX_EVENT_BYTES)


def ends_inside_event(body: bytes) -> bool:
    """:return: whether a stream ends with an incomplete event"""
    end = 0
    for match in EVENT_END.finditer(body):
        end = match.end()
    return bool(body[end:].strip(LINE_ENDS))
