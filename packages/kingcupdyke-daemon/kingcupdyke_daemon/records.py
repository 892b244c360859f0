"""
kingcupdyke_daemon.records
~~~~~~~~~~~~~~~~~~~~~~~~~~

Typed fields of the records that gateways log.
"""

from typing import NamedTuple

__all__ = [
    "AnswerMemoryRecord",
    "DataAges",
    "CallRecord",
    "ContinuationRecord",
    "CrashRecord",
    "CrashSignatureRecord",
    "EndpointRecord",
    "LeavingRecord",
    "LimitRecord",
    "PaceRecord",
    "PeerRecord",
    "ProcessorRecord",
    "QuotaDeniedRecord",
    "QuotaOwnerRecord",
    "RefusalRecord",
    "RejectedMessageRecord",
    "RejectionRecord",
    "RetryRecord",
    "RequestCrashRecord",
    "RequestRecord",
    "SendRecord",
    "VersionRegisterRecord",
    "WaitRecord",
]


class DataAges(NamedTuple):
    """Milliseconds since the store confirmed the configuration and the list of endpoints."""

    version_ms: int
    list_ms: int


class CallRecord(NamedTuple):
    """Fields of a request that has ended, at a gateway that uses sidecars."""

    #: Id that the caller sent, or that the gateway assigned.
    request: str
    #: Id within the gateway and its sidecars.
    internal: str
    #: Model or service that was requested.
    target: str
    adapter: str
    caller: str
    service_class: str
    #: Endpoint that gave the answer, or the empty string.
    endpoint: str
    #: HTTP status that was sent to the caller, or 0 if none was.
    status: int
    outcome: str
    #: Step that failed, and the reason.
    step: str
    reason: str
    #: Milliseconds from its arrival to the first part of the answer, or -1 if there was none.
    first_ms: int
    total_ms: int


class RejectionRecord(NamedTuple):
    """Fields of a request that was rejected before admission, at a gateway that uses sidecars."""

    request: str
    status: int
    step: str
    reason: str


class RefusalRecord(NamedTuple):
    """Fields of a request that is refused before it is queued."""

    request: str
    status: int
    reason: str
    version: int
    version_age_ms: int
    list_age_ms: int
    #: Milliseconds for which its first bytes may have waited until they were read.
    unread_ms: int = 0


class WaitRecord(NamedTuple):
    """Fields of a request that starts to wait."""

    request: str
    model: str
    adapter: str
    reason: str
    #: Number of requests that wait at this gateway, including this one.
    waiting: int
    list_age_ms: int


class SendRecord(NamedTuple):
    """Fields of a request that is sent to an endpoint."""

    request: str
    endpoint: str
    #: Version of the endpoint's software, or empty if its entry is gone.
    software_version: str
    #: Number of endpoints that it was sent to before.
    sends_before: int
    #: Number of endpoints with capacity for it, and expected cost in ms of the chosen one.
    choices: int
    cost_ms: int
    #: Requests and unprocessed prompt tokens at the endpoint, as known to this gateway.
    endpoint_requests: int
    endpoint_tokens: int
    list_age_ms: int


class RetryRecord(NamedTuple):
    """Fields of a request that failed at an endpoint and may be retried."""

    request: str
    endpoint: str
    #: How the request ended at the endpoint.
    end: str
    #: ``repeated`` if it is retried, else the reason: ``not repeatable`` or ``no budget``.
    outcome: str
    reason: str


class ProcessorRecord(NamedTuple):
    """Fields of a line that says that a process reads, decides and writes late."""

    #: Longest time between two looks at its sockets since the last measurement.
    longest_pass_ms: int
    #: Time since the last measurement, which is due each second.
    elapsed_ms: int
    #: Processor time used meanwhile, as a share of one core.
    processor_share: float


class RequestRecord(NamedTuple):
    """Fields of a request that has ended."""

    request: str
    route: str
    #: Version of the configuration, and milliseconds since the store confirmed it.
    version: int
    version_age_ms: int
    #: Milliseconds since the store confirmed the list of endpoints.
    list_age_ms: int
    model: str
    adapter: str
    #: Ids of the parts of its prompt, in order.
    parts: tuple[str, ...]
    #: The same for all requests with its method, path, caller and body.
    fingerprint: str
    #: Id of the attempt whose stream it continues, or empty for a new request.
    resumes: str
    #: Endpoints that it was sent to, in order of the sends, and versions of their software.
    endpoints: tuple[str, ...]
    software_versions: tuple[str, ...]
    #: HTTP status that was sent to the client, or 0 if none was.
    status: int
    outcome: str
    reason: str
    #: Total milliseconds that it waited in the queue, over all sends.
    queued_ms: int
    #: Milliseconds from its arrival to the first part of the answer, or -1 if there was none.
    first_ms: int
    #: Milliseconds from its arrival to its end, and to its deadline.
    total_ms: int
    limit_ms: int
    #: What marked the end of the last endpoint's answer: ``length``, ``chunks`` or ``connection``;
    #: empty without an answer.
    framing: str
    #: Complete events of a stream, over all endpoints, and bytes that the last one sent after them.
    events: int
    partial_bytes: int
    #: Limit of requests a second that the endpoint named in its last answer, or -1 without one.
    limit_per_s: float
    #: Endpoints that said in their answers that they are leaving, in order.
    leaving: tuple[str, ...]
    #: Longest milliseconds between two pieces of a stream after its first event, or -1 without one.
    longest_pause_ms: int
    #: Name of the caller, or empty if it is not known.
    caller: str = ""
    #: Milliseconds for which its first bytes may have waited until they were read.
    unread_ms: int = 0
    #: Milliseconds from the end of the last endpoint's answer, or the decision to give up, until
    #: the answer to the client was written.
    writing_ms: int = 0


