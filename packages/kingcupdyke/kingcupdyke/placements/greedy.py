"""
kingcupdyke.placements.greedy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Placement of further replicas where each byte that is loaded gains the most attainment.
"""

from math import inf
from typing import NamedTuple

from kingcupdyke.placements.fleet import Fleet, get_model_bytes
from kingcupdyke.placements.gain import DemandModel
from kingcupdyke.placements.planner import Planner
from kingcupdyke.rule import ModelRule
from kingcupdyke.util import GIB, get_float_opt

__all__ = ["GreedyPlacement"]

#: Seconds for which a loaded replica is kept.
HOLD_S = 120.0
#: Requests a second that each GiB, weighted by its link price, must gain at a lean of 0.5.
GAIN_THRESHOLD = 0.005
#: Factor by which the gain of a load must exceed the loss of the unload that it needs.
SWAP_MARGIN = 1.5
#: Price of a byte that crosses regions, relative to a byte inside a region.
LINK_PRICE = 10.0


class LoadCandidate(NamedTuple):
    """A load that would gain attainment."""

    #: Requests a second gained for each GiB, weighted by its link price.
    score: float
    rule: ModelRule
    region: str
    #: Requests a second gained.
    gain: float


class GreedyPlacement(Planner):
    """Loads replicas where the gained attainment per byte is highest, with hysteresis.

    :param lean: weight of attainment against moves, 0.0 to 1.0; at 0.0 nothing is loaded beyond
        the rules, at 1.0 any gain is worth its bytes
    :param hold_s: seconds for which a loaded replica is kept; 0 disables the hold
    :param gain_threshold: requests a second that each GiB, weighted by its link price, must gain
        at ``lean`` 0.5
    :param swap_margin: factor by which the gain must exceed the loss of what is unloaded
    :param link_price: price of a byte that crosses regions, relative to a byte inside a region
    :param options: see :class:`~kingcupdyke.placements.planner.Planner`
    :raises OptionError: if an option is invalid
    """

    name = "greedy"

    def __init__(
        self,
        lean: float = 0.5,
        hold_s: float = HOLD_S,
        gain_threshold: float = GAIN_THRESHOLD,
        swap_margin: float = SWAP_MARGIN,
        link_price: float = LINK_PRICE,
        **options: object,
    ) -> None:
        super().__init__(**options)
        lean = get_float_opt({"lean": lean}, "lean", most=1.0)
        threshold = get_float_opt({"gain_threshold": gain_threshold}, "gain_threshold")
        self._threshold = threshold * (1.0 - lean) / lean if lean else inf
        self._hold_s = get_float_opt({"hold_s": hold_s}, "hold_s")
        self._swap_margin = get_float_opt({"swap_margin": swap_margin}, "swap_margin", 1.0, 1.0)
        self._link_price = get_float_opt({"link_price": link_price}, "link_price")
        self._hold_end_s_by_replica: dict[tuple[str, str], float] = {}

    def _plan_optional(self, fleet: Fleet, demand: DemandModel, now_s: float) -> None:
        self._hold_end_s_by_replica = {
            replica: hold_end_s
            for replica, hold_end_s in self._hold_end_s_by_replica.items()
            if hold_end_s > now_s
        }
        if not self._issuer.has_load_capacity():
            return
        candidates = [
            each
            for rule in fleet.rules.models_by_name.values()
            for region in rule.regions or fleet.regions
            if (each := self._evaluate_load(fleet, demand, rule, region)) is not None
        ]
        placed: set[str] = set()
        for each in sorted(candidates, key=lambda each: (-each.score, each.rule.name, each.region)):
            # A load changes the gain in other regions, which the next round evaluates again.
            if each.rule.name in placed:
                continue
            targets = fleet.list_targets(each.rule)
            targets = [target for target in targets if target.region == each.region]
            max_loss = each.gain / self._swap_margin
            if self._place(fleet, demand, each.rule, targets, now_s, max_loss):
                placed.add(each.rule.name)

    def _evaluate_load(
        self, fleet: Fleet, demand: DemandModel, rule: ModelRule, region: str
    ) -> LoadCandidate | None:
        """:return: a load of one more replica in the region, or None if not worth its bytes"""
        if len(fleet.get_replicas(rule.name)) < fleet.get_required(rule.name):
            return None
        gain = demand.get_gain(rule.name, fleet.count_by_region(rule.name), region)
        price = self._link_price if fleet.crosses(rule.name, region) else 1.0
        score = gain / (price * get_model_bytes(rule) / GIB)
        is_worth_loading = gain > 0 and score >= self._threshold
        return LoadCandidate(score, rule, region, gain) if is_worth_loading else None

    def _load(self, fleet: Fleet, rule: ModelRule, endpoint: str, now_s: float) -> bool:
        loaded = super()._load(fleet, rule, endpoint, now_s)
        if loaded:
            self._hold_end_s_by_replica[(endpoint, rule.name)] = now_s + self._hold_s
        return loaded

    def _may_unload(self, endpoint: str, model: str, now_s: float) -> bool:
        return now_s >= self._hold_end_s_by_replica.get((endpoint, model), now_s)
