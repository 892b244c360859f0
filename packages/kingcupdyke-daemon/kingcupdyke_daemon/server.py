"""
kingcupdyke_daemon.server
~~~~~~~~~~~~~~~~~~~~~~~~~

Listening sockets and the HTTP server.
"""

from asyncio import TimerHandle, Transport
from collections.abc import Generator
from contextlib import contextmanager
from socket import AF_INET, AF_INET6, IPPROTO_TCP, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket

from uvicorn import Config, Server
from uvicorn.protocols.http.h11_impl import H11Protocol

__all__ = ["HttpServer", "open_socket"]

#: Maximum number of connections that wait to be accepted.
_BACKLOG = 1024
#: Seconds within which the head of a request must arrive, or its connection is closed.
_HEAD_TIMEOUT_S = 5.0


def open_socket(address: str, port: int) -> socket:
    """:return: a bound TCP socket; port 0 lets the system pick one
    :raises OSError: if the port is in use
    """
    family = AF_INET6 if ":" in address else AF_INET
    # Without the protocol's name asyncio leaves Nagle's algorithm on.
    listener = socket(family, SOCK_STREAM, IPPROTO_TCP)
    listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    listener.bind((address, port))
    listener.listen(_BACKLOG)
    listener.setblocking(False)
    return listener


class HeadTimeoutProtocol(H11Protocol):
    """Closes a connection on which the head of a request stalls."""

    _head_timer: TimerHandle | None = None

    def connection_made(self, transport: Transport) -> None:
        super().connection_made(transport)
        self._start_head_timer()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self.cycle is None or self.cycle.response_complete:
            self._start_head_timer()
        else:
            self._cancel_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_head_timer()
        super().connection_lost(exc)

    def _start_head_timer(self) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(_HEAD_TIMEOUT_S, self.transport.close)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class HttpServer(Server):
    """A uvicorn server on the daemon's event loop; the daemon itself handles signals.

    :param app: an ASGI application
    """

    def __init__(self, app: object) -> None:
        config = Config(
            app, http=HeadTimeoutProtocol, log_config=None, access_log=False, lifespan="off"
        )
        super().__init__(config)

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield

    def stop(self) -> None:
        """Stop listening; answers in progress are finished."""
        self.should_exit = True
