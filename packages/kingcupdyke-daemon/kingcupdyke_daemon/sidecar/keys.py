"""
kingcupdyke_daemon.sidecar.keys
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Claims and settlements of idempotency keys in the platform's store.
"""

import logging
import time
from collections.abc import Callable
from hashlib import blake2b

from anyio import Event
from anyio.abc import TaskGroup

from kingcupdyke.error import Outcome
from kingcupdyke.idempotency import ClaimResult, ReadBucket, StoreCommand, WriteBucket
from kingcupdyke.keyrecord import KeyBucket, KeyRecord, decode_bucket, encode_bucket
from kingcupdyke.keyworker import KeyWorker
from kingcupdyke.timer import TimerService
from kingcupdyke_wire.sidecar_pb2 import RunRequest
from kingcupdyke_wire.store import Conflict, StoreClient, StoreObject

__all__ = ["KEYS_KIND", "IdempotencyKeyManager"]

#: Kind of the objects that hold buckets of key records.
KEYS_KIND = "keys"
_LOGGER = logging.getLogger(__name__)
BucketHandler = Callable[[str, KeyBucket | None, int, float], StoreCommand | None]
#: Interval between checks for settlements that must be retried.
_CHECK_INTERVAL_S = 0.25


class IdempotencyKeyManager:
    """Claims keys before requests are sent, and records how they ended.

    :param worker: decides which buckets are read and written
    :param store: the platform's store
    :param endpoint: name of this endpoint
    :param incarnation: this start of the sidecar
    :param tasks: the task group that runs the updates
    :param timer: the timer service
    """

    def __init__(
        self,
        worker: KeyWorker,
        store: StoreClient,
        endpoint: str,
        incarnation: str,
        tasks: TaskGroup,
        timer: TimerService,
    ) -> None:
        self._worker = worker
        self._store = store
        self._endpoint = endpoint
        self._incarnation = incarnation
        self._tasks = tasks
        self._timer = timer
        self._waiting_by_attempt: dict[str, Event] = {}
        self._results_by_attempt: dict[str, ClaimResult] = {}
        timer.subscribe("keys", _CHECK_INTERVAL_S, lambda _: self._start_commands())

    @property
    def unsettled(self) -> int:
        """Number of outcomes that are not stored yet."""
        return self._worker.unsettled

    def make_record(self, request: RunRequest) -> KeyRecord:
        """:return: the record that claims the key of an attempt"""
        request_content = b"\0".join(
            (request.target.encode(), request.method.encode(), request.path.encode(), request.body)
        )
        return KeyRecord(
            request.caller,
            request.idempotency_key,
            blake2b(request_content, digest_size=16).hexdigest(),
            request.attempt_id,
            self._endpoint,
            self._incarnation,
            claimed_unix_s=time.time(),
        )

    async def claim(self, record: KeyRecord) -> ClaimResult:
        """:return: the result of a claim, once the store has decided"""
        decided = Event()
        self._waiting_by_attempt[record.attempt_id] = decided
        self._worker.claim(record, self._timer.now())
        self._start_commands()
        await decided.wait()
        return self._results_by_attempt.pop(record.attempt_id)

    def settle(self, record: KeyRecord) -> None:
        """Record how an attempt ended, with retries until it is stored."""
        self._worker.settle(record)
        self._start_commands()

    def _start_commands(self) -> None:
        self._take_results()
        for command in self._worker.commands(self._timer.now(), time.time()):
            self._tasks.start_soon(self._execute, command)

    def _take_results(self) -> None:
        for attempt_id, result in self._worker.take_results().items():
            self._results_by_attempt[attempt_id] = result
            waiting = self._waiting_by_attempt.pop(attempt_id, None)
            if waiting is not None:
                waiting.set()

    async def _execute(self, first: StoreCommand) -> None:
        command: StoreCommand | None = first
        while command is not None:
            if isinstance(command, ReadBucket):
                command = await self._read(command)
            else:
                command = await self._write(command)
            self._take_results()
        self._start_commands()

    async def _read(self, command: ReadBucket) -> StoreCommand | None:
        read = await self._store.get(KEYS_KIND, command.name)
        if read.is_error():
            return self._worker.store_failed(command.name, False, self._timer.now())
        return self._handle_bucket(command.name, read.ok, self._worker.bucket_read)

    async def _write(self, command: WriteBucket) -> StoreCommand | None:
        value = encode_bucket(command.bucket)
        written = await self._store.put(KEYS_KIND, command.name, value, command.if_version)
        now_s = self._timer.now()
        if written.is_error():
            is_unknown = written.error.outcome is not Outcome.NOT_RUN
            return self._worker.store_failed(command.name, is_unknown, now_s)
        if isinstance(written.ok, Conflict):
            return self._handle_bucket(
                command.name, written.ok.current, self._worker.bucket_conflict
            )
        return self._worker.bucket_written(command.name, written.ok.version, now_s)

    def _handle_bucket(
        self, name: str, stored: StoreObject | None, handle: BucketHandler
    ) -> StoreCommand | None:
        """Pass a stored bucket to the worker; an unreadable one fails the claims that need it."""
        now_s = self._timer.now()
        if stored is None:
            return handle(name, None, 0, now_s)
        try:
            bucket = decode_bucket(stored.value)
        except ValueError as error:
            _LOGGER.error("bucket unreadable: step=claim peer=store bucket=%s: %s", name, error)
            return self._worker.store_failed(name, False, now_s)
        return handle(name, bucket, stored.version, now_s)
