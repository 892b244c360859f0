"""
kingcupdyke.placements.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State of the endpoints in one placement round: replicas, orders in flight and free memory.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable

from kingcupdyke.placement import EndpointInventory, OrderKind, PlacementView
from kingcupdyke.placements.pendingorders import OrderInFlight
from kingcupdyke.rule import ModelRule

__all__ = ["Fleet", "get_model_bytes"]


def get_model_bytes(rule: ModelRule) -> int:
    """:return: bytes of memory that one replica takes"""
    return rule.weights_bytes + rule.kv_bytes


class Fleet:
    """State of the endpoints, updated by each order of the round.

    :param view: rules, endpoints and demand
    :param in_flight: orders whose outcome is not known yet
    :param store_region: region of the weight store
    """

    def __init__(
        self, view: PlacementView, in_flight: Iterable[OrderInFlight], store_region: str = ""
    ) -> None:
        self.rules = view.rules
        self._store_region = store_region
        self.inventory_by_endpoint = {
            name: each for name, each in view.inventory_by_endpoint.items() if not each.leaving
        }
        self.free_by_endpoint = {
            name: each.capacity_bytes - each.reserved_bytes
            for name, each in self.inventory_by_endpoint.items()
        }
        self.regions = sorted({each.region for each in self.inventory_by_endpoint.values()})
        self._fullness_by_data_centre = self._compute_fullness()
        #: Endpoints that hold a model, have no order to unload it, and are not draining.
        self.holders_by_model: dict[str, set[str]] = defaultdict(set)
        #: Endpoints that are loading a model.
        self.loading_by_model: dict[str, set[str]] = defaultdict(set)
        self.holders_by_adapter: dict[str, set[str]] = defaultdict(set)
        self.loading_by_adapter: dict[str, set[str]] = defaultdict(set)
        self.adapter_loads_by_endpoint: Counter[str] = Counter()
        self.unloads_by_endpoint: Counter[str] = Counter()
        self.loads_in_flight = 0
        for name, inventory in self.inventory_by_endpoint.items():
            for model in inventory.models:
                self.holders_by_model[model].add(name)
            for adapter in inventory.adapters:
                self.holders_by_adapter[adapter].add(name)
        for order in in_flight:
            self.apply(order)

    def apply(self, order: OrderInFlight) -> None:
        """Update the state by the effect of an order in flight."""
        endpoint = order.endpoint
        if endpoint in self.free_by_endpoint:
            self.free_by_endpoint[endpoint] -= order.unreserved_bytes
        if order.kind == OrderKind.LOAD:
            self.loading_by_model[order.model].add(endpoint)
            self.loads_in_flight += 1
        elif order.kind == OrderKind.UNLOAD:
            self.holders_by_model[order.model].discard(endpoint)
            self.unloads_by_endpoint[endpoint] += 1
        elif order.kind == OrderKind.LOAD_ADAPTER:
            self.loading_by_adapter[order.adapter].add(endpoint)
            self.adapter_loads_by_endpoint[endpoint] += 1
        elif order.kind == OrderKind.UNLOAD_ADAPTER:
            self.holders_by_adapter[order.adapter].discard(endpoint)
            self.unloads_by_endpoint[endpoint] += 1

    def get_fullness(self, data_centre: str) -> int:
        """:return: used quarters of a data centre's memory at the start of the round, rounded up"""
        return self._fullness_by_data_centre[data_centre]

    def get_replicas(self, model: str) -> set[str]:
        """:return: endpoints that hold or are loading the model; draining ones do not count"""
        loading = {each for each in self.loading_by_model[model] if each in self.free_by_endpoint}
        return self.holders_by_model[model] | loading

    def get_required(self, model: str) -> int:
        """:return: number of replicas that must remain; 0 for a model that no longer has a rule"""
        rule = self.rules.models_by_name.get(model)
        return 0 if rule is None else max(1, rule.replicas)

    def count_by_region(self, model: str) -> dict[str, int]:
        """:return: number of replicas of the model by region, including those being loaded"""
        regions = (self._get_region(each) for each in self.get_replicas(model))
        return dict(Counter(regions))

    def crosses(self, model: str, region: str) -> bool:
        """:return: whether a load of the model in the region uses the link between regions"""
        if region == self._store_region:
            return False
        return all(self._get_region(each) != region for each in self.holders_by_model[model])

    def list_targets(self, rule: ModelRule) -> list[EndpointInventory]:
        """:return: endpoints that may get a further replica, whether their memory suffices or not

        A region whose first replica is being loaded across the link is excluded, as the next one
        can then be copied inside the region.
        """
        replicas = self.get_replicas(rule.name)
        loading = {self._get_region(each) for each in replicas - self.holders_by_model[rule.name]}
        excluded = {region for region in loading if self.crosses(rule.name, region)}
        return [
            each
            for name, each in self.inventory_by_endpoint.items()
            if name not in replicas
            and rule.name not in each.models
            and each.region not in excluded
            and (not rule.regions or each.region in rule.regions)
        ]

    def _compute_fullness(self) -> dict[str, int]:
        capacity_bytes: Counter[str] = Counter()
        free_bytes: Counter[str] = Counter()
        for name, inventory in self.inventory_by_endpoint.items():
            capacity_bytes[inventory.data_centre] += inventory.capacity_bytes
            free_bytes[inventory.data_centre] += max(0, self.free_by_endpoint[name])
        return {
            each: 4 - int(4 * free_bytes[each] / max(1, total))
            for each, total in capacity_bytes.items()
        }

    def _get_region(self, endpoint: str) -> str:
        return self.inventory_by_endpoint[endpoint].region
