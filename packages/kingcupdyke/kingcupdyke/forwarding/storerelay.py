"""
kingcupdyke.forwarding.storerelay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Objects of the store that a gateway relays to peers that cannot reach the store.

A network partition may separate a gateway from the store. The others then relay the store's objects
to it, so that it continues with the current list of endpoints and configuration.
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

    def encode(self) -> bytes:
        """:return: the message as compressed JSON"""
        return pack_message(self._asdict())

    @classmethod
    def decode(cls, value: bytes) -> Result["StoreRelay", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        try:
            fields = unpack_message(value)
            objects = tuple(_read_object(*each) for each in fields["objects"])
            return Ok(cls(str(fields["kind"]), int(fields["position"]), objects))
        except MESSAGE_ERRORS as error:
            reason = f"invalid store relay message: {error!r}"
            return Error(Failure(Outcome.FAILED, Step.PARSE, "", reason))


def _read_object(name: str, version: int, value: str) -> RelayedObject:
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
