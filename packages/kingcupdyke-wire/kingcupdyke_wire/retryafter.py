"""
kingcupdyke_wire.retryafter
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the Retry-After header of an answer (RFC 9110, section 10.2.3).
"""

import re
from collections.abc import Iterable
from datetime import UTC
from email.utils import parsedate_to_datetime

__all__ = ["MAX_RETRY_AFTER_S", "read_retry_after"]

#: Longest time in seconds that is kept, so that a wrong value does not last for good.
MAX_RETRY_AFTER_S = 3600.0
#: A decimal number without a sign; the RFC permits integers only, some servers send fractions.
DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+", re.ASCII)


def read_retry_after(values: Iterable[str], date: str, now_s: float) -> float | None:
    """Read how long a server wants no further request.

    :param values: values of all Retry-After headers of the answer; one may list several
    :param date: value of its Date header, to which dates are compared as clocks differ; or empty
    :param now_s: Unix time in seconds, to which they are compared without a valid Date header
    :return: the longest time in seconds, at most MAX_RETRY_AFTER_S, 0 if it is over; None if no
        value is valid
    """
    sent_s = _parse_date(date)
    times_s = [
        time_s for value in values for time_s in _parse(value, now_s if sent_s is None else sent_s)
    ]
    return min(max(times_s), MAX_RETRY_AFTER_S) if times_s else None


def _parse(value: str, now_s: float) -> list[float]:
    """:return: the valid times in one header, in seconds from now"""
    until_s = _parse_date(value)
    if until_s is not None:
        return [max(0.0, until_s - now_s)]
    parts = (each.strip() for each in value.split(","))
    return [float(each) for each in parts if DECIMAL.fullmatch(each)]


def _parse_date(text: str) -> float | None:
    """:return: Unix time in seconds, or None if the text is no date of HTTP"""
    try:
        date = parsedate_to_datetime(text)
        # A date of HTTP is always in UTC, although its oldest form doesn't say so.
        return (date if date.tzinfo else date.replace(tzinfo=UTC)).timestamp()
    except (ValueError, TypeError, OverflowError):
        return None
