"""
kingcupdyke_daemon.leasemanager
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Carries a lease's commands to the store and its answers back.
"""

from collections.abc import Callable

from kingcupdyke.error import Outcome
from kingcupdyke.lease import LeaseCommand, LeaseMachine, LeaseRecord, ReadLease
from kingcupdyke_wire.store import Conflict, StoreClient

__all__ = ["LeaseManager"]


class LeaseManager:
    """Keeps one lease in the store.

    :param lease: decides
    :param store: the platform's store
    :param kind: kind of the lease's object
    :param name: name of the lease's object
    :param now: gives the time in seconds, by the clock that the lease's times are of
    """

    def __init__(
        self,
        lease: LeaseMachine,
        store: StoreClient,
        kind: str,
        name: str,
        now: Callable[[], float],
    ) -> None:
        self._lease = lease
        self._store = store
        self._kind = kind
        self._name = name
        self._now = now
        #: Whether nobody held the lease when it was last seen in another's hands.
        self.was_given_back = False

    async def tick(self) -> None:
        """Renew, read or take the lease when it is time to."""
        await self._carry(self._lease.tick(self._now()))

    async def release(self) -> None:
        """Give the lease back at a planned stop, so that nobody waits for its expiry."""
        await self._carry(self._lease.release(self._now()))

    async def _carry(self, command: LeaseCommand | None) -> None:
        while command is not None:
            command = await self._call(command)

    async def _call(self, command: LeaseCommand) -> LeaseCommand | None:
        if isinstance(command, ReadLease):
            answer = await self._store.get(self._kind, command.name)
        else:
            value = command.record.encode()
            answer = await self._store.put(self._kind, self._name, value, command.if_version)
        now_s = self._now()
        if answer.is_error():
            unknown = answer.error.outcome is not Outcome.NOT_RUN
            return self._lease.store_failed(now_s, unknown)
        found = answer.ok
        is_conflict = isinstance(found, Conflict)
        if is_conflict:
            found = found.current
        elif not isinstance(command, ReadLease):
            return self._lease.lease_written(found.version, now_s)
        record = LeaseRecord.decode(found.value) if found else None
        version = found.version if found else 0
        self.was_given_back = record is not None and not record.owner
        if is_conflict:
            return self._lease.lease_conflict(record, version, now_s)
        return self._lease.lease_read(record, version, now_s)
