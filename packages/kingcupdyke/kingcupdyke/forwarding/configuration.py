"""
kingcupdyke.forwarding.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Routes, services and limits of one version of the operators' configuration.
"""

from enum import StrEnum
from math import inf
from typing import NamedTuple

from kingcupdyke.util import hash_score

__all__ = [
    "ClientLimits",
    "Configuration",
    "EngineSpec",
    "ModelSpec",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceSpec",
    "WeightedService",
]


#: A client gives up a stream after the longest of these pauses: in seconds, in objectives, and in
#: gap targets of its route.
LEAST_STREAM_PATIENCE_S = 2.0
STREAM_PATIENCE_OBJECTIVES = 4
STREAM_PATIENCE_GAPS = 8


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(NamedTuple):
    """A service and the share of a route's requests that it gets."""

    service: str
    #: Weight relative to the route's other services.
    weight: float


class Route(NamedTuple):
    """One route: which requests it takes and how they are treated."""

    name: str
    #: Value of the Host header, in lower case.
    host: str
    #: Beginning of the path; begins and ends with a slash.
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    #: Longest time in seconds that a request may be kept waiting for its whole answer.
    timeout_s: float
    #: Seconds until the answer, or a stream's first event, within which it is on time.
    objective_s: float
    #: Longest pause in seconds between events that is on time; zero where there are no events.
    gap_target_s: float
    #: Rank; 0 is the most urgent.
    priority: int
    #: Endpoints on which one attempt of a caller may run.
    max_attempts: int
    #: Whether a stream may go on at another endpoint after its last event.
    is_resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """:return: whether a request may run more than once"""
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def first_patience_s(self) -> float:
        """:return: seconds after which a client gives up a stream that has not begun"""
        if self.kind is not RouteKind.STREAMING:
            return inf
        return max(
            LEAST_STREAM_PATIENCE_S,
            STREAM_PATIENCE_OBJECTIVES * self.objective_s,
            STREAM_PATIENCE_GAPS * self.gap_target_s,
        )

    def choose_service(self, attempt_id: str) -> str:
        """:return: the service of an attempt, always the same for the same attempt"""
        if len(self.services) == 1:
            return self.services[0].service
        total = sum(each.weight for each in self.services)
        point = (hash_score(self.name, attempt_id) % 1_000_000) / 1_000_000 * total
        for each in self.services:
            point -= each.weight
            if point < 0:
                return each.service
        return self.services[-1].service


class ModelSpec(NamedTuple):
    """A model that a service's endpoints can hold."""

    name: str
    weights_bytes: int
    #: Seconds of a load from the weight store.
    load_s: float
    #: Seconds of a load from the endpoint's own disk.
    disk_load_s: float
    #: Seconds of a load from a copy in the endpoint's host memory.
    memory_load_s: float
    adapter_bytes: int
    #: Names of its adapters.
    adapters: tuple[str, ...] = ()


class EngineSpec(NamedTuple):
    """What the model engines of a service are like."""

    #: Requests in one batch.
    slots: int
    #: Tokens of running requests and kept prompts.
    kv_tokens: int
    #: Bytes for weights and adapters.
    memory_bytes: int
    adapter_slots: int
    #: Loads from the weight store a second, over all endpoints.
    loads_per_s: float
    models_by_name: dict[str, ModelSpec]


class ServiceSpec(NamedTuple):
    """A service that routes name."""

    name: str
    health_path: str
    #: Connections that an endpoint takes from all gateways together.
    max_connections: int
    #: None where the endpoints are no model engines.
    engine: EngineSpec | None


class ClientLimits(NamedTuple):
    """What a client may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """Finds the route of a request: by host, then by the longest prefix of its path."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda each: -len(each.path_prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """:return: the route, or None where none fits"""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class Configuration:
    """One version of the configuration.

    :param version: number that only grows
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[ServiceSpec, ...],
        limits: ClientLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.table = RouteTable(routes)
        self.services_by_name = {each.name: each for each in services}
        self.limits = limits
