"""
kingcupdyke.forwarding.adapterplan
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which adapters the engines of a service are to hold.

It answers loads in which an adapter is asked for while its engine is busy with a long load: an
adapter takes milliseconds, but an engine carries out one order at a time. Adapters are therefore
loaded before they are asked for, where places are left.
"""

from kingcupdyke.forwarding.enginestate import EngineState
from kingcupdyke.forwarding.planround import PlanRound
from kingcupdyke.placement import OrderKind
from kingcupdyke.util import hash_score

__all__ = ["load_ahead", "place_wanted"]

#: Seconds that an adapter takes at most in the usual case.
ADAPTER_S = 0.03
#: Adapters that may be on their way to one endpoint.
ADAPTERS_COMING = 4
#: Places on each engine that are left to adapters that are waited for.
PLACES_LEFT = 1

#: A model and one of its adapters.
AdapterKey = tuple[str, str]


def place_wanted(plan_round: PlanRound) -> None:
    """Order the adapters that are waited for."""
    wanted = [key for key, count in plan_round.waiting.items() if key[1] and count]
    rate, waiting = plan_round.rate, plan_round.waiting
    wanted.sort(key=lambda key: (-waiting.get(key, 0), -rate.get(key, 0.0), key))
    for key in wanted:
        _place_one(plan_round, key)


def load_ahead(plan_round: PlanRound) -> None:
    """Order adapters that may be asked for next, on engines that have no other order."""
    for seat in list(plan_round.free.values()):
        _load_ahead(plan_round, seat)


def _place_one(plan_round: PlanRound, key: AdapterKey) -> None:
    model, adapter = key
    holders = plan_round.list_holders(model)
    if any(seat.has_adapter(model, adapter) for seat in holders):
        return
    free = [each for each in holders if each.entry.endpoint in plan_round.free]
    if not free:
        return
    places = plan_round.engine.adapter_slots
    best = min(
        free,
        key=lambda each: (
            len(each.list_adapters()) >= places,
            len(each.list_adapters()),
            hash_score(adapter, each.entry.endpoint),
        ),
    )
    _place_at(plan_round, best, key)


def _place_at(plan_round: PlanRound, seat: EngineState, key: AdapterKey) -> None:
    model, adapter = key
    spec = plan_round.engine.models_by_name.get(model)
    if spec is None or seat.count_coming(plan_round.now_s) >= ADAPTERS_COMING:
        return
    present = seat.list_adapters()
    is_full = len(present) >= plan_round.engine.adapter_slots
    if not is_full and plan_round.free_bytes(seat) >= spec.adapter_bytes:
        plan_round.issue(seat, OrderKind.LOAD_ADAPTER, model, adapter, ADAPTER_S)
        return
    waiting, rate = plan_round.waiting, plan_round.rate
    idle = [each for each in present if not waiting.get(each, 0) and each != key]
    if not idle:
        return
    victim = min(idle, key=lambda each: (rate.get(each, 0.0), each))
    victim_rate = rate.get(victim, 0.0)
    if not victim_rate or victim_rate <= rate.get(key, 0.0):
        plan_round.issue(seat, OrderKind.UNLOAD_ADAPTER, *victim, ADAPTER_S)


def _load_ahead(plan_round: PlanRound, seat: EngineState) -> None:
    """Load an adapter that nobody waits for, where places are left."""
    present = seat.list_adapters()
    if len(present) >= plan_round.engine.adapter_slots - PLACES_LEFT:
        return
    if seat.count_coming(plan_round.now_s) >= ADAPTERS_COMING:
        return
    free_bytes = plan_round.free_bytes(seat)
    candidates = [
        key
        for key in _list_askable(plan_round, seat)
        if key not in present
        and plan_round.engine.models_by_name[key[0]].adapter_bytes <= free_bytes
    ]
    if not candidates:
        return
    elsewhere = {key for other in plan_round.seats for key in other.list_adapters()}
    elsewhere |= {(each.order.model, each.order.adapter) for each in plan_round.orders}
    endpoint = seat.entry.endpoint
    best = min(
        candidates,
        key=lambda key: (
            key in elsewhere,
            -plan_round.rate.get(key, 0.0),
            hash_score(key[1], endpoint) if key in elsewhere else 0.0,
            key,
        ),
    )
    plan_round.issue(seat, OrderKind.LOAD_ADAPTER, *best, ADAPTER_S)


def _list_askable(plan_round: PlanRound, seat: EngineState) -> set[AdapterKey]:
    """:return: adapters of an engine's models that are asked for, or whose model is"""
    keys = set()
    for model in seat.models_by_name:
        spec = plan_round.engine.models_by_name.get(model)
        if spec is None or model == seat.leaving_model:
            continue
        if plan_round.rate_by_model.get(model, 0.0) > 0.0:
            keys |= {(model, name) for name in spec.adapters}
    asked = {key for key, rate in plan_round.rate.items() if rate > 0.0 and key[1]}
    return keys | {key for key in asked if key[0] in seat.models_by_name}
