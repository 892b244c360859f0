"""
kingcupdyke.forwarding.storerelay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Objects of the store that a gateway relays to peers that cannot reach the store.

A network partition may separate a gateway from the store. The others then relay the store's objects
to it, so that it continues with the current list of endpoints and configuration.
"""

from collections.abc import Iterable
from typing import NamedTuple

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.peermessage import MessageKind, decode_message, pack_message
from kingcupdyke.forwarding.peerstate import GatewayState

__all__ = ["RelayedObject", "StoreRelay", "list_relay_hosts"]


class RelayedObject(NamedTuple):
    """An object of the store."""

    name: str
    version: int
    value: str


class StoreRelay(NamedTuple):
    """All objects of one kind, as the sender last read them from the store."""

    kind: str
    #: Position in the store's sequence of writes.
    position: int
    objects: tuple[RelayedObject, ...]

    #: The kind of the message; that of the objects is a field.
    message_kind = MessageKind.STORE_RELAY

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self._asdict())

    @classmethod
    def decode(cls, value: bytes) -> Result["StoreRelay", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_message)


def _make_message(fields: dict) -> StoreRelay:
    objects = tuple(_make_object(*each) for each in fields["objects"])
    return StoreRelay(str(fields["kind"]), int(fields["position"]), objects)


def _make_object(name: str, version: int, value: str) -> RelayedObject:
    return RelayedObject(str(name), int(version), str(value))


def list_relay_hosts(kind: str, host: str, peers: Iterable[GatewayState]) -> list[str]:
    """Choose the peers to which a gateway that can read a kind of objects relays them.

    Of the gateways that can read the kind, only the first by name relays it.

    :param host: the gateway's own host
    :param peers: states of the live peers
    :return: hosts of peers that cannot read the kind; none if another gateway relays it
    """
    states = list(peers)
    readers = [each.host for each in states if kind not in each.unreadable_kinds]
    if any(other < host for other in readers):
        return []
    return [each.host for each in states if kind in each.unreadable_kinds]
