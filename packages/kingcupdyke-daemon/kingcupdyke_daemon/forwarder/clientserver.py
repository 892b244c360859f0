"""
kingcupdyke_daemon.forwarder.clientserver
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Serves the HTTP/1.1 connections of clients.
"""

import logging
from collections.abc import Callable
from socket import IPPROTO_TCP, TCP_NOTSENT_LOWAT

from anyio import (
    ClosedResourceError,
    EndOfStream,
    aclose_forcefully,
    create_task_group,
    create_tcp_listener,
    fail_after,
    sleep,
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
from kingcupdyke_daemon.forwarder.answerbuffer import (
    DISCONNECT_ERRORS,
    AnswerBuffer,
    AnswerMemory,
)
from kingcupdyke_daemon.forwarder.connection import KEEPALIVE_OPTIONS, UNACKNOWLEDGED_TIMEOUT_S
from kingcupdyke_daemon.forwarder.dialect import Headers
from kingcupdyke_daemon.forwarder.reply import (
    ClientDisconnectedError,
    ClientRequest,
    Reply,
    RequestHandler,
)
from kingcupdyke_daemon.forwarder.requestcheck import (
    RejectedRequest,
    check_head,
    describe_protocol_error,
    find_length,
)
from kingcupdyke_daemon.forwarder.settings import SocketAddress
from kingcupdyke_daemon.taskerrors import TaskErrors
from kingcupdyke_wire.sockets import bound_reading, reset, set_unacknowledged_timeout

__all__ = ["ClientServer"]

_LOGGER = logging.getLogger(__name__)
#: Maximum number of bytes read from a socket in one call.
READ_BYTES = 16_384
#: Limit of the bytes of pipelined requests that are held. Once it is reached, nothing more is read,
#: and a disconnect of the client is noticed only when an answer is written.
MAX_PIPELINED_BYTES = 16_384
#: Bytes that the kernel accepts beyond those that the client can receive now. It bounds the memory
#: that the kernel uses for slow clients, which the memory budget does not count.
MAX_KERNEL_UNSENT_BYTES = 65_536
#: TCP user timeout while an answer is sent. The kernel applies it to a closed window too, so that a
#: shorter one ends the connections of slow clients.
ANSWER_UNACKNOWLEDGED_TIMEOUT_S = 10.0
#: Retry-After of a request whose body does not fit into the memory budget.
NO_MEMORY_RETRY_S = 0.5
#: Status of the answer to a request that an unexpected error has ended.
STATUS_INTERNAL_ERROR = 500
#: Delay before the next connection is accepted after that has failed.
ACCEPT_RETRY_S = 0.1
#: Timeout for writing the rejection of a request that does not reach the handler.
REJECTION_TIMEOUT_S = 1.0


class ClientServer:
    """Serves the connections of one listener.

    :param handler: answers the requests
    :param get_limits: returns the limits in force
    :param now: returns the time in seconds
    :param memory: bounds the bytes held for slow clients and of request bodies
    :param errors: logs and counts errors of connections
    """

    def __init__(
        self,
        handler: RequestHandler,
        get_limits: Callable[[], ClientLimits],
        now: Callable[[], float],
        memory: AnswerMemory,
        errors: TaskErrors,
    ) -> None:
        self.handler = handler
        self._errors = errors
        self.get_limits = get_limits
        self.now = now
        self.memory = memory
        #: Whether answers carry ``Connection: close``.
        self.is_stopping = False
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
        while True:
            try:
                stream = await listener.accept()
            except ClosedResourceError:
                _LOGGER.debug("the listener was closed")
                return
            except OSError as error:
                # As with no free descriptor: the connections wait in the kernel meanwhile.
                self._errors.note("accept", error)
                await sleep(ACCEPT_RETRY_S)
                continue
            tasks.start_soon(self._serve_connection, stream)

    async def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self._idle):
            await connection.aclose()

    def note_error(self, error: Exception) -> None:
        """Log and count an unexpected error of one connection."""
        self._errors.note("client connection", error)

    def set_idle(self, connection: "_ClientConnection", is_idle: bool) -> None:
        """Record whether a connection is waiting for a request."""
        if is_idle:
            self._idle.add(connection)
        else:
            self._idle.discard(connection)

    async def _serve_connection(self, stream: SocketStream) -> None:
        try:
            connection = _ClientConnection(self, stream)
        except OSError as error:
            _LOGGER.debug("the client disconnected at once: %r", error)
            await aclose_forcefully(stream)
            return
        try:
            await connection.serve()
        except (ClientDisconnectedError, *DISCONNECT_ERRORS) as error:
            _LOGGER.debug("the client disconnected: %r", error)
        except Exception as error:
            self.note_error(error)
        finally:
            self.set_idle(connection, False)
            await connection.aclose()


