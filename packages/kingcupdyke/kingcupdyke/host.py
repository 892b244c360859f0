"""
kingcupdyke.host
~~~~~~~~~~~~~~~~

A host of the system as the platform's list names it.
"""

from typing import NamedTuple

__all__ = ["Host"]


class Host(NamedTuple):
    """An entry of the platform's host list."""

    host: str
    address: str
    port: int
    #: "gateway" or "sidecar".
    kind: str
    region: str
    data_centre: str
    #: "live" or "leaving".
    state: str
