"""
kingcupdyke.placements.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What one placement round works on: who holds what, what is on its way, and the room that is left.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable

from kingcupdyke.placement import EndpointInventory, OrderKind, PlacementView
from kingcupdyke.placements.pendingorders import OrderInFlight
from kingcupdyke.rule import ModelRule

__all__ = ["Fleet", "get_model_bytes"]


def get_model_bytes(rule: ModelRule) -> int:
    """:return: memory of one replica"""
    return rule.weights_bytes + rule.kv_bytes


class Fleet:
    """State of the endpoints, moved on by each order of the round.

    :param view: rules, endpoints and demand
    :param in_flight: orders without an outcome yet
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
        self._fullness_by_data_centre = self._get_fullness()
        #: Endpoints that hold a model, will not lose it by an order, and are not leaving.
        self.holders_by_model: dict[str, set[str]] = defaultdict(set)
        #: Endpoints to which a load of the model is under way.
        self.coming_by_model: dict[str, set[str]] = defaultdict(set)
        self.holders_by_adapter: dict[str, set[str]] = defaultdict(set)
        self.coming_by_adapter: dict[str, set[str]] = defaultdict(set)
        self.adapter_loads_by_endpoint: Counter[str] = Counter()
        self.unloads_by_endpoint: Counter[str] = Counter()
        self.loads = 0
        for name, inventory in self.inventory_by_endpoint.items():
            for model in inventory.models:
                self.holders_by_model[model].add(name)
            for adapter in inventory.adapters:
                self.holders_by_adapter[adapter].add(name)
        for order in in_flight:
            self.apply(order)

    def apply(self, order: OrderInFlight) -> None:
        """Count an order that is under way."""
        endpoint = order.endpoint
        if endpoint in self.free_by_endpoint:
            self.free_by_endpoint[endpoint] -= order.unseen_bytes
        if order.kind == OrderKind.LOAD:
            self.coming_by_model[order.model].add(endpoint)
            self.loads += 1
        elif order.kind == OrderKind.UNLOAD:
            self.holders_by_model[order.model].discard(endpoint)
            self.unloads_by_endpoint[endpoint] += 1
        elif order.kind == OrderKind.LOAD_ADAPTER:
            self.coming_by_adapter[order.adapter].add(endpoint)
            self.adapter_loads_by_endpoint[endpoint] += 1
        elif order.kind == OrderKind.UNLOAD_ADAPTER:
            self.holders_by_adapter[order.adapter].discard(endpoint)
            self.unloads_by_endpoint[endpoint] += 1

    def get_fullness(self, data_centre: str) -> int:
        """:return: how full the data centre's memory is at the start of the round, in quarters"""
        return self._fullness_by_data_centre[data_centre]

    def get_replicas(self, model: str) -> set[str]:
        """:return: endpoints that hold the model or will; leaving ones do not count"""
        coming = {each for each in self.coming_by_model[model] if each in self.free_by_endpoint}
        return self.holders_by_model[model] | coming

    def get_needed(self, model: str) -> int:
        """:return: replicas that must remain; none for a model that is no longer listed"""
        rule = self.rules.models_by_name.get(model)
        return 0 if rule is None else max(1, rule.replicas)

    def count_by_region(self, model: str) -> dict[str, int]:
        """:return: replicas of the model, those under way included, by region"""
        regions = (self._get_region(each) for each in self.get_replicas(model))
        return dict(Counter(regions))

    def crosses(self, model: str, region: str) -> bool:
        """:return: whether a load of the model there takes its bytes across the region link"""
        if region == self._store_region:
            return False
        return all(self._get_region(each) != region for each in self.holders_by_model[model])

    def list_targets(self, rule: ModelRule) -> list[EndpointInventory]:
        """:return: endpoints that may take a further replica, whether there is room or not

        A region where the first replica is on its way across the link is left out: a copy
        inside the region will do then.
        """
        replicas = self.get_replicas(rule.name)
        coming = {self._get_region(each) for each in replicas - self.holders_by_model[rule.name]}
        awaited = {region for region in coming if self.crosses(rule.name, region)}
        return [
            each
            for name, each in self.inventory_by_endpoint.items()
            if name not in replicas
            and rule.name not in each.models
            and each.region not in awaited
            and (not rule.regions or each.region in rule.regions)
        ]

    def _get_fullness(self) -> dict[str, int]:
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
