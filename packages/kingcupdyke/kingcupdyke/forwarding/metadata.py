"""
kingcupdyke.forwarding.metadata
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the headers of a request and of an answer say.
"""

from typing import NamedTuple

__all__ = ["AnswerMetadata", "PromptPart", "RequestMetadata", "ForwardMetadata"]


class PromptPart(NamedTuple):
    """A part of a prompt; requests that begin with the same parts can share them."""

    part_id: str
    tokens: int


class RequestMetadata(NamedTuple):
    """What a caller's headers say of its request."""

    #: Id of this attempt; the empty string where the caller gave none.
    attempt_id: str
    #: Seconds that the caller waits, or None where it does not say.
    patience_s: float | None
    model: str
    adapter: str
    prompt_tokens: int
    #: Most tokens of the answer.
    output_tokens: int
    parts: tuple[PromptPart, ...]


class ForwardMetadata(NamedTuple):
    """What a gateway adds to a request that it forwards."""

    #: Id of the endpoint that is to take it.
    endpoint: str
    #: Seconds that are left for the answer.
    left_s: float
    #: Rank from 0, the most urgent, to 9; None leaves it to the endpoint.
    priority: int | None


class AnswerMetadata(NamedTuple):
    """What the headers of an endpoint's answer say."""

    #: Id of the attempt that is answered; the empty string where it is not said.
    attempt_id: str
    #: Whether the endpoint says that the request did not run.
    is_not_run: bool
    #: Whether it bears the endpoint's mark of having worked on the request.
    is_stamped: bool
    #: Id of the endpoint that answers; the empty string where it is not said.
    endpoint: str
    #: Whole seconds that an idle connection is kept, or None where it is not said.
    keep_alive_s: float | None
