"""
kingcupdyke.rule
~~~~~~~~~~~~~~~~

Typed values of the rules that operators write.
"""

from typing import NamedTuple

__all__ = [
    "ANY_CALLER",
    "AdapterRule",
    "CallerRule",
    "LinkRule",
    "MemoryRule",
    "ModelRule",
    "RuleSet",
    "ServiceClass",
    "ServiceRule",
]

#: Entry in a list of callers that allows every caller with a token.
ANY_CALLER = "*"


class ServiceClass:
    """Names of the service classes, which set the priority of requests."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    #: All classes, the highest priority first.
    ALL = (INTERACTIVE, BATCH)


class ModelRule(NamedTuple):
    """A model to serve."""

    name: str
    version: str
    weights_bytes: int
    #: Accelerator memory reserved for the KV cache of one replica.
    kv_bytes: int
    #: Minimum number of confirmed replicas.
    replicas: int
    #: Regions whose hosts may serve the model, the preferred one first.
    regions: tuple[str, ...]
    callers: tuple[str, ...]
    service_class: str
    #: Default deadline in seconds, from a request's arrival to its complete answer.
    deadline_s: float


class AdapterRule(NamedTuple):
    """An adapter that extends a model."""

    name: str
    model: str
    adapter_bytes: int
    callers: tuple[str, ...]


class ServiceRule(NamedTuple):
    """An HTTP service that is no model engine."""

    name: str
    callers: tuple[str, ...]
    #: HTTP methods whose requests may be sent again after a failure.
    idempotent_methods: tuple[str, ...]
    service_class: str
    deadline_s: float


class CallerRule(NamedTuple):
    """A caller and the digest of its bearer token."""

    name: str
    #: Hexadecimal SHA-256 of the token.
    token_digest: str
    #: Weight of the caller's fair share under contention, relative to other callers.
    weight: float


class MemoryRule(NamedTuple):
    """Declared accelerator memory of a group of hosts in one region."""

    name: str
    region: str
    hosts: int
    bytes_per_host: int


class LinkRule(NamedTuple):
    """Bandwidth budget of the link between regions, and the weight of attainment against moves."""

    name: str
    #: Budget for requests between regions, in bytes per second.
    bytes_per_s: int
    #: Weight of attainment against moves: 0.0 counts moves only, 1.0 attainment only.
    lean: float


class RuleSet(NamedTuple):
    """All rules in force, indexed by name, and callers by the digest of their token."""

    models_by_name: dict[str, ModelRule]
    adapters_by_name: dict[str, AdapterRule]
    services_by_name: dict[str, ServiceRule]
    callers_by_digest: dict[str, CallerRule]
    memory_by_name: dict[str, MemoryRule]
    links_by_name: dict[str, LinkRule]

    @classmethod
    def empty(cls) -> "RuleSet":
        """:return: a rule set without rules"""
        return cls({}, {}, {}, {}, {}, {})
