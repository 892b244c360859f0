"""
kingcupdyke.idempotency
~~~~~~~~~~~~~~~~~~~~~~~

Claiming idempotency keys and settling the claims, by conditional updates of the store.

A sidecar runs non-idempotent work only after its claim is known to be stored. A claim whose
write got no answer is read back; when that is not possible, the attempt is refused and never
runs, and its record is settled as "not run" once the store is back. Buckets are never deleted,
so their versions only rise, and a lost write can no longer take effect once a higher version
was seen.
"""

from collections.abc import Sequence
from typing import Any

from kingcupdyke.claimresult import (
    Claimed,
    ClaimResult,
    KeyReused,
    ReadBucket,
    Replay,
    StillRunning,
    StoreCommand,
    Unclaimed,
    UnknownRun,
    WriteBucket,
)
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.keyrecord import (
    BUCKET_MOST_BYTES,
    CLAIM_MOST_BYTES,
    RETENTION_S,
    KeyBucket,
    KeyRecord,
    KeyState,
    record_key,
    trim_bucket,
)

__all__ = [
    "BucketMachine",
    "ClaimMachine",
    "ClaimResult",
    "Claimed",
    "KeyReused",
    "ReadBucket",
    "Replay",
    "SettleMachine",
    "StillRunning",
    "StoreCommand",
    "Unclaimed",
    "UnknownRun",
    "WriteBucket",
]

#: Seconds after which a claim without an outcome counts as unknown.
RUNNING_BOUND_S = 600.0
#: Seconds after which a refused caller may come back.
RETRY_AFTER_S = 1.0
#: Conflicts and lost answers after which an update is given up.
MOST_CONFLICTS = 16
MOST_LOST = 3
#: A record is only ever settled to a state that says more of what ran.
_KNOWLEDGE = {
    KeyState.CLAIMED: 0,
    KeyState.NOT_RUN: 1,
    KeyState.UNKNOWN: 2,
    KeyState.ANSWERED: 3,
}


