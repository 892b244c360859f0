"""
kingcupdyke.forwarding.metadata
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Contents of the headers of a request and of an answer.
"""

from typing import NamedTuple

__all__ = ["AnswerMetadata", "PromptPart", "RequestMetadata", "ForwardMetadata"]


class PromptPart(NamedTuple):
    """A part of a prompt; prompts that begin with the same parts can share their cached state."""

    part_id: str
    tokens: int


class RequestMetadata(NamedTuple):
    """Properties of a request that its caller sends in headers."""

    #: Id of this attempt; the empty string if the caller sent none.
    attempt_id: str
    #: Timeout of the caller in seconds, or None if it sent none.
    caller_timeout_s: float | None
    model: str
    adapter: str
    prompt_tokens: int
    #: Limit of tokens in the answer.
    output_tokens: int
    parts: tuple[PromptPart, ...]
    #: Id of the attempt that began the stream which this one continues; empty for a new request.
    resumes: str = ""
    #: Value of the Authorization header, or its values separated by line feeds; empty if there is
    #: none. It contains the caller's key and must not be logged or sent to another process.
    authorization: str = ""


class ForwardMetadata(NamedTuple):
    """Properties that a gateway adds as headers to a request that it forwards."""

    #: Id of the endpoint that the request is meant for.
    endpoint: str
    #: Seconds that remain for the answer.
    remaining_s: float
    #: Rank from 0, the most urgent, to 9; None leaves it to the endpoint.
    priority: int | None
    #: Name of the caller that has sent the request; empty if it is not known.
    caller: str = ""
    #: Whether callers are configured, so that the request's Authorization header has a key.
    has_callers: bool = False


class AnswerMetadata(NamedTuple):
    """Properties of an answer that the endpoint sends in headers."""

    #: Id of the attempt that is answered; the empty string if the endpoint sent none.
    attempt_id: str
    #: Whether the endpoint states that it did not run the request.
    is_not_run: bool
    #: Whether the answer has the stamp of an endpoint that has worked on the request.
    is_stamped: bool
    #: Id of the endpoint that answers; the empty string if it sent none.
    endpoint: str
    #: Seconds for which the endpoint keeps an idle connection open, or None if it sent none.
    keep_alive_s: float | None
    #: Requests a second that the endpoint accepts from all gateways together, or None if it named
    #: no limit.
    limit_per_s: float | None = None
    #: Whether the endpoint states that it is leaving.
    is_leaving: bool = False
    #: Seconds after which the endpoint wants the next call, or None if it named no valid time.
    retry_after_s: float | None = None
