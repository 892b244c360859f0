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
