"""
kingcupdyke.forwarding.pinneddemand
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Demand of streams that must continue at one software version, as gateways report it to the planner.
"""

from typing import NamedTuple

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.peermessage import MessageKind, decode_message, pack_message

__all__ = ["PinnedDemand", "PinnedDemandMessage", "PinnedDemandTable"]

#: Seconds after which a gateway's report no longer counts.
REPORT_VALID_S = 1.0


class PinnedDemand(NamedTuple):
    """Streams that wait for a model, or an adapter of it, at endpoints of one software version."""

    service: str
    model: str
    adapter: str
    software_version: str
    #: Number of waiting requests.
    waiting: int


class PinnedDemandMessage(NamedTuple):
    """The pinned demand at one gateway."""

    #: Host of the sender.
    sender: str
    demands: tuple[PinnedDemand, ...]

    message_kind = MessageKind.PINNED_DEMAND

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self._asdict())

    @classmethod
    def decode(cls, value: bytes) -> Result["PinnedDemandMessage", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_message)


class PinnedDemandTable:
    """The latest pinned demand of each gateway."""

    def __init__(self) -> None:
        self._report_by_host: dict[str, tuple[PinnedDemandMessage, float]] = {}

    def put(self, message: PinnedDemandMessage, now_s: float) -> None:
        """Replace the demand of the message's sender."""
        self._report_by_host[message.sender] = (message, now_s)

    def list(self, now_s: float) -> list[PinnedDemand]:
        """:return: demand that was reported within REPORT_VALID_S"""
        return [
            demand
            for message, received_s in self._report_by_host.values()
            if now_s - received_s < REPORT_VALID_S
            for demand in message.demands
        ]


def _make_message(fields: dict) -> PinnedDemandMessage:
    demands = tuple(_make_demand(*each) for each in fields["demands"])
    return PinnedDemandMessage(str(fields["sender"]), demands)


def _make_demand(
    service: str, model: str, adapter: str, software_version: str, waiting: int
) -> PinnedDemand:
    return PinnedDemand(str(service), str(model), str(adapter), str(software_version), int(waiting))
