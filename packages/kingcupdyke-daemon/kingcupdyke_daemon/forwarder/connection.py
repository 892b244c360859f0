"""
kingcupdyke_daemon.forwarder.connection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 connections to endpoints, kept for further requests.
"""

import logging
from collections.abc import AsyncIterator
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

from kingcupdyke_daemon.forwarder.dialect import Dialect, Headers

__all__ = ["EndpointConnection", "Progress", "SILENCE_OPTIONS", "TransferError"]

_LOGGER = logging.getLogger(__name__)
#: Seconds in which a connection must be open.
CONNECT_S = 1.0
#: Seconds without an acknowledgement of sent bytes after which a connection is given up.
UNACKNOWLEDGED_S = 1.5
#: Seconds of silence before the system probes a connection, between probes, and how many.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 2
#: Most bytes read at once.
READ_BYTES = 65_536
#: Answers to other requests that are skipped before a connection is given up.
MOST_STRAY_ANSWERS = 3

#: Socket options by which a connection to a silent peer breaks within seconds.
SILENCE_OPTIONS = (
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_KEEPIDLE, PROBE_AFTER_S),
    (IPPROTO_TCP, TCP_KEEPINTVL, PROBE_EVERY_S),
    (IPPROTO_TCP, TCP_KEEPCNT, PROBES),
    (IPPROTO_TCP, TCP_USER_TIMEOUT, round(UNACKNOWLEDGED_S * 1000)),
)

#: What a broken socket or a peer that breaks the protocol raises.
TRANSFER_ERRORS = (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    LocalProtocolError,
    RemoteProtocolError,
    OSError,
)


class Progress(IntEnum):
    """How far a request came on a connection."""

    #: No byte of it was sent.
    NOT_SENT = 0
    #: Bytes of it were sent, and no byte of its answer came.
    SENT = 1
    #: A part of its answer came.
    ANSWERING = 2


class TransferError(Exception):
    """A request's transfer broke.

    :param progress: how far it came
    :param reason: what broke
    """

    def __init__(self, progress: Progress, reason: str) -> None:
        super().__init__(reason)
        self.progress = progress
        self.reason = reason


class EndpointConnection:
    """One connection to an endpoint, with at most one request on it at a time.

    :param stream: the open socket
    :param dialect: reads the id of the attempt that an answer is for
    """

    def __init__(self, stream: SocketStream, dialect: Dialect) -> None:
        self._stream = stream
        self._dialect = dialect
        self._http = Connection(CLIENT)
        self._request: Request | None = None
        self._attempt_id = ""
        self._progress = Progress.NOT_SENT
        self._is_sent = False
        #: Time from which it is idle, in seconds of the timer service.
        self.idle_since_s = 0.0
        #: Seconds that the endpoint keeps it when idle, or None where it does not say.
        self.keep_alive_s: float | None = None

    @classmethod
    async def open(cls, address: tuple[str, int], dialect: Dialect) -> "EndpointConnection":
        """Connect.

        :raises TransferError: when no connection can be made
        """
        try:
            with fail_after(CONNECT_S):
                stream = await connect_tcp(*address)
        except (OSError, TimeoutError) as error:
            raise TransferError(Progress.NOT_SENT, str(error) or "connect timed out") from error
        raw = stream.extra(SocketAttribute.raw_socket)
        for option in SILENCE_OPTIONS:
            raw.setsockopt(*option)
        return cls(stream, dialect)

    @property
    def progress(self) -> Progress:
        """:return: how far the present request came"""
        return self._progress

    def is_quiet(self) -> bool:
        """:return: whether an idle connection is open and no unasked bytes have come on it"""
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
        """Begin to send a request; its answer may come before all of it is sent.

        :param tasks: carries the sending
        :raises TransferError: when the request can't be written in the protocol
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
            raise TransferError(self._progress, f"writing: {error!r}") from error
        self._progress = Progress.SENT
        tasks.start_soon(self._send_all, head + data + end)

    async def read_head(self) -> Response:
        """Read the head of the answer; answers to other attempts are skipped.

        :raises TransferError: when the connection breaks or carries something else
        """
        for _ in range(MOST_STRAY_ANSWERS):
            response = await self._next(Response)
            terms = self._dialect.read_answer(list(response.headers))
            self.keep_alive_s = terms.keep_alive_s
            if not self._attempt_id or terms.attempt_id in ("", self._attempt_id):
                self._progress = Progress.ANSWERING
                return response
            await self._skip_answer()
        raise TransferError(self._progress, "answers to other attempts")

    async def read_body(self) -> AsyncIterator[bytes]:
        """Read the answer's body part by part.

        :raises TransferError: when the connection breaks before its end
        """
        while True:
            event = await self._next_event()
            if isinstance(event, EndOfMessage):
                return
            if not isinstance(event, Data):
                raise TransferError(self._progress, "the answer ended early")
            yield bytes(event.data)

    def renew(self) -> bool:
        """Make ready for the next request.

        :return: whether the connection can take one
        """
        is_clean = self._is_sent and not self._http.trailing_data[0]
        if not is_clean or self._http.our_state is not DONE or self._http.their_state is not DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def aclose(self) -> None:
        """Close the connection at once; the endpoint sees the request as given up."""
        await aclose_forcefully(self._stream)

    async def _send_all(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
            self._is_sent = True
        except TRANSFER_ERRORS as error:
            # An answer may have come before; reading it says how the request ended.
            _LOGGER.debug("sending a request broke: %r", error)

    async def _skip_answer(self) -> None:
        async for _ in self.read_body():
            pass
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
        while True:
            event = await self._next_event()
            if isinstance(event, InformationalResponse):
                continue
            if not isinstance(event, kind):
                raise TransferError(self._progress, "the connection was closed")
            return event

    async def _next_event(self) -> object:
        try:
            while (event := self._http.next_event()) is NEED_DATA:
                try:
                    data = await self._stream.receive(READ_BYTES)
                except EndOfStream:
                    data = b""
                self._http.receive_data(data)
        except TRANSFER_ERRORS as error:
            raise TransferError(self._progress, f"reading: {error!r}") from error
        if isinstance(event, ConnectionClosed):
            raise TransferError(self._progress, "the connection was closed")
        return event


def _read_length(request: Request) -> int:
    for name, value in request.headers:
        if name == b"content-length":
            return int(value)
    return 0
