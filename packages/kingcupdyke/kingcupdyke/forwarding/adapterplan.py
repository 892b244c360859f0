"""
kingcupdyke.forwarding.adapterplan
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which adapters the engines of a service are to load and unload.

Loading an adapter takes milliseconds, but an engine executes one order at a time, so a request for
an adapter would wait while its engine loads a model for seconds. Adapters are therefore loaded
before they are requested where an engine has unused adapter slots.
"""

from kingcupdyke.forwarding.enginestate import EngineState
from kingcupdyke.forwarding.planround import PlanRound
from kingcupdyke.placement import OrderKind
from kingcupdyke.util import hash_score

__all__ = ["prefetch_adapters", "place_requested"]

#: Expected seconds for loading or unloading an adapter, an upper bound of the usual case.
ADAPTER_ORDER_S = 0.03
#: Limit of adapter loads that may be pending at one endpoint.
MAX_PENDING_ADAPTERS = 4
#: Adapter slots of each engine that only adapters with waiting requests may use.
RESERVED_SLOTS = 1

#: A model and one of its adapters.
AdapterKey = tuple[str, str]


def place_requested(plan_round: PlanRound) -> None:
    """Order the adapters for which requests are waiting."""
    requested = [key for key, count in plan_round.waiting.items() if key[1] and count]
    rate, waiting = plan_round.rate, plan_round.waiting
    requested.sort(key=lambda key: (-waiting.get(key, 0), -rate.get(key, 0.0), key))
    for key in requested:
        _place_adapter(plan_round, key)
    for each in plan_round.pinned:
        if each.adapter:
            _place_adapter(plan_round, (each.model, each.adapter), each.software_version)


def prefetch_adapters(plan_round: PlanRound) -> None:
    """Order adapters that may be requested next, on engines that have no other order."""
    for engine in list(plan_round.free_engines.values()):
        _prefetch_adapter(plan_round, engine)


def _place_adapter(
    plan_round: PlanRound, key: AdapterKey, software_version: str | None = None
) -> None:
    model, adapter = key
    holders = plan_round.list_holders(model, software_version)
    if any(engine.has_adapter(model, adapter) for engine in holders):
        return
    free = [each for each in holders if each.entry.endpoint in plan_round.free_engines]
    if not free:
        return
    slots = plan_round.engine_spec.adapter_slots
    best = min(
        free,
        key=lambda each: (
            len(each.list_adapters()) >= slots,
            len(each.list_adapters()),
            hash_score(adapter, each.entry.endpoint),
        ),
    )
    _place_on_engine(plan_round, best, key)


def _place_on_engine(plan_round: PlanRound, engine: EngineState, key: AdapterKey) -> None:
    model, adapter = key
    spec = plan_round.engine_spec.models_by_name.get(model)
    if spec is None or engine.count_pending_adapters(plan_round.now_s) >= MAX_PENDING_ADAPTERS:
        return
    present = engine.list_adapters()
    is_full = len(present) >= plan_round.engine_spec.adapter_slots
    if not is_full and plan_round.free_bytes(engine) >= spec.adapter_bytes:
        plan_round.issue(engine, OrderKind.LOAD_ADAPTER, model, adapter, ADAPTER_ORDER_S)
        return
    waiting, rate = plan_round.waiting, plan_round.rate
    idle = [each for each in present if not waiting.get(each, 0) and each != key]
    if not idle:
        return
    victim = min(idle, key=lambda each: (rate.get(each, 0.0), each))
    victim_rate = rate.get(victim, 0.0)
    if not victim_rate or victim_rate <= rate.get(key, 0.0):
        plan_round.issue(engine, OrderKind.UNLOAD_ADAPTER, *victim, ADAPTER_ORDER_S)


def _prefetch_adapter(plan_round: PlanRound, engine: EngineState) -> None:
    """Load an adapter without waiting requests if an engine has unused slots."""
    present = engine.list_adapters()
    if len(present) >= plan_round.engine_spec.adapter_slots - RESERVED_SLOTS:
        return
    if engine.count_pending_adapters(plan_round.now_s) >= MAX_PENDING_ADAPTERS:
        return
    free_bytes = plan_round.free_bytes(engine)
    candidates = [
        key
        for key in _list_prefetchable(plan_round, engine)
        if key not in present
        and plan_round.engine_spec.models_by_name[key[0]].adapter_bytes <= free_bytes
    ]
    if not candidates:
        return
    elsewhere = {key for other in plan_round.engines for key in other.list_adapters()}
    elsewhere |= {(each.order.model, each.order.adapter) for each in plan_round.orders}
    endpoint = engine.entry.endpoint
    best = min(
        candidates,
        key=lambda key: (
            key in elsewhere,
            -plan_round.rate.get(key, 0.0),
            hash_score(key[1], endpoint) if key in elsewhere else 0.0,
            key,
        ),
    )
    plan_round.issue(engine, OrderKind.LOAD_ADAPTER, *best, ADAPTER_ORDER_S)


def _list_prefetchable(plan_round: PlanRound, engine: EngineState) -> set[AdapterKey]:
    """:return: adapters of an engine's models that are requested, or whose model is requested"""
    keys = set()
    for model in engine.models_by_name:
        spec = plan_round.engine_spec.models_by_name.get(model)
        if spec is None or model == engine.unloading_model:
            continue
        if plan_round.rate_by_model.get(model, 0.0) > 0.0:
            keys |= {(model, name) for name in spec.adapters}
    requested = {key for key, rate in plan_round.rate.items() if rate > 0.0 and key[1]}
    return keys | {key for key in requested if key[0] in engine.models_by_name}
