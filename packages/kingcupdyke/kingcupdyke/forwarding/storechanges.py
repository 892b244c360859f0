"""
kingcupdyke.forwarding.storechanges
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Changes of the store's objects that one gateway has read and passes on to its region.
"""

from collections.abc import Iterable
from typing import NamedTuple

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.forwarding.peerstate import (
    MESSAGE_ERRORS,
    GatewayState,
    pack_message,
    unpack_message,
)
from kingcupdyke.util import rank_rendezvous

__all__ = ["StoreChange", "StoreChanges", "choose_readers"]

#: Number of gateways in each region that read the store for the others.
READERS_IN_REGION = 2
#: Number of gateways in a region up to which all of them read the store.
MAX_REGION_WITHOUT_FOLLOWERS = 4


class StoreChange(NamedTuple):
    """A change of one object."""

    name: str
    #: Version of the object after the change.
    version: int
    #: The value as text, or None if the object was deleted.
    value: str | None


class StoreChanges(NamedTuple):
    """All changes of one kind of objects between two positions of the store, in order.

    Without changes it tells that the sender still reads the store.
    """

    #: Host of the sender.
    sender: str
    kind: str
    #: Position after which the changes begin, and position of the last of them.
    from_position: int
    position: int
    #: Whether an outage of the store ended recently, so that objects may have lapsed.
    after_outage: bool
    changes: tuple[StoreChange, ...]

    def encode(self) -> bytes:
        """:return: the message as compressed JSON"""
        return pack_message({"changes": self._asdict()})

    @classmethod
    def decode(cls, value: bytes) -> Result["StoreChanges", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        try:
            fields = unpack_message(value)["changes"]
            changes = tuple(_decode_change(*each) for each in fields["changes"])
            return Ok(
                cls(
                    str(fields["sender"]),
                    str(fields["kind"]),
                    int(fields["from_position"]),
                    int(fields["position"]),
                    bool(fields["after_outage"]),
                    changes,
                )
            )
        except MESSAGE_ERRORS as error:
            reason = f"invalid message on the store's changes: {error!r}"
            return Error(Failure(Outcome.FAILED, Step.PARSE, "", reason))


def _decode_change(name: str, version: int, value: str | None) -> StoreChange:
    return StoreChange(str(name), int(version), None if value is None else str(value))


def choose_readers(kind: str, host: str, peers: Iterable[GatewayState]) -> list[str]:
    """Choose the gateways of a region that read a kind of objects from the store for the others.

    :param host: the own host
    :param peers: states of the live peers in the same region
    """
    able = [
        each.host for each in peers if not each.is_stopping and kind not in each.unreadable_kinds
    ]
    ranked = rank_rendezvous(kind, [host, *able])
    return ranked if len(ranked) <= MAX_REGION_WITHOUT_FOLLOWERS else ranked[:READERS_IN_REGION]
