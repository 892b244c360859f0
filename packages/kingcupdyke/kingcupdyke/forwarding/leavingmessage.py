"""
kingcupdyke.forwarding.leavingmessage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which endpoints are leaving, as gateways tell each other.
"""

from typing import NamedTuple

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.forwarding.peerstate import MESSAGE_ERRORS, pack_message, unpack_message

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

    def encode(self) -> bytes:
        """:return: the message as compressed JSON"""
        return pack_message({"leaving": self._asdict()})

    @classmethod
    def decode(cls, value: bytes) -> Result["LeavingMessage", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        try:
            fields = unpack_message(value)["leaving"]
            reports = tuple(_decode_report(*each) for each in fields["reports"])
            return Ok(cls(str(fields["sender"]), reports))
        except MESSAGE_ERRORS as error:
            reason = f"invalid leaving message: {error!r}"
            return Error(Failure(Outcome.FAILED, Step.PARSE, "", reason))


def _decode_report(endpoint: str, started_ms: int, unlisted_s: float) -> LeavingReport:
    return LeavingReport(str(endpoint), int(started_ms), float(unlisted_s))
