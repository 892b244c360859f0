"""
kingcupdyke_measure.simulationplan
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a play in virtual time is made of, from a settings file.
"""

from pathlib import Path
from typing import Any, NamedTuple

from ruamel.yaml import YAML

from kingcupdyke.error import OptionError
from kingcupdyke.util import get_float_opt, get_int_opt, get_str_opt

__all__ = [
    "PlayEvent",
    "PlayModel",
    "PlayPlan",
    "RequestKind",
    "list_plays",
    "load_play",
    "read_play",
]

_SETTINGS = Path(__file__).resolve().parents[1] / "settings" / "plays"
GB = 10**9
EVENT_KINDS = ("shift", "burst", "crash")


class PlayModel(NamedTuple):
    """A model and what its loads take."""

    name: str
    size_bytes: int
    store_s: float
    disk_s: float
    memory_s: float
    adapters: int
    adapter_bytes: int


class RequestKind(NamedTuple):
    """Requests of one kind."""

    name: str
    per_s: float
    #: Models that are asked for, the most popular first; a shift turns the list.
    models: tuple[str, ...]
    #: How many of them are asked for at a time.
    models_at_once: int
    #: Popularity of one model over the next one's.
    popularity_ratio: float
    #: Share of the requests that name an adapter.
    adapter_share: float
    priority: int
    prompt_tokens: int
    output_tokens: int
    objective_s: float
    #: Seconds after which the caller leaves if the answer has not begun.
    first_patience_s: float
    deadline_s: float


class PlayEvent(NamedTuple):
    """Something that happens during a play."""

    #: ``shift``, ``burst`` or ``crash``.
    kind: str
    at_s: float
    for_s: float
    #: Kind of request of a shift or burst, or number of the engine that crashes.
    target: str
    #: By how much a burst multiplies the requests.
    times: float


class PlayPlan(NamedTuple):
    """A whole play."""

    name: str
    gateways: int
    #: Seconds before the load begins, of the load, and after it.
    lead_s: float
    load_s: float
    rest_s: float
    engines: int
    memory_bytes: int
    disk_bytes: int
    host_memory_bytes: int
    adapter_slots: int
    slots: int
    token_ms: float
    batch_slope_ms: float
    prompt_tokens_per_s: float
    loads_per_s: float
    models: tuple[PlayModel, ...]
    kinds: tuple[RequestKind, ...]
    events: tuple[PlayEvent, ...]


def list_plays() -> list[str]:
    """:return: names of the plays that there are"""
    return sorted(each.stem for each in _SETTINGS.glob("*.yaml"))


def load_play(name: str) -> PlayPlan:
    """Read the settings of a play by its name.

    :raises OptionError: where a setting is missing or wrong
    """
    return read_play(_SETTINGS / f"{name}.yaml")


def read_play(path: Path) -> PlayPlan:
    """Read the settings of a play from a file.

    :raises OptionError: where a setting is missing or wrong
    """
    fields = YAML(typ="safe").load(path.read_text())
    engines = fields["engines"]
    return PlayPlan(
        name=path.stem,
        gateways=get_int_opt(fields, "gateways"),
        lead_s=get_float_opt(fields, "lead_s"),
        load_s=get_float_opt(fields, "load_s"),
        rest_s=get_float_opt(fields, "rest_s"),
        engines=get_int_opt(engines, "count"),
        memory_bytes=round(get_float_opt(engines, "memory_gb") * GB),
        disk_bytes=round(get_float_opt(engines, "disk_gb") * GB),
        host_memory_bytes=round(get_float_opt(engines, "host_memory_gb") * GB),
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


def _read_model(fields: dict[str, Any]) -> PlayModel:
    return PlayModel(
        name=get_str_opt(fields, "name"),
        size_bytes=round(get_float_opt(fields, "size_gb") * GB),
        store_s=get_float_opt(fields, "store_s"),
        disk_s=get_float_opt(fields, "disk_s"),
        memory_s=get_float_opt(fields, "memory_s"),
        adapters=get_int_opt(fields, "adapters"),
        adapter_bytes=round(get_float_opt(fields, "adapter_gb") * GB),
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


def _read_event(fields: dict[str, Any]) -> PlayEvent:
    kind = get_str_opt(fields, "kind")
    if kind not in EVENT_KINDS:
        raise OptionError("kind", kind, "give one of " + ", ".join(EVENT_KINDS))
    return PlayEvent(
        kind=kind,
        at_s=get_float_opt(fields, "at_s"),
        for_s=get_float_opt(fields, "for_s"),
        target=str(fields["target"]),
        times=get_float_opt(fields, "times"),
    )
