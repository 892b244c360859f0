"""
kingcupdyke.fence
~~~~~~~~~~~~~~~~~

Fencing numbers: they reject orders of superseded planners, and guard the takeover of an endpoint.
"""

import json
from typing import NamedTuple

from expression import Error, Ok, Result

from kingcupdyke.error import DECODE_ERRORS, Failure, OptionError, Outcome, Step
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
    """The store's object of one endpoint: the sidecar that runs it and its recorded intents."""

    endpoint: str
    #: Incarnation of the sidecar that may send orders.
    incarnation: str
    fence: int
    intents: tuple[Intent, ...] = ()

    def encode(self) -> bytes:
        """:return: the record as JSON
        :raises OptionError: when it is larger than an object of the store may be
        """
        fields = self._asdict() | {"intents": json.loads(encode_intents(self.intents))}
        value = json.dumps(fields, separators=(",", ":")).encode()
        if len(value) > MAX_VALUE_BYTES:
            raise OptionError("endpoint", len(value), f"keep below {MAX_VALUE_BYTES} bytes")
        return value

    @classmethod
    def decode(cls, value: bytes) -> "EndpointRecord":
        """:return: the record
        :raises OptionError: when the value is not an endpoint record
        """
        try:
            fields = json.loads(value)
            intents = decode_intents(json.dumps(fields.pop("intents")).encode())
            return cls(**fields, intents=intents)
        except DECODE_ERRORS as error:
            raise OptionError("endpoint", value[:100], "give a JSON endpoint record") from error


class FenceGuard:
    """Records the highest fencing number seen of each lease and rejects lower ones."""

    def __init__(self) -> None:
        self._number_by_lease: dict[str, int] = {}

    def accept(self, lease: str, number: int) -> Result[None, Failure]:
        """Check the fencing number of an order.

        :param lease: name of the lease that the sender holds
        :param number: the sender's fencing number
        :return: a failure when a higher number of this lease has been seen
        """
        highest = self._number_by_lease.get(lease, 0)
        if number < highest:
            reason = f"fencing number {number} of {lease} is lower than {highest}"
            return Error(Failure(Outcome.NOT_RUN, Step.ORDER, lease, reason))
        self._number_by_lease[lease] = number
        return Ok(None)


class ReadEndpoint(NamedTuple):
    """Read the endpoint's object."""

    endpoint: str


class WriteEndpoint(NamedTuple):
    """Write the endpoint's object if it still has the given version."""

    value: EndpointRecord
    if_version: int


class RaiseFence(NamedTuple):
    """Send the engine a fencing number, with an order that takes no memory."""

    fence: int


class ReadInventory(NamedTuple):
    """Read the engine's inventory; it must be requested after this command was issued."""


class Ready(NamedTuple):
    """The takeover is complete; the ledger starts from the last inventory and these intents."""

    fence: int
    intents: tuple[Intent, ...]


TakeoverCommand = ReadEndpoint | WriteEndpoint | RaiseFence | ReadInventory | Ready


