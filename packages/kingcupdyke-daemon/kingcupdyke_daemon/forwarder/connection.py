"""
kingcupdyke_daemon.forwarder.connection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 client connections to endpoints, which are reused.
"""

import logging
from collections.abc import AsyncIterator, Callable
from enum import IntEnum
from select import POLLIN, poll
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
)

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    aclose_forcefully,
    connect_tcp,
    fail_after,
    move_on_after,
)
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    InformationalResponse,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)

from kingcupdyke.forwarding.metadata import AnswerMetadata
from kingcupdyke_daemon.forwarder.dialect import Dialect, Headers

__all__ = ["EndpointConnection", "Progress", "KEEPALIVE_OPTIONS", "TransferError"]

_LOGGER = logging.getLogger(__name__)
#: Timeout for establishing a connection.
CONNECT_TIMEOUT_S = 1.0
#: TCP user timeout: a connection is closed when sent bytes stay unacknowledged for longer.
UNACKNOWLEDGED_TIMEOUT_S = 1.5
#: TCP keep-alive: idle time before the first probe, interval between probes, and unanswered probes
#: after which the connection is closed.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Maximum number of bytes read from a socket in one call.
READ_BYTES = 65_536
#: Number of answers read in search of the answer to the current request. A request fails if all of
#: them are for other attempts.
MAX_STRAY_ANSWERS = 3
#: Limit of the size of the body of each of them.
MAX_STRAY_BYTES = 1_048_576
#: Limit of the heads that announce the head of the answer.
MAX_INFORMATIONAL_HEADS = 8
#: Limit of a body that is read whole before it is used, in bytes and seconds.
MAX_SHORT_BODY_BYTES = 65_536
SHORT_BODY_TIMEOUT_S = 0.5

#: Socket options that close a connection within seconds when its peer becomes unresponsive.
KEEPALIVE_OPTIONS = (
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES),
    (IPPROTO_TCP, TCP_USER_TIMEOUT, round(UNACKNOWLEDGED_TIMEOUT_S * 1000)),
)

#: Raised by a broken connection or by a violation of HTTP/1.1.
TRANSFER_ERRORS = (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    LocalProtocolError,
    RemoteProtocolError,
    OSError,
)


class Progress(IntEnum):
    """How far the transfer of a request has come."""

    #: No byte of the request was sent.
    NOT_SENT = 0
    #: Bytes of the request may have been sent; the head of its answer has not been received.
    SENT = 1
    #: The head of its answer was received.
    ANSWERING = 2


class TransferError(Exception):
    """The transfer of a request or of its answer failed.

    :param progress: how far the transfer had come
    :param reason: what failed
    """

    def __init__(self, progress: Progress, reason: str) -> None:
        super().__init__(reason)
        self.progress = progress
        self.reason = reason


