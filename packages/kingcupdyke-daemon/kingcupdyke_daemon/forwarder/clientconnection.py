"""
kingcupdyke_daemon.forwarder.clientconnection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One HTTP/1.1 connection of a client.
"""

import logging
from collections.abc import Callable
from math import inf
from socket import IPPROTO_TCP, TCP_NOTSENT_LOWAT

from anyio import CancelScope, aclose_forcefully, create_task_group, fail_after
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from h11 import (
    DONE,
    IDLE,
    MUST_CLOSE,
    SEND_RESPONSE,
    SERVER,
    Connection,
    Data,
    EndOfMessage,
    InformationalResponse,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)

from kingcupdyke.answer import is_final_status
from kingcupdyke.forwarding.configuration import ClientLimits
from kingcupdyke.forwarding.incomingbodies import IncomingBodies
from kingcupdyke_daemon.clientconnections import (
    BoundedConnection,
    ClientConnections,
    ConnectionState,
)
from kingcupdyke_daemon.forwarder.answerbuffer import (
    DISCONNECT_ERRORS,
    AnswerBuffer,
    AnswerMemory,
)
from kingcupdyke_daemon.forwarder.clientlog import ClientLog
from kingcupdyke_daemon.forwarder.connection import (
    KEEPALIVE_OPTIONS,
    UNACKNOWLEDGED_TIMEOUT_S,
    ReadTurns,
)
from kingcupdyke_daemon.forwarder.dialect import Headers
from kingcupdyke_daemon.forwarder.reply import (
    ClientDisconnectedError,
    ClientRequest,
    Reply,
    RequestHandler,
)
from kingcupdyke_daemon.forwarder.requestcheck import (
    RejectedRequest,
    describe_protocol_error,
    has_body,
)
from kingcupdyke_daemon.forwarder.requestreader import READ_BYTES, NoMemoryError, RequestReader
from kingcupdyke_daemon.looptimes import ArrivalTimes
from kingcupdyke_wire.sockets import bound_reading, reset, set_unacknowledged_timeout

__all__ = ["ClientConnection", "ConnectionContext"]

_LOGGER = logging.getLogger(__name__)
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
#: Timeout for writing an interim answer, or the rejection of a request that does not reach the
#: handler, and for reading what its client still sends.
REJECTION_TIMEOUT_S = 1.0


class ConnectionContext:
    """What the connections of one listener share.

    :param handler: answers the requests
    :param get_limits: returns the limits in force
    :param now: returns the time in seconds
    :param memory: bounds the bytes held for slow clients and of request bodies
    :param bodies: all request bodies that the process receives
    :param connections: the open connections
    :param log: logs and counts what is not served
    :param note_error: called with an unexpected error of one connection
    """

    def __init__(
        self,
        handler: RequestHandler,
        get_limits: Callable[[], ClientLimits],
        now: Callable[[], float],
        memory: AnswerMemory,
        bodies: IncomingBodies,
        connections: ClientConnections,
        log: ClientLog,
        note_error: Callable[[Exception], None],
    ) -> None:
        self.handler = handler
        self.get_limits = get_limits
        self.now = now
        self.memory = memory
        self.bodies = bodies
        self.connections = connections
        self.log = log
        self.note_error = note_error
        #: Lets the connections take turns that send bodies in small parts.
        self.turns = ReadTurns()
        #: Whether answers carry ``Connection: close``.
        self.is_stopping = False
        #: Number of requests in progress: the head was read, the answer is not finished.
        self.in_progress = 0