class _ClientConnection(Reply):
    """One connection of a client, and the reply to its current request."""

    def __init__(self, server: ClientServer, stream: SocketStream) -> None:
        self._server = server
        self._stream = stream
        bound_reading(stream, READ_BYTES)
        limits = server.get_limits()
        self._http = Connection(SERVER, max_incomplete_event_size=limits.max_header_bytes)
        self._status = 0
        #: Whether a request has reached the handler and its answer is not complete.
        self._is_answering = False
        #: Writes the answer to the request in progress.
        self._buffer: AnswerBuffer | None = None
        raw = stream.extra(SocketAttribute.raw_socket)
        for option in KEEPALIVE_OPTIONS:
            raw.setsockopt(*option)
        raw.setsockopt(IPPROTO_TCP, TCP_NOTSENT_LOWAT, MAX_KERNEL_UNSENT_BYTES)

    async def serve(self) -> None:
        """Serve requests until the connection is closed."""
        while True:
            try:
                request = await self._read_request()
            except RejectedRequest as error:
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
        set_unacknowledged_timeout(self._stream, ANSWER_UNACKNOWLEDGED_TIMEOUT_S)
        await self._send(Response(status_code=status, headers=headers, reason=b""))

    async def write(self, data: bytes) -> None:
        await self._send(Data(data=data))

    async def end(self) -> None:
        await self._send(EndOfMessage())
        if self._buffer is not None:
            await self._buffer.drain()
        set_unacknowledged_timeout(self._stream, UNACKNOWLEDGED_TIMEOUT_S)
        self.is_complete = True
        self._is_answering = False

    async def _send(self, event: object) -> None:
        data = self._http.send(event)
        if not data:
            return
        write = self._stream.send if self._buffer is None else self._buffer.write
        try:
            await write(data)
        except DISCONNECT_ERRORS as error:
            raise ClientDisconnectedError(repr(error)) from error

    async def _handle(self, request: ClientRequest) -> None:
        self.has_begun = False
        self.is_complete = False
        self.attempt_id = ""
        self._is_answering = True
        server = self._server
        server.in_progress += 1
        try:
            async with create_task_group() as tasks:
                self._buffer = AnswerBuffer(self, self._stream, tasks, server.memory)
                tasks.start_soon(self._watch_for_disconnect, tasks)
                try:
                    await server.handler.handle(request, self)
                except ClientDisconnectedError as error:
                    _LOGGER.debug("the client disconnected: %s", error)
                except LocalProtocolError as error:
                    _LOGGER.warning("the handler's answer violates HTTP/1.1: %r", error)
                except Exception as error:
                    server.note_error(error)
                    await self._answer_error()
                tasks.cancel_scope.cancel()
        finally:
            server.in_progress -= 1
            self._buffer.close()
            self._buffer = None
            server.memory.budget.release_body(len(request.body))

    async def _answer_error(self) -> None:
        """Answer a request that an unexpected error has ended; it may have run."""
        if self.has_begun:
            return
        try:
            await self.reject(STATUS_INTERNAL_ERROR, "internal error", [(b"connection", b"close")])
        except (ClientDisconnectedError, LocalProtocolError) as error:
            _LOGGER.debug("the answer could not be written: %r", error)

    async def _watch_for_disconnect(self, tasks: object) -> None:
        """Cancel the request when the client disconnects."""
        try:
            # Counted is all that is held, as a pipelined request before this one has left it.
            while len(self._http.trailing_data[0]) < MAX_PIPELINED_BYTES:
                self._http.receive_data(await self._stream.receive(READ_BYTES))
        except DISCONNECT_ERRORS:
            tasks.cancel_scope.cancel()
        except RemoteProtocolError as error:
            _LOGGER.debug("a pipelined request is malformed: %s", describe_protocol_error(error))

    async def _read_request(self) -> ClientRequest | None:
        """:return: the next request, or None if the client disconnected or sent none in time"""
        limits = self._server.get_limits()
        head = await self._read_head(limits)
        if head is None:
            return None
        self._server.in_progress += 1
        try:
            arrived_s = self._server.now()
            check_head(head, limits)
            body = await self._read_body(head, limits)
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

    async def _read_body(self, head: Request, limits: ClientLimits) -> bytes:
        """:return: the body, which counts toward the memory budget until the request has ended"""
        budget = self._server.memory.budget
        # A declared length is taken at once: a body that was begun is not rejected for memory.
        taken = find_length(head)
        if not budget.take_body(taken):
            raise self._make_memory_rejection(head)
        parts: list[bytes] = []
        size = 0
        is_read = False
        try:
            if self._http.they_are_waiting_for_100_continue:
                await self._send(InformationalResponse(status_code=100, headers=[]))
            while (data := await self._read_body_part(limits)) is not None:
                size += len(data)
                if size > limits.max_body_bytes:
                    raise RejectedRequest(413, "the request body is too large")
                if size > taken:
                    if not budget.take_body(size - taken):
                        raise self._make_memory_rejection(head)
                    taken = size
                parts.append(data)
            is_read = True
        finally:
            if not is_read:
                budget.release_body(taken)
        return b"".join(parts)

    async def _read_body_part(self, limits: ClientLimits) -> bytes | None:
        """:return: the next part of the body, or None at its end"""
        try:
            event = await self._next_event(limits.idle_timeout_s, limits.idle_timeout_s)
        except TimeoutError:
            raise RejectedRequest(408, "timeout while reading the request body") from None
        if isinstance(event, EndOfMessage):
            return None
        if not isinstance(event, Data):
            raise RejectedRequest(400, "the request body ended early")
        return bytes(event.data)

    def _make_memory_rejection(self, head: Request) -> RejectedRequest:
        headers = self._server.handler.write_rejection(list(head.headers), NO_MEMORY_RETRY_S)
        return RejectedRequest(503, "the gateway holds too many bytes of requests", headers)

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
            raise RejectedRequest(error.error_status_hint, describe_protocol_error(error)) from None

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive(READ_BYTES)
        except EndOfStream:
            data = b""
        self._http.receive_data(data)

    async def _send_rejection(self, error: RejectedRequest) -> None:
        _LOGGER.info("rejected a request: %s %s", error.status, error.reason)
        if self._http.our_state not in (IDLE, SEND_RESPONSE):
            return
        try:
            with fail_after(REJECTION_TIMEOUT_S):
                headers = [*error.headers, (b"connection", b"close")]
                await self.reject(error.status, error.reason, headers)
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
