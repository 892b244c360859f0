"""
kingcupdyke.placements.issuer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Issuing the orders of a round within the rates of the platform.
"""

from kingcupdyke.budget import TokenBucket
from kingcupdyke.placement import Order, OrderKind, PlacementView
from kingcupdyke.placements.fleet import Fleet, get_model_bytes
from kingcupdyke.placements.pendingorders import OrderInFlight, PendingOrders
from kingcupdyke.placements.victims import Victims
from kingcupdyke.rule import AdapterRule, ModelRule
from kingcupdyke.util import get_float_opt, get_int_opt

__all__ = ["ADAPTER_KNEE", "LOADS_AT_ONCE", "LOADS_PER_S", "OrderIssuer"]

#: Loads a second that the weight store allows.
LOADS_PER_S = 1.0
#: Loads at once that the weight store gives full speed.
LOADS_AT_ONCE = 5
#: Adapter loads in flight over all endpoints from which on each takes longer.
ADAPTER_KNEE = 40


class OrderIssuer:
    """Issues orders for its own region, and leaves those for others to their planners.

    The planners of all regions decide by the same view, and the weight store's rate is divided
    by the number of regions. An order of another planner counts once its endpoint shows it.

    :param planner: part of each order's id, unique to the run of the planner's process
    :param region: region whose endpoints get orders; empty: all regions
    :param loads_per_s: loads a second that the weight store allows
    :param loads_at_once: loads at once that it gives full speed
    :param adapter_knee: adapter loads in flight from which on each takes longer
    :raises OptionError: when an option is wrong
    """

    def __init__(
        self, planner: str, region: str, loads_per_s: float, loads_at_once: int, adapter_knee: int
    ) -> None:
        self._loads_per_s = get_float_opt({"loads_per_s": loads_per_s}, "loads_per_s")
        self._loads_at_once = get_int_opt({"loads_at_once": loads_at_once}, "loads_at_once")
        self._adapter_knee = get_int_opt({"adapter_knee": adapter_knee}, "adapter_knee", least=2)
        self._region = region
        self._load_rate = TokenBucket(self._loads_per_s, max(1.0, self._loads_per_s))
        self._book = PendingOrders(planner)
        #: Orders of the round, the most urgent first.
        self.orders: list[Order] = []
        self._now_s = 0.0

    def begin_round(self, view: PlacementView, store_region: str, now_s: float) -> Fleet:
        """:return: the state of the endpoints, which each order of the round moves on

        :param store_region: region of the weight store
        :param now_s: time in seconds
        """
        self.orders = []
        self._now_s = now_s
        self._fleet = Fleet(
            view, self._book.follow(view.inventory_by_endpoint, now_s), store_region
        )
        planners = max(1, len(self._fleet.regions)) if self.shares_work else 1
        self._load_rate.change_rate(self._loads_per_s / planners, now_s)
        return self._fleet

    @property
    def shares_work(self) -> bool:
        """:return: whether other regions have planners of their own"""
        return bool(self._region)

    def is_own(self, endpoint: str) -> bool:
        """:return: whether this planner orders for the endpoint"""
        inventory = self._fleet.inventory_by_endpoint[endpoint]
        return not self.shares_work or inventory.region == self._region

    def has_load_left(self) -> bool:
        """:return: whether the weight store gives a further load full speed"""
        return self._fleet.loads < self._loads_at_once

    def load(self, rule: ModelRule, endpoint: str) -> bool:
        """:return: whether the load was issued, or falls to another planner"""
        if self.is_own(endpoint) and not (
            self.has_load_left() and self._load_rate.take(1.0, self._now_s)
        ):
            return False
        size = get_model_bytes(rule)
        self._issue(OrderKind.LOAD, endpoint, rule.name, size=size, version=rule.version)
        return True

    def may_load_adapter(self, endpoint: str) -> bool:
        """:return: whether a further load stays within the endpoint's share and below the knee"""
        loads = self._fleet.adapter_loads_by_endpoint
        endpoints = len(self._fleet.inventory_by_endpoint)
        share = max(1, (self._adapter_knee - 1) // endpoints)
        return loads[endpoint] < share and loads.total() < self._adapter_knee - 1

    def load_adapter(self, rule: AdapterRule, endpoint: str) -> None:
        """Load an adapter that fits."""
        kind = OrderKind.LOAD_ADAPTER
        self._issue(kind, endpoint, rule.model, rule.name, rule.adapter_bytes)

    def unload(self, victims: Victims) -> None:
        """Unload models, each after its adapters, and single adapters."""
        endpoint = victims.target.endpoint
        models = {each.model for each in victims.victims if not each.adapter}
        gone = {each.adapter: each.model for each in victims.victims if each.adapter}
        for adapter in victims.target.adapters:
            rule = self._fleet.rules.adapters_by_name.get(adapter)
            if rule is not None and rule.model in models:
                gone[adapter] = rule.model
        for adapter, model in sorted(gone.items()):
            self._issue(OrderKind.UNLOAD_ADAPTER, endpoint, model, adapter)
        for model in sorted(models):
            self._issue(OrderKind.UNLOAD, endpoint, model)

    def _issue(
        self,
        kind: str,
        endpoint: str,
        model: str,
        adapter: str = "",
        size: int = 0,
        version: str = "",
    ) -> None:
        if not self.is_own(endpoint):
            return
        self._fleet.apply(OrderInFlight(kind, endpoint, model, adapter, size))
        order = self._book.issue(kind, endpoint, self._now_s, model, adapter, size, version)
        self.orders.append(order)
