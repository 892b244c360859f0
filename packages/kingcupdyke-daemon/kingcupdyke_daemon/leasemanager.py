"""
kingcupdyke_daemon.leasemanager
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Execution of a lease's commands at the store.
"""

import logging
from collections.abc import Callable

from kingcupdyke.error import OptionError, Outcome
from kingcupdyke.lease import LeaseMachine
from kingcupdyke.leaserecord import LeaseCommand, LeaseRecord, ReadLease
from kingcupdyke_wire.store import Conflict, StoreClient

__all__ = ["LeaseManager"]

_LOGGER = logging.getLogger(__name__)


class LeaseManager:
    """Maintains one lease in the store.

    :param lease: state machine of the lease
    :param store: the platform's store
    :param kind: kind of the lease's object
    :param now: returns the time in seconds, by the clock of the lease's times
    """

    def __init__(
        self,
        lease: LeaseMachine,
        store: StoreClient,
        kind: str,
        now: Callable[[], float],
    ) -> None:
        self._lease = lease
        self._store = store
        self._kind = kind
        self._now = now

    async def tick(self) -> None:
        """Renew, read or acquire the lease when that is due."""
        self.note_era()
        await self._execute(self._lease.tick(self._now()))

    async def release(self) -> None:
        """Release the lease at a planned stop, so that no process waits for its expiry."""
        await self._execute(self._lease.release(self._now()))

    def note_era(self) -> None:
        """End the lease if the store has gone back since it was last confirmed."""
        self._lease.note_era(self._store.era, self._now())

    async def _execute(self, command: LeaseCommand | None) -> None:
        while command is not None:
            command = await self._execute_command(command)

    async def _execute_command(self, command: LeaseCommand) -> LeaseCommand | None:
        era = self._lease.era
        if isinstance(command, ReadLease):
            answer = await self._store.get(self._kind, command.name)
        else:
            value = command.record.encode()
            name = command.record.name
            answer = await self._store.put(self._kind, name, value, command.if_version)
        now_s = self._now()
        self.note_era()
        if self._lease.era != era:
            return self._lease.era_ended(now_s)
        if answer.is_error():
            is_unknown = answer.error.outcome is not Outcome.NOT_RUN
            return self._lease.store_failed(now_s, is_unknown)
        stored = answer.ok
        is_conflict = isinstance(stored, Conflict)
        if is_conflict:
            stored = stored.current
        elif not isinstance(command, ReadLease):
            return self._lease.lease_written(stored.version, now_s)
        try:
            record = LeaseRecord.decode(stored.value) if stored else None
        except OptionError as error:
            # Another writer's record may be of a holder, so that the lease is not taken.
            _LOGGER.warning("the lease can't be read: %s", error)
            return self._lease.store_failed(now_s, False)
        version = stored.version if stored else 0
        if is_conflict:
            return self._lease.lease_conflict(record, version, now_s)
        return self._lease.lease_read(record, version, now_s)
