"""
kingcupdyke.forwarding.residencymemory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the planning of a service's models remembers between its rounds.
"""

from collections.abc import Iterable

from kingcupdyke.budget import TokenBucket
from kingcupdyke.forwarding.configuration import EngineSpec

__all__ = ["ResidencyMemory"]

#: Burst of loads from the weight store that is allowed beyond the sustained rate.
LOAD_BURST = 3.0
#: Share of the weight store's rate that is used.
LOAD_RATE_SHARE = 0.95
#: Seconds after its load for which a replica counts as recently loaded.
RECENT_LOAD_S = 2.0
#: Seconds for which space that is being freed on an engine is reserved for a model.
RESERVATION_S = 1.8
#: Seconds over which the share of time is averaged in which a model is requested.
USAGE_WINDOW_S = 15.0


class ResidencyMemory:
    """Recent loads, reservations of memory and usage of models during one planner's term."""

    def __init__(self) -> None:
        self._bucket: TokenBucket | None = None
        self._reservation_by_model: dict[str, tuple[str, float]] = {}
        self._loaded_s_by_replica: dict[tuple[str, str], float] = {}
        self._usage_by_model: dict[str, float] = {}
        self._usage_updated_s: float | None = None

    def take_load(self, engine_spec: EngineSpec, now_s: float) -> bool:
        """:return: whether the weight store's rate allows a load; if so, it is counted"""
        if self._bucket is None:
            self._bucket = TokenBucket(engine_spec.loads_per_s * LOAD_RATE_SHARE, LOAD_BURST)
            # A planner of an earlier term may have used the whole burst.
            self._bucket.take(LOAD_BURST - 1.0, now_s)
        return self._bucket.take(1.0, now_s)

    def reserve_space(self, model: str, endpoint: str, now_s: float) -> None:
        """Reserve the space that is being freed on an engine for a model."""
        self._reservation_by_model[model] = (endpoint, now_s + RESERVATION_S)

    def get_reserved_endpoint(self, model: str, now_s: float) -> str:
        """:return: the endpoint on which space is reserved for a model, or the empty string"""
        endpoint, expires_s = self._reservation_by_model.get(model, ("", 0.0))
        return endpoint if now_s < expires_s else ""

    def list_reserved_endpoints(self, model: str, now_s: float) -> dict[str, str]:
        """:return: endpoints on which space is reserved for other models, and those models"""
        return {
            endpoint: other
            for other, (endpoint, expires_s) in self._reservation_by_model.items()
            if other != model and now_s < expires_s
        }

    def note_load(self, endpoint: str, model: str, now_s: float) -> None:
        """Record that a replica is loaded now, which ends the reservation for its model."""
        self._reservation_by_model.pop(model, None)
        self._loaded_s_by_replica[(endpoint, model)] = now_s

    def update_usage(self, models: Iterable[str], now_s: float) -> None:
        """Update the share of time in which each model is requested from those requested now."""
        passed_s = 0.0 if self._usage_updated_s is None else max(0.0, now_s - self._usage_updated_s)
        self._usage_updated_s = now_s
        decay = USAGE_WINDOW_S / (USAGE_WINDOW_S + passed_s)
        requested = set(models)
        for model in requested | self._usage_by_model.keys():
            average = self._usage_by_model.get(model, 0.0)
            self._usage_by_model[model] = average * decay + (1.0 - decay) * (model in requested)

    def get_usage_share(self, model: str) -> float:
        """:return: moving average of the share of time in which a model was requested"""
        return self._usage_by_model.get(model, 0.0)

    def is_recently_loaded(self, endpoint: str, model: str, now_s: float) -> bool:
        """:return: whether a replica was loaded within RECENT_LOAD_S"""
        return (
            now_s - self._loaded_s_by_replica.get((endpoint, model), -RECENT_LOAD_S) < RECENT_LOAD_S
        )
