"""
kingcupdyke_daemon.gateway.reply
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Answers that the gateway produces itself, with errors in the OpenAI format.
"""

import json
from collections.abc import Awaitable, Callable, Iterable
from math import ceil
from typing import NamedTuple

from kingcupdyke.error import Failure, Outcome, Step

__all__ = [
    "Headers",
    "Rejection",
    "Send",
    "encode_error",
    "make_rejection",
    "send_body",
    "send_json",
    "send_rejection",
]

Send = Callable[[dict], Awaitable[None]]
Headers = Iterable[tuple[bytes, bytes]]


class Rejection(NamedTuple):
    """An error answer of the gateway."""

    status: int
    code: str
    failure: Failure
    #: Name of the invalid field, or the empty string.
    param: str = ""


#: HTTP status and code by the step and the outcome of a failure.
_STATUS_BY_STEP = {
    (Step.PARSE, Outcome.NOT_RUN): (400, "invalid_request"),
    (Step.AUTHENTICATE, Outcome.NOT_RUN): (401, "invalid_token"),
    (Step.ADMIT, Outcome.NOT_RUN): (503, "overloaded"),
    (Step.ROUTE, Outcome.NOT_RUN): (503, "no_endpoint"),
    (Step.CONNECT, Outcome.NOT_RUN): (503, "endpoint_unreachable"),
    (Step.CLAIM, Outcome.NOT_RUN): (503, "store_away"),
    (Step.CLAIM, Outcome.UNKNOWN): (409, "outcome_unknown"),
    (Step.CLAIM, Outcome.FAILED): (422, "key_reused"),
}
_STATUS_BY_OUTCOME = {
    Outcome.NOT_RUN: (503, "not_run"),
    Outcome.FAILED: (502, "failed"),
    Outcome.UNKNOWN: (504, "outcome_unknown"),
}


def make_rejection(failure: Failure) -> Rejection:
    """:return: the rejection that reports a failure"""
    step = Step(failure.step)
    outcome = Outcome(failure.outcome)
    status, code = _STATUS_BY_STEP.get((step, outcome)) or _STATUS_BY_OUTCOME[outcome]
    return Rejection(status, code, failure)


def encode_error(rejection: Rejection) -> bytes:
    """:return: the error's JSON in the OpenAI format, with outcome, step and peer"""
    failure = rejection.failure
    error_type = "invalid_request_error" if rejection.status < 500 else "server_error"
    error = {
        "message": failure.reason,
        "type": error_type,
        "param": rejection.param or None,
        "code": rejection.code,
        "outcome": failure.outcome.value,
        "step": failure.step.value,
        "peer": failure.peer,
        "retry_after_s": failure.retry_after_s,
    }
    return json.dumps({"error": error}).encode()


async def send_body(
    send: Send, status: int, content_type: str, body: bytes, headers: Headers = ()
) -> None:
    """Send a complete answer."""
    all_headers = [
        (b"content-type", content_type.encode()),
        (b"content-length", str(len(body)).encode()),
        *headers,
    ]
    await send({"type": "http.response.start", "status": status, "headers": all_headers})
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, value: object, status: int = 200, headers: Headers = ()) -> None:
    """Send a value as JSON."""
    await send_body(send, status, "application/json", json.dumps(value).encode(), headers)


async def send_rejection(send: Send, rejection: Rejection, headers: Headers = ()) -> None:
    """Send an error, with ``Retry-After`` if the failure says when to retry."""
    all_headers = list(headers)
    if rejection.failure.retry_after_s is not None:
        wait_s = rejection.failure.retry_after_s
        all_headers.append((b"retry-after", str(max(1, ceil(wait_s))).encode()))
        all_headers.append((b"retry-after-ms", str(ceil(wait_s * 1000)).encode()))
    await send_body(
        send, rejection.status, "application/json", encode_error(rejection), all_headers
    )
