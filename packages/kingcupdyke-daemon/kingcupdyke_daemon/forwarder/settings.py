"""
kingcupdyke_daemon.forwarder.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of a forwarding gateway.
"""

from typing import NamedTuple

__all__ = ["ForwarderSettings", "SocketAddress"]


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
