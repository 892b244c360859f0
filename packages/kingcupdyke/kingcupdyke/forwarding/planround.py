"""
kingcupdyke.forwarding.planround
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State of one planning round: the engines, the demand, and the orders issued so far.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from kingcupdyke.forwarding.configuration import EngineSpec, ModelSpec
from kingcupdyke.forwarding.enginestate import EngineState
from kingcupdyke.forwarding.peerstate import Demand
from kingcupdyke.forwarding.pinneddemand import PinnedDemand
from kingcupdyke.placement import Order, OrderKind

__all__ = ["PlanRound", "TimedOrder", "find_load_s", "has_local_copy"]

#: Tokens a second by which each waiting request increases the demand for its model.
WAITING_TOKENS_PER_S = 400.0


class TimedOrder(NamedTuple):
    """An order and its expected duration."""

    order: Order
    expected_s: float
    #: The model for which an unload frees memory, and expected seconds until that model is loaded.
    successor: str
    successor_s: float


class PlanRound:
    """One round of planning.

    :param engine_spec: capacity and models of each engine
    :param engines: all engines of the service; draining and unreachable ones are ignored
    :param demands: demand that all gateways report; several for one model add up
    :param pinned: demand that only engines of one software version can serve
    :param next_id: returns the id of a new order
    :param now_s: time in seconds
    """

    def __init__(
        self,
        engine_spec: EngineSpec,
        engines: Iterable[EngineState],
        demands: Iterable[Demand],
        pinned: Iterable[PinnedDemand],
        next_id: Callable[[], str],
        now_s: float,
    ) -> None:
        self.engine_spec = engine_spec
        self.pinned = [each for each in pinned if each.model in engine_spec.models_by_name]
        self.now_s = now_s
        self.engines = [each for each in engines if not each.entry.is_leaving and each.is_reachable]
        #: Engines that accept an order in this round, by endpoint.
        self.free_engines = {
            each.entry.endpoint: each for each in self.engines if each.accepts_orders
        }
        #: Number of waiting requests, and requested tokens a second, by model and adapter.
        self.waiting: dict[tuple[str, str], int] = defaultdict(int)
        self.rate: dict[tuple[str, str], float] = defaultdict(float)
        #: The same by model.
        self.waiting_by_model: dict[str, int] = defaultdict(int)
        self.rate_by_model: dict[str, float] = defaultdict(float)
        self._add_up(demands)
        self.orders: list[TimedOrder] = []
        self._next_id = next_id
        #: Replicas that this round unloads, as endpoint and model.
        self._unloading: set[tuple[str, str]] = set()
        self._holders_by_model: dict[str, list[EngineState]] = {}
        self._copy_endpoints_by_model: dict[str, frozenset[str]] = {}

    def _add_up(self, demands: Iterable[Demand]) -> None:
        for each in demands:
            self.waiting[(each.model, each.adapter)] += each.waiting
            self.rate[(each.model, each.adapter)] += each.tokens_per_s
        for (model, _), count in self.waiting.items():
            self.waiting_by_model[model] += count
        for (model, _), rate in self.rate.items():
            self.rate_by_model[model] += rate
        # From here on, reading a missing key must not add it.
        for table in (self.waiting, self.rate, self.waiting_by_model, self.rate_by_model):
            table.default_factory = None

    def list_holders(self, model: str, software_version: str | None = None) -> list[EngineState]:
        """:return: engines that hold a model and have no order to unload it

        :param software_version: version that the engines must run, or None for any
        """
        holders = self._holders_by_model.get(model)
        if holders is None:
            holders = self._holders_by_model[model] = [
                engine
                for engine in self.engines
                if model in engine.models_by_name
                and engine.unloading_model != model
                and (engine.entry.endpoint, model) not in self._unloading
            ]
        if software_version is None:
            return holders
        return [each for each in holders if each.entry.software_version == software_version]

    def list_copy_endpoints(self, spec: ModelSpec) -> frozenset[str]:
        """:return: endpoints with a copy of a model's weights on disk or in host memory"""
        endpoints = self._copy_endpoints_by_model.get(spec.name)
        if endpoints is None:
            endpoints = frozenset(
                each.entry.endpoint for each in self.engines if has_local_copy(each, spec)
            )
            self._copy_endpoints_by_model[spec.name] = endpoints
        return endpoints

    def is_loading(self, model: str, software_version: str | None = None) -> bool:
        """:return: whether an engine is loading a model

        :param software_version: version that the engine must run, or None for any
        """
        return any(
            engine.loading_model == model
            and software_version in (None, engine.entry.software_version)
            for engine in self.engines
        )

    def is_placed(self, model: str) -> bool:
        """:return: whether this round has an order to load a model, or to free memory for it"""
        return any(
            model == each.successor
            or (model == each.order.model and each.order.kind == OrderKind.LOAD)
            for each in self.orders
        )

    def get_demand(self, model: str) -> float:
        """:return: demand for a model in tokens a second, waiting requests included"""
        waiting = self.waiting_by_model.get(model, 0) * WAITING_TOKENS_PER_S
        return self.rate_by_model.get(model, 0.0) + waiting

    def free_bytes(self, engine: EngineState) -> int:
        """:return: free bytes of an engine; ordered models and adapters count as loaded"""
        used = 0
        for name in engine.models_by_name.keys() | ({engine.loading_model} - {""}):
            spec = self.engine_spec.models_by_name.get(name)
            used += spec.weights_bytes if spec is not None else self.engine_spec.memory_bytes
        for model, _ in engine.list_adapters():
            spec = self.engine_spec.models_by_name.get(model)
            used += spec.adapter_bytes if spec is not None else 0
        return self.engine_spec.memory_bytes - used

    def issue(
        self,
        engine: EngineState,
        kind: str,
        model: str,
        adapter: str,
        expected_s: float,
        successor: ModelSpec | None = None,
    ) -> None:
        """Issue an engine's order of this round.

        :param expected_s: expected duration of the order in seconds
        :param successor: the model for which an unload frees memory
        """
        if kind == OrderKind.UNLOAD:
            self._unloading.add((engine.entry.endpoint, model))
            self._holders_by_model.pop(model, None)
        order = Order(self._next_id(), engine.entry.endpoint, kind, model, adapter)
        name = successor.name if successor is not None else ""
        successor_s = expected_s + find_load_s(engine, successor) if successor is not None else 0.0
        self.orders.append(TimedOrder(order, expected_s, name, successor_s))
        self.free_engines.pop(engine.entry.endpoint, None)


def has_local_copy(engine: EngineState, spec: ModelSpec) -> bool:
    """:return: whether an engine has a copy of a model's weights on disk or in host memory"""
    return spec.name in engine.entry.in_memory or spec.name in engine.entry.on_disk


def find_load_s(engine: EngineState, spec: ModelSpec) -> float:
    """:return: seconds that a load of a model takes at an engine"""
    if spec.name in engine.entry.in_memory:
        return spec.memory_load_s
    if spec.name in engine.entry.on_disk:
        return spec.disk_load_s
    return spec.load_s
