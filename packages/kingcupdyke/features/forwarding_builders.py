"""
forwarding_builders
~~~~~~~~~~~~~~~~~~~

Builders of routes, endpoints and requests with defaults, for the features of forwarding.
"""

from zlib import compress

from kingcupdyke.forwarding.configuration import (
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    ServiceSpec,
    WeightedService,
)
from kingcupdyke.forwarding.endpoint import EndpointEntry, LoadedModel
from kingcupdyke.forwarding.workitem import WorkItem

__all__ = [
    "GB",
    "make_datagrams",
    "make_engine_spec",
    "make_entry",
    "make_held",
    "make_item",
    "make_route",
    "make_services",
]

GB = 10**9
ROUTE = Route(
    name="route",
    host="a.example",
    path_prefix="/x/",
    kind=RouteKind.IDEMPOTENT,
    services=(WeightedService("service", 1.0),),
    timeout_s=4.0,
    objective_s=0.5,
    gap_target_s=0.0,
    priority=1,
    max_attempts=2,
    is_resumable=False,
)
ENTRY = EndpointEntry(
    endpoint="e1",
    service="service",
    address=("127.0.0.1", 1),
    data_centre="n1",
    slots=4,
    is_leaving=False,
    remaining_s=None,
    heartbeat=1,
    started_ms=1000,
    models=(),
    in_memory=frozenset(),
    on_disk=frozenset(),
)
ITEM = WorkItem(
    attempt_id="r1",
    service="service",
    model="",
    adapter="",
    parts=(),
    prompt_tokens=0,
    output_tokens=0,
    priority=1,
    arrived_s=0.0,
    objective_s=0.5,
    first_by_s=100.0,
    deadline_s=4.0,
)


def make_route(**fields):
    """:return: a route with the given fields and defaults for the others"""
    return ROUTE._replace(**fields)


def make_entry(endpoint, **fields):
    """:return: an endpoint's entry with the given fields and defaults for the others"""
    return ENTRY._replace(endpoint=endpoint, **fields)


def make_held(text):
    """:return: loaded models from text such as ``m1+a1+a2 m2``, adapters after the plus signs"""
    held = []
    for each in text.split():
        name, *adapters = each.split("+")
        held.append(LoadedModel(name, 1, frozenset(adapters)))
    return tuple(held)


def make_item(attempt_id, **fields):
    """:return: a request with the given fields and defaults for the others"""
    return ITEM._replace(attempt_id=attempt_id, **fields)


def make_engine_spec(sizes_gb, memory_gb=200, adapter_slots=2, loads_per_s=1.0, load_s=6.0):
    """:return: the specification of engines that may hold models m1, m2 ... of the given sizes"""
    models = {}
    for number, size_gb in enumerate(sizes_gb, 1):
        name = f"m{number}"
        models[name] = ModelSpec(name, size_gb * GB, load_s, 1.0, 0.5, GB // 100)
    return EngineSpec(8, 100_000, memory_gb * GB, adapter_slots, loads_per_s, models)


def make_services(engine=None):
    """:return: one service by name; without ``engine`` its endpoints are not model engines"""
    return {"service": ServiceSpec("service", "/health", 100, engine)}


def make_datagrams(message_class, fields):
    """Make datagrams that a class of messages must reject.

    :param fields: text of fields that are not valid
    :return: the fields in the right form, and the same cut short, not compressed, without the kind,
        and of another kind
    """
    data = compress(fields.encode(), wbits=-15)
    prefix = bytes([message_class.message_kind])
    right = prefix + data
    return right, right[:-1], prefix + fields.encode(), fields.encode(), data, b"\xff" + data, b""