class BucketMachine:
    """One update of one bucket, carrying claims and settlements.

    Attempt ids must be unique within an incarnation: a record of the same attempt and
    incarnation is taken for a write of this machine whose answer was lost.

    :param bucket: name of the bucket
    :param claims: records to claim, in state "claimed"
    :param settlements: records of own attempts with the state in which they ended
    :param now_unix_s: time in seconds since the epoch
    :param gone_incarnations: incarnations known to have ended
    :param running_bound_s: seconds after which a claim without an outcome counts as unknown
    :param retention_s: seconds for which records are kept
    :param peer: name of the store in failures
    """

    def __init__(
        self,
        bucket: str,
        claims: Sequence[KeyRecord] = (),
        settlements: Sequence[KeyRecord] = (),
        *,
        now_unix_s: float | None = None,
        gone_incarnations: frozenset[str] = frozenset(),
        running_bound_s: float = RUNNING_BOUND_S,
        retention_s: float = RETENTION_S,
        peer: str = "store",
    ) -> None:
        claimed_s = max((each.claimed_unix_s for each in claims), default=0.0)
        self._now_unix_s = claimed_s if now_unix_s is None else now_unix_s
        self._gone_incarnations = gone_incarnations
        self._running_bound_s = running_bound_s
        self._retention_s = retention_s
        self._peer = peer
        self._open_claims = {each.attempt_id: each for each in claims}
        self._open_settlements = {each.attempt_id: each for each in settlements}
        self._written_attempts: set[str] = set()
        self._pending: StoreCommand | None = None
        self._conflicts = 0
        self._lost = 0
        #: Name of the bucket.
        self.bucket = bucket
        #: Results known so far, by attempt id.
        self.results_by_attempt: dict[str, ClaimResult] = {}
        #: Refused claims that may be stored all the same, in state "not_run".
        self.to_settle: list[KeyRecord] = []

    def start(self) -> StoreCommand:
        """:return: the first command"""
        return self._issue(ReadBucket(self.bucket))

    def bucket_read(self, bucket: KeyBucket | None, version: int) -> StoreCommand | None:
        """Take the bucket as read.

        :param bucket: the bucket, or None when there is none
        :param version: its version, 0 when there is none
        :return: the next command, or None at the end
        """
        if self._conflicts >= MOST_CONFLICTS:
            return self._give_up("too many conflicts")
        return self._update(bucket or KeyBucket.empty(), version)

    def bucket_conflict(self, bucket: KeyBucket | None, version: int) -> StoreCommand | None:
        """Take the bucket as it is, where a write found another version.

        :return: the next command, or None at the end
        """
        self._conflicts += 1
        return self.bucket_read(bucket, version)

    def bucket_written(self, version: int) -> StoreCommand | None:
        """The write took effect.

        :return: None, with a result for every attempt
        """
        written = self._pending
        if not isinstance(written, WriteBucket):
            return None
        self._open_settlements.clear()
        for claim in list(self._open_claims.values()):
            record = written.bucket.records_by_key.get(record_key(claim.caller, claim.key))
            if record == claim:
                self._end_claim(claim, Claimed(claim))
            elif record is not None:
                self._end_claim(claim, self._judge(claim, record))
        return self._give_up("claim is past its retention")

    def store_failed(self, unknown: bool) -> StoreCommand | None:
        """The command failed.

        :param unknown: whether a write may have taken effect
        :return: a read to settle an unknown write, or None with every claim refused
        """
        if isinstance(self._pending, WriteBucket) and unknown:
            self._lost += 1
            if self._lost < MOST_LOST:
                return self._issue(ReadBucket(self.bucket))
        return self._give_up("store is away")

    @property
    def unsettled(self) -> list[KeyRecord]:
        """Settlements that the store has not taken yet, to be tried again."""
        return list(self._open_settlements.values())

    def _update(self, bucket: KeyBucket, version: int) -> StoreCommand | None:
        records_by_key = dict(bucket.records_by_key)
        has_settlements = self._apply_settlements(records_by_key)
        settled = KeyBucket(dict(records_by_key))
        if self._apply_claims(records_by_key):
            claimed = self._trim(KeyBucket(records_by_key), CLAIM_MOST_BYTES)
            if claimed is not None:
                return self._write(claimed, version)
            self._refuse_claims("bucket is full")
        trimmed = self._trim(settled, BUCKET_MOST_BYTES) if has_settlements else None
        return self._end() if trimmed is None else self._write(trimmed, version)

    def _trim(self, bucket: KeyBucket, most_bytes: int) -> KeyBucket | None:
        return trim_bucket(bucket, self._now_unix_s, self._retention_s, most_bytes)

    def _write(self, bucket: KeyBucket, version: int) -> StoreCommand:
        holders = {each.attempt_id for each in bucket.records_by_key.values()}
        self._written_attempts |= holders & self._open_claims.keys()
        return self._issue(WriteBucket(self.bucket, bucket, version))

    def _issue(self, command: StoreCommand) -> StoreCommand:
        self._pending = command
        return command

    def _end(self) -> None:
        self._pending = None

    def _apply_settlements(self, records_by_key: dict[str, KeyRecord]) -> bool:
        """:return: whether any record changed"""
        changed = False
        for settlement in self.unsettled:
            key = record_key(settlement.caller, settlement.key)
            if _may_settle(records_by_key.get(key), settlement):
                records_by_key[key] = settlement
                changed = True
            else:
                del self._open_settlements[settlement.attempt_id]
        return changed

    def _apply_claims(self, records_by_key: dict[str, KeyRecord]) -> bool:
        """Put claims on free keys; claims of keys that are not free get their results.

        :return: whether any claim was put
        """
        taken: set[str] = set()
        for claim in list(self._open_claims.values()):
            key = record_key(claim.caller, claim.key)
            record = records_by_key.get(key)
            if key in taken:
                # An earlier claim of this update has the key: judged once that is stored.
                continue
            if self._is_free(record, claim):
                records_by_key[key] = claim
                taken.add(key)
            else:
                self._end_claim(claim, self._judge(claim, record))
        return bool(taken)

    def _is_free(self, record: KeyRecord | None, claim: KeyRecord) -> bool:
        if record is None or record.claimed_unix_s < self._now_unix_s - self._retention_s:
            return True
        if _is_own(record, claim):
            # An attempt that was refused once must not run when it is delivered again.
            return False
        return record.state == KeyState.NOT_RUN and record.body_digest == claim.body_digest

    def _judge(self, claim: KeyRecord, record: KeyRecord) -> ClaimResult:
        if record.body_digest != claim.body_digest:
            return KeyReused(record)
        if record.state == KeyState.ANSWERED:
            return UnknownRun(record) if record.truncated else Replay(record)
        if record.state == KeyState.NOT_RUN:
            return Unclaimed(self._fail("attempt was refused before"))
        if record.state == KeyState.UNKNOWN:
            return UnknownRun(record)
        if _is_own(record, claim):
            # Another machine's claim of this attempt would be in the record as well.
            is_mine = claim.attempt_id in self._written_attempts
            return Claimed(record) if is_mine else StillRunning(record)
        return UnknownRun(record) if self._is_lost(record, claim) else StillRunning(record)

    def _is_lost(self, record: KeyRecord, claim: KeyRecord) -> bool:
        """:return: whether the holder of a claim is gone or has had it for too long"""
        if record.incarnation in self._gone_incarnations:
            return True
        if record.endpoint == claim.endpoint and record.incarnation != claim.incarnation:
            return True
        return self._now_unix_s - record.claimed_unix_s > self._running_bound_s

    def _end_claim(self, claim: KeyRecord, result: ClaimResult) -> None:
        del self._open_claims[claim.attempt_id]
        self.results_by_attempt[claim.attempt_id] = result

    def _refuse_claims(self, reason: str) -> None:
        failure = self._fail(reason)
        for claim in list(self._open_claims.values()):
            self._end_claim(claim, Unclaimed(failure))
            if self._lost and claim.attempt_id in self._written_attempts:
                self.to_settle.append(claim._replace(state=KeyState.NOT_RUN))

    def _fail(self, reason: str) -> Failure:
        return Failure(Outcome.NOT_RUN, Step.CLAIM, self._peer, reason, RETRY_AFTER_S)

    def _give_up(self, reason: str) -> None:
        self._refuse_claims(reason)
        self._end()


