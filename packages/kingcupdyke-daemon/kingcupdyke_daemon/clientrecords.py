"""
kingcupdyke_daemon.clientrecords
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Fields of the log lines on what a listener does not serve.
"""

from typing import NamedTuple

__all__ = ["ClosedConnectionRecord", "RejectedRequestRecord"]


class RejectedRequestRecord(NamedTuple):
    """Fields of a request that is rejected before it reaches its handler."""

    #: Name of the listener that received it.
    listener: str
    status: int
    reason: str


class ClosedConnectionRecord(NamedTuple):
    """Fields of a client's connection that is closed for lack of room."""

    #: Name of the listener that accepted it.
    listener: str
    #: What it was doing.
    reason: str
    #: Number of open connections, including this one.
    open_connections: int
