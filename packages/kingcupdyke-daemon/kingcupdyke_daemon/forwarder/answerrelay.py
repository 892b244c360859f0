"""
kingcupdyke_daemon.forwarder.answerrelay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Passes the answers of endpoints on to a client, and records how they ended.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import closing
from enum import StrEnum
from typing import NamedTuple

from h11 import Response

from kingcupdyke.error import AnswerFault
from kingcupdyke.forwarding.unfinishedparts import UnfinishedPart
from kingcupdyke_daemon.forwarder.answerbuffer import AnswerMemory
from kingcupdyke_daemon.forwarder.connection import Progress, TransferError
from kingcupdyke_daemon.forwarder.dialect import Headers
from kingcupdyke_daemon.forwarder.events import EventBuffer
from kingcupdyke_daemon.forwarder.reply import Reply
from kingcupdyke_wire.completeness import find_truncation, marks_its_end
from kingcupdyke_wire.sse import EVENT_STREAM, EventTooLongError

__all__ = ["AnswerEnd", "AnswerFraming", "AnswerRelay", "decode_headers", "strip_headers"]

#: Hop-by-hop headers of an endpoint's answer, which are not passed on.
CONNECTION_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade")
)
#: Statuses of answers without a body.
STATUSES_WITHOUT_BODY = (204, 304)
#: Limit of the bytes of an answer that are held back until its end shows whether it is whole.
MAX_HELD_BYTES = 65_536
#: Lowest status of an answer that is not a success.
STATUS_REDIRECT = 300


class AnswerFraming(StrEnum):
    """What marks the end of an answer's body."""

    #: There is no body.
    NONE = "none"
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
    :param memory: counts what can't be passed on yet
    :param is_streaming: whether the route's answers are streams of events
    :param is_resumable: whether another endpoint can continue the stream after its last complete
        event, so that only complete events are passed on
    :param on_first_event: called once, before the first event is passed on
    """

    def __init__(
        self,
        reply: Reply,
        memory: AnswerMemory,
        is_streaming: bool,
        is_resumable: bool,
        on_first_event: Callable[[], None],
    ) -> None:
        self._reply = reply
        self._memory = memory
        self._is_streaming = is_streaming
        self._is_resumable = is_resumable
        self._on_first_event = on_first_event
        self._events = EventBuffer(is_resumable, memory.max_event_bytes)
        self._framing = ""
        #: Status of the answer whose head was passed on, and whether it is a stream of events.
        self._status = 0
        self._is_events = False

    @property
    def last_event_id(self) -> bytes:
        """:return: id of the last complete event, or empty"""
        return self._events.last_id

    @property
    def has_event(self) -> bool:
        """:return: whether a complete event was read"""
        return self._events.count > 0

    @property
    def can_be_continued(self) -> bool:
        """:return: whether another endpoint can continue what was passed on: it is a stream, and
        its last event has an id
        """
        has_position = not self.has_event or bool(self.last_event_id)
        return self._is_resumable and self._is_events and has_position

    def is_continuation(self, head: Response) -> bool:
        """:return: whether an answer may follow what was passed on: a stream with its status"""
        return head.status_code == self._status and self._is_event_stream(head)

    def describe_end(self) -> AnswerEnd:
        """:return: how the last answer ended"""
        return AnswerEnd(self._framing, self._events.count, self._events.partial_bytes)

    async def relay(
        self,
        endpoint: str,
        head: Response,
        parts: AsyncIterator[bytes],
        is_running: Callable[[], Awaitable[bool]],
        has_body: bool = True,
    ) -> None:
        """Pass an answer on up to its end, which :meth:`end` marks.

        The end of a connection marks the end of an answer, or that of the endpoint's process. Where
        the body does not show which, the answer counts as whole if the endpoint still runs.

        :param endpoint: the endpoint that has sent it
        :param parts: its body as it arrives
        :param is_running: returns whether a process still listens at the endpoint's address
        :param has_body: whether answers to the request's method have bodies
        :raises TransferError: when the answer ends before it is complete, an event is too long, or
            the endpoint's answers may not hold more
        """
        self._framing = _find_framing(head) if has_body else AnswerFraming.NONE
        self._events.drop_partial()
        is_events = self._is_event_stream(head)
        is_unframed = self._framing == AnswerFraming.CONNECTION
        with closing(self._memory.unfinished_parts.open_part(endpoint)) as unfinished:
            if is_unframed and not is_events:
                await self._relay_unframed(head, parts, is_running, unfinished)
                return
            await self._begin(head, is_events)
            if not is_events:
                async for data in parts:
                    await self._reply.write(data)
                return
            await self._relay_events(parts, unfinished)
        if is_unframed:
            await _check_running(is_running)

    async def end(self) -> None:
        """Mark the end of the answer, and wait until all of it is written to the client."""
        await self._reply.end()

    async def _begin(self, head: Response, is_events: bool) -> None:
        if not self._reply.has_begun:
            self._status, self._is_events = head.status_code, is_events
            await self._reply.begin(head.status_code, strip_headers(head))

    async def _relay_unframed(
        self,
        head: Response,
        parts: AsyncIterator[bytes],
        is_running: Callable[[], Awaitable[bool]],
        unfinished: UnfinishedPart,
    ) -> None:
        """Pass an answer on that ends with its connection. A short one is held back until it is
        known to be whole, so that the request can still be sent to another endpoint.
        """
        held = bytearray()
        async for data in parts:
            held += data
            if len(held) > MAX_HELD_BYTES:
                await self._begin(head, False)
                await self._reply.write(bytes(held))
                held.clear()
            _resize(unfinished, len(held))
        rest = bytes(held)
        if not self._reply.has_begun:
            headers = decode_headers(head)
            if reason := find_truncation(headers, rest):
                raise TransferError(Progress.ANSWERING, reason)
            if not marks_its_end(headers, rest):
                await _check_running(is_running)
        else:
            await _check_running(is_running)
        await self._begin(head, False)
        if rest:
            await self._reply.write(rest)

    async def _relay_events(self, parts: AsyncIterator[bytes], unfinished: UnfinishedPart) -> None:
        events = self._events
        count_before = events.count
        async for data in parts:
            is_first = not events.count
            try:
                ready = events.feed(data)
            except EventTooLongError as error:
                reason = str(error)
                raise TransferError(Progress.ANSWERING, reason, fault=AnswerFault.EVENT) from error
            _resize(unfinished, events.held_bytes)
            if events.count and is_first:
                self._on_first_event()
            if ready:
                await self._reply.write(ready)
        if events.partial_bytes:
            raise TransferError(Progress.ANSWERING, "the stream ended inside an event")
        if self._framing == AnswerFraming.CONNECTION and events.count == count_before:
            raise TransferError(Progress.ANSWERING, "the stream ended before its first event")
        if rest := events.take_rest():
            await self._reply.write(rest)

    def _is_event_stream(self, head: Response) -> bool:
        for name, value in head.headers:
            if name == b"content-type":
                return value.partition(b";")[0].strip().lower() == EVENT_STREAM.encode()
        return self._is_streaming and head.status_code < STATUS_REDIRECT


def _resize(unfinished: UnfinishedPart, size: int) -> None:
    """:raises TransferError: when the endpoint's answers may not hold as much"""
    if not unfinished.resize(size):
        reason = "what is held of the endpoint's answers uses too much memory"
        raise TransferError(Progress.ANSWERING, reason, fault=AnswerFault.MEMORY)


async def _check_running(is_running: Callable[[], Awaitable[bool]]) -> None:
    """:raises TransferError: when no process listens at the endpoint's address"""
    if not await is_running():
        raise TransferError(Progress.ANSWERING, "the endpoint's process ended with the connection")


def decode_headers(head: Response) -> dict[str, str]:
    """:return: values of the header fields, by name in lower case"""
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}


def strip_headers(head: Response) -> Headers:
    """:return: the headers of an answer that are passed on"""
    return [each for each in head.headers if each[0] not in CONNECTION_HEADERS]


def _find_framing(head: Response) -> AnswerFraming:
    if head.status_code in STATUSES_WITHOUT_BODY:
        return AnswerFraming.NONE
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names:
        return AnswerFraming.CHUNKS
    return AnswerFraming.LENGTH if b"content-length" in names else AnswerFraming.CONNECTION
