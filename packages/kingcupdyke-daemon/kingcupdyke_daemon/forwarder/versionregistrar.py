"""
kingcupdyke_daemon.forwarder.versionregistrar
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads and writes the register of software versions in the store.
"""

import logging
from collections import defaultdict
from collections.abc import Callable
from random import Random

from anyio import Event, Lock, move_on_after, sleep
from anyio.abc import TaskGroup

from kingcupdyke.forwarding.configuration import Configuration
from kingcupdyke.forwarding.softwareversions import SoftwareVersions
from kingcupdyke.forwarding.versionregister import Inference, VersionRegister
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import VersionRegisterRecord
from kingcupdyke_wire.store import Conflict, StoreClient, StoreObject

__all__ = ["REGISTER_KIND", "VersionRegistrar"]

_LOGGER = logging.getLogger(__name__)
#: Kind of the store's objects that hold the registers, one for each service.
REGISTER_KIND = "kingcupdyke-software-versions"
#: Longest time in seconds for which a resumption waits for the register to be read.
READ_TIMEOUT_S = 0.2
#: Delay in seconds before a failed call is retried: doubles from the first value to the second.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
#: Number of conflicting writes after which the next one is delayed.
MAX_CONFLICTS = 5
#: Interval in seconds between checks for versions that are no longer listed.
PRUNE_INTERVAL_S = 10.0


class _Read:
    """A read of a register that requests wait for."""

    def __init__(self) -> None:
        self.ended = Event()
        self.is_successful = False


