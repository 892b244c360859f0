"""
kingcupdyke.forwarding.modelround
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides in one planning round which models the engines of a service load and unload.
"""

from collections import defaultdict
from typing import NamedTuple

from kingcupdyke.forwarding.configuration import ModelSpec
from kingcupdyke.forwarding.enginestate import EngineState
from kingcupdyke.forwarding.planround import (
    WAITING_TOKENS_PER_S,
    PlanRound,
    find_load_s,
    has_local_copy,
)
from kingcupdyke.forwarding.residencymemory import ResidencyMemory
from kingcupdyke.placement import OrderKind

__all__ = ["ModelRound"]

#: Demand in tokens a second at which a model without a replica is loaded although no request
#: waits for it.
MIN_DEMAND_TOKENS_PER_S = 150.0
#: Share of the tokens a second that an engine reads, above which its models get further replicas.
BUSY_SHARE = 0.5
#: Factor by which the demand moved to a further replica must exceed the loss of what is unloaded.
REPLICA_GAIN = 2.0
#: Share of all demand at which a model may occupy the last free engines for a long load.
MAJOR_DEMAND_SHARE = 0.1
#: Share of the engines that is kept free for such models during the long loads of other models.
FREE_ENGINES_SHARE = 0.25
#: Factor by which a model's demand must exceed another one's to take the space reserved for that.
RESERVATION_GAIN = 3.0
#: Expected seconds for unloading a model.
UNLOAD_S = 0.5
#: Seconds for which the demand that an unload affects is assumed to be unserved.
UNSERVED_S = 6.0
#: Demand in tokens a second that is added to a model's own if its last replica would be unloaded
#: for a further replica of another model.
LAST_REPLICA_TOKENS_PER_S = 500.0
#: Factor on the demand for a model whose last replica was recently loaded.
RECENT_WEIGHT = 2.0
#: Factor on the demand that one of several replicas serves, as the others can serve it.
FURTHER_REPLICA_WEIGHT = 0.1
#: Demand in tokens a second that is assumed for a model of which only one engine has a local copy.
ONLY_COPY_TOKENS_PER_S = 100.0
#: Share of the actual demand for such a model that is added.
ONLY_COPY_DEMAND_SHARE = 0.3
#: Seconds after its expected end for which an order is still expected to end soon.
ORDER_GRACE_S = 0.5
#: Demand in tokens a second that is added for the last replica of a model that is always requested.
USAGE_TOKENS_PER_S = 150.0


class _Choice(NamedTuple):
    """An engine for a model, what must be unloaded there, and what that costs."""

    engine: EngineState
    victims: tuple[str, ...]
    cost: float
    loss: float