class ClientConnection(Reply, BoundedConnection):
    """One connection of a client, and the reply to its current request.

    :param context: shared by the connections of the listener
    :param stream: the accepted connection
    :param arrivals: bounds when its bytes arrived
    :raises OSError: when the client has disconnected
    """

    def __init__(
        self, context: ConnectionContext, stream: SocketStream, arrivals: ArrivalTimes
    ) -> None:
        self._context = context
        self._stream = stream
        bound_reading(stream, READ_BYTES)
        limits = context.get_limits()
        self._http = Connection(SERVER, max_incomplete_event_size=limits.max_header_bytes)
        self._reader = RequestReader(
            stream, self._http, context.bodies, context.turns, context.now, arrivals
        )
        self._status = 0
        #: Whether a request has reached the handler and its answer is not complete.
        self._is_answering = False
        #: Writes the answer to the request in progress.
        self._buffer: AnswerBuffer | None = None
        self._scope = CancelScope()
        raw = stream.extra(SocketAttribute.raw_socket)
        for option in KEEPALIVE_OPTIONS:
            raw.setsockopt(*option)
        raw.setsockopt(IPPROTO_TCP, TCP_NOTSENT_LOWAT, MAX_KERNEL_UNSENT_BYTES)

    async def serve(self) -> None:
        """Serve requests until the connection is closed."""
        with self._scope:
            while await self._serve_request():
                self._reader.end_request()
                self._http.start_next_cycle()

    async def _serve_request(self) -> bool:
        """:return: whether the connection can be used for another request"""
        try:
            request = await self._read_request()
        except RejectedRequest as error:
            await self._send_rejection(error)
            return False
        if request is None:
            return False
        await self._handle(request)
        if not self.is_complete or self._http.our_state is MUST_CLOSE:
            return False
        return self._http.their_state is DONE

    def abort(self) -> None:
        self._scope.cancel()

    async def aclose(self) -> None:
        """Close the connection; with an incomplete answer, it is reset."""
        if self._is_answering:
            reset(self._stream)
        await aclose_forcefully(self._stream)

    async def begin(self, status: int, headers: Headers) -> None:
        await self._send(self._make_head(status, headers))

    async def write(self, data: bytes) -> None:
        await self._send(Data(data=data))

    async def end(self) -> None:
        await self._send(EndOfMessage())
        await self._complete()

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        # One write instead of three, each of which would take a pass of the event loop.
        length = (b"content-length", str(len(body)).encode())
        head = self._make_head(status, [*headers, length])
        await self._send(head, *([Data(data=body)] if body else []), EndOfMessage())
        await self._complete()

    def _make_head(self, status: int, headers: Headers) -> Response:
        """Begin an answer.

        :raises ValueError: when the status is none that an answer can have
        """
        if not is_final_status(status):
            raise ValueError(f"invalid status {status}")
        if self._context.is_stopping:
            headers = [*headers, (b"connection", b"close")]
        self.has_begun = True
        self._status = status
        set_unacknowledged_timeout(self._stream, ANSWER_UNACKNOWLEDGED_TIMEOUT_S)
        return Response(status_code=status, headers=headers, reason=b"")

    async def _complete(self) -> None:
        """Wait until the answer is written."""
        if self._buffer is not None:
            await self._buffer.drain()
        set_unacknowledged_timeout(self._stream, UNACKNOWLEDGED_TIMEOUT_S)
        self.is_complete = True
        self._is_answering = False

    async def _send(self, *events: object) -> None:
        """Write events of h11 together."""
        data = b"".join(self._http.send(each) or b"" for each in events)
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
        context = self._context
        context.in_progress += 1
        try:
            async with create_task_group() as tasks:
                self._buffer = AnswerBuffer(self, self._stream, tasks, context.memory)
                tasks.start_soon(self._watch_for_disconnect, tasks)
                try:
                    await context.handler.handle(request, self)
                except ClientDisconnectedError as error:
                    _LOGGER.debug("the client disconnected: %s", error)
                except LocalProtocolError as error:
                    _LOGGER.warning("the handler's answer violates HTTP/1.1: %r", error)
                except Exception as error:
                    context.note_error(error)
                    await self._answer_error()
                tasks.cancel_scope.cancel()
        finally:
            context.in_progress -= 1
            self._buffer.close()
            self._buffer = None
            context.memory.budget.release_body(len(request.body))

    async def _answer_error(self) -> None:
        """Answer a request that an unexpected error has ended; it may have run."""
        if self.has_begun:
            return
        try:
            await self.reject(STATUS_INTERNAL_ERROR, "internal error", [(b"connection", b"close")])
        except (ClientDisconnectedError, LocalProtocolError) as error:
            _LOGGER.debug("the answer could not be written: %r", error)

    async def _watch_for_disconnect(self, tasks: TaskGroup) -> None:
        """Cancel the request when the client disconnects."""
        try:
            # Counted is all that is held, as a pipelined request before this one has left it.
            while (held := len(self._http.trailing_data[0])) < MAX_PIPELINED_BYTES:
                data = await self._stream.receive(READ_BYTES)
                if not held:
                    self._reader.note_pipelined()
                self._http.receive_data(data)
        except DISCONNECT_ERRORS:
            tasks.cancel_scope.cancel()
        except RemoteProtocolError as error:
            _LOGGER.debug("a pipelined request is malformed: %s", describe_protocol_error(error))

    async def _read_request(self) -> ClientRequest | None:
        """:return: the next request, or None if the client disconnected or sent none in time"""
        context = self._context
        limits = context.get_limits()
        context.connections.set_state(self, ConnectionState.WAITING)
        head = await self._reader.read_head(limits)
        if head is None:
            return None
        context.connections.set_state(self, ConnectionState.BUSY)
        context.in_progress += 1
        try:
            return await self._read_body(head, limits)
        finally:
            context.in_progress -= 1

    async def _read_body(self, head: Request, limits: ClientLimits) -> ClientRequest:
        """:return: the request with its body"""
        arrived_s = self._reader.arrived_s
        unread_s = self._context.now() - arrived_s
        headers = list(head.headers)
        request = ClientRequest(head.method, head.target, headers, b"", arrived_s, unread_s)
        timeout_s = inf
        if has_body(head):
            timeout_s = self._context.handler.get_body_timeout_s(request) - unread_s
        try:
            body = await self._reader.read_body(
                head, limits, timeout_s, self._send_interim, self._give_way
            )
        except NoMemoryError:
            rejection = self._context.handler.write_rejection(headers, NO_MEMORY_RETRY_S)
            reason = "the gateway holds too many bytes of requests"
            raise RejectedRequest(503, reason, rejection) from None
        return request._replace(body=body)

    async def _send_interim(self) -> None:
        """Let the client send the body if it waits for that."""
        if not self._http.they_are_waiting_for_100_continue:
            return
        try:
            with fail_after(REJECTION_TIMEOUT_S):
                await self._send(InformationalResponse(status_code=100, headers=[]))
        except TimeoutError as error:
            raise ClientDisconnectedError("it does not read") from error

    def _give_way(self) -> None:
        self._context.connections.close(self, "body")

    async def _send_rejection(self, error: RejectedRequest) -> None:
        context = self._context
        context.log.note_rejected(error.status, error.reason)
        if self._http.our_state not in (IDLE, SEND_RESPONSE):
            return
        context.connections.set_state(self, ConnectionState.ENDING)
        try:
            with fail_after(REJECTION_TIMEOUT_S):
                headers = [*error.headers, (b"connection", b"close")]
                await self.reject(error.status, error.reason, headers)
                await self._stream.send_eof()
                await self._skip_rest()
        except (
            ClientDisconnectedError,
            LocalProtocolError,
            TimeoutError,
            *DISCONNECT_ERRORS,
        ) as problem:
            _LOGGER.debug("the rejection could not be written: %r", problem)

    async def _skip_rest(self) -> None:
        """Read what the client still sends, up to the limit of a request.

        Closing a socket with unread bytes sends a reset, which can discard the rejection before the
        client has read it.
        """
        limits = self._context.get_limits()
        skipped = 0
        while skipped <= limits.max_header_bytes + limits.max_body_bytes:
            skipped += len(await self._stream.receive(READ_BYTES))
