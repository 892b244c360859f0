"""
kingcupdyke_daemon.server
~~~~~~~~~~~~~~~~~~~~~~~~~

Listening sockets and the HTTP server.
"""

from collections.abc import Callable, Generator
from contextlib import contextmanager
from functools import partial
from socket import (
    AF_INET,
    AF_INET6,
    IPPROTO_TCP,
    SO_RCVBUF,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    socket,
)

from uvicorn import Config, Server

from kingcupdyke_daemon.clientconnections import ClientConnections
from kingcupdyke_daemon.httpprotocol import BoundedHttpProtocol, ParseTurns

__all__ = ["MAX_CONNECTIONS", "HttpServer", "open_socket"]

#: Maximum number of connections that wait to be accepted.
_BACKLOG = 1024
#: Limit of the open connections of a server if none is set.
MAX_CONNECTIONS = 1024
#: Limit of the size of the head of a request.
MAX_HEAD_BYTES = 32_768
#: Receive buffer of each connection. The kernel would let it grow to megabytes.
RECEIVE_BUFFER_BYTES = 32_768


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


class HttpServer(Server):
    """A uvicorn server on the daemon's event loop; the daemon itself handles signals.

    :param app: an ASGI application
    :param max_connections: limit of open connections; beyond it those that wait for a request give
        way to new ones, or else the new ones are closed
    :param free_busy: closes a connection in use for a new one, and returns whether it did
    :param note_closed: called with what a connection did that is closed, and with the number of
        open connections
    """

    def __init__(
        self,
        app: object,
        max_connections: int = MAX_CONNECTIONS,
        free_busy: Callable[[], bool] = lambda: False,
        note_closed: Callable[[str, int], None] = lambda reason, open_connections: None,
    ) -> None:
        connections = ClientConnections(lambda: max_connections, free_busy, note_closed)
        config = Config(
            app,
            http=partial(BoundedHttpProtocol, connections, ParseTurns()),
            log_config=None,
            access_log=False,
            lifespan="off",
            h11_max_incomplete_event_size=MAX_HEAD_BYTES,
        )
        super().__init__(config)

    async def startup(self, sockets: list[socket] | None = None) -> None:
        for each in sockets or ():
            # Accepted connections inherit it.
            each.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        await super().startup(sockets)

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield

    def stop(self) -> None:
        """Stop listening; answers in progress are finished."""
        self.should_exit = True