class TakeoverMachine:
    """State machine for the start of a sidecar, which takes its endpoint over.

    It first stores a higher fencing number, then reads the engine's inventory. Each event
    returns the next command. There is no event for a command that the store rejected ("not
    run"): the caller executes it again after a delay.

    :param endpoint: name of the endpoint
    :param incarnation: unique name of this start of the sidecar, never used before
    :param checks_fence: whether the engine rejects orders with an old fencing number; such an
        engine must have seen the new number before its inventory is used
    """

    def __init__(self, endpoint: str, incarnation: str, checks_fence: bool = False) -> None:
        self._endpoint = endpoint
        self._incarnation = incarnation
        self._checks_fence = checks_fence
        #: The record as last read or written, and its version.
        self._record: EndpointRecord | None = None
        self._version = 0
        self._pending_record: EndpointRecord | None = None
        self._min_fence = 1

    @property
    def version(self) -> int:
        """:return: version of the endpoint's object after the takeover"""
        return self._version

    def start(self) -> TakeoverCommand:
        """:return: the first command"""
        return ReadEndpoint(self._endpoint)

    def endpoint_read(self, record: EndpointRecord | None, version: int) -> TakeoverCommand:
        """Continue from the object as read.

        :param record: the object, or None if it does not exist
        :param version: its version, 0 if it does not exist
        """
        self._record = record
        self._version = version
        if self._is_taken_over():
            return ReadInventory()
        fence = max(record.fence + 1 if record else 1, self._min_fence)
        intents = record.intents if record else ()
        value = EndpointRecord(self._endpoint, self._incarnation, fence, intents)
        self._pending_record = value
        return WriteEndpoint(value, version)

    def endpoint_written(self, version: int) -> TakeoverCommand:
        """The write took effect.

        :param version: the object's new version
        """
        self._record = self._pending_record
        self._version = version
        return ReadInventory()

    def endpoint_conflict(self, record: EndpointRecord | None, version: int) -> TakeoverCommand:
        """The version has changed: start again from the current object and its intents.

        :param record: the current object, or None if it does not exist
        :param version: its version, 0 if it does not exist
        """
        return self.endpoint_read(record, version)

    def endpoint_unknown(self) -> TakeoverCommand:
        """The answer to the write was lost: read the object back to see whose write it holds."""
        return ReadEndpoint(self._endpoint)

    def fence_raised(self) -> TakeoverCommand:
        """The engine has answered the order that carried the new fencing number."""
        return ReadInventory()

    def inventory_read(self, inventory: EngineInventory) -> TakeoverCommand:
        """Finish the takeover, or raise the fencing number if the engine has seen a higher one.

        If this returns :class:`ReadInventory`, execute it after a delay: an order without an
        intent, so of unknown size, is still running.

        :param inventory: an inventory that was requested after the last command
        """
        record = self._record
        if self._checks_fence and inventory.fence < record.fence:
            return RaiseFence(record.fence)
        if inventory.fence > record.fence or (
            inventory.fence == record.fence and not self._checks_fence
        ):
            self._min_fence = inventory.fence + 1
            return self.endpoint_read(record, self._version)
        if self._has_unknown_order(inventory):
            return ReadInventory()
        return Ready(record.fence, record.intents)

    def _is_taken_over(self) -> bool:
        record = self._record
        if record is None or record.incarnation != self._incarnation:
            return False
        return record.fence >= self._min_fence

    def _has_unknown_order(self, inventory: EngineInventory) -> bool:
        known = {intent.order_id for intent in self._record.intents}
        orders = inventory.orders.items()
        return any(state == OrderState.RUNNING for name, state in orders if name not in known)


class EndpointGuard:
    """Detects that a later sidecar has taken the endpoint over.

    :param incarnation: this sidecar's own incarnation
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._superseded = False

    @property
    def superseded(self) -> bool:
        """:return: whether another sidecar runs the endpoint; once True, it stays True"""
        return self._superseded

    def endpoint_conflict(self, record: EndpointRecord | None, version: int) -> bool:
        """Check the endpoint's object as read, or as returned by a conflicting write.

        :param record: the object, or None if it was deleted
        :param version: its version
        :return: whether this sidecar is superseded; if not, a conflict was caused by its own
            earlier write, whose answer was lost
        """
        if record is None or record.incarnation != self._incarnation:
            self._superseded = True
        return self._superseded

    def check(self, step: Step) -> Result[None, Failure]:
        """Check before an order is sent or a request is accepted.

        :param step: the step to report in the failure
        :return: a failure when this sidecar is superseded
        """
        if self._superseded:
            reason = "a later sidecar runs this endpoint"
            return Error(Failure(Outcome.NOT_RUN, step, self._incarnation, reason))
        return Ok(None)
