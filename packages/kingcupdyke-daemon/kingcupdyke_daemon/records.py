"""
kingcupdyke_daemon.records
~~~~~~~~~~~~~~~~~~~~~~~~~~

The typed fields of the log lines of gateways.
"""

from typing import NamedTuple

__all__ = [
    "DataAges",
    "CallRecord",
    "EndpointRecord",
    "EngineRecord",
    "OrderRecord",
    "PeerRecord",
    "RefusalRecord",
    "RejectionRecord",
    "RepeatRecord",
    "RequestRecord",
    "SendRecord",
    "WaitRecord",
]


class DataAges(NamedTuple):
    """Milliseconds since the store confirmed what decisions rest on."""

    version_ms: int
    list_ms: int


class CallRecord(NamedTuple):
    """What is logged at the end of a request to a gateway before sidecars."""

    #: Id that the caller gave or was given.
    request: str
    #: Id within the gateway and its sidecars.
    internal: str
    #: Model or service that was asked for.
    target: str
    adapter: str
    caller: str
    service_class: str
    #: Endpoint of the answer, or the empty string.
    endpoint: str
    #: Status that the caller got, or 0 where it got none.
    status: int
    outcome: str
    #: Step that failed, and why.
    step: str
    reason: str
    #: Milliseconds from its arrival to the first part of the answer, or -1 where none came.
    first_ms: int
    total_ms: int


class RejectionRecord(NamedTuple):
    """What is logged of what a gateway before sidecars did not take as a request."""

    request: str
    status: int
    step: str
    reason: str


class RefusalRecord(NamedTuple):
    """What is logged of a request that is refused before a route is chosen."""

    request: str
    status: int
    reason: str
    version: int
    version_age_ms: int
    list_age_ms: int


class WaitRecord(NamedTuple):
    """What is logged of a request that begins to wait."""

    request: str
    model: str
    adapter: str
    reason: str
    #: Requests that wait at this gateway, this one included.
    waiting: int
    list_age_ms: int


class SendRecord(NamedTuple):
    """What is logged of a request that is sent to an endpoint."""

    request: str
    endpoint: str
    #: Endpoints that it was sent to before.
    sends_before: int
    #: Endpoints that had room for it, and milliseconds that the chosen one is expected to cost.
    choices: int
    cost_ms: int
    #: Requests and unread prompt tokens at the endpoint, as far as is known.
    endpoint_requests: int
    endpoint_tokens: int
    list_age_ms: int


class RepeatRecord(NamedTuple):
    """What is logged when a request may or may not be sent again."""

    request: str
    endpoint: str
    #: How it ended at the endpoint.
    end: str
    #: ``repeated``, or why it is not: ``not repeatable`` or ``no budget``.
    outcome: str
    reason: str


class RequestRecord(NamedTuple):
    """What is logged of a request at its end."""

    request: str
    route: str
    #: Version of the configuration, and milliseconds since the store confirmed it.
    version: int
    version_age_ms: int
    #: Milliseconds since the store confirmed the list of endpoints.
    list_age_ms: int
    model: str
    adapter: str
    #: Endpoints that it was sent to, in order.
    endpoints: tuple[str, ...]
    #: Status that the client got, or 0 where it got none.
    status: int
    outcome: str
    reason: str
    #: Milliseconds that it waited in the queue before each send, together.
    queued_ms: int
    #: Milliseconds from its arrival to the first part of the answer, or -1 where none came.
    first_ms: int
    #: Milliseconds from its arrival to its end, and to its deadline.
    total_ms: int
    limit_ms: int


class OrderRecord(NamedTuple):
    """What is logged of an order when its answer came or failed to come."""

    order: str
    kind: str
    model: str
    adapter: str
    endpoint: str
    #: Orders that the engine was expected to have accepted.
    order_count: int
    fence: int
    outcome: str
    reason: str
    #: Milliseconds that the order was expected to take.
    expected_ms: int


class EndpointRecord(NamedTuple):
    """What is logged of an endpoint whose entry changed what this gateway does."""

    endpoint: str
    #: ``ready``, ``leaving``, ``removed``, or ``lapsed`` in an outage of the store.
    state: str
    list_age_ms: int


class EngineRecord(NamedTuple):
    """What is logged when the planner sees that an engine holds something else than before."""

    endpoint: str
    models: tuple[str, ...]
    #: Models with a copy in host memory, and on the engine's own disk.
    in_memory: tuple[str, ...]
    on_disk: tuple[str, ...]
    #: Number of the heartbeat that said so.
    heartbeat: int


class PeerRecord(NamedTuple):
    """What is logged when a gateway is heard, or is no longer heard."""

    peer: str
    #: ``heard`` or ``silent``.
    state: str
    #: Peers that are heard now.
    peers: int
