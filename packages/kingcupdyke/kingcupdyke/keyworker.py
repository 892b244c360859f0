"""
kingcupdyke.keyworker
~~~~~~~~~~~~~~~~~~~~~

Batches a sidecar's claims and settlements per bucket, with one update in flight per bucket.
"""

from random import Random

from kingcupdyke.claimresult import ClaimResult, StillRunning, StoreCommand, Unclaimed
from kingcupdyke.error import Failure
from kingcupdyke.idempotency import MAX_RUNNING_S, BucketMachine
from kingcupdyke.keyrecord import (
    KEY_BUCKETS,
    RETENTION_S,
    KeyBucket,
    KeyRecord,
    bucket_name,
    truncate_record,
)

__all__ = ["KeyWorker"]

#: Initial backoff in seconds before settling is retried; doubled while the store is unavailable.
INITIAL_SETTLE_BACKOFF_S = 1.0
#: Maximum backoff in seconds before settling is retried.
MAX_SETTLE_BACKOFF_S = 30.0
#: Maximum number of updates in flight, over all buckets.
MAX_UPDATES_IN_FLIGHT = 16
#: Maximum total size of answers that are not stored yet; of further ones only the digest is kept.
MAX_PENDING_ANSWER_BYTES = 8_000_000


class KeyWorker:
    """Combines all pending claims and settlements of a bucket in one update.

    The caller executes each command and reports its outcome with the method of that name, which
    may return the next command for the same bucket. After each report the caller fetches new
    results with :meth:`take_results` and new commands with :meth:`commands`.

    :param buckets: number of buckets, the same in all processes
    :param retention_s: seconds for which records are kept
    :param max_running_s: seconds after which the outcome of an unsettled claim counts as unknown
    :param retry_s: initial backoff in seconds before settling is retried
    :param max_pending_answer_bytes: maximum total size of answers that are not stored yet
    :param max_updates: maximum number of updates in flight
    :param rng: random generator for the jitter of retries, or None for no jitter
    """

    def __init__(
        self,
        buckets: int = KEY_BUCKETS,
        retention_s: float = RETENTION_S,
        max_running_s: float = MAX_RUNNING_S,
        retry_s: float = INITIAL_SETTLE_BACKOFF_S,
        max_pending_answer_bytes: int = MAX_PENDING_ANSWER_BYTES,
        max_updates: int = MAX_UPDATES_IN_FLIGHT,
        rng: Random | None = None,
    ) -> None:
        self._buckets = buckets
        self._retention_s = retention_s
        self._max_running_s = max_running_s
        self._retry_s = retry_s
        self._max_pending_answer_bytes = max_pending_answer_bytes
        self._max_updates = max_updates
        self._rng = rng
        self._failures = 0
        self._next_settle_s = float("-inf")
        self._claims_by_bucket: dict[str, list[KeyRecord]] = {}
        self._settlements_by_bucket: dict[str, dict[str, KeyRecord]] = {}
        self._pending_answer_bytes = 0
        self._machines_by_bucket: dict[str, BucketMachine] = {}
        self._retry_at_by_bucket: dict[str, float] = {}
        self._known_by_attempt: dict[str, tuple[float, Failure | None]] = {}
        self._results_by_attempt: dict[str, ClaimResult] = {}
        #: Incarnations known to have ended; the outcome of their claims counts as unknown.
        self.gone_incarnations: frozenset[str] = frozenset()

    @property
    def unsettled(self) -> int:
        """Number of settlements that are not stored yet."""
        in_flight = sum(len(each.unsettled) for each in self._machines_by_bucket.values())
        return in_flight + sum(len(each) for each in self._settlements_by_bucket.values())

    @property
    def known_attempts(self) -> int:
        """Number of recorded attempts; a recorded one is not claimed again."""
        return len(self._known_by_attempt)

    def claim(self, record: KeyRecord, now_s: float) -> None:
        """Add a claim to the next update of its bucket; its result is returned exactly once.

        An attempt that was passed in before is not claimed again.

        :param record: the claim, in state "claimed"
        :param now_s: time in seconds of the timer service
        """
        if record.attempt_id in self._known_by_attempt:
            failure = self._known_by_attempt[record.attempt_id][1]
            result = StillRunning(record) if failure is None else Unclaimed(failure)
            self._results_by_attempt.setdefault(record.attempt_id, result)
            return
        self._known_by_attempt[record.attempt_id] = (now_s, None)
        self._claims_by_bucket.setdefault(self._get_bucket_name(record), []).append(record)

    def settle(self, record: KeyRecord) -> None:
        """Add a settlement, which is retried until it is stored.

        :param record: the claim with the final state and the answer of its attempt
        """
        if self._pending_answer_bytes + len(record.answer) > self._max_pending_answer_bytes:
            record = truncate_record(record)
        pending = self._settlements_by_bucket.setdefault(self._get_bucket_name(record), {})
        earlier = pending.get(record.attempt_id)
        self._pending_answer_bytes += len(record.answer) - (len(earlier.answer) if earlier else 0)
        pending[record.attempt_id] = record

    def commands(self, now_s: float, now_unix_s: float) -> list[StoreCommand]:
        """Start an update for each bucket with pending claims or settlements and none in flight.

        :param now_s: time in seconds of the timer service
        :param now_unix_s: time in seconds since the epoch
        :return: the first command of each update
        """
        self._forget_old_attempts(now_s)
        idle = [name for name in self._claims_by_bucket if name not in self._machines_by_bucket]
        idle += [name for name in self._get_due_settlements(now_s) if name not in idle]
        free_slots = self._max_updates - len(self._machines_by_bucket)
        return [self._start_update(name, now_unix_s) for name in idle[: max(free_slots, 0)]]

    def bucket_read(
        self, name: str, bucket: KeyBucket | None, version: int, now_s: float
    ) -> StoreCommand | None:
        """:return: the next command for a bucket that was read, or None"""
        machine = self._machines_by_bucket[name]
        return self._continue(machine, machine.bucket_read(bucket, version), now_s)

    def bucket_written(self, name: str, version: int, now_s: float) -> StoreCommand | None:
        """:return: the next command for a bucket that was written, or None"""
        machine = self._machines_by_bucket[name]
        return self._continue(machine, machine.bucket_written(version), now_s)

    def bucket_conflict(
        self, name: str, bucket: KeyBucket | None, version: int, now_s: float
    ) -> StoreCommand | None:
        """:return: the next command for a bucket whose write found another version, or None"""
        machine = self._machines_by_bucket[name]
        return self._continue(machine, machine.bucket_conflict(bucket, version), now_s)

    def store_failed(self, name: str, unknown: bool, now_s: float) -> StoreCommand | None:
        """:return: the next command for a bucket whose command failed, or None"""
        machine = self._machines_by_bucket[name]
        command = machine.store_failed(unknown)
        if command is None:
            self._back_off(now_s)
            self._end_update(machine, now_s)
        return command

    def take_results(self) -> dict[str, ClaimResult]:
        """:return: the results since the last call, by attempt id"""
        results_by_attempt = self._results_by_attempt
        self._results_by_attempt = {}
        return results_by_attempt

    def _get_due_settlements(self, now_s: float) -> list[str]:
        """:return: idle buckets to settle; only one while the store seems to be unavailable"""
        if now_s < self._next_settle_s:
            return []
        due = [
            name
            for name in self._settlements_by_bucket
            if name not in self._machines_by_bucket
            and now_s >= self._retry_at_by_bucket.get(name, now_s)
        ]
        if self._failures:
            return [] if self._machines_by_bucket else due[:1]
        return due

    def _back_off(self, now_s: float) -> None:
        if now_s < self._next_settle_s:
            # Another update of the same batch has failed already and started the backoff.
            return
        backoff_s = min(self._retry_s * 2**self._failures, MAX_SETTLE_BACKOFF_S)
        if self._rng is not None:
            backoff_s *= self._rng.uniform(0.5, 1.0)
        self._failures = min(self._failures + 1, 32)
        self._next_settle_s = now_s + backoff_s

    def _get_bucket_name(self, record: KeyRecord) -> str:
        return bucket_name(record.caller, record.key, self._buckets)

    def _start_update(self, name: str, now_unix_s: float) -> StoreCommand:
        machine = BucketMachine(
            name,
            self._claims_by_bucket.pop(name, []),
            self._take_settlements(name),
            now_unix_s=now_unix_s,
            gone_incarnations=self.gone_incarnations,
            max_running_s=self._max_running_s,
            retention_s=self._retention_s,
        )
        self._machines_by_bucket[name] = machine
        return machine.start()

    def _take_settlements(self, name: str) -> list[KeyRecord]:
        taken = list(self._settlements_by_bucket.pop(name, {}).values())
        self._pending_answer_bytes -= sum(len(each.answer) for each in taken)
        return taken

    def _continue(
        self, machine: BucketMachine, command: StoreCommand | None, now_s: float
    ) -> StoreCommand | None:
        if command is None:
            self._failures = 0
            self._next_settle_s = now_s
            self._end_update(machine, now_s)
        else:
            self._collect_results(machine, now_s)
        return command

    def _collect_results(self, machine: BucketMachine, now_s: float) -> None:
        for attempt_id, result in machine.results_by_attempt.items():
            failure = result.failure if isinstance(result, Unclaimed) else None
            self._known_by_attempt[attempt_id] = (now_s, failure)
            self._results_by_attempt[attempt_id] = result
        machine.results_by_attempt.clear()

    def _end_update(self, machine: BucketMachine, now_s: float) -> None:
        self._collect_results(machine, now_s)
        del self._machines_by_bucket[machine.bucket]
        pending = machine.unsettled + machine.to_settle
        newer = self._settlements_by_bucket.get(machine.bucket, {})
        for record in pending:
            # A settlement that was added in the meantime is more recent.
            if record.attempt_id not in newer:
                self.settle(record)
        self._retry_at_by_bucket.pop(machine.bucket, None)
        if pending and not self._failures:
            # The store is available, so only this bucket cannot store them now.
            self._retry_at_by_bucket[machine.bucket] = now_s + self._retry_s

    def _forget_old_attempts(self, now_s: float) -> None:
        oldest_s = now_s - self._max_running_s
        while self._known_by_attempt:
            attempt_id = next(iter(self._known_by_attempt))
            if self._known_by_attempt[attempt_id][0] >= oldest_s:
                return
            del self._known_by_attempt[attempt_id]
