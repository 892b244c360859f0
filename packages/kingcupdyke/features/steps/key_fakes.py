"""
key_fakes
~~~~~~~~~

A store that loses answers and sidecars that die and pause, for the features on idempotency keys.
"""

from typing import NamedTuple

from kingcupdyke.attempt import AttemptMachine
from kingcupdyke.claimresult import Claimed, ClaimResult, ReadBucket, Unclaimed, WriteBucket
from kingcupdyke.error import Outcome, Step
from kingcupdyke.keyrecord import KeyBucket, KeyRecord, KeyState, decode_bucket, encode_bucket
from kingcupdyke.keyworker import KeyWorker

#: What may become of a command: done and answered, refused with nothing done, its answer lost
#: after it took effect, lost without effect, or lost and taking effect later.
FATES = ("ok", "down", "lost_done", "lost_undone", "lost_late")
DEADLINE_S = 60.0
RUNNING_BOUND_S = 600.0


class StoredBucket(NamedTuple):
    """An encoded bucket and its version."""

    version: int
    value: bytes


class FakeStore:
    """Conditional updates whose answers can be lost."""

    def __init__(self) -> None:
        self.stored_by_name: dict[str, StoredBucket] = {}
        self.late: list[WriteBucket] = []
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

    def let_late_arrive(self) -> None:
        for command in self.late:
            self.write(command)
        self.late = []


class World:
    """Time, store and what has truly run, shared by the sidecars."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.store = FakeStore()
        #: Attempts that reached the back end, in order, with their keys.
        self.runs: list[tuple[str, str]] = []
        self.refused: set[str] = set()
        self.results_by_attempt: dict[str, ClaimResult] = {}
        #: Attempts that got the claim, counted, since no attempt may get it twice.
        self.claims: list[str] = []


class FakeSidecar:
    """The decisions of a sidecar with their store calls one by one."""

    def __init__(self, endpoint: str, world: World) -> None:
        self.endpoint = endpoint
        self.world = world
        self.submitted = 0
        self.lives = 0
        self.start()

    def start(self) -> None:
        self.lives += 1
        self.worker = KeyWorker(buckets=2, running_bound_s=RUNNING_BOUND_S)
        self.machines: dict[str, AttemptMachine] = {}
        self.records: dict[str, KeyRecord] = {}
        self.pending: list[ReadBucket | WriteBucket] = []

    def submit(self, body: str = "b", key: str = "k") -> str:
        self.submitted += 1
        attempt_id = f"{self.endpoint}{self.submitted}"
        record = KeyRecord(
            "secretary", key, body, attempt_id, self.endpoint, f"{self.endpoint}-{self.lives}"
        )
        self.records[attempt_id] = record._replace(claimed_unix_s=self.world.now_s)
        deadline_s = self.world.now_s + DEADLINE_S
        self.machines[attempt_id] = AttemptMachine(attempt_id, "engine", True, deadline_s)
        self.worker.claim(self.records[attempt_id], self.world.now_s)
        return attempt_id

    def submit_again(self, attempt_id: str) -> None:
        self.worker.claim(self.records[attempt_id], self.world.now_s)
        self._take_results()

    def step(self, fate: str = "ok") -> bool:
        """:return: whether there was a command to carry out"""
        now_s = self.world.now_s
        self.pending += self.worker.commands(now_s, now_s)
        if not self.pending:
            return False
        command = self.pending.pop(0)
        self.world.store.calls.append(type(command).__name__)
        following = self._carry_out(command, fate)
        if following is not None:
            self.pending.append(following)
        self._take_results()
        return True

    def step_all(self) -> None:
        self.world.now_s += 2.0
        for _ in range(10_000):
            if not self.step():
                return
        raise AssertionError("store calls never end")

    def run(self, attempt_id: str) -> None:
        machine = self.machines[attempt_id]
        sent = machine.send(self.world.now_s)
        if sent.is_ok():
            self.world.runs.append((attempt_id, self.records[attempt_id].key))
        elif sent.error.outcome == Outcome.NOT_RUN:
            self.world.refused.add(attempt_id)
            self._settle(attempt_id)

    def finish(self, attempt_id: str, answer: bytes = b"booked") -> None:
        self.machines[attempt_id].ended()
        self._settle(attempt_id, status=200, content_type="text/plain", answer=answer)

    def fail(self, attempt_id: str, said: bool = False) -> None:
        failure = self.machines[attempt_id].failure(Step.RUN, "test", said_by_back_end=said)
        if failure.outcome == Outcome.NOT_RUN:
            self.world.refused.add(attempt_id)
        self._settle(attempt_id)

    def die(self) -> None:
        """End at once; writes on their way may still take effect."""
        writes = [each for each in self.pending if isinstance(each, WriteBucket)]
        self.world.store.late += writes
        self.start()

    def _settle(self, attempt_id: str, **answer) -> None:
        state = self.machines[attempt_id].key_state
        if state is not None:
            fields = answer if state == KeyState.ANSWERED else {}
            self.worker.settle(self.records[attempt_id]._replace(state=state, **fields))

    def _carry_out(self, command, fate):
        now_s, store = self.world.now_s, self.world.store
        if fate == "ok" and isinstance(command, ReadBucket):
            return self.worker.bucket_read(command.name, *store.read(command.name), now_s)
        if fate == "ok" and store.write(command):
            return self.worker.bucket_written(command.name, command.if_version + 1, now_s)
        if fate == "ok":
            return self.worker.bucket_conflict(command.name, *store.read(command.name), now_s)
        if fate == "lost_done" and isinstance(command, WriteBucket):
            store.write(command)
        if fate == "lost_late" and isinstance(command, WriteBucket):
            store.late.append(command)
        return self.worker.store_failed(command.name, fate != "down", now_s)

    def _take_results(self) -> None:
        for attempt_id, result in self.worker.take_results().items():
            self.world.results_by_attempt[attempt_id] = result
            if isinstance(result, Claimed):
                self.world.claims.append(attempt_id)
                self.machines[attempt_id].claimed()
                self._settle(attempt_id)
            elif isinstance(result, Unclaimed):
                self.fail(attempt_id)
