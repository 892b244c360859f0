"""
kingcupdyke.forwarding.residencyplan
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which models and adapters the engines of a service are to hold, by what is asked for now.

It answers loads in which there are more models than room: a model that nobody holds is loaded when
it is asked for, in place of what is asked for least.
"""

from collections.abc import Iterable
from typing import NamedTuple

from kingcupdyke.budget import TokenBucket
from kingcupdyke.forwarding.adapterplan import load_ahead, place_wanted
from kingcupdyke.forwarding.configuration import EngineSpec, ModelSpec
from kingcupdyke.forwarding.enginestate import EngineState
from kingcupdyke.forwarding.peerstate import Demand
from kingcupdyke.forwarding.planround import PlanRound, TimedOrder, find_load_s, is_at_hand
from kingcupdyke.placement import OrderKind

__all__ = ["ResidencyPlan"]

#: Loads from the weight store that may follow each other at once, beside the sustained rate.
LOAD_BURST = 3.0
#: Part of the weight store's rate that is used.
LOAD_RATE_SHARE = 0.95
#: Demand in tokens a second for which a model without a replica is loaded with nobody waiting.
LEAST_TOKENS_PER_S = 150.0
#: Part of the tokens a second that an engine reads beyond which its models get further replicas.
BUSY_SHARE = 0.5
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
#: Seconds that an unload is expected to take.
UNLOAD_S = 0.5
#: Seconds for which demand that an unload harms goes unserved.
LOSS_S = 6.0
#: Demand in tokens a second that the last replica of a model is worth beyond what is known, where
#: another model is to have a further replica.
LAST_TOKENS_PER_S = 500.0
#: Weight of the demand for the last replica of a model that was loaded a short while ago.
RECENT_WEIGHT = 2.0
#: Weight of the demand that one of several replicas carries, as the others can carry it.
FURTHER_WEIGHT = 0.1
#: Seconds over which it is averaged how often a model is asked for, and demand in tokens a second
#: that the last replica of a model that always is counts for beyond what is known.
#: Demand in tokens a second that a model counts for whose only copies are on one engine.
KEPT_TOKENS_PER_S = 100.0
#: Part of the demand for such a model that counts as well.
KEPT_SHARE = 0.3
#: Seconds after its expected end at which an order is still about to end.
LATE_S = 0.5
USUAL_S = 15.0
USUAL_TOKENS_PER_S = 150.0


