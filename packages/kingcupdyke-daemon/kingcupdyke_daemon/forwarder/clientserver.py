"""
kingcupdyke_daemon.forwarder.clientserver
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Clients' connections: HTTP/1.1 requests in, answers out.
"""

import logging
from collections.abc import Callable
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

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
from kingcupdyke_daemon.forwarder.connection import SILENCE_OPTIONS
from kingcupdyke_daemon.forwarder.dialect import Headers
from kingcupdyke_daemon.forwarder.reply import (
    ClientLeftError,
    ClientRequest,
    Reply,
    RequestHandler,
)
from kingcupdyke_daemon.forwarder.settings import SocketAddress

__all__ = ["ClientServer"]

_LOGGER = logging.getLogger(__name__)
READ_BYTES = 65_536
#: Bytes of further requests that are read while one is answered; beyond them a client's leaving
#: is seen only when the answer is written.
MOST_AHEAD_BYTES = 65_536
#: Bytes of bodies that are held at once, over all connections.
MOST_BODY_BYTES = 64 * 1024 * 1024
#: Seconds for writing the refusal of a request that was not understood.
LAST_WORDS_S = 1.0

CLIENT_GONE = (BrokenResourceError, ClosedResourceError, EndOfStream, OSError)


class _BadRequest(Exception):
    """A request that is refused before it is handled.

    :param status: HTTP status of the refusal
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class ClientServer:
    """Serves the connections of one listener.

    :param handler: answers the requests
    :param get_limits: gives the limits in force
    :param now: gives the time in seconds
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
        #: Whether answers ask clients to close their connections.
        self.is_stopping = False
        self.held_body_bytes = 0
        #: Requests whose head was read and that are not answered yet.
        self.busy = 0
        self._idle: set[_ClientConnection] = set()

    async def listen(self, address: SocketAddress) -> SocketListener:
        """:return: the listener, which :meth:`serve` is called with"""
        listener = await create_tcp_listener(local_host=address.address, local_port=address.port)
        return listener.listeners[0]

    async def serve(self, listener: SocketListener, tasks: TaskGroup) -> None:
        """Serve until cancelled or the listener is closed.

        :param tasks: carries the connections, which outlive the listener
        """
        try:
            await listener.serve(self._serve_connection, tasks)
        except ClosedResourceError:
            _LOGGER.debug("a listener was closed")

    async def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for connection in list(self._idle):
            await connection.aclose()

    def note_idle(self, connection: "_ClientConnection", is_idle: bool) -> None:
        """Note whether a connection waits for a request."""
        if is_idle:
            self._idle.add(connection)
        else:
            self._idle.discard(connection)

    async def _serve_connection(self, stream: SocketStream) -> None:
        connection = _ClientConnection(self, stream)
        try:
            await connection.serve()
        except (ClientLeftError, *CLIENT_GONE) as error:
            _LOGGER.debug("a client's connection ended: %r", error)
        except Exception:
            _LOGGER.exception("a client's connection failed")
        finally:
            self.note_idle(connection, False)
            await connection.aclose()


