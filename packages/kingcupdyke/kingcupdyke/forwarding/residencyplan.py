"""
kingcupdyke.forwarding.residencyplan
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which models and adapters the engines of a service are to hold, by current demand.

The engines may have less memory than all models need: a model without a replica is loaded when it
is requested, and the models with the least demand are unloaded for it.
"""

from collections.abc import Iterable

from kingcupdyke.forwarding.adapterplan import place_requested, prefetch_adapters
from kingcupdyke.forwarding.configuration import EngineSpec
from kingcupdyke.forwarding.enginestate import EngineState
from kingcupdyke.forwarding.modelround import ModelRound
from kingcupdyke.forwarding.peerstate import Demand
from kingcupdyke.forwarding.pinneddemand import PinnedDemand
from kingcupdyke.forwarding.planround import PlanRound, TimedOrder
from kingcupdyke.forwarding.residencymemory import ResidencyMemory

__all__ = ["ResidencyPlan"]


class ResidencyPlan:
    """Plans the orders for the engines of one service during one planner's term.

    :param service: name of the service, prefix of the orders' ids
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._number = 0
        self._memory = ResidencyMemory()

    def plan(
        self,
        engine_spec: EngineSpec,
        engines: Iterable[EngineState],
        demands: Iterable[Demand],
        tokens_per_s: float,
        now_s: float,
        pinned: Iterable[PinnedDemand] = (),
    ) -> list[TimedOrder]:
        """Propose orders for one round, at most one for each engine.

        :param engine_spec: capacity and models of each engine
        :param engines: all engines of the service
        :param demands: demand that all gateways report; several for one model add up
        :param tokens_per_s: prompt tokens a second that one engine reads
        :param now_s: time in seconds
        :param pinned: demand that only engines of one software version can serve
        """
        plan_round = PlanRound(engine_spec, engines, demands, pinned, self._next_id, now_s)
        self._memory.update_usage(
            (name for name in engine_spec.models_by_name if plan_round.get_demand(name) > 0.0),
            now_s,
        )
        place_requested(plan_round)
        ModelRound(self._memory, plan_round, tokens_per_s).run()
        prefetch_adapters(plan_round)
        return plan_round.orders

    def _next_id(self) -> str:
        """:return: an order id, unique in this term"""
        self._number += 1
        return f"{self._service}-{self._number}"