class CallersRecord(NamedTuple):
    """Fields of a configuration whose callers or keys differ from those before."""

    version: int
    #: Number of callers, or -1 if requests need no key, and total number of keys.
    callers: int
    keys: int
    #: Names of callers that are new, that are gone, and that have another set of keys.
    added: tuple[str, ...]
    removed: tuple[str, ...]
    with_other_keys: tuple[str, ...]


class EndpointRecord(NamedTuple):
    """Fields of an endpoint whose changed entry alters what this gateway does."""

    endpoint: str
    #: ``ready``, ``leaving``, ``removed``, or ``lapsed`` in an outage of the store.
    state: str
    #: Version of its software, or empty if it is unknown.
    software_version: str
    list_age_ms: int


class CrashRecord(NamedTuple):
    """Fields of a request that was lost with an endpoint that crashed."""

    endpoint: str
    #: Unix time in milliseconds of the start of the endpoint's process.
    started_ms: int
    #: Ids of the parts of the request's prompt, in order, and the request's fingerprint.
    parts: tuple[str, ...]
    fingerprint: str
    #: Whether its answer was just beginning.
    is_beginning: bool


class CrashSignatureRecord(NamedTuple):
    """Fields of the mark of prompts that are rejected from now on, as they crash endpoints."""

    #: Ids of the parts that such prompts have in common.
    parts: tuple[str, ...]
    #: Number of crashes at which such a prompt was.
    crashes: int


class RequestCrashRecord(NamedTuple):
    """Fields of a request that is rejected from now on, as it crashes endpoints."""

    fingerprint: str


class LeavingRecord(NamedTuple):
    """Fields of an endpoint that has said in an answer that it is leaving."""

    endpoint: str
    #: Unix time in milliseconds of the start of the endpoint's process.
    started_ms: int
    #: Gateway that has told this one, or empty if the endpoint itself has.
    peer: str


class BackoffRecord(NamedTuple):
    """Fields of an answer in which an endpoint requests backoff, longer than known before."""

    endpoint: str
    #: The call that was answered: ``request``, ``order`` or ``report``.
    call: str
    retry_after_s: float


class LimitRecord(NamedTuple):
    """Fields of an endpoint whose limit has changed."""

    endpoint: str
    #: Requests a second that it accepts from all gateways together, or -1 if it names no limit.
    limit_per_s: float
    #: Gateway that has told this one, or empty if the endpoint itself has.
    peer: str


class QuotaOwnerRecord(NamedTuple):
    """Fields of a caller whose quota this gateway begins or ceases to own."""

    caller: str
    #: ``owner`` or ``not owner``.
    state: str


class QuotaDeniedRecord(NamedTuple):
    """Fields of the first request of a caller that its quota has denied for some seconds."""

    caller: str
    #: In the unit of the quota.
    cost: float
    retry_after_s: float
    #: False if the owner has not answered.
    is_known: bool
    #: Gateway that owns the quota, or empty if none is known.
    owner: str


class AnswerMemoryRecord(NamedTuple):
    """Fields of an answer to a slow client that is stopped or aborted."""

    request: str
    #: Bytes of the answer that the gateway holds.
    held_bytes: int
    #: Bytes of all answers and of all request bodies that it holds, and its budget for both.
    answer_bytes: int
    body_bytes: int
    budget_bytes: int


class PaceRecord(NamedTuple):
    """Fields of the begin or end of the window of an endpoint that starts or recovers."""

    endpoint: str
    #: ``listed``, ``cold`` or ``unreachable``.
    reason: str
    #: Requests in flight that all gateways together may have there.
    window: float
    #: Successes and reductions of the window since the begin, as known to this gateway.
    successes: int
    failures: int
    #: Window at which it ends: the load of the established endpoints; -1 if unknown.
    end_window: float
    #: Milliseconds since the begin.
    total_ms: int


class PeerRecord(NamedTuple):
    """Fields of a peer gateway that became responsive or unresponsive."""

    peer: str
    #: ``heard`` if responsive, ``silent`` if not.
    state: str
    #: Number of peers that are responsive now.
    peers: int


class RejectedMessageRecord(NamedTuple):
    """Fields of a peer's message that is dropped."""

    #: ``unknown kind`` or ``invalid``.
    reason: str
    #: Number of the kind that it names, or -1 if it is empty.
    kind: int
    bytes: int
    #: What makes it invalid, or the empty string.
    detail: str


class ContinuationRecord(NamedTuple):
    """Fields of a stream that continues after it broke off, or can't."""

    #: Client's attempt, and the attempt that it names as the beginning of the stream.
    request: str
    resumes: str
    service: str
    #: ``continued`` or ``rejected``.
    outcome: str
    #: Why it is rejected, or what proves the version: ``origin`` or ``register``.
    reason: str
    #: Version that began the stream, with endpoint and start of its process in Unix milliseconds;
    #: empty and 0 if unknown.
    software_version: str
    endpoint: str
    started_ms: int
    #: Versions in the register, as last read.
    registered: tuple[str, ...]


class VersionRegisterRecord(NamedTuple):
    """Fields of a register of software versions that this gateway has written."""

    service: str
    registered: tuple[str, ...]
    #: Those that are about to be removed.
    retiring: tuple[str, ...]
