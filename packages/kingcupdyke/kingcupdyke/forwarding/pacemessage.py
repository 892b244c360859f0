"""
kingcupdyke.forwarding.pacemessage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What gateways tell each other of endpoints that start or recover.
"""

from enum import StrEnum
from math import isfinite
from typing import NamedTuple

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.peermessage import MessageKind, decode_message, pack_message

__all__ = ["PaceMessage", "PaceReason", "PaceReport"]


class PaceReason(StrEnum):
    """Why a window has begun."""

    LISTED = "listed"
    COLD = "cold"
    UNREACHABLE = "unreachable"


class PaceReport(NamedTuple):
    """What a gateway knows of one endpoint that starts or recovers."""

    endpoint: str
    #: Unix time in milliseconds of the start of the endpoint's process.
    started_ms: int
    #: Number of the window of that process, counted from 1.
    episode: int
    reason: PaceReason
    #: Successes and reductions since the begin at the sender of the message; they only rise.
    successes: int
    failures: int
    #: Requests in flight that the sender permits all gateways together.
    window: float
    #: Whether the endpoint has not answered since connections to it failed.
    is_down: bool
    #: Whether the window has ended at the sender.
    is_ended: bool
    #: Seconds since the window could first be used or, for an endpoint that does not answer, since
    #: it began.
    age_s: float
    #: Seconds since the last failure or slow response that prolongs it, or None.
    quiet_s: float | None


class PaceMessage(NamedTuple):
    """The endpoints that start or recover, as a gateway knows them."""

    #: Host and incarnation of the sender.
    sender: str
    incarnation: str
    reports: tuple[PaceReport, ...]

    message_kind = MessageKind.PACE

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self._asdict())

    @classmethod
    def decode(cls, value: bytes) -> Result["PaceMessage", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_message)


def _make_message(fields: dict) -> PaceMessage:
    reports = tuple(_make_report(*each) for each in fields["reports"])
    return PaceMessage(str(fields["sender"]), str(fields["incarnation"]), reports)


def _make_report(
    endpoint: str,
    started_ms: int,
    episode: int,
    reason: str,
    successes: int,
    failures: int,
    window: float,
    is_down: bool,
    is_ended: bool,
    age_s: float,
    quiet_s: float | None,
) -> PaceReport:
    report = PaceReport(
        str(endpoint),
        int(started_ms),
        int(episode),
        PaceReason(reason),
        int(successes),
        int(failures),
        float(window),
        bool(is_down),
        bool(is_ended),
        float(age_s),
        None if quiet_s is None else max(0.0, float(quiet_s)),
    )
    if not (isfinite(report.window) and isfinite(report.age_s) and report.window >= 1.0):
        raise ValueError(f"invalid report: {report!r}")
    return report
