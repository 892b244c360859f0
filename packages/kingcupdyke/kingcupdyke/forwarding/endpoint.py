"""
kingcupdyke.forwarding.endpoint
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What an endpoint says of itself, in the list of endpoints and in its own reports.
"""

from typing import NamedTuple

__all__ = ["EndpointEntry", "EndpointReport", "LoadedModel", "Replica"]


class Replica(NamedTuple):
    """A model, or with an adapter's name one adapter of it, at an endpoint."""

    endpoint: str
    model: str
    adapter: str = ""


class LoadedModel(NamedTuple):
    """A model that an endpoint holds, with its adapters."""

    name: str
    version: int
    adapters: frozenset[str]


class EndpointEntry(NamedTuple):
    """An endpoint as the list shows it."""

    endpoint: str
    service: str
    #: IP number and port.
    address: tuple[str, int]
    data_centre: str
    #: Requests that it works on at a time.
    slots: int
    is_leaving: bool
    #: Seconds until it is gone whatever it runs, or None where that is not known.
    remaining_s: float | None
    #: Number of the heartbeat that wrote the entry, counted since its start.
    heartbeat: int
    #: Unix time of its start in milliseconds, or 0 where it is not said.
    started_ms: int
    models: tuple[LoadedModel, ...]
    #: Models with a copy of their weights in host memory.
    in_memory: frozenset[str]
    #: Models with a copy of their weights on the endpoint's disk.
    on_disk: frozenset[str]

    def differs(self, other: "EndpointEntry") -> bool:
        """:return: whether another entry tells of other models, or of other copies of them"""
        names = {each.name for each in self.models}
        if names != {each.name for each in other.models}:
            return True
        return (self.in_memory, self.on_disk) != (other.in_memory, other.on_disk)


class EndpointReport(NamedTuple):
    """A model engine's report on its state some moments ago."""

    models: tuple[LoadedModel, ...]
    #: Whether an order is being carried out.
    is_busy: bool
    #: Number of orders that it has accepted since its start.
    order_count: int
    waiting: int
    running: int
    #: Adapters on their way, as model and name.
    pending_adapters: tuple[tuple[str, str], ...]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
