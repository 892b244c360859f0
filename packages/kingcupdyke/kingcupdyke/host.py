"""
kingcupdyke.host
~~~~~~~~~~~~~~~~

Hosts as the platform lists them.
"""

from typing import NamedTuple

__all__ = ["Host"]


class Host(NamedTuple):
    """An entry of the platform's host list, which lags behind the truth."""

    host: str
    #: IP number.
    address: str
    port: int
    #: "gateway" or "sidecar".
    kind: str
    region: str
    data_centre: str
    #: "live" or "leaving".
    state: str
    #: Port for peers of a gateway, whose ``port`` is for callers; 0 where both are one.
    peer_port: int = 0
