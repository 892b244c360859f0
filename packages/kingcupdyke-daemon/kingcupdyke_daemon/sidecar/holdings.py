"""
kingcupdyke_daemon.sidecar.holdings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

This endpoint's entries in the store's records of which endpoints hold which model.
"""

from collections import deque
from collections.abc import Callable, Collection

from anyio import current_time, sleep
from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.hand_over import HandOverCommand, HandOverMachine, MayGo, RequestLoad
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

__all__ = ["RESIDENCY_KIND", "ResidencyPublisher", "carry_residency"]

#: Kind of the objects that list the holders of a model.
RESIDENCY_KIND = "residency"
#: Seconds between tries to state what is true while the store is away.
_RETRY_S = 0.5
#: Steps after which a removal is given up.
_MOST_STEPS = 12
#: Seconds between readings while others load what this endpoint hands over.
_POLL_S = 0.25

Update = Callable[[ResidencyRecord], ResidencyRecord]


class ResidencyPublisher:
    """Adds, removes and marks this endpoint as a holder of models.

    :param store: the platform's store
    :param endpoint: name of this endpoint
    :param make_holder: gives this endpoint's entry with the engine's current incarnation
    :param get_needed: gives the holders of a model that must remain
    :param get_leaving: gives the hosts that are known to leave
    """

    def __init__(
        self,
        store: StoreClient,
        endpoint: str,
        make_holder: Callable[[], Holder],
        get_needed: Callable[[str], int],
        get_leaving: Callable[[], frozenset[str]],
    ) -> None:
        self._store = store
        self._endpoint = endpoint
        self._make_holder = make_holder
        self._get_needed = get_needed
        self._get_leaving = get_leaving

    async def add(self, model: str) -> None:
        """State that the model is resident here, however long the store is away."""
        holder = self._make_holder()
        await self._insist(model, lambda record: add_holder(record, self._endpoint, holder))

    async def drop(self, model: str, incarnation: str) -> None:
        """State that an engine's restart has lost the model."""
        await self._insist(
            model, lambda record: drop_incarnation(record, self._endpoint, incarnation)
        )

    async def remove(self, model: str) -> Result[None, Failure]:
        """Ask to stop holding a model.

        :return: nothing once the store has taken it, or a failure, after which the model stays
        """
        machine = RemovalMachine(
            model, self._endpoint, self._get_needed(model), self._get_leaving()
        )
        command = machine.start()
        for _ in range(_MOST_STEPS):
            if isinstance(command, Removed):
                return Ok(None)
            if isinstance(command, RemovalRefused):
                return Error(command.failure)
            found = await carry_residency(self._store, command)
            if found.is_error():
                if found.error.outcome is not Outcome.UNKNOWN:
                    return found.map(lambda _: None)
                command = machine.residency_unknown()
            elif isinstance(command, ReadResidency):
                command = machine.residency_read(*found.ok)
            elif found.ok is None:
                command = machine.residency_written()
            else:
                command = machine.residency_conflict(*found.ok)
        return Error(
            Failure(Outcome.NOT_RUN, Step.STORE, self._endpoint, "too many rival updates", 1.0)
        )

    async def hand_over(self, models: Collection[str], bound_s: float) -> tuple[str, ...]:
        """Leave the records of all models as soon as others hold them.

        :param bound_s: seconds after which the endpoint goes in any case
        :return: models that it left without enough other holders
        """
        needed = {model: self._get_needed(model) for model in models}
        host = self._make_holder().host
        machine = HandOverMachine(self._endpoint, host, needed, bound_s, _POLL_S)
        commands = deque(machine.start(current_time()))
        while True:
            if not commands:
                await sleep(_POLL_S)
                commands += machine.tick(current_time())
                continue
            command = commands.popleft()
            if isinstance(command, MayGo):
                return command.left_models
            if not isinstance(command, RequestLoad):
                commands += await self._step(machine, command)

    async def _step(
        self, machine: HandOverMachine, command: ReadResidency | WriteResidency
    ) -> list[HandOverCommand]:
        found = await carry_residency(self._store, command)
        now_s = current_time()
        if isinstance(command, ReadResidency):
            return machine.residency_read(command.model, *found.ok, now_s) if found.is_ok() else []
        model = command.record.model
        if found.is_error():
            unknown = found.error.outcome is Outcome.UNKNOWN
            return machine.residency_unknown(model, now_s) if unknown else []
        if found.ok is None:
            return machine.residency_written(model, now_s)
        return machine.residency_conflict(model, *found.ok, now_s)

    async def _insist(self, model: str, update: Update) -> None:
        while (await self._update(model, update)).is_error():
            await sleep(_RETRY_S)

    async def _update(self, model: str, update: Update) -> Result[None, Failure]:
        """Make one conditional update, again on each conflict."""
        while True:
            read = await carry_residency(self._store, ReadResidency(model))
            if read.is_error():
                return read.map(lambda _: None)
            record, version = read.ok
            changed = update(record or ResidencyRecord(model, {}))
            if changed == record:
                return Ok(None)
            written = await carry_residency(self._store, WriteResidency(changed, version))
            if written.is_error():
                return written.map(lambda _: None)
            if written.ok is None:
                return Ok(None)


async def carry_residency(
    store: StoreClient, command: ReadResidency | WriteResidency
) -> Result[tuple[ResidencyRecord | None, int] | None, Failure]:
    """Carry out one command.

    :return: the record and its version as they are, or None when the write took effect
    """
    if isinstance(command, ReadResidency):
        read = await store.get(RESIDENCY_KIND, command.model)
        return read.map(_decode)
    record = command.record
    value = encode_residency(record)
    written = await store.put(RESIDENCY_KIND, record.model, value, command.if_version)
    return written.map(
        lambda answer: _decode(answer.current) if isinstance(answer, Conflict) else None
    )


def _decode(found: StoreObject | None) -> tuple[ResidencyRecord | None, int]:
    return (decode_residency(found.value), found.version) if found else (None, 0)
