"""
kingcupdyke.keyworker
~~~~~~~~~~~~~~~~~~~~~

Grouping the claims and settlements of a sidecar, one update in flight a bucket.
"""

from random import Random

from kingcupdyke.claimresult import ClaimResult, StillRunning, StoreCommand, Unclaimed
from kingcupdyke.error import Failure
from kingcupdyke.idempotency import RUNNING_BOUND_S, BucketMachine
from kingcupdyke.keyrecord import (
    KEY_BUCKETS,
    RETENTION_S,
    KeyBucket,
    KeyRecord,
    bucket_name,
    truncate_record,
)

__all__ = ["KeyWorker"]

#: Seconds before settling is tried again, doubled up to the most while the store is away.
SETTLE_RETRY_S = 1.0
SETTLE_RETRY_MOST_S = 30.0
#: Most updates in flight at once, over all buckets.
MOST_UPDATES = 16
#: Most bytes of answers that wait to be recorded; beyond, only their digest is kept.
WAITING_MOST_BYTES = 8_000_000


class KeyWorker:
    """Carries all claims and settlements that wait for a bucket in one update.

    The shell carries out each command and reports how it ended by the method of that name,
    which may give the next command for the same bucket. After each report it takes the results
    that have come, and asks for the commands that became due.

    :param buckets: number of buckets, the same in all processes
    :param retention_s: seconds for which records are kept
    :param running_bound_s: seconds after which a claim without an outcome counts as unknown
    :param retry_s: seconds before settling is tried again the first time
    :param waiting_most_bytes: most bytes of answers that wait to be recorded
    :param most_updates: most updates in flight at once
    :param rng: source of chance for the jitter of retries, or None for no jitter
    """

    def __init__(
        self,
        buckets: int = KEY_BUCKETS,
        retention_s: float = RETENTION_S,
        running_bound_s: float = RUNNING_BOUND_S,
        retry_s: float = SETTLE_RETRY_S,
        waiting_most_bytes: int = WAITING_MOST_BYTES,
        most_updates: int = MOST_UPDATES,
        rng: Random | None = None,
    ) -> None:
        self._buckets = buckets
        self._retention_s = retention_s
        self._running_bound_s = running_bound_s
        self._retry_s = retry_s
        self._waiting_most_bytes = waiting_most_bytes
        self._most_updates = most_updates
        self._rng = rng
        self._failures = 0
        self._settle_at_s = float("-inf")
        self._claims_by_bucket: dict[str, list[KeyRecord]] = {}
        self._settlements_by_bucket: dict[str, dict[str, KeyRecord]] = {}
        self._waiting_bytes = 0
        self._machines_by_bucket: dict[str, BucketMachine] = {}
        self._retry_at_by_bucket: dict[str, float] = {}
        self._past_by_attempt: dict[str, tuple[float, Failure | None]] = {}
        self._results_by_attempt: dict[str, ClaimResult] = {}
        #: Incarnations known to have ended; their claims count as unknown at once.
        self.gone_incarnations: frozenset[str] = frozenset()

    @property
    def unsettled(self) -> int:
        """Number of records that the store has not taken yet."""
        carried = sum(len(each.unsettled) for each in self._machines_by_bucket.values())
        return carried + sum(len(each) for each in self._settlements_by_bucket.values())

    @property
    def remembered(self) -> int:
        """Number of attempts that are not claimed again when they are given again."""
        return len(self._past_by_attempt)

    def claim(self, record: KeyRecord, now_s: float) -> None:
        """Let a claim wait for the next update of its bucket; its result comes exactly once.

        An attempt that was given here before never gets the key by being given again.

        :param record: the claim, in state "claimed"
        :param now_s: time in seconds of the timer service
        """
        if record.attempt_id in self._past_by_attempt:
            failure = self._past_by_attempt[record.attempt_id][1]
            result = StillRunning(record) if failure is None else Unclaimed(failure)
            self._results_by_attempt.setdefault(record.attempt_id, result)
            return
        self._past_by_attempt[record.attempt_id] = (now_s, None)
        self._claims_by_bucket.setdefault(self._bucket(record), []).append(record)

    def settle(self, record: KeyRecord) -> None:
        """Let a record wait until the store takes it.

        :param record: the claim with the state and the answer in which its attempt ended
        """
        if self._waiting_bytes + len(record.answer) > self._waiting_most_bytes:
            record = truncate_record(record)
        waiting = self._settlements_by_bucket.setdefault(self._bucket(record), {})
        earlier = waiting.get(record.attempt_id)
        self._waiting_bytes += len(record.answer) - (len(earlier.answer) if earlier else 0)
        waiting[record.attempt_id] = record

    def commands(self, now_s: float, now_unix_s: float) -> list[StoreCommand]:
        """Start an update for each idle bucket that has something due.

        :param now_s: time in seconds of the timer service
        :param now_unix_s: time in seconds since the epoch
        :return: the first command of each update
        """
        self._forget_past(now_s)
        idle = [name for name in self._claims_by_bucket if name not in self._machines_by_bucket]
        idle += [name for name in self._due_settlements(now_s) if name not in idle]
        room = self._most_updates - len(self._machines_by_bucket)
        return [self._start(name, now_unix_s) for name in idle[: max(room, 0)]]

    def bucket_read(
        self, name: str, bucket: KeyBucket | None, version: int, now_s: float
    ) -> StoreCommand | None:
        """:return: the next command for a bucket that was read, or None"""
        machine = self._machines_by_bucket[name]
        return self._go_on(machine, machine.bucket_read(bucket, version), now_s)

    def bucket_written(self, name: str, version: int, now_s: float) -> StoreCommand | None:
        """:return: the next command for a bucket that was written, or None"""
        machine = self._machines_by_bucket[name]
        return self._go_on(machine, machine.bucket_written(version), now_s)

    def bucket_conflict(
        self, name: str, bucket: KeyBucket | None, version: int, now_s: float
    ) -> StoreCommand | None:
        """:return: the next command for a bucket whose write lost, or None"""
        machine = self._machines_by_bucket[name]
        return self._go_on(machine, machine.bucket_conflict(bucket, version), now_s)

    def store_failed(self, name: str, unknown: bool, now_s: float) -> StoreCommand | None:
        """:return: the next command for a bucket whose command failed, or None"""
        machine = self._machines_by_bucket[name]
        command = machine.store_failed(unknown)
        if command is None:
            self._back_off(now_s)
            self._end(machine, now_s)
        return command

    def take_results(self) -> dict[str, ClaimResult]:
        """:return: the results that have come since the last call, by attempt id"""
        results_by_attempt = self._results_by_attempt
        self._results_by_attempt = {}
        return results_by_attempt

    def _due_settlements(self, now_s: float) -> list[str]:
        """:return: idle buckets to settle; a single one as long as the store seems away"""
        if now_s < self._settle_at_s:
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
        if now_s < self._settle_at_s:
            # Another update of the same burst has failed before.
            return
        wait_s = min(self._retry_s * 2**self._failures, SETTLE_RETRY_MOST_S)
        if self._rng is not None:
            wait_s *= self._rng.uniform(0.5, 1.0)
        self._failures = min(self._failures + 1, 32)
        self._settle_at_s = now_s + wait_s

    def _bucket(self, record: KeyRecord) -> str:
        return bucket_name(record.caller, record.key, self._buckets)

    def _start(self, name: str, now_unix_s: float) -> StoreCommand:
        machine = BucketMachine(
            name,
            self._claims_by_bucket.pop(name, []),
            self._take_settlements(name),
            now_unix_s=now_unix_s,
            gone_incarnations=self.gone_incarnations,
            running_bound_s=self._running_bound_s,
            retention_s=self._retention_s,
        )
        self._machines_by_bucket[name] = machine
        return machine.start()

    def _take_settlements(self, name: str) -> list[KeyRecord]:
        taken = list(self._settlements_by_bucket.pop(name, {}).values())
        self._waiting_bytes -= sum(len(each.answer) for each in taken)
        return taken

    def _go_on(
        self, machine: BucketMachine, command: StoreCommand | None, now_s: float
    ) -> StoreCommand | None:
        if command is None:
            self._failures = 0
            self._settle_at_s = now_s
            self._end(machine, now_s)
        else:
            self._collect_results(machine, now_s)
        return command

    def _collect_results(self, machine: BucketMachine, now_s: float) -> None:
        for attempt_id, result in machine.results_by_attempt.items():
            failure = result.failure if isinstance(result, Unclaimed) else None
            self._past_by_attempt[attempt_id] = (now_s, failure)
            self._results_by_attempt[attempt_id] = result
        machine.results_by_attempt.clear()

    def _end(self, machine: BucketMachine, now_s: float) -> None:
        self._collect_results(machine, now_s)
        del self._machines_by_bucket[machine.bucket]
        waiting = machine.unsettled + machine.to_settle
        later = self._settlements_by_bucket.get(machine.bucket, {})
        for record in waiting:
            # A settlement given in the meantime knows more.
            if record.attempt_id not in later:
                self.settle(record)
        self._retry_at_by_bucket.pop(machine.bucket, None)
        if waiting and not self._failures:
            # The store answers, so it is this bucket alone that can't take them now.
            self._retry_at_by_bucket[machine.bucket] = now_s + self._retry_s

    def _forget_past(self, now_s: float) -> None:
        oldest_s = now_s - self._running_bound_s
        while self._past_by_attempt:
            attempt_id = next(iter(self._past_by_attempt))
            if self._past_by_attempt[attempt_id][0] >= oldest_s:
                return
            del self._past_by_attempt[attempt_id]
