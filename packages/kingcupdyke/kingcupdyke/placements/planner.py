"""
kingcupdyke.placements.planner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What all placement policies share: the replicas and adapters that the rules need, and their bounds.
"""

from math import inf
from typing import NamedTuple

from kingcupdyke.placement import EndpointInventory, Order, PlacementPolicy, PlacementView
from kingcupdyke.placements.fleet import Fleet, get_model_bytes
from kingcupdyke.placements.gain import DemandModel
from kingcupdyke.placements.issuer import (
    ADAPTER_KNEE,
    LOADS_AT_ONCE,
    LOADS_PER_S,
    OrderIssuer,
)
from kingcupdyke.placements.relocation import find_relocation
from kingcupdyke.placements.victims import Victims, find_victims
from kingcupdyke.rule import AdapterRule, ModelRule
from kingcupdyke.util import get_float_opt, hash_score, rank_rendezvous

__all__ = ["Planner"]

#: Requests a second that one replica carries.
REPLICA_REQUESTS_PER_S = 2.0
#: Seconds for which room that was made is kept for the load it was made for.
ROOM_KEPT_S = 30.0
#: Seconds from one relocation to the next.
RELOCATION_PAUSE_S = 20.0
#: Seconds for which another region's planner is waited for, before one's own region takes over.
OTHER_PLANNER_S = 60.0
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
    :param region: region whose endpoints get orders, others having a planner of their own; empty:
        all regions
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
        region: str = "",
        store_region: str = "",
        loads_per_s: float = LOADS_PER_S,
        loads_at_once: int = LOADS_AT_ONCE,
        adapter_knee: int = ADAPTER_KNEE,
        replica_requests_per_s: float = REPLICA_REQUESTS_PER_S,
    ) -> None:
        options = {"replica_requests_per_s": replica_requests_per_s}
        self._replica_rate = get_float_opt(options, "replica_requests_per_s", least=0.001)
        self._store_region = store_region
        self._issuer = OrderIssuer(planner, region, loads_per_s, loads_at_once, adapter_knee)
        self._room_by_model: dict[str, Room] = {}
        self._lacking_since_by_model: dict[str, float] = {}
        self._relocate_from_s = 0.0

    def plan(self, view: PlacementView, now_s: float) -> list[Order]:
        fleet = self._issuer.begin_round(view, self._store_region, now_s)
        demand = DemandModel(view.demand_by_model, self._replica_rate)
        self._keep_room(fleet, now_s)
        self._plan_needed(fleet, demand, now_s)
        complete = self._plan_adapters(fleet, demand, now_s)
        if complete:
            self._plan_wanted(fleet, demand, now_s)
        return self._issuer.orders

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
        self._lacking_since_by_model = {
            name: self._lacking_since_by_model.get(name, now_s) for _, _, name in lacking
        }
        for _, replicas, name in sorted(lacking):
            rule = fleet.rules.models_by_name[name]
            for _ in range(fleet.get_needed(name) - replicas):
                targets = self._list_needed_targets(fleet, rule, now_s)
                if not self._place(fleet, demand, rule, targets, now_s):
                    self._relocate(fleet, targets, get_model_bytes(rule), name, now_s)

    def _list_needed_targets(
        self, fleet: Fleet, rule: ModelRule, now_s: float
    ) -> list[EndpointInventory]:
        """:return: targets; after a while only own ones, as no other planner seems to come"""
        targets = fleet.list_targets(rule)
        if now_s - self._lacking_since_by_model[rule.name] < OTHER_PLANNER_S:
            return targets
        return [each for each in targets if self._issuer.is_own(each.endpoint)] or targets

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
    ) -> tuple[int, int, int, int, int, float, int, int]:
        """:return: a key that is least for the best endpoint

        Planners of several regions must find the same region, though each knows its own orders
        and demand sooner than the others'. So what differs between them ranks after the region.
        """
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
        if self._issuer.shares_work:
            region_tie = hash_score(rule.name, target.region)
            return beside, preference, crosses, region_tie, fullness, load, -free_bytes, tie
        return beside, preference, fullness, crosses, 0, load, -free_bytes, tie

    def _load(self, fleet: Fleet, rule: ModelRule, endpoint: str, now_s: float) -> bool:
        """:return: whether the weight store's rate allowed the load"""
        if not self._issuer.load(rule, endpoint):
            return False
        room = self._room_by_model.pop(rule.name, None)
        if room is not None:
            fleet.free_by_endpoint[room.endpoint] += room.room_bytes
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
        self._issuer.unload(best)
        size = get_model_bytes(rule)
        endpoint = best.target.endpoint
        self._room_by_model[rule.name] = Room(endpoint, size, now_s + ROOM_KEPT_S)
        fleet.free_by_endpoint[endpoint] -= size

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
                    placed += self._place_adapter(fleet, demand, rule, endpoint)
            if missing > 0 and not present and not placed:
                complete = False
                targets = [fleet.inventory_by_endpoint[each] for each in ranked]
                self._relocate(fleet, targets, rule.adapter_bytes, rule.model, now_s)
        return complete

    def _place_adapter(
        self, fleet: Fleet, demand: DemandModel, rule: AdapterRule, endpoint: str
    ) -> bool:
        """:return: whether a load, or the unload that makes room for it, was issued"""
        if not self._issuer.may_load_adapter(endpoint):
            return False
        if fleet.free_by_endpoint[endpoint] >= rule.adapter_bytes:
            self._issuer.load_adapter(rule, endpoint)
            return True
        target = fleet.inventory_by_endpoint[endpoint]
        victims = find_victims(
            fleet, demand, target, rule.adapter_bytes, lambda model: model != rule.model
        )
        if victims is None:
            return False
        self._issuer.unload(victims)
        return True
