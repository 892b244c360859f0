"""
kingcupdyke_wire.sockets
~~~~~~~~~~~~~~~~~~~~~~~~

State and options of open connections that the sockets of anyio do not offer.
"""

import logging
from fcntl import ioctl
from socket import IPPROTO_TCP, SO_LINGER, SOL_SOCKET, TCP_USER_TIMEOUT
from struct import calcsize, pack, unpack
from termios import TIOCOUTQ

from anyio import BrokenResourceError
from anyio.abc import SocketAttribute, SocketStream

__all__ = ["bound_reading", "count_unsent", "reset", "set_unacknowledged_timeout", "write_now"]

_LOGGER = logging.getLogger(__name__)
#: Linger for 0 s: closing the socket discards unsent data and resets the connection.
_NO_LINGER = pack("ii", 1, 0)


def bound_reading(stream: SocketStream, max_bytes: int) -> None:
    """Let a connection read only while it is asked to.

    Otherwise one that was accepted reads from the start on, and stops only when a call has found
    nothing to read: what its peer sends faster than it is taken is all kept in memory.

    :param max_bytes: limit of the bytes read from the socket in one call
    """
    transport = stream._transport
    transport.max_size = max_bytes
    transport.pause_reading()


def count_unsent(stream: SocketStream) -> int:
    """:return: bytes written to a connection that its peer has not acknowledged

    :raises BrokenResourceError: when the connection is closed
    """
    if stream._transport.is_closing():
        raise BrokenResourceError
    raw = stream.extra(SocketAttribute.raw_socket)
    (in_kernel,) = unpack("i", ioctl(raw.fileno(), TIOCOUTQ, bytes(calcsize("i"))))
    return stream._transport.get_write_buffer_size() + in_kernel


def set_unacknowledged_timeout(stream: SocketStream, seconds: float) -> None:
    """Set the time after which a connection is closed while sent bytes stay unacknowledged."""
    raw = stream.extra(SocketAttribute.raw_socket)
    try:
        raw.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, round(seconds * 1000))
    except OSError as error:
        _LOGGER.debug("the connection was closed: %r", error)


def write_now(stream: SocketStream, data: bytes) -> int:
    """Write bytes without waiting; only if nothing is left of earlier writes.

    :return: number of bytes that the kernel has not accepted yet
    :raises BrokenResourceError: when the connection is closed
    """
    transport = stream._transport
    if transport.is_closing():
        raise BrokenResourceError
    transport.write(data)
    return transport.get_write_buffer_size()


def reset(stream: SocketStream) -> None:
    """Reset a connection, so that its peer sees that data is missing."""
    raw = stream.extra(SocketAttribute.raw_socket)
    try:
        raw.setsockopt(SOL_SOCKET, SO_LINGER, _NO_LINGER)
    except OSError as error:
        _LOGGER.debug("the connection was closed before it was reset: %r", error)
    # The close of anyio sends a regular end of the stream before the reset.
    stream._transport.abort()
