"""
kingcupdyke.forwarding.endpoint
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State of an endpoint as the list of endpoints and the endpoint's own reports give it.
"""

from typing import NamedTuple

__all__ = ["EndpointEntry", "EndpointReport", "LoadedModel", "Replica"]


class Replica(NamedTuple):
    """A model at an endpoint or, with the name of an adapter, one of the model's adapters there."""

    endpoint: str
    model: str
    adapter: str = ""


class LoadedModel(NamedTuple):
    """A model that an endpoint holds, with its adapters."""

    name: str
    version: int
    adapters: frozenset[str]


class EndpointEntry(NamedTuple):
    """An endpoint's entry in the list of endpoints."""

    endpoint: str
    service: str
    #: IP address and port.
    address: tuple[str, int]
    data_centre: str
    #: Limit of requests that it works on concurrently.
    slots: int
    is_leaving: bool
    #: Seconds until it stops whatever requests it runs, or None if that is unknown.
    remaining_s: float | None
    #: Number of the heartbeat that wrote the entry, counted from the endpoint's start.
    heartbeat: int
    #: Unix time of its start in milliseconds, or 0 if unknown.
    started_ms: int
    models: tuple[LoadedModel, ...]
    #: Models with a copy of their weights in host memory.
    in_memory: frozenset[str]
    #: Models with a copy of their weights on the endpoint's disk.
    on_disk: frozenset[str]
    #: Version of the software that it runs, not of weights.
    software_version: str = ""
    #: Seconds for which it says that it stays slow; 0 if it is not slow.
    cold_left_s: float = 0.0

    def differs(self, other: "EndpointEntry") -> bool:
        """:return: whether another entry has other models, or other copies of their weights"""
        names = {each.name for each in self.models}
        if names != {each.name for each in other.models}:
            return True
        return (self.in_memory, self.on_disk) != (other.in_memory, other.on_disk)


class EndpointReport(NamedTuple):
    """A model engine's report on its state; the state is slightly older than the report."""

    models: tuple[LoadedModel, ...]
    #: Whether an order is being executed.
    is_busy: bool
    #: Number of orders that it has accepted since its start, which each order has to match.
    order_count: int
    waiting: int
    running: int
    #: Adapters that are being loaded, as model and name.
    pending_adapters: tuple[tuple[str, str], ...]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    #: Unix time of the engine's start in milliseconds, or 0 if unknown.
    started_ms: int = 0
