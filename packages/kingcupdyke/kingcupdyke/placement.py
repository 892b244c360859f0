"""
kingcupdyke.placement
~~~~~~~~~~~~~~~~~~~~~

Interface of placement policies, which propose loads and unloads of models and adapters.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

from kingcupdyke.rule import RuleSet

__all__ = ["EndpointInventory", "Order", "OrderKind", "PlacementPolicy", "PlacementView"]


class OrderKind:
    """Names of the kinds of order that an engine accepts."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    ROLE = "role"


class Order(NamedTuple):
    """An order that a planner proposes to a sidecar."""

    order_id: str
    endpoint: str
    kind: str
    model: str
    adapter: str = ""
    model_version: str = ""
    role: str = ""
    #: Memory that the order's target uses once the order is done.
    order_bytes: int = 0


class EndpointInventory(NamedTuple):
    """A planner's view of one endpoint."""

    endpoint: str
    region: str
    data_centre: str
    capacity_bytes: int
    reserved_bytes: int
    models: frozenset[str]
    adapters: frozenset[str]
    leaving: bool
    #: Orders that have not ended yet.
    pending: frozenset[str]


class PlacementView(NamedTuple):
    """The state on which one placement round is based."""

    rules: RuleSet
    inventory_by_endpoint: dict[str, EndpointInventory]
    #: Demand in requests per second, by model and region.
    demand_by_model: dict[tuple[str, str], float]


class PlacementPolicy(ABC):
    """Proposes orders; a policy may keep state between rounds, for hysteresis."""

    #: Name of the policy in settings and reports.
    name = ""

    @abstractmethod
    def plan(self, view: PlacementView, now_s: float) -> list[Order]:
        """Propose orders for one round.

        :param view: rules, endpoints and demand
        :param now_s: time in seconds of the timer service
        :return: orders, the most urgent first; empty when no change is worth its transfer cost
        """
