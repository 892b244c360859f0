"""
kingcupdyke.placements.planner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What all placement policies share: the replicas and adapters that the rules need, and their bounds.
"""

from math import inf
from typing import NamedTuple

from kingcupdyke.budget import TokenBucket
from kingcupdyke.placement import (
    EndpointInventory,
    Order,
    OrderKind,
    PlacementPolicy,
    PlacementView,
)
from kingcupdyke.placements.book import OrderBook, OrderInFlight
from kingcupdyke.placements.fleet import Fleet, get_model_bytes
from kingcupdyke.placements.gain import DemandModel
from kingcupdyke.placements.relocation import find_relocation
from kingcupdyke.placements.victims import Victims, find_victims
from kingcupdyke.rule import AdapterRule, ModelRule
from kingcupdyke.util import get_float_opt, get_int_opt, hash_score, rank_rendezvous

__all__ = ["Planner"]

#: Loads a second that the weight store allows.
LOADS_PER_S = 1.0
#: Loads at once that the weight store gives full speed.
LOADS_AT_ONCE = 5
#: Adapter loads in flight over all endpoints from which on each takes longer.
ADAPTER_KNEE = 40
#: Requests a second that one replica carries.
REPLICA_REQUESTS_PER_S = 2.0
#: Seconds for which room that was made is kept for the load it was made for.
ROOM_KEPT_S = 30.0
#: Seconds from one relocation to the next.
RELOCATION_PAUSE_S = 20.0
#: Copies of an adapter that stay while room is made for a model that the rules need.
LEAST_ADAPTER_COPIES = 1


class Room(NamedTuple):
    """Room that is being made on an endpoint for one model."""

    endpoint: str
    room_bytes: int
    until_s: float