class _ClientConnection(Reply):
    """One connection of a client, and the answer that is being sent on it."""

    def __init__(self, server: ClientServer, stream: SocketStream) -> None:
        self._server = server
        self._stream = stream
        limits = server.get_limits()
        self._http = Connection(SERVER, max_incomplete_event_size=limits.max_header_bytes)
        self._ahead_bytes = 0
        self._status = 0
        raw = stream.extra(SocketAttribute.raw_socket)
        for option in SILENCE_OPTIONS:
            raw.setsockopt(*option)

    async def serve(self) -> None:
        """Serve requests until the connection is closed."""
        while True:
            try:
                request = await self._read_request()
            except _BadRequest as error:
                await self._refuse_bad(error)
                return
            if request is None:
                return
            await self._handle(request)
            if not self.is_whole:
                self._abort()
                return
            if self._http.our_state is MUST_CLOSE or self._http.their_state is not DONE:
                return
            self._http.start_next_cycle()

    async def aclose(self) -> None:
        """Close the connection."""
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
        self.is_whole = True

    async def _send(self, event: object) -> None:
        data = self._http.send(event)
        if not data:
            return
        try:
            await self._stream.send(data)
        except CLIENT_GONE as error:
            raise ClientLeftError(repr(error)) from error

    async def _handle(self, request: ClientRequest) -> None:
        self.has_begun = False
        self.is_whole = False
        server = self._server
        server.busy += 1
        server.held_body_bytes += len(request.body)
        try:
            async with create_task_group() as tasks:
                tasks.start_soon(self._watch_client, tasks)
                try:
                    await server.handler.handle(request, self)
                except ClientLeftError as error:
                    _LOGGER.debug("the client left: %s", error)
                except LocalProtocolError as error:
                    _LOGGER.warning("an answer broke the protocol: %r", error)
                tasks.cancel_scope.cancel()
        finally:
            server.busy -= 1
            server.held_body_bytes -= len(request.body)

    async def _watch_client(self, tasks: object) -> None:
        """Cancel the request when the client closes its connection."""
        try:
            while self._ahead_bytes < MOST_AHEAD_BYTES:
                data = await self._stream.receive(READ_BYTES)
                self._ahead_bytes += len(data)
                self._http.receive_data(data)
        except CLIENT_GONE:
            tasks.cancel_scope.cancel()
        except RemoteProtocolError as error:
            _LOGGER.debug("a request ahead is malformed: %r", error)

    async def _read_request(self) -> ClientRequest | None:
        """:return: the next request, or None when the client has closed the connection"""
        limits = self._server.get_limits()
        self._ahead_bytes = 0
        head = await self._read_head(limits)
        if head is None:
            return None
        self._server.busy += 1
        try:
            arrived_s = self._server.now()
            _check_head(head, limits)
            body = await self._read_body(limits)
        finally:
            self._server.busy -= 1
        return ClientRequest(head.method, head.target, list(head.headers), body, arrived_s)

    async def _read_head(self, limits: ClientLimits) -> Request | None:
        self._server.note_idle(self, True)
        limit_s = limits.idle_timeout_s
        try:
            if self._http.trailing_data[0]:
                limit_s = limits.header_timeout_s
            event = await self._next_event(limit_s, limits.header_timeout_s)
        except TimeoutError:
            return None
        finally:
            self._server.note_idle(self, False)
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
                raise _BadRequest(408, "the body did not come in time") from None
            if isinstance(event, EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, Data):
                raise _BadRequest(400, "the body ended early")
            size += len(event.data)
            if size > limits.max_body_bytes:
                raise _BadRequest(413, "the body is too large")
            if size + self._server.held_body_bytes > MOST_BODY_BYTES:
                raise _BadRequest(503, "too many bodies are held")
            parts.append(bytes(event.data))

    async def _next_event(self, first_s: float, rest_s: float) -> object:
        """Read until an event is whole.

        :param first_s: seconds for the first bytes
        :param rest_s: seconds for all further ones together
        :raises TimeoutError: when it does not come in time
        """
        try:
            event = self._http.next_event()
            if event is not NEED_DATA and event is not PAUSED:
                return event
            with fail_after(first_s):
                await self._receive()
            with fail_after(rest_s):
                while (event := self._http.next_event()) is NEED_DATA:
                    await self._receive()
            return event
        except RemoteProtocolError as error:
            raise _BadRequest(error.error_status_hint, str(error)) from error

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive(READ_BYTES)
        except EndOfStream:
            data = b""
        self._http.receive_data(data)

    async def _refuse_bad(self, error: _BadRequest) -> None:
        _LOGGER.info("refused a request: %s %s", error.status, error.reason)
        if self._http.our_state not in (IDLE, SEND_RESPONSE):
            return
        try:
            with fail_after(LAST_WORDS_S):
                await self.refuse(error.status, error.reason, [(b"connection", b"close")])
                await self._stream.send_eof()
                # Unread bytes would turn the close into a reset that overtakes the refusal.
                while True:
                    await self._stream.receive(READ_BYTES)
        except (ClientLeftError, LocalProtocolError, TimeoutError, *CLIENT_GONE) as problem:
            _LOGGER.debug("a refusal could not be written: %r", problem)

    def _abort(self) -> None:
        """Reset the connection, so that an answer that broke off does not look complete."""
        raw = self._stream.extra(SocketAttribute.raw_socket)
        try:
            raw.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        except OSError as error:
            _LOGGER.debug("a connection was gone before it was reset: %r", error)


def _check_head(head: Request, limits: ClientLimits) -> None:
    """:raises _BadRequest: when the framing is not clear or the body is too large"""
    names = [name for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise _BadRequest(400, "a length and a transfer encoding")
    for name, value in head.headers:
        if name == b"content-length" and int(value) > limits.max_body_bytes:
            raise _BadRequest(413, "the body is too large")
