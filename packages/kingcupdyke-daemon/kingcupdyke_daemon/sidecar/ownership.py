"""
kingcupdyke_daemon.sidecar.ownership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Takeover of an endpoint, and recording of intents, in its object in the store.
"""

import logging
from collections.abc import Iterable
from uuid import uuid4

from anyio import Lock, sleep
from expression import Error, Ok, Result

from kingcupdyke.error import Failure, OptionError, Outcome, Step
from kingcupdyke.fence import (
    EndpointGuard,
    EndpointRecord,
    RaiseFence,
    ReadEndpoint,
    ReadInventory,
    Ready,
    TakeoverCommand,
    TakeoverMachine,
    WriteEndpoint,
)
from kingcupdyke.intent import Intent
from kingcupdyke.inventory import EngineInventory
from kingcupdyke.placement import OrderKind
from kingcupdyke_wire.engine import EngineClient, OrderAnswer
from kingcupdyke_wire.store import Conflict, StoreClient, StoreObject

__all__ = ["ENDPOINTS_KIND", "EndpointOwnership"]

_LOGGER = logging.getLogger(__name__)
#: Kind of the store's objects that record which sidecar owns an endpoint.
ENDPOINTS_KIND = "endpoints"
#: Interval between retries while the store or the engine is unavailable.
_RETRY_INTERVAL_S = 0.5
_FENCE_ORDER_LIFETIME_S = 5.0
#: Maximum number of writes of an intent, after which its order is refused.
_MAX_RECORD_TRIES = 4


class EndpointOwnership:
    """Ownership of an endpoint by one sidecar, recorded in the endpoint's object.

    :param endpoint: name of the endpoint
    :param incarnation: this start of the sidecar
    :param checks_fence: whether the engine rejects old fencing numbers
    :param store: the platform's store
    :param engine: the engine
    """

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        checks_fence: bool,
        store: StoreClient,
        engine: EngineClient,
    ) -> None:
        #: Name of the endpoint.
        self.endpoint = endpoint
        self._incarnation = incarnation
        self._store = store
        self._engine = engine
        self._machine = TakeoverMachine(endpoint, incarnation, checks_fence)
        self._inventory: EngineInventory | None = None
        self._version = 0
        self._lock = Lock()
        self.guard = EndpointGuard(incarnation)
        #: Fencing number of this sidecar, 0 before the takeover.
        self.fence = 0

    async def take_over(self) -> tuple[EngineInventory, tuple[Intent, ...]]:
        """Take over the endpoint, with retries while the store or the engine is unavailable.

        :return: the engine's inventory and the intents of the previous sidecar
        """
        command = self._machine.start()
        while not isinstance(command, Ready):
            next_command = await self._execute(command)
            if next_command is None:
                await sleep(_RETRY_INTERVAL_S)
                continue
            command = next_command
        self.fence = command.fence
        self._version = self._machine.version
        _LOGGER.info("endpoint taken over: step=order peer=%s fence=%d", self.endpoint, self.fence)
        return self._inventory, command.intents

    async def record(self, intents: Iterable[Intent]) -> Result[None, Failure]:
        """Write the intents that may still take effect at the engine.

        :return: nothing once they are stored, or a failure if this is not certain
        """
        record = EndpointRecord(self.endpoint, self._incarnation, self.fence, tuple(intents))
        async with self._lock:
            for _ in range(_MAX_RECORD_TRIES):
                checked = self.guard.check(Step.ORDER)
                if checked.is_error():
                    return checked
                written = await self._store.put(
                    ENDPOINTS_KIND, self.endpoint, record.encode(), self._version
                )
                if written.is_error():
                    if written.error.outcome is Outcome.NOT_RUN:
                        return Error(written.error)
                    await self.check_superseded()
                elif isinstance(written.ok, Conflict):
                    self._apply_stored(written.ok.current)
                else:
                    self._version = written.ok.version
                    return Ok(None)
        return Error(
            Failure(Outcome.NOT_RUN, Step.STORE, self.endpoint, "the intent was not stored", 1.0)
        )

    async def raise_fence(self) -> bool:
        """Send this sidecar's fencing number to the engine, which lost it in a restart.

        :return: whether the engine has answered
        """
        answer = await self._send_fence(self.fence)
        return answer.is_ok()

    async def check_superseded(self) -> bool:
        """Read the endpoint's object, for example after a pause of this process.

        :return: whether a later sidecar owns the endpoint
        """
        read = await self._store.get(ENDPOINTS_KIND, self.endpoint)
        if read.is_ok() and self.fence:
            self._apply_stored(read.ok)
        return self.guard.superseded

    def _apply_stored(self, current: StoreObject | None) -> None:
        record = _decode(current) if current else None
        if current is not None and record is None:
            return
        version = current.version if current else 0
        if self.guard.endpoint_conflict(record, version):
            _LOGGER.warning("superseded: step=order peer=%s", self.endpoint)
        else:
            self._version = version

    async def _execute(self, command: TakeoverCommand) -> TakeoverCommand | None:
        if isinstance(command, ReadEndpoint):
            return await self._read_endpoint()
        if isinstance(command, WriteEndpoint):
            return await self._write_endpoint(command)
        if isinstance(command, RaiseFence):
            return await self._execute_raise_fence(command)
        if isinstance(command, ReadInventory):
            return await self._read_inventory()
        return command

    async def _read_endpoint(self) -> TakeoverCommand | None:
        read = await self._store.get(ENDPOINTS_KIND, self.endpoint)
        if read.is_error():
            return None
        if read.ok is None:
            return self._machine.endpoint_read(None, 0)
        record = _decode(read.ok)
        if record is None:
            return None
        return self._machine.endpoint_read(record, read.ok.version)

    async def _write_endpoint(self, command: WriteEndpoint) -> TakeoverCommand | None:
        written = await self._store.put(
            ENDPOINTS_KIND, self.endpoint, command.value.encode(), command.if_version
        )
        if written.is_error():
            if written.error.outcome is Outcome.NOT_RUN:
                return None
            return self._machine.endpoint_unknown()
        if isinstance(written.ok, Conflict):
            current = written.ok.current
            record = _decode(current) if current else None
            if current is not None and record is None:
                return None
            return self._machine.endpoint_conflict(record, current.version if current else 0)
        return self._machine.endpoint_written(written.ok.version)

    async def _execute_raise_fence(self, command: RaiseFence) -> TakeoverCommand | None:
        answer = await self._send_fence(command.fence)
        return None if answer.is_error() else self._machine.fence_raised()

    async def _send_fence(self, fence: int) -> Result[OrderAnswer, Failure]:
        """Send a fencing number with an order that has no effect."""
        return await self._engine.order(
            f"fence-{uuid4().hex}",
            fence,
            OrderKind.UNLOAD_ADAPTER,
            "",
            "no-such-adapter",
            "",
            "",
            0,
            _FENCE_ORDER_LIFETIME_S,
        )

    async def _read_inventory(self) -> TakeoverCommand | None:
        read = await self._engine.inventory()
        if read.is_error():
            return None
        self._inventory = read.ok
        return self._machine.inventory_read(read.ok)


def _decode(stored: StoreObject) -> EndpointRecord | None:
    """:return: the record of an endpoint's object, or None if it can't be read"""
    try:
        return EndpointRecord.decode(stored.value)
    except OptionError as error:
        _LOGGER.error("endpoint unreadable: step=store peer=%s: %s", stored.name, error)
        return None