class VersionRegistrar:
    """Keeps what this gateway knows of the registers up to date.

    :param register: decides which versions are to be added
    :param store: the platform's store
    :param timer: the timer service
    :param tasks: task group of the calls
    :param on_change: called with the time in seconds after each change that may allow a decision on
        waiting requests
    :param is_pruner: returns whether this gateway is the one that removes versions
    """

    def __init__(
        self,
        register: VersionRegister,
        store: StoreClient,
        timer: TimerService,
        tasks: TaskGroup,
        on_change: Callable[[float], None],
        is_pruner: Callable[[], bool] = lambda: False,
    ) -> None:
        self.register = register
        self._store = store
        self._timer = timer
        self._tasks = tasks
        self._on_change = on_change
        self._is_pruner = is_pruner
        self._rng = Random(REGISTER_KIND)
        #: One call at a time for each service, so that an earlier answer can't replace a later one.
        self._lock_by_service: defaultdict[str, Lock] = defaultdict(Lock)
        #: Version of each service's object in the store when it was last read or written.
        self._object_version_by_service: dict[str, int] = {}
        #: Services for which a task reads and adds versions.
        self._updated: set[str] = set()
        #: Services whose registers have to be read again, such as after an outage of the store.
        self._unchecked: set[str] = set()
        #: Services whose last call failed.
        self._failed: set[str] = set()
        #: The next read that requests wait for, by service, and services that are being read.
        self._next_read_by_service: dict[str, _Read] = {}
        self._being_read: set[str] = set()
        register.on_wanted = self._begin_update

    def configure(self, configuration: Configuration) -> None:
        """Take a configuration into account and read the registers that are not known yet."""
        for route in configuration.routes:
            self.register.note_timeout(route.timeout_s)
        services = {
            each.service
            for route in configuration.routes
            if route.is_resumable
            for each in route.services
        }
        for service in services - self._object_version_by_service.keys():
            self._check(service)
        if services:
            self._timer.subscribe("versions", PRUNE_INTERVAL_S, self._tidy)

    def recheck(self) -> None:
        """Read all registers again, as the store may have lost its latest writes in an outage."""
        for service in list(self._object_version_by_service):
            self.register.suspend(service)
            self._check(service)

    async def infer(self, service: str) -> Inference:
        """Read the register and decide which version began a stream; takes READ_TIMEOUT_S at most.

        Requests that ask while a read is in progress share the next one, as the present one may
        have been answered before their streams began.
        """
        read = self._next_read_by_service.get(service)
        if read is None:
            read = self._next_read_by_service[service] = _Read()
            if service not in self._being_read:
                self._being_read.add(service)
                self._tasks.start_soon(self._read_for_requests, service)
        with move_on_after(READ_TIMEOUT_S):
            await read.ended.wait()
        inference = self.register.infer(service, self._timer.now())
        if read.is_successful and self.register.has_uncertain(service):
            reason = "an endpoint of the service may have started again with other software"
            return Inference(None, inference.registered, reason)
        if read.is_successful:
            return inference
        return Inference(None, inference.registered, "the software versions can't be read")

    async def _read_for_requests(self, service: str) -> None:
        try:
            while service in self._next_read_by_service:
                read = self._next_read_by_service.pop(service)
                with move_on_after(READ_TIMEOUT_S):
                    async with self._lock_by_service[service]:
                        read.is_successful = await self._read(service) is not None
                read.ended.set()
        finally:
            self._being_read.discard(service)

    def _check(self, service: str) -> None:
        self._unchecked.add(service)
        self._begin_update(service)

    def _begin_update(self, service: str) -> None:
        if service not in self._updated:
            self._updated.add(service)
            self._tasks.start_soon(self._update, service)

    async def _update(self, service: str) -> None:
        """Read the register if necessary, and add the wanted versions, until that has succeeded."""
        retry_delay_s = INITIAL_RETRY_DELAY_S
        try:
            while service in self._unchecked or self.register.list_wanted(service):
                async with self._lock_by_service[service]:
                    is_done = await self._try_update(service)
                self._on_change(self._timer.now())
                if not is_done:
                    self._unchecked.add(service)
                    await sleep(retry_delay_s * self._rng.uniform(0.5, 1.0))
                    retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
        finally:
            self._updated.discard(service)

    async def _try_update(self, service: str) -> bool:
        """:return: whether the register was read and names all wanted versions"""
        if service in self._unchecked or service not in self._object_version_by_service:
            self._unchecked.discard(service)
            if await self._read(service) is None:
                return False
        for _ in range(MAX_CONFLICTS):
            wanted = self.register.list_wanted(service)
            if not wanted:
                return True
            if not await self._write(service, self.register.get(service).add(wanted)):
                return False
        return not self.register.list_wanted(service)

    def _tidy(self, now_s: float) -> None:
        """Forget, and remove from the registers, versions that are no longer listed."""
        self.register.forget_unlisted(now_s)
        if self._is_pruner():
            for service in self.register.list_services():
                if self.register.is_prune_due(service, now_s):
                    self._tasks.start_soon(self._prune, service)

    async def _prune(self, service: str) -> None:
        async with self._lock_by_service[service]:
            versions = await self._read(service)
            if versions is None:
                return
            pruned = self.register.prune(service, versions, self._timer.now())
            if pruned != versions:
                await self._write(service, pruned)

    async def _read(self, service: str) -> SoftwareVersions | None:
        """:return: the register as read, or None if it could not be read"""
        answer = await self._store.get(REGISTER_KIND, service)
        if answer.is_error():
            self._unchecked.add(service)
            self.register.resume(service)
            self._log_failure(service, answer.error.reason)
            return None
        return self._apply(service, answer.ok)

    async def _write(self, service: str, versions: SoftwareVersions) -> bool:
        """:return: whether the store has answered; after a conflict, what it holds is known"""
        if_version = self._object_version_by_service[service]
        answer = await self._store.put(REGISTER_KIND, service, versions.encode(), if_version)
        if answer.is_error():
            self._unchecked.add(service)
            self._log_failure(service, answer.error.reason)
            return False
        if isinstance(answer.ok, Conflict):
            return self._apply(service, answer.ok.current) is not None
        self._apply(service, answer.ok)
        record = VersionRegisterRecord(
            service, tuple(sorted(versions.versions)), tuple(sorted(versions.retiring))
        )
        log_record(_LOGGER, "software versions registered", record)
        return True

    def _apply(self, service: str, found: StoreObject | None) -> SoftwareVersions | None:
        versions = SoftwareVersions()
        if found is not None:
            decoded = SoftwareVersions.decode(found.value)
            if decoded.is_error():
                self.register.resume(service)
                self._log_failure(service, decoded.error.reason)
                return None
            versions = decoded.ok
        if service in self._failed:
            self._failed.discard(service)
            _LOGGER.warning("the software versions of %s are known again", service)
        self._object_version_by_service[service] = 0 if found is None else found.version
        self.register.apply(service, versions, self._timer.now())
        return versions

    def _log_failure(self, service: str, reason: str) -> None:
        """Log the first failure of a call."""
        if service not in self._failed:
            self._failed.add(service)
            _LOGGER.warning("the software versions of %s are out of reach: %s", service, reason)
