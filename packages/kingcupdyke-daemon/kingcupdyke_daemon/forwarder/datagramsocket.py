"""
kingcupdyke_daemon.forwarder.datagramsocket
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A UDP socket whose sends never wait.
"""

import logging
import socket
from asyncio import get_running_loop
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from anyio import getaddrinfo

from kingcupdyke_daemon.forwarder.settings import SocketAddress

__all__ = ["DatagramSocket"]

_LOGGER = logging.getLogger(__name__)
#: Limit of a received datagram in bytes, which is that of UDP.
MAX_RECEIVED_BYTES = 65_535
#: Limit of datagrams that are received before other tasks run.
MAX_RECEIVED_AT_ONCE = 64


class DatagramSocket:
    """Sends and receives datagrams; one that can't be sent immediately is lost.

    :param bound: the socket, which is bound and does not block
    """

    def __init__(self, bound: socket.socket) -> None:
        self._socket = bound

    @classmethod
    async def bind(cls, address: SocketAddress) -> "DatagramSocket":
        """:return: a socket that receives at an address
        :raises OSError: if the address can't be used
        """
        found = await getaddrinfo(*address, type=socket.SOCK_DGRAM)
        family, kind, protocol, _, socket_address = found[0]
        bound = socket.socket(family, kind, protocol)
        try:
            bound.setblocking(False)
            bound.bind(socket_address)
        except OSError:
            bound.close()
            raise
        return cls(bound)

    def send(self, data: bytes, address: SocketAddress) -> None:
        """Send a datagram, which may be lost."""
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            _LOGGER.debug("sending a message to %s:%d failed: %r", *address, error)

    @contextmanager
    def reading(self, on_received: Callable[[list[bytes]], None]) -> Iterator[None]:
        """Read within the context.

        The socket stays registered with the event loop, which costs no system calls for each read.

        :param on_received: called with the datagrams that have arrived; must not raise an error
        """
        loop = get_running_loop()
        loop.add_reader(self._socket, lambda: on_received(self._receive()))
        try:
            yield
        finally:
            loop.remove_reader(self._socket)

    def _receive(self) -> list[bytes]:
        """:return: the datagrams that have arrived"""
        received: list[bytes] = []
        try:
            while len(received) < MAX_RECEIVED_AT_ONCE:
                received.append(self._socket.recv(MAX_RECEIVED_BYTES))
        except BlockingIOError:
            pass  # All have been received.
        except OSError as error:
            _LOGGER.debug("receiving messages failed: %r", error)
        return received

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
