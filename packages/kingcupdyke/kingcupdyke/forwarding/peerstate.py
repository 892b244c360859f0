"""
kingcupdyke.forwarding.peerstate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between gateways: requests in flight, demand for models, and recent placements.
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.peermessage import MessageKind, decode_message, pack_message
from kingcupdyke.storeera import MAX_ERA, get_base_fence

__all__ = [
    "Demand",
    "EndpointLoad",
    "GatewayState",
    "PeerTable",
    "Placement",
    "LeasePromise",
]

#: Limit of the interval that a peer may state.
MAX_INTERVAL_S = 60.0
#: Time without a message after which a peer's state is ignored: this number of the intervals that
#: the peer states, and not less than this number of seconds.
PEER_TIMEOUT_INTERVALS = 3
MIN_PEER_TIMEOUT_S = 1.5


class EndpointLoad(NamedTuple):
    """Requests of one gateway in flight at one endpoint."""

    endpoint: str
    #: Number of requests in flight.
    requests: int
    #: Prompt tokens of the requests whose answer has not begun.
    prompt_tokens: int


class Demand(NamedTuple):
    """Demand for a model, or for one adapter of it."""

    model: str
    adapter: str
    #: Number of requests that wait for a replica.
    waiting: int
    #: Recently requested tokens a second.
    tokens_per_s: float


class Placement(NamedTuple):
    """A replica that the planner has recently ordered to be loaded or unloaded."""

    endpoint: str
    model: str
    adapter: str
    is_present: bool
    #: Seconds from the message until the replica is expected to be ready.
    ready_in_s: float


class LeasePromise(NamedTuple):
    """A promise not to take the planner's lease from its holder for a fixed time."""

    #: Host and incarnation of the holder.
    host: str
    incarnation: str
    fence: int
    #: Number of the holder's message that was received last.
    number: int


class GatewayState(NamedTuple):
    """State of a gateway, as one message to its peers."""

    host: str
    #: Identifies a start of the process; a greater one is a later start.
    incarnation: str
    #: Number of the message within the incarnation.
    number: int
    is_stopping: bool
    #: Version of the configuration in force there.
    version: int
    loads: tuple[EndpointLoad, ...]
    demands: tuple[Demand, ...]
    #: Endpoints that this gateway cannot reach.
    unreachable: tuple[str, ...]
    #: Fencing number if this gateway holds the planner's lease, else 0.
    fence: int
    #: This gateway's promise to the holder of the planner's lease, or None.
    lease_promise: LeasePromise | None
    placements: tuple[Placement, ...]
    #: Kinds of objects that this gateway cannot read from the store now.
    unreadable_kinds: tuple[str, ...] = ()
    #: Seconds until the receiver is sent the next state, at most.
    interval_s: float = 0.0
    #: Whether the receiver is to send its state, with its promise, at once.
    wants_promise: bool = False
    #: Era of the store's last answer to this gateway, or 0 before the first one.
    store_era: int = 0
    #: Endpoints at which no process has listened since their last heartbeat.
    refusing: tuple[str, ...] = ()

    message_kind = MessageKind.STATE

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self)

    @classmethod
    def decode(cls, value: bytes) -> Result["GatewayState", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_state)


def _make_state(values: list) -> GatewayState:
    """:raises ValueError: if a number is out of range, or another error of an invalid message"""
    # A later version may send more fields.
    fields = GatewayState(*values[: len(GatewayState._fields)])
    if not 0.0 <= fields.interval_s <= MAX_INTERVAL_S:
        raise ValueError(f"invalid interval: {fields.interval_s!r}")
    if not 0 <= fields.store_era <= MAX_ERA:
        raise ValueError(f"invalid era: {fields.store_era!r}")
    if not 0 <= fields.fence < get_base_fence(MAX_ERA + 1):
        raise ValueError(f"invalid fencing number: {fields.fence!r}")
    promise = fields.lease_promise
    return fields._replace(
        host=_read_text(fields.host),
        incarnation=_read_text(fields.incarnation),
        number=int(fields.number),
        is_stopping=bool(fields.is_stopping),
        version=int(fields.version),
        loads=tuple(_read_load(*each) for each in fields.loads),
        demands=tuple(_read_demand(*each) for each in fields.demands),
        unreachable=tuple(map(_read_text, fields.unreachable)),
        lease_promise=None if promise is None else _read_promise(*promise),
        placements=tuple(_read_placement(*each) for each in fields.placements),
        unreadable_kinds=tuple(map(_read_text, fields.unreadable_kinds)),
        refusing=tuple(map(_read_text, fields.refusing)),
        wants_promise=bool(fields.wants_promise),
        interval_s=float(fields.interval_s),
        store_era=int(fields.store_era),
        fence=int(fields.fence),
    )


