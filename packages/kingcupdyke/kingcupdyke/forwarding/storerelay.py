"""
kingcupdyke.forwarding.storerelay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What gateways that reach the store pass on to peers that don't.

A store may serve some hosts only, and a cut may part one of them from it. The others then tell it
what the store says, so that it goes on with the present list of endpoints and configuration.
"""

from collections.abc import Iterable
from typing import NamedTuple
from zlib import error as zlib_error

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.forwarding.peerstate import GatewayState, pack_message, unpack_message

__all__ = ["RelayedObject", "StoreRelay", "list_relay_hosts"]


class RelayedObject(NamedTuple):
    """An object of the store."""

    name: str
    version: int
    value: str


class StoreRelay(NamedTuple):
    """All objects of one kind, as the store last told them to the sender."""

    kind: str
    #: Position in the store's order of writes.
    position: int
    objects: tuple[RelayedObject, ...]

    def encode(self) -> bytes:
        """:return: the message as compressed JSON"""
        return pack_message(self._asdict())

    @classmethod
    def decode(cls, value: bytes) -> Result["StoreRelay", Failure]:
        """:return: the message, or a failure where the bytes are none"""
        try:
            fields = unpack_message(value)
            objects = tuple(RelayedObject(*each) for each in fields["objects"])
            return Ok(cls(str(fields["kind"]), int(fields["position"]), objects))
        except (ValueError, TypeError, KeyError, zlib_error) as error:
            reason = f"not a relay of the store: {error!r}"
            return Error(Failure(Outcome.FAILED, Step.PARSE, "", reason))


def list_relay_hosts(kind: str, host: str, peers: Iterable[GatewayState]) -> list[str]:
    """Choose to whom a gateway that can read a kind passes it on.

    Of those that can, only the first by name does so.

    :param host: the gateway's own host
    :param peers: states of the live peers
    :return: hosts of peers that can't read the kind
    """
    states = list(peers)
    readers = [each.host for each in states if kind not in each.cut_off]
    if any(other < host for other in readers):
        return []
    return [each.host for each in states if kind in each.cut_off]
