"""
kingcupdyke.request
~~~~~~~~~~~~~~~~~~~

The properties of a request on which decisions are based.
"""

from typing import NamedTuple

__all__ = ["Request"]


class Request(NamedTuple):
    """Properties of a request for routing, admission and retries."""

    request_id: str
    caller: str
    service_class: str
    #: Name of the model or the service.
    target: str
    #: Name of the adapter, or the empty string.
    adapter: str
    #: Time of arrival, in seconds of the timer service.
    arrived_s: float
    #: Time by which the whole answer must be delivered, in seconds of the timer service.
    deadline_s: float
    idempotent: bool
    #: Key that makes duplicates of a non-idempotent request safe, or the empty string.
    idempotency_key: str = ""
    #: Hashes of the prompt's prefix blocks, the shortest prefix first.
    prefixes: tuple[str, ...] = ()
    body_bytes: int = 0
    #: Maximum number of tokens of the answer, as the caller set it, or zero.
    max_tokens: int = 0
