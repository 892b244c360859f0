"""
kingcupdyke.rule
~~~~~~~~~~~~~~~~

The rules that operators write, as typed values.
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

#: In a list of callers: every caller that has a token.
ANY_CALLER = "*"


class ServiceClass:
    """Names of the deadline classes."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    #: All classes, the most urgent first.
    ALL = (INTERACTIVE, BATCH)


class ModelRule(NamedTuple):
    """A model that is served."""

    name: str
    version: str
    weights_bytes: int
    #: Memory kept for the KV cache of one replica.
    kv_bytes: int
    #: Confirmed replicas that must remain.
    replicas: int
    #: Regions where it is served from, the preferred first.
    regions: tuple[str, ...]
    callers: tuple[str, ...]
    service_class: str
    #: Seconds from arrival to the whole answer where the caller names none.
    deadline_s: float


class AdapterRule(NamedTuple):
    """An adapter on top of a model."""

    name: str
    model: str
    adapter_bytes: int
    callers: tuple[str, ...]


class ServiceRule(NamedTuple):
    """A plain service beside the engines."""

    name: str
    callers: tuple[str, ...]
    #: HTTP methods that may be repeated.
    idempotent_methods: tuple[str, ...]
    service_class: str
    deadline_s: float


class CallerRule(NamedTuple):
    """A caller and the digest of its bearer token."""

    name: str
    #: Hexadecimal SHA-256 of the token.
    token_digest: str
    #: Share under contention, relative to the other callers.
    weight: float


class MemoryRule(NamedTuple):
    """Accelerator memory declared for the hosts of a region."""

    name: str
    region: str
    hosts: int
    bytes_per_host: int


class LinkRule(NamedTuple):
    """Budget of the link between regions, and which measure to lean to."""

    name: str
    #: Bytes a second that requests may take across regions.
    bytes_per_s: int
    #: 0.0 weighs moves alone, 1.0 weighs attainment alone.
    lean: float


class RuleSet(NamedTuple):
    """All rules in force, by the name of what they are about."""

    models_by_name: dict[str, ModelRule]
    adapters_by_name: dict[str, AdapterRule]
    services_by_name: dict[str, ServiceRule]
    callers_by_digest: dict[str, CallerRule]
    memory_by_name: dict[str, MemoryRule]
    links_by_name: dict[str, LinkRule]

    @classmethod
    def empty(cls) -> "RuleSet":
        """:return: a rule set that serves nothing"""
        return cls({}, {}, {}, {}, {}, {})
