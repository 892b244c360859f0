"""
kingcupdyke.forwarding.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Routes, services and limits of one version of the operators' configuration.
"""

from enum import StrEnum
from math import inf
from typing import NamedTuple

from kingcupdyke.forwarding.callertable import CallerTable
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


#: A client abandons a stream whose first event has not come within the longest of these times: in
#: seconds, in multiples of its route's objective, and in multiples of its route's gap target.
MIN_FIRST_EVENT_TIMEOUT_S = 2.0
FIRST_EVENT_TIMEOUT_OBJECTIVES = 4
FIRST_EVENT_TIMEOUT_GAPS = 8


class RouteKind(StrEnum):
    """Which requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(NamedTuple):
    """A service and the share of a route's requests that it receives."""

    service: str
    #: Weight relative to the route's other services.
    weight: float


class Route(NamedTuple):
    """One route: which requests it matches and how they are handled."""

    name: str
    #: Value of the Host header, in lower case.
    host: str
    #: Prefix of the path, with a leading and a trailing slash.
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    #: Timeout in seconds from the arrival of a request to its complete answer.
    timeout_s: float
    #: Seconds within which the answer, or the first event of a stream, counts as on time.
    objective_s: float
    #: Longest time in seconds between events that counts as on time; zero without events.
    gap_target_s: float
    #: Rank; 0 is the most urgent.
    priority: int
    #: Limit of endpoints to which one attempt of a caller may be sent.
    max_attempts: int
    #: Whether an interrupted stream may continue at another endpoint after its last event.
    is_resumable: bool
    #: Whether its requests need no key of a caller.
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """:return: whether a request may run more than once"""
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def first_patience_s(self) -> float:
        """:return: seconds after which a client abandons a stream without a first event"""
        if self.kind is not RouteKind.STREAMING:
            return inf
        return max(
            MIN_FIRST_EVENT_TIMEOUT_S,
            FIRST_EVENT_TIMEOUT_OBJECTIVES * self.objective_s,
            FIRST_EVENT_TIMEOUT_GAPS * self.gap_target_s,
        )

    def choose_service(self, attempt_id: str) -> str:
        """:return: the service of an attempt; the same attempt always gets the same service"""
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
    #: Seconds that a load from the weight store takes.
    load_s: float
    #: Seconds that a load from the endpoint's local disk takes.
    disk_load_s: float
    #: Seconds that a load from a copy in the endpoint's host memory takes.
    memory_load_s: float
    adapter_bytes: int
    #: Names of its adapters.
    adapters: tuple[str, ...] = ()


class EngineSpec(NamedTuple):
    """Capacity of each model engine of a service, and the models that it can hold."""

    #: Limit of requests in one batch.
    slots: int
    #: Capacity of the KV cache in tokens, for running requests and cached prompts.
    kv_tokens: int
    #: Capacity in bytes for weights and adapters.
    memory_bytes: int
    adapter_slots: int
    #: Limit of loads from the weight store a second, over all endpoints.
    loads_per_s: float
    models_by_name: dict[str, ModelSpec]


class ServiceSpec(NamedTuple):
    """A service to which routes refer by its name."""

    name: str
    health_path: str
    #: Limit of connections to an endpoint, over all gateways.
    max_connections: int
    #: None if the endpoints are not model engines.
    engine: EngineSpec | None

    def has_model(self, model: str, adapter: str) -> bool:
        """:return: whether its endpoints can hold a model, and its adapter unless that is empty"""
        if self.engine is None or model not in self.engine.models_by_name:
            return False
        return not adapter or adapter in self.engine.models_by_name[model].adapters


class ClientLimits(NamedTuple):
    """Limits on the size of a client's requests and on the time that it may take to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """Finds the route of a request by its host and by the longest matching path prefix."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda each: -len(each.path_prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """:return: the route, or None if no route matches"""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class Configuration:
    """One version of the configuration.

    :param version: number that only increases
    :param callers: those who may use routes that are not public, or None if requests need no key
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[ServiceSpec, ...],
        limits: ClientLimits,
        callers: CallerTable | None = None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.table = RouteTable(routes)
        self.services_by_name = {each.name: each for each in services}
        self.limits = limits
        self.callers = callers
