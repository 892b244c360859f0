"""
kingcupdyke.request
~~~~~~~~~~~~~~~~~~~

A request of a caller as the decisions see it.
"""

from typing import NamedTuple

__all__ = ["Request"]


class Request(NamedTuple):
    """What routing, admission and retries need to know of a request."""

    request_id: str
    caller: str
    service_class: str
    #: Name of the model or the service.
    target: str
    #: Name of the adapter, or the empty string.
    adapter: str
    #: Time of arrival, in seconds of the timer service.
    arrived_s: float
    #: Time by which the whole answer is due, in seconds of the timer service.
    deadline_s: float
    idempotent: bool
    #: Key that makes a repeat of non-idempotent work safe, or the empty string.
    idempotency_key: str = ""
    #: Hashes of the prompt's prefix blocks, the shortest prefix first.
    prefixes: tuple[str, ...] = ()
    body_bytes: int = 0
    #: Tokens that the caller allows for the answer.
    max_tokens: int = 0
