"""
kingcupdyke_daemon.forwarder.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of a forwarding gateway.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

from expression import Result

__all__ = ["ForwarderSettings", "SettingsSource", "SocketAddress"]


class SocketAddress(NamedTuple):
    """An IP number and a port."""

    address: str
    port: int


class ForwarderSettings(NamedTuple):
    """What a forwarding gateway is told at its start."""

    #: Name of this host; orders bear it.
    host: str
    data_centre: str
    region_by_data_centre: dict[str, str]
    #: Where clients' connections come in.
    front: SocketAddress
    #: Where the load balancer asks whether this gateway takes connections.
    ready: SocketAddress
    #: Where peers send their state, by UDP.
    peer: SocketAddress
    #: Address of the platform's store.
    store_url: str
    #: Seconds from SIGTERM to the end that the platform forces.
    grace_s: float
    #: Repeats for each request, and beyond that in one window over all gateways.
    repeat_share: float
    repeat_allowance: float
    repeat_window_s: float
    #: Seconds that must lie between orders of two planners to one endpoint.
    lease_s: float
    #: Seconds within which a configuration must be in force.
    apply_s: float
    #: Where metrics are served, or None where they are not.
    metrics: SocketAddress | None = None


class SettingsSource(ABC):
    """Where the settings come from, to be read again when they change."""

    @abstractmethod
    def read_stamp(self) -> object:
        """:return: a value that differs after each change, or None where it can't be read"""

    @abstractmethod
    def load(self) -> Result[ForwarderSettings, list[str]]:
        """:return: the settings, or every mistake as a line of text"""
