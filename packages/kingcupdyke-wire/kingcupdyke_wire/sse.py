"""
kingcupdyke_wire.sse
~~~~~~~~~~~~~~~~~~~~

Server-sent events on a stream of bytes.
"""

from collections.abc import AsyncIterator

__all__ = ["DONE_EVENT", "split_events"]

#: Event that ends a whole stream in the OpenAI form.
DONE_EVENT = b"data: [DONE]\n\n"

BLANK_LINE = b"\n\n"


async def split_events(parts: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Cut a stream into whole events.

    Bytes after the last blank line are an event that was cut off, and are dropped.

    :param parts: parts of the stream, cut anywhere
    :return: events, each ending in its blank line
    """
    rest = b""
    async for part in parts:
        *events, rest = (rest + part).replace(b"\r\n", b"\n").split(BLANK_LINE)
        for event in events:
            yield event + BLANK_LINE
