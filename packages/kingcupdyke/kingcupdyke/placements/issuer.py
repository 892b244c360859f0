"""
kingcupdyke.placements.issuer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Issues the orders of a placement round within the rate limits of the platform.
"""

from kingcupdyke.budget import TokenBucket
from kingcupdyke.placement import Order, OrderKind, PlacementView
from kingcupdyke.placements.fleet import Fleet, get_model_bytes
from kingcupdyke.placements.pendingorders import OrderInFlight, PendingOrders
from kingcupdyke.placements.victims import Victims
from kingcupdyke.rule import AdapterRule, ModelRule
from kingcupdyke.util import get_float_opt, get_int_opt

__all__ = ["ADAPTER_KNEE", "LOADS_AT_ONCE", "LOADS_PER_S", "OrderIssuer"]

#: Limit of loads a second from the weight store.
LOADS_PER_S = 1.0
#: Concurrent loads that the weight store serves at full speed.
LOADS_AT_ONCE = 5
#: Saturation point: adapter loads in flight over all endpoints from which on each takes longer.
ADAPTER_KNEE = 40


class OrderIssuer:
    """Issues orders for the local region; planners of other regions issue theirs.

    The planners of all regions decide on the same view, and the weight store's rate is divided by
    the number of regions. An order of another planner counts once its endpoint shows it as pending.

    :param planner: part of each order's id, unique to the run of the planner's process
    :param region: region whose endpoints get orders; empty: all regions
    :param loads_per_s: limit of loads a second from the weight store
    :param loads_at_once: concurrent loads that it serves at full speed
    :param adapter_knee: adapter loads in flight from which on each takes longer
    :raises OptionError: if an option is invalid
    """

    def __init__(
        self, planner: str, region: str, loads_per_s: float, loads_at_once: int, adapter_knee: int
    ) -> None:
        self._loads_per_s = get_float_opt({"loads_per_s": loads_per_s}, "loads_per_s")
        self._loads_at_once = get_int_opt({"loads_at_once": loads_at_once}, "loads_at_once")
        self._adapter_knee = get_int_opt({"adapter_knee": adapter_knee}, "adapter_knee", least=2)
        self._region = region
        self._load_rate = TokenBucket(self._loads_per_s, max(1.0, self._loads_per_s))
        self._pending_orders = PendingOrders(planner)
        #: Orders of the current round, the most urgent first.
        self.orders: list[Order] = []
        self._now_s = 0.0

    def begin_round(self, view: PlacementView, store_region: str, now_s: float) -> Fleet:
        """:return: the state of the endpoints, which each order of the round updates

        :param store_region: region of the weight store
        :param now_s: time in seconds
        """
        self.orders = []
        self._now_s = now_s
        self._fleet = Fleet(
            view, self._pending_orders.update(view.inventory_by_endpoint, now_s), store_region
        )
        planners = max(1, len(self._fleet.regions)) if self.has_other_planners else 1
        self._load_rate.change_rate(self._loads_per_s / planners, now_s)
        return self._fleet

    @property
    def has_other_planners(self) -> bool:
        """:return: whether other regions have their own planners"""
        return bool(self._region)

    def is_responsible_for(self, endpoint: str) -> bool:
        """:return: whether this planner issues the orders for the endpoint"""
        inventory = self._fleet.inventory_by_endpoint[endpoint]
        return not self.has_other_planners or inventory.region == self._region

    def has_load_capacity(self) -> bool:
        """:return: whether the weight store can serve a further load at full speed"""
        return self._fleet.loads_in_flight < self._loads_at_once

    def load(self, rule: ModelRule, endpoint: str) -> bool:
        """:return: whether the load was issued, or another planner has to issue it"""
        if self.is_responsible_for(endpoint) and not (
            self.has_load_capacity() and self._load_rate.take(1.0, self._now_s)
        ):
            return False
        size = get_model_bytes(rule)
        self._issue(OrderKind.LOAD, endpoint, rule.name, size=size, version=rule.version)
        return True

    def may_load_adapter(self, endpoint: str) -> bool:
        """:return: whether a further load fits the endpoint's share and stays below saturation"""
        loads = self._fleet.adapter_loads_by_endpoint
        endpoints = len(self._fleet.inventory_by_endpoint)
        share = max(1, (self._adapter_knee - 1) // endpoints)
        return loads[endpoint] < share and loads.total() < self._adapter_knee - 1

    def load_adapter(self, rule: AdapterRule, endpoint: str) -> None:
        """Issue the load of an adapter for which the endpoint has enough memory."""
        kind = OrderKind.LOAD_ADAPTER
        self._issue(kind, endpoint, rule.model, rule.name, rule.adapter_bytes)

    def unload(self, victims: Victims) -> None:
        """Issue the unloads of single adapters, and of models after those of their adapters."""
        endpoint = victims.target.endpoint
        models = {each.model for each in victims.victims if not each.adapter}
        unloaded = {each.adapter: each.model for each in victims.victims if each.adapter}
        for adapter in victims.target.adapters:
            rule = self._fleet.rules.adapters_by_name.get(adapter)
            if rule is not None and rule.model in models:
                unloaded[adapter] = rule.model
        for adapter, model in sorted(unloaded.items()):
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
        if not self.is_responsible_for(endpoint):
            return
        self._fleet.apply(OrderInFlight(kind, endpoint, model, adapter, size))
        order = self._pending_orders.issue(
            kind, endpoint, self._now_s, model, adapter, size, version
        )
        self.orders.append(order)
