"""
kingcupdyke_wire.decode
~~~~~~~~~~~~~~~~~~~~~~~

Decodes JSON answers of the platform and the engines into typed values.
"""

from collections.abc import Callable
from time import time
from typing import Any, TypeVar

from expression import Error, Ok, Result

from kingcupdyke.error import DECODE_ERRORS, AnswerFault, Failure, Outcome, Step, describe_error
from kingcupdyke_wire.answerlimit import AnswerLimit, RefusedAnswerError
from kingcupdyke_wire.http import HttpAnswer
from kingcupdyke_wire.jsontext import load_json
from kingcupdyke_wire.retryafter import read_retry_after

__all__ = ["decode", "decode_body", "make_failure"]

T = TypeVar("T")

STATUS_OK = 200
#: Statuses of requests that had no effect: not found, conflict, too large, rate limit exceeded,
#: unavailable, insufficient memory.
STATUSES_NOT_RUN = (404, 409, 413, 429, 503, 507)
#: Maximum number of body bytes of an unsuccessful answer that a failure quotes.
MAX_QUOTED_BYTES = 200


def decode(
    answer: HttpAnswer, step: Step, peer: str, read: Callable[[Any], T], limit: AnswerLimit
) -> Result[T, Failure]:
    """Decode the JSON body of a successful answer.

    :param read: converts the JSON data; may raise one of DECODE_ERRORS
    :param limit: limit of the memory that decoding may take
    :return: the value, or a failure for another status, or for an unexpected or too large body
    """
    if answer.status != STATUS_OK:
        return Error(make_failure(answer, step, peer))
    return decode_body(answer.body, step, peer, read, limit)


def decode_body(
    body: bytes,
    step: Step,
    peer: str,
    read: Callable[[Any], T],
    limit: AnswerLimit,
    encoding_errors: str = "strict",
) -> Result[T, Failure]:
    """Decode the JSON body of an answer with any status.

    :param encoding_errors: how bytes that are not valid UTF-8 are treated, as in
        :meth:`bytes.decode`
    :return: the value, or a failure with a fault for an unexpected or too large body
    """
    try:
        limit.check_decoded(body)
        return Ok(read(load_json(body.decode(errors=encoding_errors))))
    except RefusedAnswerError as error:
        return Error(Failure(Outcome.UNKNOWN, step, peer, str(error), fault=error.fault))
    except DECODE_ERRORS as error:
        reason = f"unexpected answer format: {describe_error(error)}"
        return Error(Failure(Outcome.UNKNOWN, step, peer, reason, fault=AnswerFault.FORMAT))


def make_failure(answer: HttpAnswer, step: Step, peer: str) -> Failure:
    """:return: the failure for an unsuccessful answer"""
    outcome = Outcome.NOT_RUN if answer.status in STATUSES_NOT_RUN else Outcome.UNKNOWN
    text = answer.body[:MAX_QUOTED_BYTES].decode("utf-8", "replace")
    reason = f"status {answer.status} {text}".rstrip()
    return Failure(outcome, step, peer, reason, _read_retry_after(answer))


def _read_retry_after(answer: HttpAnswer) -> float | None:
    value = answer.headers.get("retry-after")
    if value is None:
        return None
    return read_retry_after([value], answer.headers.get("date", ""), time())
