"""
kingcupdyke.forwarding.peerstate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What gateways tell each other: work under way, demand for models, and placements under way.
"""

import json
from typing import NamedTuple
from zlib import compress, decompressobj
from zlib import error as zlib_error

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step

__all__ = [
    "Demand",
    "EndpointLoad",
    "GatewayState",
    "PeerTable",
    "Placement",
    "LeasePromise",
    "pack_message",
    "unpack_message",
]

#: Window of a deflate stream without a header.
RAW_DEFLATE = -15
#: Longest message, inflated.
MOST_BYTES = 1_000_000
#: Seconds without a word after which a peer's figures no longer count.
PEER_SILENCE_S = 1.5


class EndpointLoad(NamedTuple):
    """Work of one gateway at one endpoint."""

    endpoint: str
    #: Requests under way.
    requests: int
    #: Prompt tokens of requests that have not begun their answer.
    prompt_tokens: int


class Demand(NamedTuple):
    """Demand for a model, or for one adapter of it."""

    model: str
    adapter: str
    #: Requests that wait for a replica.
    waiting: int
    #: Tokens a second asked for lately.
    tokens_per_s: float


class Placement(NamedTuple):
    """A replica that the planner has ordered or removed lately."""

    endpoint: str
    model: str
    adapter: str
    is_present: bool
    #: Seconds until it is there, as of the message.
    due_s: float


class LeasePromise(NamedTuple):
    """A promise not to take the planner's lease from its holder for a while."""

    #: The holder and its start.
    host: str
    incarnation: str
    fence: int
    #: Number of the holder's message that was heard last.
    number: int


class GatewayState(NamedTuple):
    """One message of a gateway to its peers."""

    host: str
    #: Start of the process; a later one replaces an earlier one.
    incarnation: str
    #: Number of the message within the incarnation.
    number: int
    is_stopping: bool
    #: Version of the configuration in force there.
    version: int
    loads: tuple[EndpointLoad, ...]
    demands: tuple[Demand, ...]
    #: Endpoints that this gateway does not reach.
    unreachable: tuple[str, ...]
    #: Fencing number where this gateway holds the planner's lease, else 0.
    fence: int
    #: Whom this gateway lets hold the lease, or None.
    support: LeasePromise | None
    placements: tuple[Placement, ...]
    #: Kinds of objects that this gateway can't read from the store now.
    cut_off: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """:return: the message as compressed JSON"""
        return pack_message(self)

    @classmethod
    def decode(cls, value: bytes) -> Result["GatewayState", Failure]:
        """:return: the message, or a failure where the bytes are none"""
        try:
            fields = cls(*unpack_message(value))
            return Ok(
                fields._replace(
                    loads=tuple(EndpointLoad(*each) for each in fields.loads),
                    demands=tuple(Demand(*each) for each in fields.demands),
                    unreachable=tuple(fields.unreachable),
                    support=None if fields.support is None else LeasePromise(*fields.support),
                    placements=tuple(Placement(*each) for each in fields.placements),
                    cut_off=tuple(fields.cut_off),
                )
            )
        except (ValueError, TypeError, zlib_error) as error:
            reason = f"not a gateway's state: {error!r}"
            return Error(Failure(Outcome.FAILED, Step.PARSE, "", reason))


def pack_message(fields: object) -> bytes:
    """:return: a message as compressed JSON"""
    return compress(json.dumps(fields, separators=(",", ":")).encode(), wbits=RAW_DEFLATE)


def unpack_message(value: bytes) -> object:
    """:return: the fields of a message

    :raises ValueError: where the bytes are no message
    """
    inflater = decompressobj(RAW_DEFLATE)
    data = inflater.decompress(value, MOST_BYTES)
    if not inflater.eof:
        raise ValueError("a message that is cut off or too long")
    return json.loads(data)


class PeerTable:
    """The latest state of each peer."""

    def __init__(self) -> None:
        self._state_by_host: dict[str, GatewayState] = {}
        self._heard_by_host: dict[str, float] = {}

    def hear(self, state: GatewayState, now_s: float) -> bool:
        """Take a message.

        :return: whether it is newer than what was known of its sender
        """
        known = self._state_by_host.get(state.host)
        order = (state.incarnation, state.number)
        if known is not None and order <= (known.incarnation, known.number):
            return False
        self._state_by_host[state.host] = state
        self._heard_by_host[state.host] = now_s
        return True

    def live(self, now_s: float) -> list[GatewayState]:
        """:return: states of the peers that were heard lately"""
        return [
            state
            for host, state in self._state_by_host.items()
            if now_s - self._heard_by_host[host] < PEER_SILENCE_S
        ]
