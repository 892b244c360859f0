"""
kingcupdyke.placements.planner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Base of all placement policies: places the replicas and adapters that the rules require.
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

#: Requests a second that one replica can serve.
REPLICA_REQUESTS_PER_S = 2.0
#: Seconds for which memory that is being freed is reserved for the load that needs it.
RESERVATION_S = 30.0
#: Minimum seconds between two relocations.
RELOCATION_INTERVAL_S = 20.0
#: Seconds for which another region's planner may leave a replica missing until the local one acts.
OTHER_PLANNER_TIMEOUT_S = 60.0
#: Copies of an adapter that remain when memory is freed for a model that the rules require.
MIN_ADAPTER_COPIES = 1


class SpaceReservation(NamedTuple):
    """Memory that is being freed on an endpoint for one model."""

    endpoint: str
    size_bytes: int
    expires_s: float


class Planner(PlacementPolicy):
    """Keeps each model and adapter of the rules resident, within the rate limits of the platform.

    :param planner: part of each order's id, unique to the run of the planner's process
    :param region: region whose endpoints get orders, others having a planner of their own; empty:
        all regions
    :param store_region: region of the weight store; loads elsewhere cross the link
    :param loads_per_s: limit of loads a second from the weight store
    :param loads_at_once: concurrent loads that it serves at full speed
    :param adapter_knee: adapter loads in flight from which on each takes longer
    :param replica_requests_per_s: requests a second that one replica can serve
    :raises OptionError: if an option is invalid
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
        self._reservation_by_model: dict[str, SpaceReservation] = {}
        self._missing_since_by_model: dict[str, float] = {}
        self._next_relocation_s = 0.0

    def plan(self, view: PlacementView, now_s: float) -> list[Order]:
        fleet = self._issuer.begin_round(view, self._store_region, now_s)
        demand = DemandModel(view.demand_by_model, self._replica_rate)
        self._apply_reservations(fleet, now_s)
        self._plan_required(fleet, demand, now_s)
        complete = self._plan_adapters(fleet, demand, now_s)
        if complete:
            self._plan_optional(fleet, demand, now_s)
        return self._issuer.orders

    def _plan_optional(self, fleet: Fleet, demand: DemandModel, now_s: float) -> None:
        """Issue loads beyond the rules; policies override this method, which issues none."""

    def _apply_reservations(self, fleet: Fleet, now_s: float) -> None:
        self._reservation_by_model = {
            model: reservation
            for model, reservation in self._reservation_by_model.items()
            if reservation.expires_s > now_s and self._can_be_met(fleet, reservation)
        }
        for reservation in self._reservation_by_model.values():
            fleet.free_by_endpoint[reservation.endpoint] -= reservation.size_bytes

    @staticmethod
    def _can_be_met(fleet: Fleet, reservation: SpaceReservation) -> bool:
        free_bytes = fleet.free_by_endpoint.get(reservation.endpoint)
        if free_bytes is None:
            return False
        return (
            free_bytes >= reservation.size_bytes
            or fleet.unloads_by_endpoint[reservation.endpoint] > 0
        )

    def _plan_required(self, fleet: Fleet, demand: DemandModel, now_s: float) -> None:
        incomplete = [
            (len(fleet.holders_by_model[name]), len(fleet.get_replicas(name)), name)
            for name in fleet.rules.models_by_name
            if len(fleet.get_replicas(name)) < fleet.get_required(name)
        ]
        self._missing_since_by_model = {
            name: self._missing_since_by_model.get(name, now_s) for _, _, name in incomplete
        }
        for _, replicas, name in sorted(incomplete):
            rule = fleet.rules.models_by_name[name]
            for _ in range(fleet.get_required(name) - replicas):
                targets = self._list_required_targets(fleet, rule, now_s)
                if not self._place(fleet, demand, rule, targets, now_s):
                    self._relocate(fleet, targets, get_model_bytes(rule), name, now_s)

    def _list_required_targets(
        self, fleet: Fleet, rule: ModelRule, now_s: float
    ) -> list[EndpointInventory]:
        """:return: targets; only local ones if a replica is missing for OTHER_PLANNER_TIMEOUT_S"""
        targets = fleet.list_targets(rule)
        if now_s - self._missing_since_by_model[rule.name] < OTHER_PLANNER_TIMEOUT_S:
            return targets
        return [
            each for each in targets if self._issuer.is_responsible_for(each.endpoint)
        ] or targets

    def _place(
        self,
        fleet: Fleet,
        demand: DemandModel,
        rule: ModelRule,
        targets: list[EndpointInventory],
        now_s: float,
        max_loss: float = inf,
    ) -> bool:
        """Load on the best target, or free memory on the one where that costs least.

        :param max_loss: requests a second that an unload may lose; infinite for models that the
            rules require, which ignores hysteresis
        :return: whether there is a target, even if its load or its memory has to wait
        """
        fitting = [each for each in targets if self._fits(fleet, rule, each)]
        if fitting:
            best = min(fitting, key=lambda each: self._rank_target(fleet, demand, rule, each))
            self._load(fleet, rule, best.endpoint, now_s)
            return True
        if rule.name in self._reservation_by_model:
            return True
        size = get_model_bytes(rule)
        respects_holds = max_loss < inf
        found = [
            self._find_victims(fleet, demand, each, size, now_s, respects_holds) for each in targets
        ]
        affordable = [each for each in found if each is not None and each.loss < max_loss]
        if affordable:
            self._free_memory(fleet, demand, rule, affordable, now_s)
        return bool(affordable)

    def _find_victims(
        self,
        fleet: Fleet,
        demand: DemandModel,
        target: EndpointInventory,
        size: int,
        now_s: float,
        respects_holds: bool,
    ) -> Victims | None:
        def may_unload(model: str) -> bool:
            return not respects_holds or self._may_unload(target.endpoint, model, now_s)

        copies = None if respects_holds else MIN_ADAPTER_COPIES
        return find_victims(fleet, demand, target, size, may_unload, copies)

    def _may_unload(self, endpoint: str, model: str, now_s: float) -> bool:
        """:return: whether hysteresis permits the unload of this replica for an optional load"""
        return True

    def _fits(self, fleet: Fleet, rule: ModelRule, target: EndpointInventory) -> bool:
        reservation = self._reservation_by_model.get(rule.name)
        reserved_bytes = (
            reservation.size_bytes
            if reservation is not None and reservation.endpoint == target.endpoint
            else 0
        )
        return get_model_bytes(rule) <= fleet.free_by_endpoint[target.endpoint] + reserved_bytes

    def _rank_target(
        self, fleet: Fleet, demand: DemandModel, rule: ModelRule, target: EndpointInventory
    ) -> tuple[int, int, int, int, int, float, int, int]:
        """:return: a sort key that is lowest for the best endpoint

        Planners of several regions must choose the same region, although each knows its own orders
        and demand sooner than those of the others. Values that may differ between the planners
        therefore rank after the region.
        """
        replicas = fleet.get_replicas(rule.name)
        nearby = sum(
            fleet.inventory_by_endpoint[each].data_centre == target.data_centre for each in replicas
        )
        preference = rule.regions.index(target.region) if rule.regions else 0
        load = sum(demand.get_share(each, len(fleet.get_replicas(each))) for each in target.models)
        crosses = fleet.crosses(rule.name, target.region)
        free_bytes = fleet.free_by_endpoint[target.endpoint]
        tie = hash_score(rule.name, target.endpoint)
        fullness = fleet.get_fullness(target.data_centre)
        if self._issuer.has_other_planners:
            region_tie = hash_score(rule.name, target.region)
            return (
                nearby,
                preference,
                crosses,
                region_tie,
                fullness,
                load,
                -free_bytes,
                tie,
            )
        return nearby, preference, fullness, crosses, 0, load, -free_bytes, tie

    def _load(self, fleet: Fleet, rule: ModelRule, endpoint: str, now_s: float) -> bool:
        """:return: whether the weight store's rate limit allowed the load"""
        if not self._issuer.load(rule, endpoint):
            return False
        reservation = self._reservation_by_model.pop(rule.name, None)
        if reservation is not None:
            fleet.free_by_endpoint[reservation.endpoint] += reservation.size_bytes
        return True

    def _free_memory(
        self,
        fleet: Fleet,
        demand: DemandModel,
        rule: ModelRule,
        found: list[Victims],
        now_s: float,
    ) -> None:
        """Unload the cheapest victims; a later round loads the model once the memory is free."""
        best = min(
            found,
            key=lambda each: (each.loss, self._rank_target(fleet, demand, rule, each.target)),
        )
        self._issuer.unload(best)
        size = get_model_bytes(rule)
        endpoint = best.target.endpoint
        self._reservation_by_model[rule.name] = SpaceReservation(
            endpoint, size, now_s + RESERVATION_S
        )
        fleet.free_by_endpoint[endpoint] -= size

    def _relocate(
        self,
        fleet: Fleet,
        targets: list[EndpointInventory],
        size: int,
        pinned_model: str,
        now_s: float,
    ) -> None:
        """Copy one model to another endpoint, so that its memory here can be freed afterwards."""
        if fleet.loads_in_flight or now_s < self._next_relocation_s:
            return
        relocation = find_relocation(fleet, targets, size, pinned_model)
        if relocation is not None:
            self._load(fleet, relocation.rule, relocation.endpoint, now_s)
            self._next_relocation_s = now_s + RELOCATION_INTERVAL_S

    def _plan_adapters(self, fleet: Fleet, demand: DemandModel, now_s: float) -> bool:
        """Load each adapter on as many holders of its model as the rules require replicas.

        :return: whether each adapter has a copy or is being loaded; if not, optional loads must not
            take the memory that it needs
        """
        complete = True
        for rule in fleet.rules.adapters_by_name.values():
            holders = fleet.holders_by_model[rule.model]
            present = fleet.holders_by_adapter[rule.name] & holders
            present |= fleet.loading_by_adapter[rule.name]
            missing = min(fleet.get_required(rule.model), len(holders)) - len(present)
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
        """:return: whether a load, or the unload that frees memory for it, was issued"""
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
