"""
kingcupdyke.forwarding.residencyplan
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which models and adapters the engines of a service are to hold, by what is asked for now.

It answers loads in which there are more models than room: a model that nobody holds is loaded when
it is asked for, in place of what is asked for least.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from kingcupdyke.budget import TokenBucket
from kingcupdyke.forwarding.configuration import EngineSpec, ModelSpec
from kingcupdyke.forwarding.peerstate import Demand
from kingcupdyke.forwarding.seat import Seat
from kingcupdyke.placement import Order, OrderKind
from kingcupdyke.util import hash_score

__all__ = ["ResidencyPlan", "TimedOrder"]

#: Loads from the weight store that may follow each other at once, beside the sustained rate.
LOAD_BURST = 3.0
#: Part of the weight store's rate that is used.
LOAD_RATE_SHARE = 0.95
#: Tokens a second that one waiting request adds to the demand for its model.
WAITING_TOKENS_PER_S = 400.0
#: Demand in tokens a second for which a model without a replica is loaded with nobody waiting.
LEAST_TOKENS_PER_S = 150.0
#: Part of the tokens a second that an engine reads beyond which its models get further replicas.
BUSY_SHARE = 0.35
#: How much more a new replica must carry than what is unloaded for it.
REPLICA_GAIN = 2.0
#: Seconds for which a replica stays after its load, unless nobody asks for it.
STAY_S = 2.0
#: Seconds for which a model waits for the room that is being made for it.
ROOM_S = 1.8
#: Part of all demand from which on a model may occupy the last engines that are free for loads.
MAJOR_SHARE = 0.1
#: Part of the engines that is kept free for such models while others are loaded for long.
FREE_SHARE = 0.25
#: How much more a model must be asked for to take the room that is being made for another one.
ROOM_GAIN = 3.0
#: Seconds that an adapter takes at most in the usual case.
ADAPTER_S = 0.03
#: Seconds that an unload is expected to take.
UNLOAD_S = 0.5
#: Seconds for which demand that an unload harms goes unserved.
LOSS_S = 6.0
#: Demand in tokens a second that the last replica of a model is worth beyond what is known, where
#: another model is to have a further replica.
LAST_TOKENS_PER_S = 500.0
#: Adapters that may be on their way to one endpoint.
ADAPTERS_COMING = 4


class TimedOrder(NamedTuple):
    """An order and how long it is expected to take."""

    order: Order
    expected_s: float
    #: The model that an unload makes room for, and seconds until it is there.
    successor: str
    successor_s: float


class _Choice(NamedTuple):
    """A seat for a model, and what must be unloaded there."""

    seat: Seat
    victims: tuple[str, ...]
    cost: float
    loss: float


class ResidencyPlan:
    """Plans the orders for the engines of one service during one planner's term.

    :param service: name of the service, part of the orders' ids
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._bucket: TokenBucket | None = None
        self._number = 0
        self._room_by_model: dict[str, tuple[str, float]] = {}
        self._loaded_s: dict[tuple[str, str], float] = {}

    def plan(
        self,
        engine: EngineSpec,
        seats: Iterable[Seat],
        demands: Iterable[Demand],
        tokens_per_s: float,
        now_s: float,
    ) -> list[TimedOrder]:
        """Propose orders for one round, at most one for each seat.

        :param seats: all engines of the service
        :param demands: demand as told by all gateways; several for one model add up
        :param tokens_per_s: prompt tokens a second that one engine reads
        :param now_s: time in seconds
        """
        return _Round(self, engine, list(seats), demands, tokens_per_s, now_s).run()

    def take_load(self, engine: EngineSpec, now_s: float) -> bool:
        """:return: whether the weight store's rate allows a load, which counts then"""
        if self._bucket is None:
            self._bucket = TokenBucket(engine.loads_per_s * LOAD_RATE_SHARE, LOAD_BURST)
            # A planner before this one may have used the whole burst.
            self._bucket.take(LOAD_BURST - 1.0, now_s)
        return self._bucket.take(1.0, now_s)

    def next_id(self) -> str:
        """:return: an order id, unique in this term"""
        self._number += 1
        return f"{self._service}-{self._number}"

    def keep_room(self, model: str, endpoint: str, now_s: float) -> None:
        """Remember that room for a model is being made."""
        self._room_by_model[model] = (endpoint, now_s + ROOM_S)

    def get_room(self, model: str, now_s: float) -> str:
        """:return: the endpoint at which room is being made, or the empty string"""
        endpoint, until_s = self._room_by_model.get(model, ("", 0.0))
        return endpoint if now_s < until_s else ""

    def list_rooms(self, model: str, now_s: float) -> dict[str, str]:
        """:return: endpoints at which room is being made for other models, and those models"""
        return {
            endpoint: other
            for other, (endpoint, until_s) in self._room_by_model.items()
            if other != model and now_s < until_s
        }

    def note_load(self, endpoint: str, model: str, now_s: float) -> None:
        """Remember when a replica was loaded."""
        self._room_by_model.pop(model, None)
        self._loaded_s[(endpoint, model)] = now_s

    def is_recent(self, endpoint: str, model: str, now_s: float) -> bool:
        """:return: whether a replica was loaded a short while ago"""
        return now_s - self._loaded_s.get((endpoint, model), -STAY_S) < STAY_S


