"""
kingcupdyke_wire.sse
~~~~~~~~~~~~~~~~~~~~

Splits a byte stream into server-sent events.
"""

from collections.abc import AsyncIterator

__all__ = ["DONE_EVENT", "split_events"]

#: Event that ends a complete stream in the OpenAI format.
DONE_EVENT = b"data: [DONE]\n\n"

BLANK_LINE = b"\n\n"


async def split_events(parts: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Split a stream into complete events.

    Bytes after the last blank line belong to a truncated event and are dropped.

    :param parts: parts of the stream, which may end within an event
    :return: events, each with its final blank line
    """
    remainder = b""
    async for part in parts:
        *events, remainder = (remainder + part).replace(b"\r\n", b"\n").split(BLANK_LINE)
        for event in events:
            yield event + BLANK_LINE
