"""
kingcupdyke_daemon.forwarder.requestreader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the requests of one client connection.
"""

from collections.abc import Awaitable, Callable

from anyio import CancelScope, EndOfStream, current_time, fail_after
from anyio.abc import SocketStream
from h11 import (
    NEED_DATA,
    PAUSED,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    RemoteProtocolError,
    Request,
)

from kingcupdyke.forwarding.configuration import ClientLimits
from kingcupdyke.forwarding.incomingbodies import IncomingBodies, IncomingBody, Room
from kingcupdyke_daemon.forwarder.connection import ReadTurns
from kingcupdyke_daemon.forwarder.requestcheck import (
    RejectedRequest,
    check_head,
    describe_protocol_error,
    find_length,
)
from kingcupdyke_daemon.looptimes import ArrivalTimes

__all__ = ["READ_BYTES", "NoMemoryError", "RequestReader"]

#: Maximum number of bytes read from a socket in one call.
READ_BYTES = 16_384
#: Limit of the events parsed before other tasks run. A part of a body takes as long to parse
#: if it has only one byte.
MAX_EVENTS_AT_ONCE = 32


class NoMemoryError(Exception):
    """The memory budget does not permit a request body."""


class RequestReader:
    """Reads the requests of one connection.

    :param stream: the connection
    :param http: its state
    :param bodies: all bodies that the process receives
    :param turns: shared by all connections of the process that receive bodies in small parts
    :param now: returns the time in seconds
    :param arrivals: bounds when the bytes arrived
    """

    def __init__(
        self,
        stream: SocketStream,
        http: Connection,
        bodies: IncomingBodies,
        turns: ReadTurns,
        now: Callable[[], float],
        arrivals: ArrivalTimes,
    ) -> None:
        self._stream = stream
        self._http = http
        self._bodies = bodies
        self._turns = turns
        self._now = now
        self._arrivals = arrivals
        #: Time in seconds before which no byte of the last head arrived.
        self.arrived_s = arrivals.since_s
        #: Whether bytes have been read of the head that is awaited.
        self._is_in_head = False
        self._events_at_once = 0

    async def read_head(self, limits: ClientLimits) -> Request | None:
        """:return: the next head, or None if the client disconnected or sent none in time
        :raises RejectedRequest: when it is malformed
        """
        first_timeout_s = limits.idle_timeout_s
        if self._http.trailing_data[0]:
            first_timeout_s = limits.header_timeout_s
        self._is_in_head = False
        self._arrivals.begin_look()
        try:
            event = await self._next_event(first_timeout_s, limits.header_timeout_s)
        except TimeoutError:
            return None
        if isinstance(event, ConnectionClosed):
            return None
        if not self._is_in_head:
            self.arrived_s = self._arrivals.since_s
        return event

    def end_request(self) -> None:
        """Expect the next head: what is not read yet arrives after the answer."""
        if not self._http.trailing_data[0]:
            self._arrivals.begin_wait(self._now())

    def note_pipelined(self) -> None:
        """Record that the first bytes of the next head are read during a request."""
        self._arrivals.begin_wait(self._arrivals.find_arrival())

    async def read_body(
        self,
        head: Request,
        limits: ClientLimits,
        timeout_s: float,
        begin: Callable[[], Awaitable[None]],
        on_no_place: Callable[[], None],
    ) -> bytes:
        """Read the body of a request.

        :param timeout_s: seconds within which all of it must arrive
        :param begin: called before the first byte is awaited
        :param on_no_place: called when the body gives way to a new connection
        :return: the body, which counts toward the memory budget until the caller releases it
        :raises RejectedRequest: when it is invalid, or does not arrive in time
        :raises NoMemoryError: when there is no room for it
        """

        def give_way(room: Room) -> None:
            if room is Room.CONNECTION:
                on_no_place()
            scope.cancel()

        check_head(head, limits)
        scope = CancelScope(deadline=current_time() + timeout_s)
        body = self._bodies.begin(self._now(), give_way)
        try:
            with scope:
                await self._receive_body(body, head, limits, begin)
                return body.hand_over()
        finally:
            body.close()
        if body.has_given_way:
            raise RejectedRequest(408, "the request body is too slow while others need its room")
        raise RejectedRequest(408, "the request body did not arrive before the deadline")

    async def _receive_body(
        self,
        body: IncomingBody,
        head: Request,
        limits: ClientLimits,
        begin: Callable[[], Awaitable[None]],
    ) -> None:
        # A declared length is taken at once: a body that was begun is not rejected for memory.
        if not body.take(find_length(head), self._now()):
            raise NoMemoryError
        await begin()
        while (part := await self._read_part(limits)) is not None:
            if body.received_bytes + len(part) > limits.max_body_bytes:
                raise RejectedRequest(413, "the request body is too large")
            if not body.add(part, self._now()):
                raise NoMemoryError

    async def _read_part(self, limits: ClientLimits) -> bytes | None:
        """:return: the next part of the body, or None at its end"""
        try:
            event = await self._next_event(limits.idle_timeout_s, limits.idle_timeout_s)
        except TimeoutError:
            raise RejectedRequest(408, "timeout while reading the request body") from None
        if isinstance(event, EndOfMessage):
            return None
        if not isinstance(event, Data):
            raise RejectedRequest(400, "the request body ended early")
        return event.data

    async def _next_event(self, first_timeout_s: float, rest_timeout_s: float) -> object:
        """Read until the next HTTP event is complete.

        :param first_timeout_s: timeout for the first read
        :param rest_timeout_s: timeout for all further reads together
        :raises TimeoutError: when a timeout expires
        """
        try:
            event = self._http.next_event()
            if event is not NEED_DATA and event is not PAUSED:
                await self._let_others_run()
                return event
            with fail_after(first_timeout_s):
                await self._receive()
            with fail_after(rest_timeout_s):
                while (event := self._http.next_event()) is NEED_DATA:
                    await self._receive()
            return event
        except RemoteProtocolError as error:
            raise RejectedRequest(error.error_status_hint, describe_protocol_error(error)) from None

    async def _let_others_run(self) -> None:
        """Take turns with other connections after many events for which no data was awaited."""
        self._events_at_once += 1
        if self._events_at_once >= MAX_EVENTS_AT_ONCE:
            self._events_at_once = 0
            await self._turns.wait()

    async def _receive(self) -> None:
        self._events_at_once = 0
        try:
            data = await self._stream.receive(READ_BYTES)
        except EndOfStream:
            data = b""
        if not self._is_in_head:
            self._is_in_head = True
            self.arrived_s = self._arrivals.find_arrival()
        self._http.receive_data(data)
