"""
kingcupdyke_daemon.httpprotocol
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 connections of uvicorn that hold little of what a client sends, and end in bounded time.
"""

from asyncio import AbstractEventLoop, TimerHandle, Transport
from collections import deque
from socket import IPPROTO_TCP, TCP_NOTSENT_LOWAT

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from kingcupdyke_daemon.clientconnections import (
    BoundedConnection,
    ClientConnections,
    ConnectionState,
)

__all__ = ["BoundedHttpProtocol", "ParseTurns"]

#: Seconds within which the head of a request must arrive, or its connection is closed.
HEAD_TIMEOUT_S = 5.0
#: Seconds for which an answer may be stalled as its client does not read, before it is cut off.
STALLED_WRITE_S = 30.0
#: Maximum number of bytes read from a socket in one call.
READ_BYTES = 16_384
#: Bytes of a chunked body that are parsed before other tasks run. A chunk takes as long to parse if
#: it has only one byte.
PARSE_BYTES = 1024
#: Bytes that the kernel accepts beyond those that the client can receive now.
MAX_KERNEL_UNSENT_BYTES = 65_536


class ParseTurns:
    """Lets the connections that receive chunked bodies parse them one after the other.

    Other tasks run between two turns.
    """

    def __init__(self) -> None:
        self._waiting: deque[BoundedHttpProtocol] = deque()

    def add(self, connection: "BoundedHttpProtocol", loop: AbstractEventLoop) -> None:
        """Give a connection its turns until it has parsed all that it has read."""
        self._waiting.append(connection)
        if len(self._waiting) == 1:
            loop.call_soon(self._run, loop)

    def _run(self, loop: AbstractEventLoop) -> None:
        connection = self._waiting.popleft()
        if connection.parse_next():
            self._waiting.append(connection)
        if self._waiting:
            loop.call_soon(self._run, loop)


class HeldFlowControl(FlowControl):
    """Also pauses reading while a connection has not parsed what it has read."""

    def __init__(self, transport: Transport) -> None:
        super().__init__(transport)
        self._is_held = False

    def hold(self) -> None:
        """Read nothing until :meth:`release`."""
        self._is_held = True
        self._transport.pause_reading()

    def release(self) -> None:
        """Read again, unless reading is paused for another reason."""
        self._is_held = False
        if not self.read_paused:
            self._transport.resume_reading()

    def resume_reading(self) -> None:
        if self._is_held:
            self.read_paused = False
        else:
            super().resume_reading()


class BoundedHttpProtocol(H11Protocol, BoundedConnection):
    """A connection that gives way to others, and whose chunked bodies are parsed in turns.

    It is closed when the head of a request stalls, and when its client does not read an answer.

    :param open_connections: the open connections of the server
    :param turns: shared by the connections of the server
    """

    def __init__(
        self,
        open_connections: ClientConnections,
        turns: ParseTurns,
        *args: object,
        **kwargs: object,
    ) -> None:
        super().__init__(*args, **kwargs)
        self._open_connections = open_connections
        self._turns = turns
        self._head_timer: TimerHandle | None = None
        self._stall_timer: TimerHandle | None = None
        self._state = ConnectionState.WAITING
        #: Bytes of a chunked body that are not parsed yet.
        self._unparsed = bytearray()

    def connection_made(self, transport: Transport) -> None:
        super().connection_made(transport)
        transport.max_size = READ_BYTES
        raw = transport.get_extra_info("socket")
        raw.setsockopt(IPPROTO_TCP, TCP_NOTSENT_LOWAT, MAX_KERNEL_UNSENT_BYTES)
        self.flow = HeldFlowControl(transport)
        if self._open_connections.open(self):
            self._start_head_timer()
        else:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._unparsed:
            self._unparsed += data
            return
        self._parse(data[:PARSE_BYTES])
        rest = data[PARSE_BYTES:]
        if not rest or self.transport.is_closing():
            return
        if not self._is_chunked():
            self._parse(rest)
            return
        self._unparsed += rest
        self.flow.hold()
        self._turns.add(self, self.loop)

    def parse_next(self) -> bool:
        """Parse a part of what was read.

        :return: whether more of it is left
        """
        if not self.transport.is_closing():
            data = bytes(self._unparsed[:PARSE_BYTES])
            del self._unparsed[:PARSE_BYTES]
            self._parse(data)
        if self.transport.is_closing():
            self._unparsed.clear()
        if self._unparsed:
            return True
        self.flow.release()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._open_connections.remove(self)
        self._cancel_head_timer()
        self._cancel_stall_timer()
        super().connection_lost(exc)

    def abort(self) -> None:
        self.transport.abort()

    def pause_writing(self) -> None:
        super().pause_writing()
        self._cancel_stall_timer()
        self._stall_timer = self.loop.call_later(STALLED_WRITE_S, self.transport.abort)

    def resume_writing(self) -> None:
        self._cancel_stall_timer()
        super().resume_writing()

    def on_response_complete(self) -> None:
        super().on_response_complete()
        self._note_state()

    def _parse(self, data: bytes) -> None:
        super().data_received(data)
        self._note_state()
        if self._state is ConnectionState.WAITING:
            self._start_head_timer()
        else:
            self._cancel_head_timer()

    def _note_state(self) -> None:
        is_waiting = self.cycle is None or self.cycle.response_complete
        state = ConnectionState.WAITING if is_waiting else ConnectionState.BUSY
        if state is not self._state and not self.transport.is_closing():
            self._state = state
            self._open_connections.set_state(self, state)

    def _is_chunked(self) -> bool:
        return self.cycle is not None and any(
            name == b"transfer-encoding" for name, _ in self.cycle.scope["headers"]
        )

    def _start_head_timer(self) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(HEAD_TIMEOUT_S, self.transport.close)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
