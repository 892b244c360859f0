"""
kingcupdyke_daemon.sidecar.residency
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Publication of this endpoint's models in the store's residency records.
"""

from collections import deque
from collections.abc import Callable, Collection

from anyio import current_time, sleep
from expression import Error, Ok, Result

from kingcupdyke.error import Failure, OptionError, Outcome, Step
from kingcupdyke.hand_over import HandOverCommand, HandOverMachine, MayStop, RequestLoad
from kingcupdyke.removal import (
    ReadResidency,
    RemovalMachine,
    RemovalRefused,
    Removed,
    WriteResidency,
)
from kingcupdyke.residency import (
    Holder,
    ResidencyRecord,
    add_holder,
    decode_residency,
    drop_incarnation,
    encode_residency,
)
from kingcupdyke_wire.store import Conflict, StoreClient, StoreObject

__all__ = ["RESIDENCY_KIND", "ResidencyPublisher", "execute_residency_command"]

#: Kind of the objects that list the holders of a model.
RESIDENCY_KIND = "residency"
#: Interval between retries of an update while the store is unavailable.
_RETRY_INTERVAL_S = 0.5
#: Maximum number of store commands in a removal, after which it fails.
_MAX_REMOVAL_STEPS = 12
#: Interval between reads of the records while other endpoints load the models handed over.
_POLL_INTERVAL_S = 0.25

Update = Callable[[ResidencyRecord], ResidencyRecord]


class ResidencyPublisher:
    """Adds, removes and marks this endpoint as a holder of models.

    :param store: the platform's store
    :param endpoint: name of this endpoint
    :param make_holder: returns this endpoint's entry with the engine's current incarnation
    :param get_min_holders: returns the minimum number of holders of a model
    :param get_leaving_hosts: returns the hosts that are known to be draining
    """

    def __init__(
        self,
        store: StoreClient,
        endpoint: str,
        make_holder: Callable[[], Holder],
        get_min_holders: Callable[[str], int],
        get_leaving_hosts: Callable[[], frozenset[str]],
    ) -> None:
        self._store = store
        self._endpoint = endpoint
        self._make_holder = make_holder
        self._get_min_holders = get_min_holders
        self._get_leaving_hosts = get_leaving_hosts

    async def add(self, model: str) -> None:
        """Record that the model is resident here, with retries until it is stored."""
        holder = self._make_holder()
        await self._update_until_stored(
            model, lambda record: add_holder(record, self._endpoint, holder)
        )

    async def drop(self, model: str, incarnation: str) -> None:
        """Record that an engine's restart has lost the model, with retries until it is stored."""
        await self._update_until_stored(
            model, lambda record: drop_incarnation(record, self._endpoint, incarnation)
        )

    async def remove(self, model: str) -> Result[None, Failure]:
        """Remove this endpoint from the holders of a model, if enough holders remain.

        :return: nothing once it is stored, or a failure, after which the model stays loaded
        """
        machine = RemovalMachine(
            model, self._endpoint, self._get_min_holders(model), self._get_leaving_hosts()
        )
        command = machine.start()
        for _ in range(_MAX_REMOVAL_STEPS):
            if isinstance(command, Removed):
                return Ok(None)
            if isinstance(command, RemovalRefused):
                return Error(command.failure)
            result = await execute_residency_command(self._store, command)
            if result.is_error():
                if result.error.outcome is not Outcome.UNKNOWN:
                    return result.map(lambda _: None)
                command = machine.residency_unknown()
            elif isinstance(command, ReadResidency):
                command = machine.residency_read(*result.ok)
            elif result.ok is None:
                command = machine.residency_written()
            else:
                command = machine.residency_conflict(*result.ok)
        return Error(
            Failure(
                Outcome.NOT_RUN, Step.STORE, self._endpoint, "too many conflicting updates", 1.0
            )
        )

    async def hand_over(self, models: Collection[str], timeout_s: float) -> tuple[str, ...]:
        """Remove this endpoint from all records as soon as enough others hold its models.

        :param timeout_s: seconds after which the endpoint leaves in any case
        :return: models that are left without enough other holders
        """
        min_holders_by_model = {model: self._get_min_holders(model) for model in models}
        host = self._make_holder().host
        machine = HandOverMachine(
            self._endpoint, host, min_holders_by_model, timeout_s, _POLL_INTERVAL_S
        )
        commands = deque(machine.start(current_time()))
        while True:
            if not commands:
                await sleep(_POLL_INTERVAL_S)
                commands += machine.tick(current_time())
                continue
            command = commands.popleft()
            if isinstance(command, MayStop):
                return command.under_replicated_models
            if not isinstance(command, RequestLoad):
                commands += await self._execute_hand_over_command(machine, command)

    async def _execute_hand_over_command(
        self, machine: HandOverMachine, command: ReadResidency | WriteResidency
    ) -> list[HandOverCommand]:
        result = await execute_residency_command(self._store, command)
        now_s = current_time()
        if isinstance(command, ReadResidency):
            return (
                machine.residency_read(command.model, *result.ok, now_s) if result.is_ok() else []
            )
        model = command.record.model
        if result.is_error():
            is_unknown = result.error.outcome is Outcome.UNKNOWN
            return machine.residency_unknown(model, now_s) if is_unknown else []
        if result.ok is None:
            return machine.residency_written(model, now_s)
        return machine.residency_conflict(model, *result.ok, now_s)

    async def _update_until_stored(self, model: str, update: Update) -> None:
        while (await self._update(model, update)).is_error():
            await sleep(_RETRY_INTERVAL_S)

    async def _update(self, model: str, update: Update) -> Result[None, Failure]:
        """Make one conditional update, and repeat it after each conflict."""
        while True:
            read = await execute_residency_command(self._store, ReadResidency(model))
            if read.is_error():
                return read.map(lambda _: None)
            record, version = read.ok
            updated = update(record or ResidencyRecord(model, {}))
            if updated == record:
                return Ok(None)
            written = await execute_residency_command(self._store, WriteResidency(updated, version))
            if written.is_error():
                return written.map(lambda _: None)
            if written.ok is None:
                return Ok(None)


async def execute_residency_command(
    store: StoreClient, command: ReadResidency | WriteResidency
) -> Result[tuple[ResidencyRecord | None, int] | None, Failure]:
    """Execute one command on the residency record of a model.

    :return: the current record and its version, or None when the write took effect
    """
    if isinstance(command, ReadResidency):
        read = await store.get(RESIDENCY_KIND, command.model)
        return read.bind(_decode)
    record = command.record
    value = encode_residency(record)
    written = await store.put(RESIDENCY_KIND, record.model, value, command.if_version)
    return written.bind(
        lambda answer: _decode(answer.current) if isinstance(answer, Conflict) else Ok(None)
    )


def _decode(stored: StoreObject | None) -> Result[tuple[ResidencyRecord | None, int], Failure]:
    """:return: a stored record and its version, or a failure if it can't be read"""
    if stored is None:
        return Ok((None, 0))
    try:
        return Ok((decode_residency(stored.value), stored.version))
    except OptionError as error:
        return Error(Failure(Outcome.NOT_RUN, Step.STORE, stored.name, str(error)))
