"""
kingcupdyke.forwarding.leavingmessage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which endpoints are leaving, as gateways tell each other.
"""

from typing import NamedTuple

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.peermessage import MessageKind, decode_message, pack_message

__all__ = ["LeavingMessage", "LeavingReport"]


class LeavingReport(NamedTuple):
    """A process of an endpoint that has said that it is leaving."""

    endpoint: str
    #: Unix time in milliseconds of the start of the process.
    started_ms: int
    #: Seconds since the process was last listed at the sender.
    unlisted_s: float


class LeavingMessage(NamedTuple):
    """Endpoints that a gateway knows to be leaving."""

    #: Host of the sender.
    sender: str
    reports: tuple[LeavingReport, ...]

    message_kind = MessageKind.LEAVING

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self._asdict())

    @classmethod
    def decode(cls, value: bytes) -> Result["LeavingMessage", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_message)


def _make_message(fields: dict) -> LeavingMessage:
    reports = tuple(_make_report(*each) for each in fields["reports"])
    return LeavingMessage(str(fields["sender"]), reports)


def _make_report(endpoint: str, started_ms: int, unlisted_s: float) -> LeavingReport:
    return LeavingReport(str(endpoint), int(started_ms), float(unlisted_s))
