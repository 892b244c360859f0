"""
kingcupdyke_daemon.server
~~~~~~~~~~~~~~~~~~~~~~~~~

Listening sockets and the HTTP server.
"""

from collections.abc import Generator
from contextlib import contextmanager
from socket import AF_INET, AF_INET6, IPPROTO_TCP, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket

from uvicorn import Config, Server

__all__ = ["HttpServer", "open_socket"]

#: Connections that may wait to be accepted.
_BACKLOG = 1024


def open_socket(address: str, port: int) -> socket:
    """:return: a bound TCP socket; port 0 lets the system pick one
    :raises OSError: when the port is taken
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
    """uvicorn on the daemon's own loop, with signals left to the daemon.

    :param app: an ASGI application
    """

    def __init__(self, app: object) -> None:
        super().__init__(Config(app, log_config=None, access_log=False, lifespan="off"))

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield

    def stop(self) -> None:
        """Stop listening; answers in progress are finished."""
        self.should_exit = True
