"""
kingcupdyke_wire.h2protocol
~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP/2 connections of grpclib, of which a server has a limited number, and which hold little.
"""

import logging
from asyncio import Transport

from grpclib.protocol import H2Protocol

__all__ = ["BoundedH2Protocol", "OpenConnections"]

_LOGGER = logging.getLogger(__name__)
#: Maximum number of bytes read from a socket in one call.
READ_BYTES = 16_384
#: Limit of the bytes that wait to be written to a peer. HTTP/2 answers some frames at once, also to
#: a peer that does not read.
MAX_UNSENT_BYTES = 2_097_152


class OpenConnections:
    """The open connections of one server.

    Beyond the limit a new connection takes the place of the one that has come first among those
    without a call so far. If all have had one, the new one is closed.

    :param limit: limit of open connections
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._unused: dict[BoundedH2Protocol, None] = {}
        self._used: set[BoundedH2Protocol] = set()
        #: Number of connections that were closed for lack of room, and as their peer reads nothing.
        self.closed = 0

    def open(self, connection: "BoundedH2Protocol") -> bool:
        """Add a new connection.

        :return: whether there was a place for it, or another one has given way
        """
        if len(self._unused) + len(self._used) >= self._limit:
            first = next(iter(self._unused), None)
            self.note_closed("no room")
            if first is None:
                return False
            self.remove(first)
            first.abort()
        self._unused[connection] = None
        return True

    def note_call(self, connection: "BoundedH2Protocol") -> None:
        """Record that a connection has had a call."""
        if connection in self._unused:
            del self._unused[connection]
            self._used.add(connection)

    def remove(self, connection: "BoundedH2Protocol") -> None:
        """Forget a connection that is closed."""
        self._unused.pop(connection, None)
        self._used.discard(connection)

    def note_closed(self, reason: str) -> None:
        """Count a connection that is closed, and log each power of two of them."""
        self.closed += 1
        if self.closed & (self.closed - 1) == 0:
            _LOGGER.warning("connection closed: %s (%d so far)", reason, self.closed)


class BoundedH2Protocol(H2Protocol):
    """A connection that is closed when there are too many, or when its peer does not read."""

    #: The open connections of the server.
    open_connections: OpenConnections
    _transport: Transport

    def connection_made(self, transport: Transport) -> None:
        self._transport = transport
        transport.max_size = READ_BYTES
        super().connection_made(transport)
        if not self.open_connections.open(self):
            self.abort()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self.processor.streams:
            self.open_connections.note_call(self)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.open_connections.note_closed("its peer does not read")
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        self.open_connections.remove(self)
        super().connection_lost(exc)

    def abort(self) -> None:
        """Close the connection."""
        self._transport.abort()
