"""
kingcupdyke_wire.sockets
~~~~~~~~~~~~~~~~~~~~~~~~

Resets of open connections.
"""

import logging
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

from anyio.abc import SocketAttribute, SocketStream

__all__ = ["reset"]

_LOGGER = logging.getLogger(__name__)
#: Linger for 0 s: closing the socket discards unsent data and resets the connection.
_NO_LINGER = pack("ii", 1, 0)


def reset(stream: SocketStream) -> None:
    """Reset a connection, so that its peer sees that data is missing."""
    raw = stream.extra(SocketAttribute.raw_socket)
    try:
        raw.setsockopt(SOL_SOCKET, SO_LINGER, _NO_LINGER)
    except OSError as error:
        _LOGGER.debug("the connection was closed before it was reset: %r", error)
    # The close of anyio sends a regular end of the stream before the reset.
    stream._transport.abort()
