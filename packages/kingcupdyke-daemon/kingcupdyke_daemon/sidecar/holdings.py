"""
kingcupdyke_daemon.sidecar.holdings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

This endpoint's entries in the store's records of which endpoints hold which model.
"""

from collections.abc import Callable

from anyio import sleep
from expression import Ok, Result

from kingcupdyke.error import Failure, Outcome
from kingcupdyke.residency import (
    Holder,
    ResidencyRecord,
    add_holder,
    decode_residency,
    drop_incarnation,
    encode_residency,
    mark_leaving,
    remove_holder,
)
from kingcupdyke_wire.store import Conflict, StoreClient

__all__ = ["RESIDENCY_KIND", "HoldingDesk"]

#: Kind of the objects that list the holders of a model.
RESIDENCY_KIND = "residency"
#: Seconds between tries to state what is true while the store is away.
_RETRY_S = 0.5
#: Tries of a removal, which may be refused.
_MOST_TRIES = 6

Update = Callable[[ResidencyRecord], Result[ResidencyRecord, Failure]]


class HoldingDesk:
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
        await self._insist(model, lambda record: Ok(add_holder(record, self._endpoint, holder)))

    async def drop(self, model: str, incarnation: str) -> None:
        """State that an engine's restart has lost the model."""
        await self._insist(
            model, lambda record: Ok(drop_incarnation(record, self._endpoint, incarnation))
        )

    async def mark_leaving(self, model: str, leaving: bool) -> None:
        """State whether this host is about to go."""
        host = self._make_holder().host
        await self._insist(model, lambda record: Ok(mark_leaving(record, host, leaving)))

    async def remove(self, model: str) -> Result[None, Failure]:
        """Ask to stop holding a model.

        :return: nothing once the store has taken it, or a failure, after which the model stays
        """
        needed = self._get_needed(model)
        leaving = self._get_leaving()
        for _ in range(_MOST_TRIES):
            changed = await self._update(
                model, lambda record: remove_holder(record, self._endpoint, needed, leaving)
            )
            # After an unknown write the next reading shows whether it took effect.
            if changed.is_ok() or changed.error.outcome is not Outcome.UNKNOWN:
                break
        return changed

    async def read(self, model: str) -> Result[ResidencyRecord, Failure]:
        """:return: the record of a model, empty where there is none"""
        read = await self._store.get(RESIDENCY_KIND, model)
        return read.map(
            lambda found: decode_residency(found.value) if found else ResidencyRecord(model, {})
        )

    async def _insist(self, model: str, update: Update) -> None:
        while (await self._update(model, update)).is_error():
            await sleep(_RETRY_S)

    async def _update(self, model: str, update: Update) -> Result[None, Failure]:
        """Make one conditional update, again on each conflict."""
        while True:
            read = await self._store.get(RESIDENCY_KIND, model)
            if read.is_error():
                return read.map(lambda _: None)
            version = read.ok.version if read.ok else 0
            record = decode_residency(read.ok.value) if read.ok else ResidencyRecord(model, {})
            changed = update(record)
            if changed.is_error():
                return changed.map(lambda _: None)
            if changed.ok == record:
                return Ok(None)
            value = encode_residency(changed.ok)
            written = await self._store.put(RESIDENCY_KIND, model, value, version)
            if written.is_error():
                return written.map(lambda _: None)
            if not isinstance(written.ok, Conflict):
                return Ok(None)