class _Round:
    """One round of planning."""

    def __init__(
        self,
        plan: ResidencyPlan,
        engine: EngineSpec,
        seats: list[Seat],
        demands: Iterable[Demand],
        tokens_per_s: float,
        now_s: float,
    ) -> None:
        self._busy_tokens_per_s = BUSY_SHARE * tokens_per_s
        self._plan = plan
        self._engine = engine
        self._now_s = now_s
        self._seats = [each for each in seats if not each.entry.is_leaving and each.is_reachable]
        self._free = {each.entry.endpoint: each for each in self._seats if each.takes_orders}
        self._waiting: dict[tuple[str, str], int] = defaultdict(int)
        self._rate: dict[tuple[str, str], float] = defaultdict(float)
        for each in demands:
            self._waiting[(each.model, each.adapter)] += each.waiting
            self._rate[(each.model, each.adapter)] += each.tokens_per_s
        self._waiting_by_model: dict[str, int] = defaultdict(int)
        self._rate_by_model: dict[str, float] = defaultdict(float)
        for (model, _), count in self._waiting.items():
            self._waiting_by_model[model] += count
        for (model, _), rate in self._rate.items():
            self._rate_by_model[model] += rate
        # Reading adds no keys from here on.
        for table in (self._waiting, self._rate, self._waiting_by_model, self._rate_by_model):
            table.default_factory = None
        self._orders: list[TimedOrder] = []
        #: Replicas that this round unloads.
        self._leaving: set[tuple[str, str]] = set()

    def run(self) -> list[TimedOrder]:
        """:return: the orders of this round"""
        self._place_adapters()
        proposals = self._propose_missing() + self._propose_replica()
        for benefit, model in sorted(proposals, reverse=True):
            spec = self._engine.models_by_name[model]
            self._place_model(spec, benefit)
        return self._orders

    def _holders(self, model: str) -> list[Seat]:
        return [
            seat
            for seat in self._seats
            if model in seat.models_by_name
            and seat.leaving_model != model
            and (seat.entry.endpoint, model) not in self._leaving
        ]

    def _is_coming(self, model: str) -> bool:
        return any(seat.coming_model == model for seat in self._seats)

    def _issue(
        self,
        seat: Seat,
        kind: str,
        model: str,
        adapter: str,
        expected_s: float,
        successor: ModelSpec | None = None,
    ) -> None:
        if kind == OrderKind.UNLOAD:
            self._leaving.add((seat.entry.endpoint, model))
        order = Order(self._plan.next_id(), seat.entry.endpoint, kind, model, adapter)
        name = successor.name if successor is not None else ""
        successor_s = expected_s + _load_s(seat, successor) if successor is not None else 0.0
        self._orders.append(TimedOrder(order, expected_s, name, successor_s))
        self._free.pop(seat.entry.endpoint, None)

    def _place_adapters(self) -> None:
        wanted = [key for key, count in self._waiting.items() if key[1] and count]
        wanted.sort(key=lambda key: (-self._waiting.get(key, 0), -self._rate.get(key, 0.0), key))
        for model, adapter in wanted:
            holders = self._holders(model)
            if any(seat.has_adapter(model, adapter) for seat in holders):
                continue
            free = [each for each in holders if each.entry.endpoint in self._free]
            if not free:
                continue
            best = min(
                free,
                key=lambda each: (
                    len(each.list_adapters()) >= self._engine.adapter_slots,
                    len(each.list_adapters()),
                    hash_score(adapter, each.entry.endpoint),
                ),
            )
            self._place_adapter(best, model, adapter)

    def _place_adapter(self, seat: Seat, model: str, adapter: str) -> None:
        spec = self._engine.models_by_name.get(model)
        if spec is None or seat.count_coming(self._now_s) >= ADAPTERS_COMING:
            return
        present = seat.list_adapters()
        is_full = len(present) >= self._engine.adapter_slots
        if not is_full and self._free_bytes(seat) >= spec.adapter_bytes:
            self._issue(seat, OrderKind.LOAD_ADAPTER, model, adapter, ADAPTER_S)
            return
        idle = [key for key in present if not self._waiting.get(key, 0) and key != (model, adapter)]
        if idle:
            victim = min(idle, key=lambda key: (self._rate.get(key, 0.0), key))
            if self._rate.get(victim, 0.0) <= self._rate.get(
                (model, adapter), 0.0
            ) or not self._rate.get(victim, 0.0):
                self._issue(seat, OrderKind.UNLOAD_ADAPTER, *victim, ADAPTER_S)

    def _free_bytes(self, seat: Seat) -> int:
        used = 0
        for name in seat.models_by_name.keys() | ({seat.coming_model} - {""}):
            spec = self._engine.models_by_name.get(name)
            used += spec.weights_bytes if spec is not None else self._engine.memory_bytes
        for model, _ in seat.list_adapters():
            spec = self._engine.models_by_name.get(model)
            used += spec.adapter_bytes if spec is not None else 0
        return self._engine.memory_bytes - used

    def _propose_missing(self) -> list[tuple[float, str]]:
        """:return: models that are asked for and that nobody holds, with their demand"""
        return [
            (self._value(model), model)
            for model in self._rate_by_model.keys() | self._waiting_by_model.keys()
            if model in self._engine.models_by_name
            and (
                self._waiting_by_model.get(model, 0)
                or self._rate_by_model.get(model, 0.0) >= LEAST_TOKENS_PER_S
            )
            and not self._holders(model)
            and not self._is_coming(model)
        ]

    def _propose_replica(self) -> list[tuple[float, str]]:
        """:return: the model that most needs a further replica, with the demand that it moves"""
        best: list[tuple[float, str]] = []
        for model, rate in self._rate_by_model.items():
            holders = self._holders(model)
            if not holders or model not in self._engine.models_by_name or self._is_coming(model):
                continue
            load = min(self._load(seat) for seat in holders)
            if load > self._busy_tokens_per_s:
                moved = min(rate / len(holders), load - self._busy_tokens_per_s)
                best.append((moved / REPLICA_GAIN, model))
        return sorted(best)[-1:]

    def _load(self, seat: Seat) -> float:
        """:return: tokens a second that a seat's models bring it"""
        return sum(
            self._rate_by_model.get(model, 0.0) / max(1, len(self._holders(model)))
            for model in seat.models_by_name
        )

    def _value(self, model: str) -> float:
        waiting = self._waiting_by_model.get(model, 0) * WAITING_TOKENS_PER_S
        return self._rate_by_model.get(model, 0.0) + waiting

    def _place_model(self, spec: ModelSpec, value: float) -> bool:
        room = self._plan.get_room(spec.name, self._now_s)
        if room and room not in self._free:
            if any(seat.entry.endpoint == room for seat in self._seats):
                return False
            room = ""
        rooms = self._plan.list_rooms(spec.name, self._now_s)
        seats = [
            seat
            for endpoint, seat in self._free.items()
            if ROOM_GAIN * self._value(rooms.get(endpoint, "")) < value or endpoint not in rooms
        ]
        if room:
            seats = [self._free[room]]
        choices = [self._weigh(seat, spec, value) for seat in seats]
        allowed = [each for each in choices if each is not None and each.loss < value]
        if not allowed:
            return False
        best = min(allowed, key=lambda each: (each.cost, each.seat.entry.endpoint))
        if best.victims:
            self._issue(best.seat, OrderKind.UNLOAD, best.victims[0], "", UNLOAD_S, spec)
            self._plan.keep_room(spec.name, best.seat.entry.endpoint, self._now_s)
            return True
        return self._order_load(best.seat, spec)

    def _order_load(self, seat: Seat, spec: ModelSpec) -> bool:
        is_cold = not _is_at_hand(seat, spec)
        if is_cold and not self._may_occupy(spec.name):
            return False
        if is_cold and not self._plan.take_load(self._engine, self._now_s):
            return False
        self._issue(seat, OrderKind.LOAD, spec.name, "", _load_s(seat, spec))
        self._plan.note_load(seat.entry.endpoint, spec.name, self._now_s)
        return True

    def _may_occupy(self, model: str) -> bool:
        """:return: whether a model may occupy an engine for the time of a load from the store"""
        demand = sum(self._value(each) for each in self._engine.models_by_name)
        if self._value(model) >= MAJOR_SHARE * demand:
            return True
        return len(self._free) - 1 >= FREE_SHARE * len(self._seats)

    def _weigh(self, seat: Seat, spec: ModelSpec, value: float) -> _Choice | None:
        """:return: what a load costs at a seat, or None where no room can be made"""
        if spec.name in seat.models_by_name:
            return None
        free = self._free_bytes(seat)
        victims: list[str] = []
        loss = 0.0
        is_further = bool(self._holders(spec.name))
        losses = {name: self._loss(seat, name, is_further) for name in seat.models_by_name}
        kept = sorted(losses, key=lambda name: (losses[name], name))
        for name in kept:
            if free >= spec.weights_bytes:
                break
            victims.append(name)
            loss += losses[name]
            held = self._engine.models_by_name.get(name)
            free += held.weights_bytes if held is not None else self._engine.memory_bytes
        if free < spec.weights_bytes:
            return None
        delay_s = _load_s(seat, spec) + UNLOAD_S * len(victims)
        cost = value * delay_s + loss * LOSS_S
        return _Choice(seat, tuple(victims), cost, loss)

    def _loss(self, seat: Seat, model: str, is_further: bool) -> float:
        """:return: demand in tokens a second that an unload harms

        :param is_further: whether the room is for a further replica
        """
        value = self._value(model)
        others = len(self._holders(model)) - 1
        if others <= 0:
            if is_further:
                value += LAST_TOKENS_PER_S
            recent = self._plan.is_recent(seat.entry.endpoint, model, self._now_s)
            return value * 2 if recent and value else value
        over = self._rate_by_model.get(model, 0.0) / others - self._busy_tokens_per_s
        return max(0.0, over) * others + value / (others + 1) / 10


def _is_at_hand(seat: Seat, spec: ModelSpec) -> bool:
    return spec.name in seat.entry.in_memory or spec.name in seat.entry.on_disk


def _load_s(seat: Seat, spec: ModelSpec) -> float:
    if spec.name in seat.entry.in_memory:
        return spec.memory_load_s
    if spec.name in seat.entry.on_disk:
        return spec.disk_load_s
    return spec.load_s
