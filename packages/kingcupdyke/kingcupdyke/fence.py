"""
kingcupdyke.fence
~~~~~~~~~~~~~~~~~

Fencing numbers: refusing late planners, and taking an endpoint over from an earlier sidecar.
"""

import json
from typing import NamedTuple

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, OptionError, Outcome, Step
from kingcupdyke.intent import MAX_VALUE_BYTES, Intent, decode_intents, encode_intents
from kingcupdyke.inventory import EngineInventory, OrderState

__all__ = [
    "EndpointGuard",
    "EndpointRecord",
    "FenceGuard",
    "RaiseFence",
    "ReadEndpoint",
    "ReadInventory",
    "Ready",
    "TakeoverCommand",
    "TakeoverMachine",
    "WriteEndpoint",
]


class EndpointRecord(NamedTuple):
    """The store's object of one endpoint: which sidecar runs it and what it is about to order."""

    endpoint: str
    #: Incarnation of the sidecar that may send orders.
    incarnation: str
    fence: int
    intents: tuple[Intent, ...] = ()

    def encode(self) -> bytes:
        """:return: the record as JSON
        :raises OptionError: when it takes more than one object of the store holds
        """
        fields = self._asdict() | {"intents": json.loads(encode_intents(self.intents))}
        value = json.dumps(fields, separators=(",", ":")).encode()
        if len(value) > MAX_VALUE_BYTES:
            raise OptionError("endpoint", len(value), f"keep below {MAX_VALUE_BYTES} bytes")
        return value

    @classmethod
    def decode(cls, value: bytes) -> "EndpointRecord":
        """:return: the record
        :raises OptionError: when the value is no endpoint record
        """
        try:
            fields = json.loads(value)
            intents = decode_intents(json.dumps(fields.pop("intents")).encode())
            return cls(**fields, intents=intents)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            raise OptionError("endpoint", value[:100], "give a JSON endpoint record") from error


class FenceGuard:
    """Remembers the highest fencing number of each lease and refuses lower ones."""

    def __init__(self) -> None:
        self._number_by_lease: dict[str, int] = {}

    def accept(self, lease: str, number: int) -> Result[None, Failure]:
        """Check the fencing number that came with an order.

        :param lease: name of the lease that the sender holds
        :param number: the sender's fencing number
        :return: a failure when a higher number of this lease has been seen
        """
        highest = self._number_by_lease.get(lease, 0)
        if number < highest:
            reason = f"fencing number {number} of {lease} is older than {highest}"
            return Error(Failure(Outcome.NOT_RUN, Step.ORDER, lease, reason))
        self._number_by_lease[lease] = number
        return Ok(None)


class ReadEndpoint(NamedTuple):
    """Read the endpoint's object."""

    endpoint: str


class WriteEndpoint(NamedTuple):
    """Write the endpoint's object if it still has a version."""

    value: EndpointRecord
    if_version: int


class RaiseFence(NamedTuple):
    """Show the engine a fencing number, by an order that takes no memory."""

    fence: int


class ReadInventory(NamedTuple):
    """Read the engine's inventory, asked for after this command."""


class Ready(NamedTuple):
    """The endpoint is taken over; the ledger adopts the last inventory and these intents."""

    fence: int
    intents: tuple[Intent, ...]


TakeoverCommand = ReadEndpoint | WriteEndpoint | RaiseFence | ReadInventory | Ready


