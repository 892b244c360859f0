"""
kingcupdyke.forwarding.planround
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What is known in one round of planning: the engines, what is asked for, and the orders so far.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from kingcupdyke.forwarding.configuration import EngineSpec, ModelSpec
from kingcupdyke.forwarding.enginestate import EngineState
from kingcupdyke.forwarding.peerstate import Demand
from kingcupdyke.placement import Order, OrderKind

__all__ = ["PlanRound", "TimedOrder", "find_load_s", "is_at_hand"]

#: Tokens a second that one waiting request adds to the demand for its model.
WAITING_TOKENS_PER_S = 400.0


class TimedOrder(NamedTuple):
    """An order and how long it is expected to take."""

    order: Order
    expected_s: float
    #: The model that an unload makes room for, and seconds until it is there.
    successor: str
    successor_s: float


class PlanRound:
    """One round of planning.

    :param engine: what the engines are like
    :param seats: all engines of the service
    :param demands: demand as told by all gateways; several for one model add up
    :param next_id: gives an order's id
    :param now_s: time in seconds
    """

    def __init__(
        self,
        engine: EngineSpec,
        seats: Iterable[EngineState],
        demands: Iterable[Demand],
        next_id: Callable[[], str],
        now_s: float,
    ) -> None:
        self.engine = engine
        self.now_s = now_s
        self.seats = [each for each in seats if not each.entry.is_leaving and each.is_reachable]
        #: Engines that take an order in this round, by endpoint.
        self.free = {each.entry.endpoint: each for each in self.seats if each.takes_orders}
        #: Waiting requests, and tokens a second, by model and adapter.
        self.waiting: dict[tuple[str, str], int] = defaultdict(int)
        self.rate: dict[tuple[str, str], float] = defaultdict(float)
        #: The same by model.
        self.waiting_by_model: dict[str, int] = defaultdict(int)
        self.rate_by_model: dict[str, float] = defaultdict(float)
        self._add_up(demands)
        self.orders: list[TimedOrder] = []
        self._next_id = next_id
        #: Replicas that this round unloads.
        self._leaving: set[tuple[str, str]] = set()
        self._holders_by_model: dict[str, list[EngineState]] = {}
        self._copies_by_model: dict[str, frozenset[str]] = {}

    def _add_up(self, demands: Iterable[Demand]) -> None:
        for each in demands:
            self.waiting[(each.model, each.adapter)] += each.waiting
            self.rate[(each.model, each.adapter)] += each.tokens_per_s
        for (model, _), count in self.waiting.items():
            self.waiting_by_model[model] += count
        for (model, _), rate in self.rate.items():
            self.rate_by_model[model] += rate
        # Reading adds no keys from here on.
        for table in (self.waiting, self.rate, self.waiting_by_model, self.rate_by_model):
            table.default_factory = None

    def list_holders(self, model: str) -> list[EngineState]:
        """:return: engines that hold a model and are not told to unload it"""
        holders = self._holders_by_model.get(model)
        if holders is None:
            holders = self._holders_by_model[model] = [
                seat
                for seat in self.seats
                if model in seat.models_by_name
                and seat.leaving_model != model
                and (seat.entry.endpoint, model) not in self._leaving
            ]
        return holders

    def list_copies(self, spec: ModelSpec) -> frozenset[str]:
        """:return: engines with a copy of a model's weights on disk or in host memory"""
        copies = self._copies_by_model.get(spec.name)
        if copies is None:
            copies = frozenset(each.entry.endpoint for each in self.seats if is_at_hand(each, spec))
            self._copies_by_model[spec.name] = copies
        return copies

    def is_coming(self, model: str) -> bool:
        """:return: whether an engine is loading a model"""
        return any(seat.coming_model == model for seat in self.seats)

    def value(self, model: str) -> float:
        """:return: demand for a model in tokens a second, waiting requests included"""
        waiting = self.waiting_by_model.get(model, 0) * WAITING_TOKENS_PER_S
        return self.rate_by_model.get(model, 0.0) + waiting

    def free_bytes(self, seat: EngineState) -> int:
        """:return: bytes that neither weights nor adapters take, those on their way included"""
        used = 0
        for name in seat.models_by_name.keys() | ({seat.coming_model} - {""}):
            spec = self.engine.models_by_name.get(name)
            used += spec.weights_bytes if spec is not None else self.engine.memory_bytes
        for model, _ in seat.list_adapters():
            spec = self.engine.models_by_name.get(model)
            used += spec.adapter_bytes if spec is not None else 0
        return self.engine.memory_bytes - used

    def issue(
        self,
        seat: EngineState,
        kind: str,
        model: str,
        adapter: str,
        expected_s: float,
        successor: ModelSpec | None = None,
    ) -> None:
        """Give an engine its order of this round.

        :param expected_s: seconds that it is expected to take
        :param successor: the model that an unload makes room for
        """
        if kind == OrderKind.UNLOAD:
            self._leaving.add((seat.entry.endpoint, model))
            self._holders_by_model.pop(model, None)
        order = Order(self._next_id(), seat.entry.endpoint, kind, model, adapter)
        name = successor.name if successor is not None else ""
        successor_s = expected_s + find_load_s(seat, successor) if successor is not None else 0.0
        self.orders.append(TimedOrder(order, expected_s, name, successor_s))
        self.free.pop(seat.entry.endpoint, None)


def is_at_hand(seat: EngineState, spec: ModelSpec) -> bool:
    """:return: whether an engine has a copy of a model's weights"""
    return spec.name in seat.entry.in_memory or spec.name in seat.entry.on_disk


def find_load_s(seat: EngineState, spec: ModelSpec) -> float:
    """:return: seconds that a load takes at an engine"""
    if spec.name in seat.entry.in_memory:
        return spec.memory_load_s
    if spec.name in seat.entry.on_disk:
        return spec.disk_load_s
    return spec.load_s