class Planner(PlacementPolicy):
    """Keeps each listed model and adapter resident, within the rates of the platform.

    :param planner: part of each order's id, unique to the run of the planner's process
    :param store_region: region of the weight store; loads elsewhere cross the link
    :param loads_per_s: loads a second that the weight store allows
    :param loads_at_once: loads at once that it gives full speed
    :param adapter_knee: adapter loads in flight from which on each takes longer
    :param replica_requests_per_s: requests a second that one replica carries
    :raises OptionError: when an option is wrong
    """

    def __init__(
        self,
        planner: str = "",
        store_region: str = "",
        loads_per_s: float = LOADS_PER_S,
        loads_at_once: int = LOADS_AT_ONCE,
        adapter_knee: int = ADAPTER_KNEE,
        replica_requests_per_s: float = REPLICA_REQUESTS_PER_S,
    ) -> None:
        options = {"loads_per_s": loads_per_s, "replica_requests_per_s": replica_requests_per_s}
        loads_per_s = get_float_opt(options, "loads_per_s")
        self._load_rate = TokenBucket(loads_per_s, max(1.0, loads_per_s))
        self._loads_at_once = get_int_opt({"loads_at_once": loads_at_once}, "loads_at_once")
        self._adapter_knee = get_int_opt({"adapter_knee": adapter_knee}, "adapter_knee", least=2)
        self._replica_rate = get_float_opt(options, "replica_requests_per_s", least=0.001)
        self._store_region = store_region
        self._book = OrderBook(planner)
        self._room_by_model: dict[str, Room] = {}
        self._relocate_from_s = 0.0
        self._orders: list[Order] = []

    def plan(self, view: PlacementView, now_s: float) -> list[Order]:
        in_flight = self._book.follow(view.inventory_by_endpoint, now_s)
        fleet = Fleet(view, in_flight, self._store_region)
        demand = DemandModel(view.demand_by_model, self._replica_rate)
        self._orders = []
        self._keep_room(fleet, now_s)
        self._plan_needed(fleet, demand, now_s)
        complete = self._plan_adapters(fleet, demand, now_s)
        if complete:
            self._plan_wanted(fleet, demand, now_s)
        return self._orders

    def _plan_wanted(self, fleet: Fleet, demand: DemandModel, now_s: float) -> None:
        """Propose what goes beyond the rules; nothing unless a policy says so."""

    def _keep_room(self, fleet: Fleet, now_s: float) -> None:
        self._room_by_model = {
            model: room
            for model, room in self._room_by_model.items()
            if room.until_s > now_s and self._comes_true(fleet, room)
        }
        for room in self._room_by_model.values():
            fleet.free_by_endpoint[room.endpoint] -= room.room_bytes

    @staticmethod
    def _comes_true(fleet: Fleet, room: Room) -> bool:
        free_bytes = fleet.free_by_endpoint.get(room.endpoint)
        if free_bytes is None:
            return False
        return free_bytes >= room.room_bytes or fleet.unloads_by_endpoint[room.endpoint] > 0

    def _plan_needed(self, fleet: Fleet, demand: DemandModel, now_s: float) -> None:
        lacking = [
            (len(fleet.holders_by_model[name]), len(fleet.get_replicas(name)), name)
            for name in fleet.rules.models_by_name
            if len(fleet.get_replicas(name)) < fleet.get_needed(name)
        ]
        for _, replicas, name in sorted(lacking):
            rule = fleet.rules.models_by_name[name]
            for _ in range(fleet.get_needed(name) - replicas):
                targets = fleet.list_targets(rule)
                if not self._place(fleet, demand, rule, targets, now_s):
                    self._relocate(fleet, targets, get_model_bytes(rule), name, now_s)

    def _place(
        self,
        fleet: Fleet,
        demand: DemandModel,
        rule: ModelRule,
        targets: list[EndpointInventory],
        now_s: float,
        most_loss: float = inf,
    ) -> bool:
        """Load on the best target, or make room on the one where that costs least.

        :param most_loss: requests a second that an unload may cost; infinite for what the rules
            need, which ignores hysteresis
        :return: whether there is a target, be it that its load or room has to wait
        """
        fitting = [each for each in targets if self._fits(fleet, rule, each)]
        if fitting:
            best = min(fitting, key=lambda each: self._rank_target(fleet, demand, rule, each))
            self._load(fleet, rule, best.endpoint, now_s)
            return True
        if rule.name in self._room_by_model:
            return True
        size = get_model_bytes(rule)
        held = most_loss < inf
        found = [self._find_room(fleet, demand, each, size, now_s, held) for each in targets]
        cheap = [each for each in found if each is not None and each.loss < most_loss]
        if cheap:
            self._make_room(fleet, demand, rule, cheap, now_s)
        return bool(cheap)

    def _find_room(
        self,
        fleet: Fleet,
        demand: DemandModel,
        target: EndpointInventory,
        size: int,
        now_s: float,
        held: bool,
    ) -> Victims | None:
        def may_unload(model: str) -> bool:
            return not held or self._may_unload(target.endpoint, model, now_s)

        copies = None if held else LEAST_ADAPTER_COPIES
        return find_victims(fleet, demand, target, size, may_unload, copies)

    def _may_unload(self, endpoint: str, model: str, now_s: float) -> bool:
        """:return: whether hysteresis lets a wanted load take this replica's room"""
        return True

    def _fits(self, fleet: Fleet, rule: ModelRule, target: EndpointInventory) -> bool:
        room = self._room_by_model.get(rule.name)
        own = room.room_bytes if room is not None and room.endpoint == target.endpoint else 0
        return get_model_bytes(rule) <= fleet.free_by_endpoint[target.endpoint] + own

    def _rank_target(
        self, fleet: Fleet, demand: DemandModel, rule: ModelRule, target: EndpointInventory
    ) -> tuple[int, int, int, bool, float, int, int]:
        """:return: a key that is least for the best endpoint"""
        replicas = fleet.get_replicas(rule.name)
        beside = sum(
            fleet.inventory_by_endpoint[each].data_centre == target.data_centre for each in replicas
        )
        preference = rule.regions.index(target.region) if rule.regions else 0
        load = sum(demand.get_share(each, len(fleet.get_replicas(each))) for each in target.models)
        crosses = fleet.crosses(rule.name, target.region)
        free_bytes = fleet.free_by_endpoint[target.endpoint]
        tie = hash_score(rule.name, target.endpoint)
        fullness = fleet.get_fullness(target.data_centre)
        return beside, preference, fullness, crosses, load, -free_bytes, tie

    def _load(self, fleet: Fleet, rule: ModelRule, endpoint: str, now_s: float) -> bool:
        """:return: whether the weight store's rate allowed the load"""
        if fleet.loads >= self._loads_at_once or not self._load_rate.take(1.0, now_s):
            return False
        room = self._room_by_model.pop(rule.name, None)
        if room is not None:
            fleet.free_by_endpoint[room.endpoint] += room.room_bytes
        size = get_model_bytes(rule)
        self._issue(fleet, OrderKind.LOAD, endpoint, now_s, rule.name, size=size)
        return True

    def _make_room(
        self,
        fleet: Fleet,
        demand: DemandModel,
        rule: ModelRule,
        found: list[Victims],
        now_s: float,
    ) -> None:
        """Unload the cheapest victims; the load follows in the round that shows the room."""
        best = min(
            found,
            key=lambda each: (each.loss, self._rank_target(fleet, demand, rule, each.target)),
        )
        self._unload(fleet, best, now_s)
        size = get_model_bytes(rule)
        endpoint = best.target.endpoint
        self._room_by_model[rule.name] = Room(endpoint, size, now_s + ROOM_KEPT_S)
        fleet.free_by_endpoint[endpoint] -= size

    def _unload(self, fleet: Fleet, victims: Victims, now_s: float) -> None:
        endpoint = victims.target.endpoint
        models = {each.model for each in victims.victims if not each.adapter}
        gone = {each.adapter: each.model for each in victims.victims if each.adapter}
        for adapter in victims.target.adapters:
            rule = fleet.rules.adapters_by_name.get(adapter)
            if rule is not None and rule.model in models:
                gone[adapter] = rule.model
        for adapter, model in sorted(gone.items()):
            self._issue(fleet, OrderKind.UNLOAD_ADAPTER, endpoint, now_s, model, adapter)
        for model in sorted(models):
            self._issue(fleet, OrderKind.UNLOAD, endpoint, now_s, model)

    def _relocate(
        self,
        fleet: Fleet,
        targets: list[EndpointInventory],
        size: int,
        kept: str,
        now_s: float,
    ) -> None:
        """Copy a model elsewhere, one at a time, so that its room can be used."""
        if fleet.loads or now_s < self._relocate_from_s:
            return
        relocation = find_relocation(fleet, targets, size, kept)
        if relocation is not None:
            self._load(fleet, relocation.rule, relocation.endpoint, now_s)
            self._relocate_from_s = now_s + RELOCATION_PAUSE_S

    def _plan_adapters(self, fleet: Fleet, demand: DemandModel, now_s: float) -> bool:
        """Put each adapter on as many holders of its model as the rules need replicas.

        :return: whether each adapter has a copy or will; else its room must not be taken
        """
        complete = True
        for rule in fleet.rules.adapters_by_name.values():
            holders = fleet.holders_by_model[rule.model]
            present = fleet.holders_by_adapter[rule.name] & holders
            present |= fleet.coming_by_adapter[rule.name]
            missing = min(fleet.get_needed(rule.model), len(holders)) - len(present)
            key = f"{rule.model}\0{rule.name}"
            ranked = rank_rendezvous(key, holders - present) if missing > 0 else []
            placed = 0
            for endpoint in ranked:
                if placed < missing:
                    placed += self._place_adapter(fleet, demand, rule, endpoint, now_s)
            if missing > 0 and not present and not placed:
                complete = False
                targets = [fleet.inventory_by_endpoint[each] for each in ranked]
                self._relocate(fleet, targets, rule.adapter_bytes, rule.model, now_s)
        return complete

    def _place_adapter(
        self, fleet: Fleet, demand: DemandModel, rule: AdapterRule, endpoint: str, now_s: float
    ) -> bool:
        """:return: whether a load, or the unload that makes room for it, was issued"""
        endpoints = len(fleet.inventory_by_endpoint)
        share = max(1, (self._adapter_knee - 1) // endpoints)
        loads = fleet.adapter_loads_by_endpoint
        if loads[endpoint] >= share or loads.total() >= self._adapter_knee - 1:
            return False
        size = rule.adapter_bytes
        if fleet.free_by_endpoint[endpoint] >= size:
            kind = OrderKind.LOAD_ADAPTER
            self._issue(fleet, kind, endpoint, now_s, rule.model, rule.name, size)
            return True
        target = fleet.inventory_by_endpoint[endpoint]
        victims = find_victims(fleet, demand, target, size, lambda model: model != rule.model)
        if victims is None:
            return False
        self._unload(fleet, victims, now_s)
        return True

    def _issue(
        self,
        fleet: Fleet,
        kind: str,
        endpoint: str,
        now_s: float,
        model: str,
        adapter: str = "",
        size: int = 0,
    ) -> None:
        order = self._book.issue(kind, endpoint, now_s, model, adapter, size)
        fleet.apply(OrderInFlight(kind, endpoint, model, adapter, size))
        self._orders.append(order)
