"""
kingcupdyke.host
~~~~~~~~~~~~~~~~

Hosts as listed by the platform.
"""

from typing import NamedTuple

__all__ = ["Host"]


class Host(NamedTuple):
    """An entry of the platform's host list, which may be out of date."""

    #: Name of the host.
    host: str
    #: IP address.
    address: str
    port: int
    #: "gateway" or "sidecar".
    kind: str
    region: str
    data_centre: str
    #: "live" or "leaving".
    state: str
    #: A gateway's port for peers, while ``port`` serves callers; 0 if one port serves both.
    peer_port: int = 0
