"""
kingcupdyke_wire.completeness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks by its content whether an answer whose body was read to its end is complete.
"""

import json
from collections.abc import Mapping

from kingcupdyke_wire.sse import EVENT_STREAM, ends_inside_event

__all__ = ["find_truncation", "is_json", "is_judged_by_content", "marks_its_end"]

JSON = "application/json"


def find_truncation(headers: Mapping[str, str], body: bytes) -> str:
    """Check an answer; the end of its connection does not show that nothing is missing.

    :param headers: values of the header fields, by name in lower case
    :return: why the answer is incomplete, or the empty string
    """
    if _get_content_type(headers) == EVENT_STREAM and ends_inside_event(body):
        return "the stream ended inside an event"
    if is_judged_by_content(headers) and not is_json(body):
        return "the connection ended inside a JSON value"
    return ""


def is_judged_by_content(headers: Mapping[str, str]) -> bool:
    """:return: whether the body is decoded to find out whether it is complete: it is JSON without a
    length or chunks

    :param headers: values of the header fields, by name in lower case
    """
    is_delimited = "content-length" in headers or "transfer-encoding" in headers
    return _get_content_type(headers) == JSON and not is_delimited


def marks_its_end(headers: Mapping[str, str], body: bytes) -> bool:
    """:return: whether the body itself shows that nothing is missing: it is a JSON object, list or
    text, of which no beginning is valid JSON

    :param headers: values of the header fields, by name in lower case
    """
    return (
        _get_content_type(headers) == JSON
        and body.lstrip()[:1] in (b"{", b"[", b'"')
        and is_json(body)
    )


def _get_content_type(headers: Mapping[str, str]) -> str:
    return headers.get("content-type", "").partition(";")[0].strip().lower()


def is_json(body: bytes) -> bool:
    """:return: whether the body is one JSON value"""
    try:
        json.loads(body)
    except (ValueError, RecursionError):
        # What is too deep to be read can't be told from what has broken off.
        return False
    return True
