"""
kingcupdyke.forwarding.limitmessage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits that endpoints name, and the requests sent to them, as gateways tell each other.
"""

from typing import NamedTuple

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.peermessage import MessageKind, decode_message, pack_message

__all__ = ["LimitMessage", "LimitReport", "LimitVersion"]


class LimitVersion(NamedTuple):
    """Orders what gateways learn of an endpoint's limit; what has a greater version prevails."""

    #: One more than that of what the gateway knew before.
    number: int = 0
    #: Host of the gateway that got the answer.
    host: str = ""


class LimitReport(NamedTuple):
    """What a gateway knows of one endpoint's limit, and what it has sent there."""

    endpoint: str
    #: Unix time in milliseconds of the start of the endpoint's process.
    started_ms: int
    #: Requests a second that it accepts from all gateways together, or None if it names no limit.
    limit_per_s: float | None
    version: LimitVersion
    #: Seconds since each request that the sender of the message has lately sent to it.
    send_ages_s: tuple[float, ...]


class LimitMessage(NamedTuple):
    """The limits that a gateway knows."""

    #: Host and incarnation of the sender.
    sender: str
    incarnation: str
    #: Number of the message within the incarnation.
    number: int
    reports: tuple[LimitReport, ...]

    message_kind = MessageKind.LIMITS

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self._asdict())

    @classmethod
    def decode(cls, value: bytes) -> Result["LimitMessage", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_message)


def _make_message(fields: dict) -> LimitMessage:
    reports = tuple(_make_report(*each) for each in fields["reports"])
    sender, incarnation = str(fields["sender"]), str(fields["incarnation"])
    return LimitMessage(sender, incarnation, int(fields["number"]), reports)


def _make_report(
    endpoint: str,
    started_ms: int,
    limit_per_s: float | None,
    version: list,
    send_ages_s: list[float],
) -> LimitReport:
    limit = None if limit_per_s is None else float(limit_per_s)
    number, host = version
    ages_s = tuple(float(each) for each in send_ages_s)
    known = LimitVersion(int(number), str(host))
    return LimitReport(str(endpoint), int(started_ms), limit, known, ages_s)