class ClaimMachine(BucketMachine):
    """Claims keys in one conditional update.

    :param bucket: name of the bucket
    :param claims: records to claim, in state "claimed"
    """

    def __init__(self, bucket: str, claims: Sequence[KeyRecord], **options: Any) -> None:
        super().__init__(bucket, claims, **options)


class SettleMachine(BucketMachine):
    """Records how own attempts ended; what is left in ``unsettled`` is tried again later.

    :param bucket: name of the bucket
    :param records: records of own attempts, in state "answered", "not_run" or "unknown"
    """

    def __init__(self, bucket: str, records: Sequence[KeyRecord], **options: Any) -> None:
        super().__init__(bucket, (), records, **options)


def _is_own(record: KeyRecord, other: KeyRecord) -> bool:
    return (record.attempt_id, record.endpoint, record.incarnation) == (
        other.attempt_id,
        other.endpoint,
        other.incarnation,
    )


def _may_settle(record: KeyRecord | None, settlement: KeyRecord) -> bool:
    if record is None:
        # Writing "not run" where nothing is moves the version past a write still on its way.
        return True
    if _is_own(record, settlement):
        return _KNOWLEDGE[settlement.state] > _KNOWLEDGE[record.state]
    return record.state == settlement.state == KeyState.NOT_RUN
