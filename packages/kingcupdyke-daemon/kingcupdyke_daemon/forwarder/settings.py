"""
kingcupdyke_daemon.forwarder.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of a forwarding gateway.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

from expression import Result

from kingcupdyke.forwarding.quotalimits import QuotaLimits

__all__ = ["DEFAULT_MAX_EVENT_BYTES", "ForwarderSettings", "SettingsSource", "SocketAddress"]


#: Limit of the size of an event of a stream if none is set.
DEFAULT_MAX_EVENT_BYTES = 65_536


class SocketAddress(NamedTuple):
    """An IP address and a port."""

    address: str
    port: int


class ForwarderSettings(NamedTuple):
    """Settings of a forwarding gateway."""

    #: Name of this host, which orders to engines contain.
    host: str
    data_centre: str
    region_by_data_centre: dict[str, str]
    #: Listen address for clients.
    front: SocketAddress
    #: Listen address for the load balancer's readiness check.
    ready: SocketAddress
    #: UDP listen address for messages of other gateways.
    peer: SocketAddress
    #: URL of the platform's store.
    store_url: str
    #: Seconds from SIGTERM until the platform kills the process.
    grace_s: float
    #: Retry budget: permitted retries per request, additional retries in one window over all
    #: gateways, and length of the window.
    repeat_share: float
    repeat_allowance: float
    repeat_window_s: float
    #: Minimum seconds between orders of two different planners to the same endpoint.
    lease_s: float
    #: Seconds within which a new configuration must be in force.
    apply_s: float
    #: Listen address for metrics, or None to serve none.
    metrics: SocketAddress | None = None
    #: Permitted excess of all gateways together over a caller's quota.
    quota_limits: QuotaLimits = QuotaLimits()
    #: Memory limit of the process, or None if it is not known.
    memory_bytes: int | None = None
    #: Limit of the descriptors of the process, or None if it is not known.
    max_fds: int | None = None
    #: Limit of the size of an event of a stream.
    max_event_bytes: int = DEFAULT_MAX_EVENT_BYTES


class SettingsSource(ABC):
    """Source of the settings, which can be read again after a change."""

    @abstractmethod
    def read_stamp(self) -> object:
        """:return: a value that differs after each change, or None if the source can't be read"""

    @abstractmethod
    def load(self) -> Result[ForwarderSettings, list[str]]:
        """:return: the settings, or one line of text for each error"""
