"""
kingcupdyke.forwarding.storechanges
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Changes of the store's objects that one gateway has read and passes on to its region.
"""

from collections.abc import Iterable
from typing import NamedTuple

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.peermessage import MessageKind, decode_message, pack_message
from kingcupdyke.forwarding.peerstate import GatewayState
from kingcupdyke.util import rank_rendezvous

__all__ = ["StoreChange", "StoreChanges", "choose_primary_readers", "choose_readers"]

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
    #: Position of the last change of the kind that the sender knows, or 0.
    last_change: int = 0

    #: The kind of the message; that of the objects is a field.
    message_kind = MessageKind.STORE_CHANGES

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self._asdict())

    @classmethod
    def decode(cls, value: bytes) -> Result["StoreChanges", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_message)


def _make_message(fields: dict) -> StoreChanges:
    return StoreChanges(
        str(fields["sender"]),
        str(fields["kind"]),
        int(fields["from_position"]),
        int(fields["position"]),
        bool(fields["after_outage"]),
        tuple(_make_change(*each) for each in fields["changes"]),
        int(fields.get("last_change", 0)),
    )


def _make_change(name: str, version: int, value: str | None) -> StoreChange:
    return StoreChange(str(name), int(version), None if value is None else str(value))


def choose_readers(kind: str, host: str, peers: Iterable[GatewayState]) -> list[str]:
    """Choose the gateways of a region that read a kind of objects from the store for the others.

    :param host: the own host
    :param peers: states of the live peers in the same region
    """
    ranked = _rank_able(kind, host, peers)
    return ranked if len(ranked) <= MAX_REGION_WITHOUT_FOLLOWERS else ranked[:READERS_IN_REGION]


def choose_primary_readers(kind: str, host: str, peers: Iterable[GatewayState]) -> list[str]:
    """Choose the readers of a region that notice first when an answer of the store was lost.

    :param host: the own host
    :param peers: states of the live peers in the same region
    """
    return _rank_able(kind, host, peers)[:READERS_IN_REGION]


def _rank_able(kind: str, host: str, peers: Iterable[GatewayState]) -> list[str]:
    """:return: the own host, and those of the peers that can read the kind, in order of choice"""
    able = [
        each.host for each in peers if not each.is_stopping and kind not in each.unreadable_kinds
    ]
    return rank_rendezvous(kind, [host, *able])
