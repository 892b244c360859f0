"""
kingcupdyke.forwarding.connectionlimit
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The number of client connections for which a gateway has memory and descriptors.
"""

__all__ = ["DEFAULT_MAX_CONNECTIONS", "MAX_AUXILIARY_CONNECTIONS", "choose_connection_limit"]

#: Limit of client connections if the limits of the process are not known.
DEFAULT_MAX_CONNECTIONS = 1024
#: Limit of the connections to each listener that serves no clients, such as for metrics.
MAX_AUXILIARY_CONNECTIONS = 32
#: Number of such listeners.
AUXILIARY_LISTENERS = 2
#: Bytes that a connection may use outside the memory budget: the unread bytes that the kernel keeps
#: for it, a head or pipelined requests, and the objects that serve it.
CONNECTION_BYTES = 98_304
#: One part in so many of the memory limit is for connections.
MEMORY_PARTS = 3
#: Descriptors that are not for sockets.
FILE_DESCRIPTORS = 200
#: One part in so many of the other descriptors is for clients. The rest is for endpoints, the store
#: and other gateways.
DESCRIPTOR_PARTS = 2


def choose_connection_limit(memory_bytes: int | None, max_fds: int | None) -> int:
    """Choose the limit of client connections.

    :param memory_bytes: memory limit of the process in bytes, or None if it is not known
    :param max_fds: limit of its descriptors, or None if it is not known
    :return: the limit, at least 1
    """
    limits = []
    if memory_bytes is not None:
        limits.append(memory_bytes // MEMORY_PARTS // CONNECTION_BYTES)
    if max_fds is not None:
        reserved = FILE_DESCRIPTORS + AUXILIARY_LISTENERS * MAX_AUXILIARY_CONNECTIONS
        limits.append((max_fds - reserved) // DESCRIPTOR_PARTS)
    return max(1, min(limits, default=DEFAULT_MAX_CONNECTIONS))