def _read_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"no text: {type(value).__name__}")
    return value


def _read_load(endpoint: str, requests: int, prompt_tokens: int) -> EndpointLoad:
    return EndpointLoad(_read_text(endpoint), int(requests), int(prompt_tokens))


def _read_demand(model: str, adapter: str, waiting: int, tokens_per_s: float) -> Demand:
    return Demand(_read_text(model), _read_text(adapter), int(waiting), float(tokens_per_s))


def _read_promise(host: str, incarnation: str, fence: int, number: int) -> LeasePromise:
    return LeasePromise(_read_text(host), _read_text(incarnation), int(fence), int(number))


def _read_placement(
    endpoint: str, model: str, adapter: str, is_present: bool, ready_in_s: float
) -> Placement:
    names = (_read_text(endpoint), _read_text(model), _read_text(adapter))
    return Placement(*names, bool(is_present), float(ready_in_s))


class PeerTable:
    """The latest state that each peer has sent."""

    def __init__(self) -> None:
        self._state_by_host: dict[str, GatewayState] = {}
        #: Time at which each peer's state expires, unless it sends another one.
        self._expires_s_by_host: dict[str, float] = {}

    def receive(self, state: GatewayState, now_s: float) -> bool:
        """Store the state in a message of a peer.

        :return: whether it is newer than the known state of its sender; an older one is ignored
        """
        known = self._state_by_host.get(state.host)
        sequence = (state.incarnation, state.number)
        if known is not None and sequence <= (known.incarnation, known.number):
            return False
        self._state_by_host[state.host] = state
        timeout_s = max(MIN_PEER_TIMEOUT_S, PEER_TIMEOUT_INTERVALS * state.interval_s)
        self._expires_s_by_host[state.host] = now_s + timeout_s
        return True

    def live(self, now_s: float) -> list[GatewayState]:
        """:return: states of the peers that have sent a message within their timeouts"""
        expires_s_by_host = self._expires_s_by_host
        return [
            state for host, state in self._state_by_host.items() if now_s < expires_s_by_host[host]
        ]

    def is_live(self, host: str, now_s: float) -> bool:
        """:return: whether a peer has sent a message within its timeout"""
        return now_s < self._expires_s_by_host.get(host, -inf)

    def list_unaware(
        self, listed: Iterable[str], era: int, now_s: float, memory_s: float
    ) -> set[str]:
        """List the hosts that may act on what they have read in an earlier era of the store.

        A host that has seen the era never goes back to an earlier one, and one that has announced
        its stop without a lease takes none any more.

        :param listed: hosts that the store lists
        :param memory_s: seconds for which hosts that it does not list are remembered
        """
        heard = {
            host
            for host, expires_s in self._expires_s_by_host.items()
            if now_s < expires_s + memory_s
        }
        return {host for host in heard.union(listed) if not self._is_aware(host, era)}

    def _is_aware(self, host: str, era: int) -> bool:
        state = self._state_by_host.get(host)
        if state is None:
            return False
        return state.store_era >= era or (state.is_stopping and not state.fence)

    def list_hosts(self, is_stopping: bool, now_s: float) -> set[str]:
        """:return: hosts of the live peers that are stopping, or of those that are not"""
        return {each.host for each in self.live(now_s) if each.is_stopping == is_stopping}
