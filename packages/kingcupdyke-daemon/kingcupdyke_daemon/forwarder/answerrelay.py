"""
kingcupdyke_daemon.forwarder.answerrelay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Passes the answers of endpoints on to a client, and records how they ended.
"""

from collections.abc import AsyncIterator
from enum import StrEnum
from typing import NamedTuple

from h11 import Response

from kingcupdyke_daemon.forwarder.dialect import Headers
from kingcupdyke_daemon.forwarder.events import EventBuffer
from kingcupdyke_daemon.forwarder.reply import Reply

__all__ = ["AnswerEnd", "AnswerFraming", "AnswerRelay", "strip_headers"]

#: Hop-by-hop headers of an endpoint's answer, which are not passed on.
CONNECTION_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade")
)


class AnswerFraming(StrEnum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    #: The end of its connection.
    CONNECTION = "connection"


class AnswerEnd(NamedTuple):
    """How the last answer of an endpoint ended."""

    #: A value of :class:`AnswerFraming`, or empty if no answer was passed on.
    framing: str
    #: Number of complete events passed on, over all endpoints.
    events: int
    #: Bytes after the last complete event.
    partial_bytes: int


class AnswerRelay:
    """Passes the answer to one request on; a resumed stream comes from several endpoints.

    :param reply: writes the answer to the client
    :param is_stream: whether the answer is a stream of events
    :param is_resumable: whether another endpoint can continue the stream after its last complete
        event, so that only complete events are passed on
    """

    def __init__(self, reply: Reply, is_stream: bool, is_resumable: bool) -> None:
        self._reply = reply
        self._events = EventBuffer() if is_stream else None
        self._is_resumable = is_resumable
        self._framing = ""

    @property
    def last_event_id(self) -> bytes:
        """:return: id of the last complete event, or empty"""
        return b"" if self._events is None else self._events.last_id

    def describe_end(self) -> AnswerEnd:
        """:return: how the last answer ended"""
        if self._events is None:
            return AnswerEnd(self._framing, 0, 0)
        return AnswerEnd(self._framing, self._events.count, self._events.partial_bytes)

    async def relay(self, head: Response, parts: AsyncIterator[bytes]) -> None:
        """Pass an answer on to its end.

        :param parts: its body as it arrives
        """
        reply = self._reply
        events = self._events
        self._framing = _find_framing(head)
        if events is not None:
            events.drop_partial()
        if not reply.has_begun:
            await reply.begin(head.status_code, strip_headers(head))
        async for data in parts:
            if events is not None:
                complete = events.feed(data)
                data = complete if self._is_resumable else data
            if data:
                await reply.write(data)
        if self._is_resumable and events.partial:
            await reply.write(events.partial)
        await reply.end()


def strip_headers(head: Response) -> Headers:
    """:return: the headers of an answer that are passed on"""
    return [each for each in head.headers if each[0] not in CONNECTION_HEADERS]


def _find_framing(head: Response) -> AnswerFraming:
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names:
        return AnswerFraming.CHUNKS
    return AnswerFraming.LENGTH if b"content-length" in names else AnswerFraming.CONNECTION
