"""
key_fakes
~~~~~~~~~

A simulated store that loses answers, and sidecars that die and pause, for idempotency key tests.
"""

from typing import NamedTuple

from kingcupdyke.attempt import AttemptMachine
from kingcupdyke.claimresult import Claimed, ClaimResult, ReadBucket, Unclaimed, WriteBucket
from kingcupdyke.error import Outcome, Step
from kingcupdyke.keyrecord import KeyBucket, KeyRecord, KeyState, decode_bucket, encode_bucket
from kingcupdyke.keyworker import KeyWorker

#: Outcomes of a store command: executed and answered, rejected, answer lost after it took effect,
#: lost without effect, or lost and taking effect later.
FATES = ("ok", "down", "lost_done", "lost_undone", "lost_late")
DEADLINE_S = 60.0
MAX_RUNNING_S = 600.0


class StoredBucket(NamedTuple):
    """An encoded bucket and its version."""

    version: int
    value: bytes


class FakeStore:
    """Store with conditional updates whose answers can be lost."""

    def __init__(self) -> None:
        self.stored_by_name: dict[str, StoredBucket] = {}
        self.late_writes: list[WriteBucket] = []
        self.calls: list[str] = []

    def read(self, name: str) -> tuple[KeyBucket, int]:
        stored = self.stored_by_name.get(name, StoredBucket(0, b""))
        return decode_bucket(stored.value), stored.version

    def write(self, command: WriteBucket) -> bool:
        if self.read(command.name)[1] != command.if_version:
            return False
        stored = StoredBucket(command.if_version + 1, encode_bucket(command.bucket))
        self.stored_by_name[command.name] = stored
        return True

    def deliver_late_writes(self) -> None:
        for command in self.late_writes:
            self.write(command)
        self.late_writes = []


class SharedState:
    """State that the sidecars share: time, store and the requests that ran."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.store = FakeStore()
        #: Attempts that ran, in order, with their keys.
        self.runs: list[tuple[str, str]] = []
        self.rejected: set[str] = set()
        self.results_by_attempt: dict[str, ClaimResult] = {}
        #: Attempts whose claim was granted; an attempt granted twice is in the list twice.
        self.claims: list[str] = []


class FakeSidecar:
    """A simulated sidecar whose store commands are executed one by one."""

    def __init__(self, endpoint: str, shared: SharedState) -> None:
        self.endpoint = endpoint
        self.shared = shared
        self.submitted = 0
        self.start_count = 0
        self.start()

    def start(self) -> None:
        self.start_count += 1
        self.worker = KeyWorker(buckets=2, max_running_s=MAX_RUNNING_S)
        self.machines: dict[str, AttemptMachine] = {}
        self.records: dict[str, KeyRecord] = {}
        self.pending: list[ReadBucket | WriteBucket] = []

    def submit(self, body: str = "b", key: str = "k") -> str:
        self.submitted += 1
        attempt_id = f"{self.endpoint}{self.submitted}"
        record = KeyRecord(
            "secretary", key, body, attempt_id, self.endpoint, f"{self.endpoint}-{self.start_count}"
        )
        self.records[attempt_id] = record._replace(claimed_unix_s=self.shared.now_s)
        deadline_s = self.shared.now_s + DEADLINE_S
        self.machines[attempt_id] = AttemptMachine(attempt_id, "engine", True, deadline_s)
        self.worker.claim(self.records[attempt_id], self.shared.now_s)
        return attempt_id

    def submit_again(self, attempt_id: str) -> None:
        self.worker.claim(self.records[attempt_id], self.shared.now_s)
        self._take_results()

    def step(self, fate: str = "ok") -> bool:
        """Execute the next store command with a given outcome.

        :return: whether there was a command to execute
        """
        now_s = self.shared.now_s
        self.pending += self.worker.commands(now_s, now_s)
        if not self.pending:
            return False
        command = self.pending.pop(0)
        self.shared.store.calls.append(type(command).__name__)
        following = self._execute(command, fate)
        if following is not None:
            self.pending.append(following)
        self._take_results()
        return True

    def step_all(self) -> None:
        self.shared.now_s += 2.0
        for _ in range(10_000):
            if not self.step():
                return
        raise AssertionError("store calls never end")

    def run(self, attempt_id: str) -> None:
        machine = self.machines[attempt_id]
        sent = machine.send(self.shared.now_s)
        if sent.is_ok():
            self.shared.runs.append((attempt_id, self.records[attempt_id].key))
        elif sent.error.outcome == Outcome.NOT_RUN:
            self.shared.rejected.add(attempt_id)
            self._settle(attempt_id)

    def finish(self, attempt_id: str, answer: bytes = b"booked") -> None:
        self.machines[attempt_id].ended()
        self._settle(attempt_id, status=200, content_type="text/plain", answer=answer)

    def fail(self, attempt_id: str, is_answered: bool = False) -> None:
        failure = self.machines[attempt_id].failure(
            Step.RUN, "test", reported_by_back_end=is_answered
        )
        if failure.outcome == Outcome.NOT_RUN:
            self.shared.rejected.add(attempt_id)
        self._settle(attempt_id)

    def die(self) -> None:
        """Stop immediately and restart; writes in flight may still take effect."""
        writes = [each for each in self.pending if isinstance(each, WriteBucket)]
        self.shared.store.late_writes += writes
        self.start()

    def _settle(self, attempt_id: str, **answer) -> None:
        state = self.machines[attempt_id].key_state
        if state is not None:
            fields = answer if state == KeyState.ANSWERED else {}
            self.worker.settle(self.records[attempt_id]._replace(state=state, **fields))

    def _execute(self, command, fate):
        now_s, store = self.shared.now_s, self.shared.store
        if fate == "ok" and isinstance(command, ReadBucket):
            return self.worker.bucket_read(command.name, *store.read(command.name), now_s)
        if fate == "ok" and store.write(command):
            return self.worker.bucket_written(command.name, command.if_version + 1, now_s)
        if fate == "ok":
            return self.worker.bucket_conflict(command.name, *store.read(command.name), now_s)
        if fate == "lost_done" and isinstance(command, WriteBucket):
            store.write(command)
        if fate == "lost_late" and isinstance(command, WriteBucket):
            store.late_writes.append(command)
        return self.worker.store_failed(command.name, fate != "down", now_s)

    def _take_results(self) -> None:
        for attempt_id, result in self.worker.take_results().items():
            self.shared.results_by_attempt[attempt_id] = result
            if isinstance(result, Claimed):
                self.shared.claims.append(attempt_id)
                self.machines[attempt_id].claimed()
                self._settle(attempt_id)
            elif isinstance(result, Unclaimed):
                self.fail(attempt_id)
