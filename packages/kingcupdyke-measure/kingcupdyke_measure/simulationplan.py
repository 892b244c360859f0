"""
kingcupdyke_measure.simulationplan
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the plan of a simulation in virtual time from a settings file.
"""

from pathlib import Path
from typing import Any, NamedTuple

from ruamel.yaml import YAML

from kingcupdyke.error import OptionError
from kingcupdyke.util import get_float_opt, get_int_opt, get_str_opt

__all__ = [
    "RequestKind",
    "SimulatedModel",
    "SimulationEvent",
    "SimulationPlan",
    "list_simulations",
    "load_simulation",
    "read_simulation",
]

_SETTINGS_FOLDER = Path(__file__).resolve().parents[1] / "settings" / "plays"
_GB = 10**9
_EVENT_KINDS = ("shift", "burst", "crash")


class SimulatedModel(NamedTuple):
    """A model, with the seconds that a load from each source takes."""

    name: str
    size_bytes: int
    #: Seconds of a load from the weight store, from local disk and from a copy in host memory.
    store_s: float
    disk_s: float
    memory_s: float
    #: Number of adapters.
    adapters: int
    adapter_bytes: int


class RequestKind(NamedTuple):
    """A stream of similar requests."""

    name: str
    #: Mean number of requests a second.
    per_s: float
    #: Models by popularity, the most popular first; each shift event rotates the list by one.
    models: tuple[str, ...]
    #: Number of models, from the start of the list, that receive requests.
    models_at_once: int
    #: Request rate of a model, divided by that of the next one in the list.
    popularity_ratio: float
    #: Share of the requests that name an adapter.
    adapter_share: float
    priority: int
    prompt_tokens: int
    output_tokens: int
    #: Seconds to the first token within which a request counts as on time.
    objective_s: float
    #: Timeout of an attempt in seconds for the start of the answer; the client then gives up.
    first_patience_s: float
    #: Seconds after which the client gives up, over all attempts.
    deadline_s: float


class SimulationEvent(NamedTuple):
    """An event during the load: a shift of demand, a burst of requests or a crash of an engine."""

    #: ``shift``, ``burst`` or ``crash``.
    kind: str
    #: Seconds from the start of the load.
    at_s: float
    #: Seconds that a burst lasts.
    duration_s: float
    #: Name of the shifted or multiplied requests, or number of the engine that crashes.
    target: str
    #: Factor by which a burst multiplies the request rate.
    rate_factor: float


class SimulationPlan(NamedTuple):
    """The plan of a simulation."""

    name: str
    gateways: int
    #: Seconds before the load, of the load, and after it.
    lead_s: float
    load_s: float
    rest_s: float
    engines: int
    #: Capacity of an engine for weights and adapters, and for weight copies on disk and in host
    #: memory.
    memory_bytes: int
    disk_bytes: int
    host_memory_bytes: int
    adapter_slots: int
    #: Limit of requests in one batch.
    slots: int
    #: Milliseconds per token of a single request, and those that each further request of the
    #: batch adds.
    token_ms: float
    batch_slope_ms: float
    prompt_tokens_per_s: float
    #: Limit of loads from the weight store a second, over all engines.
    loads_per_s: float
    models: tuple[SimulatedModel, ...]
    kinds: tuple[RequestKind, ...]
    events: tuple[SimulationEvent, ...]


def list_simulations() -> list[str]:
    """:return: names of the settings files of simulations"""
    return sorted(each.stem for each in _SETTINGS_FOLDER.glob("*.yaml"))


def load_simulation(name: str) -> SimulationPlan:
    """Read the plan of a simulation by its name.

    :raises OptionError: if a setting is missing or invalid
    """
    return read_simulation(_SETTINGS_FOLDER / f"{name}.yaml")


def read_simulation(path: Path) -> SimulationPlan:
    """Read the plan of a simulation from a file.

    :raises OptionError: if a setting is missing or invalid
    """
    fields = YAML(typ="safe").load(path.read_text())
    engines = fields["engines"]
    return SimulationPlan(
        name=path.stem,
        gateways=get_int_opt(fields, "gateways"),
        lead_s=get_float_opt(fields, "lead_s"),
        load_s=get_float_opt(fields, "load_s"),
        rest_s=get_float_opt(fields, "rest_s"),
        engines=get_int_opt(engines, "count"),
        memory_bytes=round(get_float_opt(engines, "memory_gb") * _GB),
        disk_bytes=round(get_float_opt(engines, "disk_gb") * _GB),
        host_memory_bytes=round(get_float_opt(engines, "host_memory_gb") * _GB),
        adapter_slots=get_int_opt(engines, "adapter_slots"),
        slots=get_int_opt(engines, "slots"),
        token_ms=get_float_opt(engines, "token_ms"),
        batch_slope_ms=get_float_opt(engines, "batch_slope_ms"),
        prompt_tokens_per_s=get_float_opt(engines, "prompt_tokens_per_s"),
        loads_per_s=get_float_opt(fields, "loads_per_s"),
        models=tuple(_read_model(each) for each in fields["models"]),
        kinds=tuple(_read_kind(each) for each in fields["requests"]),
        events=tuple(_read_event(each) for each in fields.get("events", ())),
    )


def _read_model(fields: dict[str, Any]) -> SimulatedModel:
    return SimulatedModel(
        name=get_str_opt(fields, "name"),
        size_bytes=round(get_float_opt(fields, "size_gb") * _GB),
        store_s=get_float_opt(fields, "store_s"),
        disk_s=get_float_opt(fields, "disk_s"),
        memory_s=get_float_opt(fields, "memory_s"),
        adapters=get_int_opt(fields, "adapters"),
        adapter_bytes=round(get_float_opt(fields, "adapter_gb") * _GB),
    )


def _read_kind(fields: dict[str, Any]) -> RequestKind:
    return RequestKind(
        name=get_str_opt(fields, "name"),
        per_s=get_float_opt(fields, "per_s"),
        models=tuple(fields["models"]),
        models_at_once=get_int_opt(fields, "models_at_once"),
        popularity_ratio=get_float_opt(fields, "popularity_ratio"),
        adapter_share=get_float_opt(fields, "adapter_share"),
        priority=get_int_opt(fields, "priority"),
        prompt_tokens=get_int_opt(fields, "prompt_tokens"),
        output_tokens=get_int_opt(fields, "output_tokens"),
        objective_s=get_float_opt(fields, "objective_s"),
        first_patience_s=get_float_opt(fields, "first_patience_s"),
        deadline_s=get_float_opt(fields, "deadline_s"),
    )


def _read_event(fields: dict[str, Any]) -> SimulationEvent:
    kind = get_str_opt(fields, "kind")
    if kind not in _EVENT_KINDS:
        raise OptionError("kind", kind, "give one of " + ", ".join(_EVENT_KINDS))
    return SimulationEvent(
        kind=kind,
        at_s=get_float_opt(fields, "at_s"),
        duration_s=get_float_opt(fields, "for_s"),
        target=str(fields["target"]),
        rate_factor=get_float_opt(fields, "times"),
    )
