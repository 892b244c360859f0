"""
fleet_fake
~~~~~~~~~~

Simulated endpoints that execute a planner's orders in rounds of one second and record the results.
"""

from collections import Counter, deque
from random import Random

from builders import make_inventory

from kingcupdyke.placement import OrderKind, PlacementView
from kingcupdyke.placements.fleet import get_model_bytes

__all__ = ["FleetFake", "RegionPlanners"]


class RegionPlanners:
    """One planner for each region, each of which knows only the demand of its own region.

    :param planners: policy by region; a region may lack one
    """

    def __init__(self, planners):
        self.planners = planners

    def plan(self, view, now_s):
        orders = []
        for region, planner in self.planners.items():
            demand = {key: rate for key, rate in view.demand_by_model.items() if key[1] == region}
            own = planner.plan(view._replace(demand_by_model=demand), now_s)
            regions = {view.inventory_by_endpoint[each.endpoint].region for each in own}
            assert regions <= {region}, own
            orders += own
        return orders


class FleetFake:
    """Executes orders and records what the steps check.

    :param rules: rule set, which contains the sizes of models and adapters
    :param placement: policy that plans once a second
    :param endpoints: (name, region, data centre) of each endpoint
    :param capacity_bytes: memory of each endpoint
    :param load_rounds: rounds that a load of a model takes; a load of an adapter takes one round
    :param loss: share of orders that do not reach their endpoint
    """

    def __init__(self, rules, placement, endpoints, capacity_bytes=20, load_rounds=5, loss=0.0):
        self.rules = rules
        self.placement = placement
        self.load_rounds = load_rounds
        self.loss = loss
        self.rng = Random(1)
        self.now_s = 0.0
        self.demand = {}
        self.inventories = {
            name: make_inventory(
                name, region=region, data_centre=centre, capacity_bytes=capacity_bytes
            )
            for name, region, centre in endpoints
        }
        #: The planner sees the inventories of the previous round.
        self.snapshots = deque(maxlen=2)
        self.running = []
        self.loads = []
        self.orders = []
        self.unloads = 0
        self.max_loads = 0
        self.max_adapter_loads = 0
        self.max_adapter_loads_at_one = 0
        self.crossings = []
        self.requested = 0.0
        self.unmet = 0.0
        self.problems = []

    def place(self, endpoint, *models):
        """Add models to an endpoint before the first round."""
        inventory = self.inventories[endpoint]
        size = sum(self.get_bytes(OrderKind.LOAD, each, "") for each in models)
        self.inventories[endpoint] = inventory._replace(
            models=inventory.models | set(models), reserved_bytes=inventory.reserved_bytes + size
        )

    def get_bytes(self, kind, model, adapter):
        if kind in (OrderKind.LOAD, OrderKind.UNLOAD):
            return get_model_bytes(self.rules.models_by_name[model])
        return self.rules.adapters_by_name[adapter].adapter_bytes

    def run(self, rounds, demand=None):
        """Run rounds with a demand by model and region; without one, the last demand remains."""
        self.demand = self.demand if demand is None else demand
        for _ in range(rounds):
            self.end_orders()
            self.snapshots.append(dict(self.inventories))
            view = PlacementView(self.rules, self.snapshots[0], self.demand)
            orders = self.placement.plan(view, self.now_s)
            self.check_adapters(orders)
            for order in orders:
                self.execute(order)
            self.count_running()
            self.requested += sum(self.demand.values())
            for (model, _), requests_per_s in self.demand.items():
                self.unmet += max(0.0, requests_per_s - 2.0 * len(self.holders(model)))
            self.now_s += 1.0

    def count_running(self):
        kinds = Counter(each.kind for each, _ in self.running)
        self.max_loads = max(self.max_loads, kinds[OrderKind.LOAD])
        self.max_adapter_loads = max(self.max_adapter_loads, kinds[OrderKind.LOAD_ADAPTER])
        adapters = (each for each, _ in self.running if each.kind == OrderKind.LOAD_ADAPTER)
        at_one = Counter(each.endpoint for each in adapters)
        self.max_adapter_loads_at_one = max(self.max_adapter_loads_at_one, *at_one.values(), 0)

    def holders(self, model):
        """:return: names of the endpoints that hold the model"""
        return sorted(name for name, each in self.inventories.items() if model in each.models)

    def execute(self, order):
        self.orders.append(order)
        self.note_load(order)
        if self.rng.random() < self.loss:
            return
        inventory = self.inventories[order.endpoint]
        pending = inventory.pending | {order.order_id}
        reserved = inventory.reserved_bytes
        if order.kind in (OrderKind.LOAD, OrderKind.LOAD_ADAPTER):
            reserved += self.get_bytes(order.kind, order.model, order.adapter)
        if reserved > inventory.capacity_bytes:
            self.problems.append(("does not fit", order))
        self.inventories[order.endpoint] = inventory._replace(
            pending=pending, reserved_bytes=reserved
        )
        rounds = self.load_rounds if order.kind == OrderKind.LOAD else 1
        self.running.append((order, self.now_s + rounds))

    def check_adapters(self, orders):
        unloaded = {(each.endpoint, each.model) for each in orders if each.kind == OrderKind.UNLOAD}
        for order in orders:
            if order.kind == OrderKind.UNLOAD_ADAPTER:
                others = [each for each in self.inventories.values() if not each.leaving]
                copies = sum(order.adapter in each.adapters for each in others)
                if copies < 2 and (order.endpoint, order.model) not in unloaded:
                    self.problems.append(("last copy of an adapter", order))

    def note_load(self, order):
        if order.kind == OrderKind.UNLOAD:
            self.unloads += 1
            same = [each for each, _ in self.running if each.kind == order.kind]
            unloading = {each.endpoint for each in same if each.model == order.model}
            accepting = {name for name, each in self.inventories.items() if not each.leaving}
            others = accepting & set(self.holders(order.model)) - unloading - {order.endpoint}
            if len(others) < self.rules.models_by_name[order.model].replicas:
                self.problems.append(("below the rule's replicas", order))
        if order.kind == OrderKind.LOAD:
            assert order.model_version == self.rules.models_by_name[order.model].version
            self.loads.append((self.now_s, order))
            region = self.inventories[order.endpoint].region
            if all(self.inventories[each].region != region for each in self.holders(order.model)):
                self.crossings.append((order.model, region))

    def end_orders(self):
        ended = [order for order, end_s in self.running if end_s <= self.now_s]
        self.running = [each for each in self.running if each[1] > self.now_s]
        for order in ended:
            inventory = self.inventories[order.endpoint]
            models, adapters = set(inventory.models), set(inventory.adapters)
            reserved = inventory.reserved_bytes
            if order.kind in (OrderKind.LOAD, OrderKind.LOAD_ADAPTER):
                (adapters if order.adapter else models).add(order.adapter or order.model)
            else:
                (adapters if order.adapter else models).remove(order.adapter or order.model)
                reserved -= self.get_bytes(order.kind, order.model, order.adapter)
            self.inventories[order.endpoint] = inventory._replace(
                models=frozenset(models),
                adapters=frozenset(adapters),
                reserved_bytes=reserved,
                pending=inventory.pending - {order.order_id},
            )