class EndpointConnection:
    """One connection to an endpoint; it carries at most one request at a time.

    :param stream: the open socket
    :param dialect: reads the attempt id from the headers of an answer
    """

    def __init__(self, stream: SocketStream, dialect: Dialect) -> None:
        self._stream = stream
        self._dialect = dialect
        self._http = Connection(CLIENT)
        self._request: Request | None = None
        self._attempt_id = ""
        self._progress = Progress.NOT_SENT
        self._is_sent = False
        #: Time at which the connection became idle, in seconds of the timer service.
        self.idle_since_s = 0.0
        #: Seconds after which the endpoint closes the idle connection, or None if not announced.
        self.keep_alive_s: float | None = None

    @classmethod
    async def open(cls, address: tuple[str, int], dialect: Dialect) -> "EndpointConnection":
        """Connect to an endpoint.

        :raises TransferError: when the connection can't be established
        """
        try:
            with fail_after(CONNECT_TIMEOUT_S):
                stream = await connect_tcp(*address)
        except TimeoutError as error:
            raise TransferError(Progress.NOT_SENT, "connect timed out") from error
        except OSError as error:
            # anyio names the error of the system only as the cause of its own.
            reason = f"connecting failed: {error.__cause__ or error!r}"
            raise TransferError(Progress.NOT_SENT, reason) from error
        raw = stream.extra(SocketAttribute.raw_socket)
        for option in KEEPALIVE_OPTIONS:
            raw.setsockopt(*option)
        return cls(stream, dialect)

    @property
    def progress(self) -> Progress:
        """:return: how far the current request has come"""
        return self._progress

    def is_reusable(self) -> bool:
        """:return: whether the idle connection is still open and has no unexpected data to read"""
        poller = poll()
        poller.register(self._stream.extra(SocketAttribute.raw_socket).fileno(), POLLIN)
        return not poller.poll(0)

    def send(
        self,
        tasks: TaskGroup,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        attempt_id: str,
    ) -> None:
        """Start sending a request; the answer may arrive before it is sent completely.

        :param tasks: task group that sends the bytes in the background
        :raises TransferError: when the request is not valid HTTP/1.1
        """
        self._request = Request(method=method, target=target, headers=headers)
        self._attempt_id = attempt_id
        self._progress = Progress.NOT_SENT
        self._is_sent = False
        try:
            head = self._http.send(self._request) or b""
            data = self._http.send(Data(data=body)) or b"" if body else b""
            end = self._http.send(EndOfMessage()) or b""
        except LocalProtocolError as error:
            raise TransferError(self._progress, f"sending the request failed: {error!r}") from error
        self._progress = Progress.SENT
        tasks.start_soon(self._send_all, head + data + end)

    async def read_head(self, on_answer: Callable[[AnswerMetadata], None]) -> Response:
        """Read the head of the answer, skipping answers to other attempts.

        :param on_answer: called with the metadata of each answer, also to another attempt
        :raises TransferError: when the connection breaks or only carries other answers
        """
        for _ in range(MAX_STRAY_ANSWERS):
            response = await self._next(Response)
            metadata = self._dialect.read_answer(list(response.headers))
            self.keep_alive_s = metadata.keep_alive_s
            on_answer(metadata)
            if not self._attempt_id or metadata.attempt_id in ("", self._attempt_id):
                self._progress = Progress.ANSWERING
                return response
            await self._skip_answer()
        raise TransferError(self._progress, "received only answers to other attempts")

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the body of the answer as it arrives.

        :raises TransferError: when the connection breaks before the end of the body
        """
        while True:
            event = await self._next_event()
            if isinstance(event, EndOfMessage):
                return
            if not isinstance(event, Data):
                raise TransferError(self._progress, "the answer ended early")
            yield bytes(event.data)

    async def read_short_body(self) -> bytes | None:
        """Read the body of an answer that is not passed on as it arrives.

        :return: the body, or None if it is too long or too slow, so that the rest stays unread
        :raises TransferError: when the connection breaks before the end of the body
        """
        body = b""
        with move_on_after(SHORT_BODY_TIMEOUT_S):
            async for data in self.read_body():
                body += data
                if len(body) > MAX_SHORT_BODY_BYTES:
                    return None
            return body
        return None

    def prepare_reuse(self) -> bool:
        """Prepare the connection for the next request.

        :return: whether it can be reused
        """
        is_clean = self._is_sent and not self._http.trailing_data[0]
        if not is_clean or self._http.our_state is not DONE or self._http.their_state is not DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def aclose(self) -> None:
        """Close the connection immediately, by which the endpoint sees the request as cancelled."""
        await aclose_forcefully(self._stream)

    async def _send_all(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
            self._is_sent = True
        except TRANSFER_ERRORS as error:
            # The endpoint may have answered before: reading the answer determines the outcome.
            _LOGGER.debug("sending the request failed: %r", error)

    async def _skip_answer(self) -> None:
        skipped = 0
        async for data in self.read_body():
            skipped += len(data)
            if skipped > MAX_STRAY_BYTES:
                raise TransferError(self._progress, "the answer to another attempt is too long")
        # h11 accepts one answer per request. To read another one, replay the request on a new
        # parser without sending it, and feed it the bytes received after the skipped answer.
        rest = self._http.trailing_data[0]
        self._http = Connection(CLIENT)
        self._http.send(self._request)
        if self._http.our_state is not DONE:
            length = _read_length(self._request)
            if length:
                self._http.send(Data(data=bytes(length)))
            self._http.send(EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    async def _next(self, kind: type) -> Response:
        for _ in range(MAX_INFORMATIONAL_HEADS + 1):
            event = await self._next_event()
            if isinstance(event, InformationalResponse):
                continue
            if not isinstance(event, kind):
                raise TransferError(self._progress, "the connection was closed")
            return event
        raise TransferError(self._progress, "received only informational answers")

    async def _next_event(self) -> object:
        try:
            while (event := self._http.next_event()) is NEED_DATA:
                try:
                    data = await self._stream.receive(READ_BYTES)
                except EndOfStream:
                    data = b""
                self._http.receive_data(data)
        except TRANSFER_ERRORS as error:
            raise TransferError(self._progress, f"reading the answer failed: {error!r}") from error
        if isinstance(event, ConnectionClosed):
            raise TransferError(self._progress, "the connection was closed")
        return event


def _read_length(request: Request) -> int:
    for name, value in request.headers:
        if name == b"content-length":
            return int(value)
    return 0
