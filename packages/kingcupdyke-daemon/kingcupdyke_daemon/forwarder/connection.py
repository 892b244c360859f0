"""
kingcupdyke_daemon.forwarder.connection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 client connections to endpoints, which are reused.
"""

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
    Lock,
    aclose_forcefully,
    connect_tcp,
    fail_after,
)
from anyio.abc import SocketAttribute, SocketStream
from anyio.lowlevel import checkpoint
from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
)

from kingcupdyke.error import AnswerFault
from kingcupdyke_wire.sockets import bound_reading

__all__ = [
    "KEEPALIVE_OPTIONS",
    "TRANSFER_ERRORS",
    "EndpointConnection",
    "UNACKNOWLEDGED_TIMEOUT_S",
    "Progress",
    "ReadTurns",
    "TransferError",
]

#: Timeout for establishing a connection.
CONNECT_TIMEOUT_S = 1.0
#: TCP user timeout: a connection is closed when sent bytes stay unacknowledged for longer.
UNACKNOWLEDGED_TIMEOUT_S = 1.5
#: TCP keep-alive: idle time before the first probe, interval between probes, and unanswered probes
#: after which the connection is closed.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Limit of the rejected attempts that are remembered of a connection in use.
MAX_REJECTED_ATTEMPTS = 64
#: Maximum number of bytes read from a socket in one call, before other tasks run.
READ_BYTES = 16_384
#: Maximum number of bytes passed to a socket in one call.
WRITE_BYTES = 65_536
#: Size from which a read is large. Those of events and short answers are smaller.
LARGE_READ_BYTES = 4096
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
    :param is_refused: whether the host has answered that no process listens at the address
    :param fault: what makes the endpoint's bytes no answer, or None if the connection broke
    """

    def __init__(
        self,
        progress: Progress,
        reason: str,
        is_refused: bool = False,
        fault: AnswerFault | None = None,
    ) -> None:
        super().__init__(reason)
        self.progress = progress
        self.reason = reason
        self.is_refused = is_refused
        self.fault = fault


class ReadTurns:
    """Lets the connections to one endpoint pass on large reads one after the other.

    Other tasks run between two of them, so that an endpoint that sends at full speed on many
    connections does not delay what the process does for others.
    """

    def __init__(self) -> None:
        self._lock = Lock()

    async def wait(self) -> None:
        """Wait for the turn of a connection that has read much at once."""
        async with self._lock:
            await checkpoint()


class EndpointConnection:
    """One connection to an endpoint; it carries at most one request at a time.

    :param stream: the open socket
    :param turns: shared by all connections to the endpoint
    """

    def __init__(self, stream: SocketStream, turns: ReadTurns) -> None:
        self._stream = stream
        self._turns = turns
        self._http = Connection(CLIENT)
        #: Whether a request has begun, and the connection has not been prepared for the next one.
        self._is_in_use = False
        self._is_sent = False
        self._has_served = False
        #: Attempts that the endpoint has rejected here. It may write a rejection again, late.
        self.rejected_attempts: set[str] = set()
        #: Whether the endpoint's answers name no attempt, so that it can't be told to which request
        #: a later one belongs.
        self.is_unnamed = False
        #: Time at which the connection became idle, in seconds of the timer service.
        self.idle_since_s = 0.0
        #: Seconds after which the endpoint closes the idle connection, or None if not announced.
        self.keep_alive_s: float | None = None

    @classmethod
    async def open(cls, address: tuple[str, int], turns: ReadTurns) -> "EndpointConnection":
        """Connect to an endpoint.

        :param turns: shared by all connections to the endpoint
        :raises TransferError: when the connection can't be established
        """
        try:
            with fail_after(CONNECT_TIMEOUT_S):
                stream = await connect_tcp(*address)
            # The transport reads and keeps up to 256 KiB otherwise, whatever is asked for.
            bound_reading(stream, READ_BYTES)
            raw = stream.extra(SocketAttribute.raw_socket)
            for option in KEEPALIVE_OPTIONS:
                raw.setsockopt(*option)
        except TimeoutError as error:
            raise TransferError(Progress.NOT_SENT, "connect timed out") from error
        except OSError as error:
            # anyio names the error of the system only as the cause of its own.
            reason = f"connecting failed: {error.__cause__ or error!r}"
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            raise TransferError(Progress.NOT_SENT, reason, is_refused) from error
        return cls(stream, turns)

    def is_reusable(self) -> bool:
        """:return: whether the idle connection is still open and has no unexpected data to read"""
        poller = poll()
        poller.register(self._stream.extra(SocketAttribute.raw_socket).fileno(), POLLIN)
        return not poller.poll(0)

    @property
    def is_first_request(self) -> bool:
        """:return: whether the current request is the first one, which all answers belong to"""
        return not self._has_served

    def begin(self, request: Request, body: bytes) -> list[bytes]:
        """Begin a request.

        :return: what to write; the body is not copied
        :raises TransferError: when another request is in progress, which is not affected
        :raises LocalProtocolError: when the request is not valid HTTP/1.1
        """
        if self._is_in_use:
            raise TransferError(Progress.NOT_SENT, "the connection is in use")
        self._is_in_use = True
        self._is_sent = False
        parts = [self._http.send(request) or b""]
        if body:
            parts += self._http.send_with_data_passthrough(Data(data=body)) or []
        return [*parts, self._http.send(EndOfMessage()) or b""]

    async def write(self, parts: list[bytes]) -> None:
        """Write the current request. Of a large one only a slice is copied at a time.

        :param parts: what :meth:`begin` has returned
        :raises OSError: when the connection breaks, or another of :data:`TRANSFER_ERRORS`
        """
        if sum(len(each) for each in parts) <= WRITE_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            view = memoryview(part)
            for start in range(0, len(part), WRITE_BYTES):
                await self._stream.send(view[start : start + WRITE_BYTES])
        self._is_sent = True

    async def next_event(self) -> object | None:
        """Read the next part of an answer.

        :return: an event of h11, or None at the end of the connection
        :raises OSError: when the connection breaks, or another of :data:`TRANSFER_ERRORS`
        """
        while (event := self._http.next_event()) is NEED_DATA:
            try:
                data = await self._stream.receive(READ_BYTES)
            except EndOfStream:
                data = b""
            if len(data) >= LARGE_READ_BYTES:
                await self._turns.wait()
            self._http.receive_data(data)
        return None if isinstance(event, ConnectionClosed) else event

    def expect_another_answer(self, request: Request) -> None:
        """Read another answer to the current request after a complete one.

        :param request: the current request
        """
        # h11 accepts one answer per request. To read another one, replay the request on a new
        # parser without sending it, and feed it the bytes received after the first answer.
        rest = self._http.trailing_data[0]
        self._http = Connection(CLIENT)
        self._http.send(request)
        if self._http.our_state is not DONE:
            length = _read_length(request)
            if length:
                self._http.send(Data(data=bytes(length)))
            self._http.send(EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    def prepare_reuse(self) -> bool:
        """Prepare the connection for the next request.

        :return: whether it can be reused
        """
        self._has_served = True
        if self.is_unnamed or len(self.rejected_attempts) > MAX_REJECTED_ATTEMPTS:
            return False
        is_clean = self._is_sent and not self._http.trailing_data[0]
        if not is_clean or self._http.our_state is not DONE or self._http.their_state is not DONE:
            return False
        self._http.start_next_cycle()
        self._is_in_use = False
        return True

    async def aclose(self) -> None:
        """Close the connection immediately, by which the endpoint sees the request as cancelled."""
        await aclose_forcefully(self._stream)


def _read_length(request: Request) -> int:
    for name, value in request.headers:
        if name == b"content-length":
            return int(value)
    return 0
