"""
kingcupdyke.placements.greedy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Placing further replicas where a byte moved gains the most attainment.
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
#: Requests a second that each priced GiB must gain when both measures weigh alike.
GAIN_THRESHOLD = 0.005
#: How many times the loss of an unload its gain must be.
SWAP_MARGIN = 1.5
#: Price of a byte across regions, in bytes inside a region.
LINK_PRICE = 10.0


class Wanted(NamedTuple):
    """A load that would gain attainment."""

    #: Requests a second gained for each priced GiB.
    score: float
    rule: ModelRule
    region: str
    #: Requests a second gained.
    gain: float


class GreedyPlacement(Planner):
    """Loads where attainment gained per priced byte is highest, with hysteresis.

    :param lean: 0.0 weighs moves alone, so nothing is loaded beyond the rules; 1.0 weighs
        attainment alone, so any gain is worth its bytes
    :param hold_s: seconds for which a loaded replica is kept; 0 switches that off
    :param gain_threshold: requests a second that each priced GiB must gain at ``lean`` 0.5
    :param swap_margin: how many times the loss of what is unloaded the gain must be
    :param link_price: price of a byte across regions, in bytes inside a region
    :param options: see :class:`~kingcupdyke.placements.planner.Planner`
    :raises OptionError: when an option is wrong
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
        self._held_until_by_replica: dict[tuple[str, str], float] = {}

    def _plan_wanted(self, fleet: Fleet, demand: DemandModel, now_s: float) -> None:
        self._held_until_by_replica = {
            replica: until_s
            for replica, until_s in self._held_until_by_replica.items()
            if until_s > now_s
        }
        if not self._issuer.has_load_left():
            return
        wanted = [
            each
            for rule in fleet.rules.models_by_name.values()
            for region in rule.regions or fleet.regions
            if (each := self._want(fleet, demand, rule, region)) is not None
        ]
        placed: set[str] = set()
        for each in sorted(wanted, key=lambda each: (-each.score, each.rule.name, each.region)):
            # A load changes what another region gains, which the next round counts.
            if each.rule.name in placed:
                continue
            targets = fleet.list_targets(each.rule)
            targets = [target for target in targets if target.region == each.region]
            most_loss = each.gain / self._swap_margin
            if self._place(fleet, demand, each.rule, targets, now_s, most_loss):
                placed.add(each.rule.name)

    def _want(
        self, fleet: Fleet, demand: DemandModel, rule: ModelRule, region: str
    ) -> Wanted | None:
        """:return: one replica more in the region, if that is worth its bytes"""
        if len(fleet.get_replicas(rule.name)) < fleet.get_needed(rule.name):
            return None
        gain = demand.get_gain(rule.name, fleet.count_by_region(rule.name), region)
        price = self._link_price if fleet.crosses(rule.name, region) else 1.0
        score = gain / (price * get_model_bytes(rule) / GIB)
        worth = gain > 0 and score >= self._threshold
        return Wanted(score, rule, region, gain) if worth else None

    def _load(self, fleet: Fleet, rule: ModelRule, endpoint: str, now_s: float) -> bool:
        loaded = super()._load(fleet, rule, endpoint, now_s)
        if loaded:
            self._held_until_by_replica[(endpoint, rule.name)] = now_s + self._hold_s
        return loaded

    def _may_unload(self, endpoint: str, model: str, now_s: float) -> bool:
        return now_s >= self._held_until_by_replica.get((endpoint, model), now_s)