class TakeoverMachine:
    """The start of a sidecar: a higher fencing number first, then the engine's inventory.

    Each event returns the next command. A command that the store refused ("not run") is given
    again after a pause; there is no event for it.

    :param endpoint: name of the endpoint
    :param incarnation: name of this start of the sidecar, never used before
    :param checks_fence: whether the engine refuses orders with an old fencing number; such an
        engine must have seen the new number before its inventory counts
    """

    def __init__(self, endpoint: str, incarnation: str, checks_fence: bool = False) -> None:
        self._endpoint = endpoint
        self._incarnation = incarnation
        self._checks_fence = checks_fence
        #: The record as last seen or written, and its version.
        self._record: EndpointRecord | None = None
        self._version = 0
        self._pending: EndpointRecord | None = None
        self._least_fence = 1

    @property
    def version(self) -> int:
        """:return: version of the endpoint's object after the takeover"""
        return self._version

    def start(self) -> TakeoverCommand:
        """:return: the first command"""
        return ReadEndpoint(self._endpoint)

    def endpoint_read(self, record: EndpointRecord | None, version: int) -> TakeoverCommand:
        """Go on from the object as it is.

        :param record: the object, or None where there is none
        :param version: its version, 0 where there is none
        """
        self._record = record
        self._version = version
        if self._is_taken():
            return ReadInventory()
        fence = max(record.fence + 1 if record else 1, self._least_fence)
        intents = record.intents if record else ()
        value = EndpointRecord(self._endpoint, self._incarnation, fence, intents)
        self._pending = value
        return WriteEndpoint(value, version)

    def endpoint_written(self, version: int) -> TakeoverCommand:
        """The write took effect.

        :param version: the object's new version
        """
        self._record = self._pending
        self._version = version
        return ReadInventory()

    def endpoint_conflict(self, record: EndpointRecord | None, version: int) -> TakeoverCommand:
        """The write lost: start again from what is there, with the intents added since.

        :param record: the object as it is now, or None where there is none
        :param version: its version, 0 where there is none
        """
        return self.endpoint_read(record, version)

    def endpoint_unknown(self) -> TakeoverCommand:
        """The answer to the write was lost: read back; the incarnation tells whose it is."""
        return ReadEndpoint(self._endpoint)

    def fence_raised(self) -> TakeoverCommand:
        """The engine has answered an order with the new fencing number."""
        return ReadInventory()

    def inventory_read(self, inventory: EngineInventory) -> TakeoverCommand:
        """Finish, or raise the number above one that the engine has seen.

        A :class:`ReadInventory` that this returns is carried out after a pause: an order that no
        intent tells the size of is still running.

        :param inventory: a reading asked for after the last command
        """
        record = self._record
        if self._checks_fence and inventory.fence < record.fence:
            return RaiseFence(record.fence)
        if inventory.fence > record.fence or (
            inventory.fence == record.fence and not self._checks_fence
        ):
            self._least_fence = inventory.fence + 1
            return self.endpoint_read(record, self._version)
        if self._has_unknown_order(inventory):
            return ReadInventory()
        return Ready(record.fence, record.intents)

    def _is_taken(self) -> bool:
        record = self._record
        if record is None or record.incarnation != self._incarnation:
            return False
        return record.fence >= self._least_fence

    def _has_unknown_order(self, inventory: EngineInventory) -> bool:
        known = {intent.order_id for intent in self._record.intents}
        orders = inventory.orders.items()
        return any(state == OrderState.RUNNING for name, state in orders if name not in known)


class EndpointGuard:
    """Tells a sidecar that a later one has taken its endpoint over.

    :param incarnation: this sidecar's own incarnation
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._superseded = False

    @property
    def superseded(self) -> bool:
        """:return: whether another sidecar runs the endpoint; never False again once True"""
        return self._superseded

    def endpoint_conflict(self, record: EndpointRecord | None, version: int) -> bool:
        """Judge the endpoint's object as read or as returned by a conflict.

        :param record: the object, or None where it is gone
        :param version: its version
        :return: whether this sidecar is superseded; if not, the conflict came from its own
            earlier write, whose answer was lost
        """
        if record is None or record.incarnation != self._incarnation:
            self._superseded = True
        return self._superseded

    def check(self, step: Step) -> Result[None, Failure]:
        """Check before sending an order or accepting work.

        :param step: the step that asks
        :return: a failure when this sidecar is superseded
        """
        if self._superseded:
            reason = "a later sidecar runs this endpoint"
            return Error(Failure(Outcome.NOT_RUN, step, self._incarnation, reason))
        return Ok(None)
