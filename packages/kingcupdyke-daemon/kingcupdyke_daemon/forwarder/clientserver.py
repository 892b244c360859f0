"""
kingcupdyke_daemon.forwarder.clientserver
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Serves the HTTP/1.1 connections of clients.
"""

import logging
import re
from collections.abc import Callable

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    aclose_forcefully,
    create_task_group,
    create_tcp_listener,
    fail_after,
)
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup
from h11 import (
    DONE,
    IDLE,
    MUST_CLOSE,
    NEED_DATA,
    PAUSED,
    SEND_RESPONSE,
    SERVER,
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

from kingcupdyke.forwarding.configuration import ClientLimits
from kingcupdyke_daemon.forwarder.connection import KEEPALIVE_OPTIONS
from kingcupdyke_daemon.forwarder.dialect import Headers
from kingcupdyke_daemon.forwarder.reply import (
    ClientDisconnectedError,
    ClientRequest,
    Reply,
    RequestHandler,
)
from kingcupdyke_daemon.forwarder.settings import SocketAddress
from kingcupdyke_wire.sockets import reset

__all__ = ["ClientServer"]

_LOGGER = logging.getLogger(__name__)
#: Maximum number of bytes read from a socket in one call.
READ_BYTES = 65_536
#: Bytes of pipelined requests that are read while a request is being answered. Once this limit is
#: reached, a disconnect of the client is noticed only when the answer is written.
MAX_PIPELINED_BYTES = 65_536
#: Limit on the bytes of request bodies that are held in memory, over all connections.
MAX_HELD_BODY_BYTES = 64 * 1024 * 1024
#: Timeout for writing the rejection of a request that does not reach the handler.
REJECTION_TIMEOUT_S = 1.0
#: Line of a request in an error of h11, which quotes it as bytes.
QUOTED_LINE = re.compile(r":? (bytearray\()?b['\"].*", re.DOTALL)

#: Raised by a socket whose client has disconnected.
DISCONNECT_ERRORS = (BrokenResourceError, ClosedResourceError, EndOfStream, OSError)


class _RejectedRequest(Exception):
    """A request that is rejected before it reaches the handler.

    :param status: HTTP status of the rejection
    :param reason: error message of the rejection
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class ClientServer:
    """Serves the connections of one listener.

    :param handler: answers the requests
    :param get_limits: returns the limits in force
    :param now: returns the time in seconds
    """

    def __init__(
        self,
        handler: RequestHandler,
        get_limits: Callable[[], ClientLimits],
        now: Callable[[], float],
    ) -> None:
        self.handler = handler
        self.get_limits = get_limits
        self.now = now
        #: Whether answers carry ``Connection: close``.
        self.is_stopping = False
        #: Bytes of the bodies of requests in progress, over all connections.
        self.held_body_bytes = 0
        #: Number of requests in progress: the head was read, the answer is not finished.
        self.in_progress = 0
        self._idle: set[_ClientConnection] = set()

    async def listen(self, address: SocketAddress) -> SocketListener:
        """:return: a listener for :meth:`serve`"""
        listener = await create_tcp_listener(local_host=address.address, local_port=address.port)
        return listener.listeners[0]

    async def serve(self, listener: SocketListener, tasks: TaskGroup) -> None:
        """Serve until cancelled or the listener is closed.

        :param tasks: task group that runs the connections, which outlive the listener
        """
        try:
            await listener.serve(self._serve_connection, tasks)
        except ClosedResourceError:
            _LOGGER.debug("the listener was closed")

    async def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self._idle):
            await connection.aclose()

    def set_idle(self, connection: "_ClientConnection", is_idle: bool) -> None:
        """Record whether a connection is waiting for a request."""
        if is_idle:
            self._idle.add(connection)
        else:
            self._idle.discard(connection)

    async def _serve_connection(self, stream: SocketStream) -> None:
        connection = _ClientConnection(self, stream)
        try:
            await connection.serve()
        except (ClientDisconnectedError, *DISCONNECT_ERRORS) as error:
            _LOGGER.debug("the client disconnected: %r", error)
        except Exception:
            _LOGGER.exception("unhandled error on a client's connection")
        finally:
            self.set_idle(connection, False)
            await connection.aclose()


class _ClientConnection(Reply):
    """One connection of a client, and the reply to its current request."""

    def __init__(self, server: ClientServer, stream: SocketStream) -> None:
        self._server = server
        self._stream = stream
        limits = server.get_limits()
        self._http = Connection(SERVER, max_incomplete_event_size=limits.max_header_bytes)
        self._pipelined_bytes = 0
        self._status = 0
        #: Whether a request has reached the handler and its answer is not complete.
        self._is_answering = False
        raw = stream.extra(SocketAttribute.raw_socket)
        for option in KEEPALIVE_OPTIONS:
            raw.setsockopt(*option)

    async def serve(self) -> None:
        """Serve requests until the connection is closed."""
        while True:
            try:
                request = await self._read_request()
            except _RejectedRequest as error:
                await self._send_rejection(error)
                return
            if request is None:
                return
            await self._handle(request)
            if not self.is_complete:
                return
            if self._http.our_state is MUST_CLOSE or self._http.their_state is not DONE:
                return
            self._http.start_next_cycle()

    async def aclose(self) -> None:
        """Close the connection; with an incomplete answer, it is reset."""
        if self._is_answering:
            reset(self._stream)
        await aclose_forcefully(self._stream)

    async def begin(self, status: int, headers: Headers) -> None:
        if self._server.is_stopping:
            headers = [*headers, (b"connection", b"close")]
        self.has_begun = True
        self._status = status
        await self._send(Response(status_code=status, headers=headers, reason=b""))

    async def write(self, data: bytes) -> None:
        await self._send(Data(data=data))

    async def end(self) -> None:
        await self._send(EndOfMessage())
        self.is_complete = True
        self._is_answering = False

    async def _send(self, event: object) -> None:
        data = self._http.send(event)
        if not data:
            return
        try:
            await self._stream.send(data)
        except DISCONNECT_ERRORS as error:
            raise ClientDisconnectedError(repr(error)) from error

    async def _handle(self, request: ClientRequest) -> None:
        self.has_begun = False
        self.is_complete = False
        self._is_answering = True
        server = self._server
        server.in_progress += 1
        server.held_body_bytes += len(request.body)
        try:
            async with create_task_group() as tasks:
                tasks.start_soon(self._watch_for_disconnect, tasks)
                try:
                    await server.handler.handle(request, self)
                except ClientDisconnectedError as error:
                    _LOGGER.debug("the client disconnected: %s", error)
                except LocalProtocolError as error:
                    _LOGGER.warning("the handler's answer violates HTTP/1.1: %r", error)
                tasks.cancel_scope.cancel()
        finally:
            server.in_progress -= 1
            server.held_body_bytes -= len(request.body)

    async def _watch_for_disconnect(self, tasks: object) -> None:
        """Cancel the request when the client disconnects."""
        try:
            while self._pipelined_bytes < MAX_PIPELINED_BYTES:
                data = await self._stream.receive(READ_BYTES)
                self._pipelined_bytes += len(data)
                self._http.receive_data(data)
        except DISCONNECT_ERRORS:
            tasks.cancel_scope.cancel()
        except RemoteProtocolError as error:
            _LOGGER.debug("a pipelined request is malformed: %s", _describe(error))

    async def _read_request(self) -> ClientRequest | None:
        """:return: the next request, or None if the client disconnected or sent none in time"""
        limits = self._server.get_limits()
        self._pipelined_bytes = 0
        head = await self._read_head(limits)
        if head is None:
            return None
        self._server.in_progress += 1
        try:
            arrived_s = self._server.now()
            _check_head(head, limits)
            body = await self._read_body(limits)
        finally:
            self._server.in_progress -= 1
        return ClientRequest(head.method, head.target, list(head.headers), body, arrived_s)

    async def _read_head(self, limits: ClientLimits) -> Request | None:
        self._server.set_idle(self, True)
        first_timeout_s = limits.idle_timeout_s
        try:
            if self._http.trailing_data[0]:
                first_timeout_s = limits.header_timeout_s
            event = await self._next_event(first_timeout_s, limits.header_timeout_s)
        except TimeoutError:
            return None
        finally:
            self._server.set_idle(self, False)
        if isinstance(event, ConnectionClosed):
            return None
        return event

    async def _read_body(self, limits: ClientLimits) -> bytes:
        parts: list[bytes] = []
        size = 0
        if self._http.they_are_waiting_for_100_continue:
            await self._send(InformationalResponse(status_code=100, headers=[]))
        while True:
            try:
                event = await self._next_event(limits.idle_timeout_s, limits.idle_timeout_s)
            except TimeoutError:
                raise _RejectedRequest(408, "timeout while reading the request body") from None
            if isinstance(event, EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, Data):
                raise _RejectedRequest(400, "the request body ended early")
            size += len(event.data)
            if size > limits.max_body_bytes:
                raise _RejectedRequest(413, "the request body is too large")
            if size + self._server.held_body_bytes > MAX_HELD_BODY_BYTES:
                raise _RejectedRequest(503, "the gateway holds too many request bodies")
            parts.append(bytes(event.data))

    async def _next_event(self, first_timeout_s: float, rest_timeout_s: float) -> object:
        """Read until the next HTTP event is complete.

        :param first_timeout_s: timeout for the first read
        :param rest_timeout_s: timeout for all further reads together
        :raises TimeoutError: when a timeout expires
        """
        try:
            event = self._http.next_event()
            if event is not NEED_DATA and event is not PAUSED:
                return event
            with fail_after(first_timeout_s):
                await self._receive()
            with fail_after(rest_timeout_s):
                while (event := self._http.next_event()) is NEED_DATA:
                    await self._receive()
            return event
        except RemoteProtocolError as error:
            raise _RejectedRequest(error.error_status_hint, _describe(error)) from None

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive(READ_BYTES)
        except EndOfStream:
            data = b""
        self._http.receive_data(data)

    async def _send_rejection(self, error: _RejectedRequest) -> None:
        _LOGGER.info("rejected a request: %s %s", error.status, error.reason)
        if self._http.our_state not in (IDLE, SEND_RESPONSE):
            return
        try:
            with fail_after(REJECTION_TIMEOUT_S):
                await self.reject(error.status, error.reason, [(b"connection", b"close")])
                await self._stream.send_eof()
                # Closing a socket with unread bytes sends a reset, which can discard the rejection
                # before the client has read it.
                while True:
                    await self._stream.receive(READ_BYTES)
        except (
            ClientDisconnectedError,
            LocalProtocolError,
            TimeoutError,
            *DISCONNECT_ERRORS,
        ) as problem:
            _LOGGER.debug("the rejection could not be written: %r", problem)


def _describe(error: RemoteProtocolError) -> str:
    """:return: the error without the line that it quotes, which may contain a caller's key"""
    return QUOTED_LINE.sub("", str(error))


def _check_head(head: Request, limits: ClientLimits) -> None:
    """:raises _RejectedRequest: when the framing is ambiguous or the body is too large"""
    names = [name for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise _RejectedRequest(400, "both content-length and transfer-encoding are given")
    for name, value in head.headers:
        if name == b"content-length" and int(value) > limits.max_body_bytes:
            raise _RejectedRequest(413, "the request body is too large")