class ModelRound:
    """The part of a planning round that loads and unloads models.

    :param memory: what earlier rounds have left
    :param plan_round: the round
    :param tokens_per_s: prompt tokens a second that one engine reads
    """

    def __init__(self, memory: ResidencyMemory, plan_round: PlanRound, tokens_per_s: float) -> None:
        self._memory = memory
        self._round = plan_round
        self._engine_spec = plan_round.engine_spec
        self._now_s = plan_round.now_s
        self._busy_tokens_per_s = BUSY_SHARE * tokens_per_s

    def run(self) -> None:
        """Issue the orders, for the models with the greatest benefit first."""
        proposals = self._propose_missing() + self._propose_replica()
        for benefit, model, software_version in sorted(self._propose_pinned(), reverse=True):
            spec = self._engine_spec.models_by_name[model]
            self._place_model(spec, benefit, software_version)
        for benefit, model in sorted(proposals, reverse=True):
            if not self._round.is_placed(model):
                self._place_model(self._engine_spec.models_by_name[model], benefit)

    def _propose_pinned(self) -> list[tuple[float, str, str]]:
        """:return: models that streams wait for at a software version without a replica of them,
        with their demand and that version
        """
        waiting: dict[tuple[str, str], int] = defaultdict(int)
        for each in self._round.pinned:
            waiting[(each.model, each.software_version)] += each.waiting
        return [
            (self._get_pinned_demand(model, count), model, version)
            for (model, version), count in waiting.items()
            if not self._round.list_holders(model, version)
            and not self._round.is_loading(model, version)
        ]

    def _get_pinned_demand(self, model: str, waiting: int) -> float:
        """:return: demand that a replica for waiting streams serves, in tokens a second"""
        demand = waiting * WAITING_TOKENS_PER_S
        if self._round.list_holders(model):
            return demand
        return demand + self._round.get_demand(model)

    def _propose_missing(self) -> list[tuple[float, str]]:
        """:return: requested models without a replica, with their demand"""
        return [
            (self._round.get_demand(model), model)
            for model in self._round.rate_by_model.keys() | self._round.waiting_by_model.keys()
            if model in self._engine_spec.models_by_name
            and (
                self._round.waiting_by_model.get(model, 0)
                or self._round.rate_by_model.get(model, 0.0) >= MIN_DEMAND_TOKENS_PER_S
            )
            and not self._has_holder_in_time(model)
            and not self._round.is_loading(model)
        ]

    def _has_holder_in_time(self, model: str) -> bool:
        """:return: whether a holder of a model accepts requests before a load elsewhere ends"""
        load_s = self._engine_spec.models_by_name[model].load_s
        return any(each.backoff_s <= load_s for each in self._round.list_holders(model))

    def _propose_replica(self) -> list[tuple[float, str]]:
        """:return: the model that most needs a further replica, and the demand moved to that"""
        best: list[tuple[float, str]] = []
        for model, rate in self._round.rate_by_model.items():
            holders = self._round.list_holders(model)
            if (
                not holders
                or model not in self._engine_spec.models_by_name
                or self._round.is_loading(model)
            ):
                continue
            load = min(self._get_engine_load(engine) for engine in holders)
            if load > self._busy_tokens_per_s:
                moved = min(rate / len(holders), load - self._busy_tokens_per_s)
                best.append((moved / REPLICA_GAIN, model))
        return sorted(best)[-1:]

    def _get_engine_load(self, engine: EngineState) -> float:
        """:return: tokens a second that an engine receives for its models"""
        return sum(
            self._round.rate_by_model.get(model, 0.0) / max(1, len(self._round.list_holders(model)))
            for model in engine.models_by_name
        )

    def _place_model(
        self, spec: ModelSpec, benefit: float, software_version: str | None = None
    ) -> None:
        reserved_endpoint = self._memory.get_reserved_endpoint(spec.name, self._now_s)
        if not self._runs_version(reserved_endpoint, software_version):
            reserved_endpoint = ""
        if reserved_endpoint and reserved_endpoint not in self._round.free_engines:
            if any(
                engine.entry.endpoint == reserved_endpoint and not engine.is_backing_off
                for engine in self._round.engines
            ):
                return
            reserved_endpoint = ""
        engines = (
            [self._round.free_engines[reserved_endpoint]]
            if reserved_endpoint
            else self._list_candidates(spec, benefit, software_version)
        )
        is_further = bool(self._round.list_holders(spec.name, software_version))
        choices = [self._evaluate(engine, spec, benefit, is_further) for engine in engines]
        allowed = [each for each in choices if each is not None and each.loss < benefit]
        if not allowed:
            return
        best = min(allowed, key=lambda each: (each.cost, each.engine.entry.endpoint))
        if best.engine.entry.endpoint not in self._round.free_engines:
            # This engine is busy now, but will have the model sooner than any other one.
            return
        if best.victims:
            self._round.issue(best.engine, OrderKind.UNLOAD, best.victims[0], "", UNLOAD_S, spec)
            self._memory.reserve_space(spec.name, best.engine.entry.endpoint, self._now_s)
            return
        self._order_load(best.engine, spec)

    def _runs_version(self, endpoint: str, software_version: str | None) -> bool:
        return software_version is None or any(
            engine.entry.endpoint == endpoint and engine.entry.software_version == software_version
            for engine in self._round.engines
        )

    def _list_candidates(
        self, spec: ModelSpec, benefit: float, software_version: str | None
    ) -> list[EngineState]:
        """:return: engines that may load a model, also if busy with an order of known duration"""
        model_by_endpoint = self._memory.list_reserved_endpoints(spec.name, self._now_s)
        return [
            engine
            for engine in self._round.engines
            if self._is_available_soon(engine)
            and software_version in (None, engine.entry.software_version)
            and (
                engine.entry.endpoint not in model_by_endpoint
                or RESERVATION_GAIN
                * self._round.get_demand(model_by_endpoint[engine.entry.endpoint])
                < benefit
            )
        ]

    def _is_available_soon(self, engine: EngineState) -> bool:
        if engine.is_backing_off:
            return False
        if engine.entry.endpoint in self._round.free_engines or not engine.has_report:
            return True
        return engine.open_order is not None and self._now_s < engine.expected_end_s + ORDER_GRACE_S

    def _wait_s(self, engine: EngineState) -> float:
        """:return: expected seconds until an engine accepts an order"""
        if engine.entry.endpoint in self._round.free_engines:
            return 0.0
        return max(ORDER_GRACE_S, engine.expected_end_s - self._now_s)

    def _order_load(self, engine: EngineState, spec: ModelSpec) -> None:
        is_cold = not has_local_copy(engine, spec)
        if is_cold and not self._may_occupy(spec.name):
            return
        if is_cold and not self._memory.take_load(self._engine_spec, self._now_s):
            return
        self._round.issue(engine, OrderKind.LOAD, spec.name, "", find_load_s(engine, spec))
        self._memory.note_load(engine.entry.endpoint, spec.name, self._now_s)

    def _may_occupy(self, model: str) -> bool:
        """:return: whether a model may occupy an engine during a load from the weight store"""
        demand = sum(self._round.get_demand(each) for each in self._engine_spec.models_by_name)
        if self._round.get_demand(model) >= MAJOR_DEMAND_SHARE * demand:
            return True
        return len(self._round.free_engines) - 1 >= FREE_ENGINES_SHARE * len(self._round.engines)

    def _evaluate(
        self, engine: EngineState, spec: ModelSpec, benefit: float, is_further: bool
    ) -> _Choice | None:
        """:return: costs of a load on an engine, or None if not enough memory can be freed

        :param is_further: whether other engines already serve the demand for the model
        """
        if spec.name in engine.models_by_name:
            return None
        free = self._round.free_bytes(engine)
        victims: list[str] = []
        loss = 0.0
        losses = {
            name: self._get_unload_loss(engine, name, is_further) for name in engine.models_by_name
        }
        by_loss = sorted(losses, key=lambda name: (losses[name], name))
        for name in by_loss:
            if free >= spec.weights_bytes:
                break
            victims.append(name)
            loss += losses[name]
            held = self._engine_spec.models_by_name.get(name)
            free += held.weights_bytes if held is not None else self._engine_spec.memory_bytes
        if free < spec.weights_bytes:
            return None
        delay_s = find_load_s(engine, spec) + UNLOAD_S * len(victims)
        delay_s += self._wait_s(engine)
        cost = benefit * delay_s + loss * UNSERVED_S + self._occupation_cost(engine, spec)
        return _Choice(engine, tuple(victims), cost, loss)

    def _occupation_cost(self, engine: EngineState, spec: ModelSpec) -> float:
        """:return: cost of blocking loads from an engine's local copies while it loads a model"""
        if has_local_copy(engine, spec):
            return 0.0
        return spec.load_s * sum(
            ONLY_COPY_TOKENS_PER_S
            + ONLY_COPY_DEMAND_SHARE * self._round.rate_by_model.get(name, 0.0)
            for name, model in self._engine_spec.models_by_name.items()
            if has_local_copy(engine, model) and self._is_only_copy(engine, model)
        )

    def _is_only_copy(self, engine: EngineState, spec: ModelSpec) -> bool:
        """:return: whether only this engine, apart from one holder, has a local copy of a model"""
        holders = self._round.list_holders(spec.name)
        if engine in holders or len(holders) > 1:
            return False
        holding = {each.entry.endpoint for each in holders}
        return self._round.list_copy_endpoints(spec) - holding == {engine.entry.endpoint}

    def _get_unload_loss(self, engine: EngineState, model: str, is_further: bool) -> float:
        """:return: demand in tokens a second that an unload harms

        :param is_further: whether the memory is freed for a further replica of another model
        """
        demand = self._round.get_demand(model)
        holders = self._round.list_holders(model)
        others = [each for each in holders if each is not engine]
        if not others:
            demand += self._memory.get_usage_share(model) * USAGE_TOKENS_PER_S
            if is_further:
                demand += LAST_REPLICA_TOKENS_PER_S
            recent = self._memory.is_recently_loaded(engine.entry.endpoint, model, self._now_s)
            return demand * RECENT_WEIGHT if recent else demand
        rate = self._round.rate_by_model.get(model, 0.0)
        moved = rate / len(others) - rate / len(holders)
        over = sum(
            max(0.0, self._get_engine_load(each) + moved - self._busy_tokens_per_s)
            for each in others
        )
        return over + FURTHER_REPLICA_WEIGHT * demand / len(holders)