class _Choice(NamedTuple):
    """A seat for a model, and what must be unloaded there."""

    seat: EngineState
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
        self._usual_by_model: dict[str, float] = {}
        self._usual_s: float | None = None

    def plan(
        self,
        engine: EngineSpec,
        seats: Iterable[EngineState],
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
        plan_round = PlanRound(engine, seats, demands, self.next_id, now_s)
        self.note_demand(
            (name for name in engine.models_by_name if plan_round.value(name) > 0.0), now_s
        )
        place_wanted(plan_round)
        _ModelRound(self, plan_round, tokens_per_s).run()
        load_ahead(plan_round)
        return plan_round.orders

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

    def note_demand(self, models: Iterable[str], now_s: float) -> None:
        """Take the models that are asked for now into what is usual."""
        passed_s = 0.0 if self._usual_s is None else max(0.0, now_s - self._usual_s)
        self._usual_s = now_s
        kept = USUAL_S / (USUAL_S + passed_s)
        asked = set(models)
        for model in asked | self._usual_by_model.keys():
            known = self._usual_by_model.get(model, 0.0)
            self._usual_by_model[model] = known * kept + (1.0 - kept) * (model in asked)

    def usual_share(self, model: str) -> float:
        """:return: share of the last time in which a model was asked for"""
        return self._usual_by_model.get(model, 0.0)

    def is_recent(self, endpoint: str, model: str, now_s: float) -> bool:
        """:return: whether a replica was loaded a short while ago"""
        return now_s - self._loaded_s.get((endpoint, model), -STAY_S) < STAY_S


class _ModelRound:
    """The part of a round that is on models."""

    def __init__(self, plan: ResidencyPlan, plan_round: PlanRound, tokens_per_s: float) -> None:
        self._plan = plan
        self._round = plan_round
        self._engine = plan_round.engine
        self._now_s = plan_round.now_s
        self._busy_tokens_per_s = BUSY_SHARE * tokens_per_s

    def run(self) -> None:
        """Order what is to be loaded and unloaded."""
        proposals = self._propose_missing() + self._propose_replica()
        for benefit, model in sorted(proposals, reverse=True):
            spec = self._engine.models_by_name[model]
            self._place_model(spec, benefit)

    def _propose_missing(self) -> list[tuple[float, str]]:
        """:return: models that are asked for and that nobody holds, with their demand"""
        return [
            (self._round.value(model), model)
            for model in self._round.rate_by_model.keys() | self._round.waiting_by_model.keys()
            if model in self._engine.models_by_name
            and (
                self._round.waiting_by_model.get(model, 0)
                or self._round.rate_by_model.get(model, 0.0) >= LEAST_TOKENS_PER_S
            )
            and not self._round.list_holders(model)
            and not self._round.is_coming(model)
        ]

    def _propose_replica(self) -> list[tuple[float, str]]:
        """:return: the model that most needs a further replica, with the demand that it moves"""
        best: list[tuple[float, str]] = []
        for model, rate in self._round.rate_by_model.items():
            holders = self._round.list_holders(model)
            if (
                not holders
                or model not in self._engine.models_by_name
                or self._round.is_coming(model)
            ):
                continue
            load = min(self._load(seat) for seat in holders)
            if load > self._busy_tokens_per_s:
                moved = min(rate / len(holders), load - self._busy_tokens_per_s)
                best.append((moved / REPLICA_GAIN, model))
        return sorted(best)[-1:]

    def _load(self, seat: EngineState) -> float:
        """:return: tokens a second that a seat's models bring it"""
        return sum(
            self._round.rate_by_model.get(model, 0.0) / max(1, len(self._round.list_holders(model)))
            for model in seat.models_by_name
        )

    def _place_model(self, spec: ModelSpec, value: float) -> None:
        room = self._plan.get_room(spec.name, self._now_s)
        if room and room not in self._round.free:
            if any(seat.entry.endpoint == room for seat in self._round.seats):
                return
            room = ""
        seats = [self._round.free[room]] if room else self._list_seats(spec, value)
        choices = [self._weigh(seat, spec, value) for seat in seats]
        allowed = [each for each in choices if each is not None and each.loss < value]
        if not allowed:
            return
        best = min(allowed, key=lambda each: (each.cost, each.seat.entry.endpoint))
        if best.seat.entry.endpoint not in self._round.free:
            # An engine that is busy now will have it sooner than any other.
            return
        if best.victims:
            self._round.issue(best.seat, OrderKind.UNLOAD, best.victims[0], "", UNLOAD_S, spec)
            self._plan.keep_room(spec.name, best.seat.entry.endpoint, self._now_s)
            return
        self._order_load(best.seat, spec)

    def _list_seats(self, spec: ModelSpec, value: float) -> list[EngineState]:
        """:return: engines that may get a model, also those that are busy for a known time"""
        rooms = self._plan.list_rooms(spec.name, self._now_s)
        return [
            seat
            for seat in self._round.seats
            if self._is_expected(seat)
            and (
                seat.entry.endpoint not in rooms
                or ROOM_GAIN * self._round.value(rooms[seat.entry.endpoint]) < value
            )
        ]

    def _is_expected(self, seat: EngineState) -> bool:
        if seat.entry.endpoint in self._round.free or not seat.is_known:
            return True
        return seat.open_order is not None and self._now_s < seat.due_s + LATE_S

    def _wait_s(self, seat: EngineState) -> float:
        """:return: seconds until an engine is expected to take an order"""
        if seat.entry.endpoint in self._round.free:
            return 0.0
        return max(LATE_S, seat.due_s - self._now_s)

    def _order_load(self, seat: EngineState, spec: ModelSpec) -> None:
        is_cold = not is_at_hand(seat, spec)
        if is_cold and not self._may_occupy(spec.name):
            return
        if is_cold and not self._plan.take_load(self._engine, self._now_s):
            return
        self._round.issue(seat, OrderKind.LOAD, spec.name, "", find_load_s(seat, spec))
        self._plan.note_load(seat.entry.endpoint, spec.name, self._now_s)

    def _may_occupy(self, model: str) -> bool:
        """:return: whether a model may occupy an engine for the time of a load from the store"""
        demand = sum(self._round.value(each) for each in self._engine.models_by_name)
        if self._round.value(model) >= MAJOR_SHARE * demand:
            return True
        return len(self._round.free) - 1 >= FREE_SHARE * len(self._round.seats)

    def _weigh(self, seat: EngineState, spec: ModelSpec, value: float) -> _Choice | None:
        """:return: what a load costs at a seat, or None where no room can be made"""
        if spec.name in seat.models_by_name:
            return None
        free = self._round.free_bytes(seat)
        victims: list[str] = []
        loss = 0.0
        is_further = bool(self._round.list_holders(spec.name))
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
        delay_s = find_load_s(seat, spec) + UNLOAD_S * len(victims)
        delay_s += self._wait_s(seat)
        cost = value * delay_s + loss * LOSS_S + self._occupation(seat, spec)
        return _Choice(seat, tuple(victims), cost, loss)

    def _occupation(self, seat: EngineState, spec: ModelSpec) -> float:
        """:return: what it costs that an engine can't load from its copies during a long load"""
        if is_at_hand(seat, spec):
            return 0.0
        return spec.load_s * sum(
            KEPT_TOKENS_PER_S + KEPT_SHARE * self._round.rate_by_model.get(name, 0.0)
            for name, model in self._engine.models_by_name.items()
            if is_at_hand(seat, model) and self._is_only_copy(seat, model)
        )

    def _is_only_copy(self, seat: EngineState, spec: ModelSpec) -> bool:
        """:return: whether only this engine could soon hold a model that at most one holds now"""
        holders = self._round.list_holders(spec.name)
        if seat in holders or len(holders) > 1:
            return False
        holding = {each.entry.endpoint for each in holders}
        return self._round.list_copies(spec) - holding == {seat.entry.endpoint}

    def _loss(self, seat: EngineState, model: str, is_further: bool) -> float:
        """:return: demand in tokens a second that an unload harms

        :param is_further: whether the room is for a further replica
        """
        value = self._round.value(model)
        holders = self._round.list_holders(model)
        others = [each for each in holders if each is not seat]
        if not others:
            value += self._plan.usual_share(model) * USUAL_TOKENS_PER_S
            if is_further:
                value += LAST_TOKENS_PER_S
            recent = self._plan.is_recent(seat.entry.endpoint, model, self._now_s)
            return value * RECENT_WEIGHT if recent else value
        rate = self._round.rate_by_model.get(model, 0.0)
        moved = rate / len(others) - rate / len(holders)
        over = sum(max(0.0, self._load(each) + moved - self._busy_tokens_per_s) for each in others)
        return over + FURTHER_WEIGHT * value / len(holders)
