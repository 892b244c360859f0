"""
kingcupdyke.idempotency
~~~~~~~~~~~~~~~~~~~~~~~

Claims idempotency keys and settles the claims, by conditional updates of buckets in the store.

A sidecar runs a non-idempotent request only after its claim is confirmed to be stored. If a write
gets no answer, the bucket is read back; if that fails too, the attempt is rejected and never runs,
and its record is settled as "not run" once the store is available again. Buckets are never
deleted, so their versions only increase, and a lost write can no longer take effect once a higher
version was seen.
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
    MAX_BUCKET_BYTES,
    MAX_CLAIM_BUCKET_BYTES,
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

#: Seconds after which the outcome of a claim that was not settled counts as unknown.
MAX_RUNNING_S = 600.0
#: Seconds after which a rejected caller should retry.
RETRY_AFTER_S = 1.0
#: Number of conflicts at which an update is abandoned.
MAX_CONFLICTS = 16
#: Number of lost answers to writes at which an update is abandoned.
MAX_LOST_ANSWERS = 3
#: Rank of the states: a record is only settled to a state of higher rank than its own.
_RANK_BY_STATE = {
    KeyState.CLAIMED: 0,
    KeyState.NOT_RUN: 1,
    KeyState.UNKNOWN: 2,
    KeyState.ANSWERED: 3,
}


class BucketMachine:
    """State machine for one update of one bucket, with any number of claims and settlements.

    Attempt ids must be unique within an incarnation: a stored record of the same attempt and
    incarnation is assumed to be a write of this machine whose answer was lost.

    :param bucket: name of the bucket
    :param claims: records to claim, in state "claimed"
    :param settlements: records of this sidecar's attempts, with the state in which they ended
    :param now_unix_s: time in seconds since the epoch
    :param gone_incarnations: incarnations known to have ended
    :param max_running_s: seconds after which the outcome of an unsettled claim counts as unknown
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
        max_running_s: float = MAX_RUNNING_S,
        retention_s: float = RETENTION_S,
        peer: str = "store",
    ) -> None:
        claimed_s = max((each.claimed_unix_s for each in claims), default=0.0)
        self._now_unix_s = claimed_s if now_unix_s is None else now_unix_s
        self._gone_incarnations = gone_incarnations
        self._max_running_s = max_running_s
        self._retention_s = retention_s
        self._peer = peer
        self._pending_claims = {each.attempt_id: each for each in claims}
        self._pending_settlements = {each.attempt_id: each for each in settlements}
        self._written_attempts: set[str] = set()
        self._pending_command: StoreCommand | None = None
        self._conflicts = 0
        self._lost_answers = 0
        #: Name of the bucket.
        self.bucket = bucket
        #: Results of claims so far, by attempt id.
        self.results_by_attempt: dict[str, ClaimResult] = {}
        #: Records in state "not_run" of rejected claims that may nevertheless be stored.
        self.to_settle: list[KeyRecord] = []

    def start(self) -> StoreCommand:
        """:return: the first command"""
        return self._issue(ReadBucket(self.bucket))

    def bucket_read(self, bucket: KeyBucket | None, version: int) -> StoreCommand | None:
        """Apply claims and settlements to the bucket as read.

        :param bucket: the bucket, or None if it does not exist
        :param version: its version, 0 if it does not exist
        :return: the next command, or None at the end
        """
        if self._conflicts >= MAX_CONFLICTS:
            return self._give_up("too many conflicts")
        return self._update(bucket or KeyBucket.empty(), version)

    def bucket_conflict(self, bucket: KeyBucket | None, version: int) -> StoreCommand | None:
        """The version has changed: apply claims and settlements to the current bucket.

        :return: the next command, or None at the end
        """
        self._conflicts += 1
        return self.bucket_read(bucket, version)

    def bucket_written(self, version: int) -> StoreCommand | None:
        """The write took effect, so every claim has a result.

        :return: None, as the update ends
        """
        written = self._pending_command
        if not isinstance(written, WriteBucket):
            return None
        self._pending_settlements.clear()
        for claim in list(self._pending_claims.values()):
            record = written.bucket.records_by_key.get(record_key(claim.caller, claim.key))
            if record == claim:
                self._set_result(claim, Claimed(claim))
            elif record is not None:
                self._set_result(claim, self._resolve_claim(claim, record))
        return self._give_up("claim is older than the retention time")

    def store_failed(self, unknown: bool) -> StoreCommand | None:
        """The command failed.

        :param unknown: whether a write may have taken effect
        :return: a read to find out whether it did, or None, and every claim is rejected
        """
        if isinstance(self._pending_command, WriteBucket) and unknown:
            self._lost_answers += 1
            if self._lost_answers < MAX_LOST_ANSWERS:
                return self._issue(ReadBucket(self.bucket))
        return self._give_up("store is unavailable")

    @property
    def unsettled(self) -> list[KeyRecord]:
        """Settlements that are not stored yet, to be tried again."""
        return list(self._pending_settlements.values())

    def _update(self, bucket: KeyBucket, version: int) -> StoreCommand | None:
        records_by_key = dict(bucket.records_by_key)
        has_settlements = self._apply_settlements(records_by_key)
        settled = KeyBucket(dict(records_by_key))
        if self._apply_claims(records_by_key):
            claimed = self._trim(KeyBucket(records_by_key), MAX_CLAIM_BUCKET_BYTES)
            if claimed is not None:
                return self._write(claimed, version)
            self._reject_claims("bucket is full")
        trimmed = self._trim(settled, MAX_BUCKET_BYTES) if has_settlements else None
        return self._end() if trimmed is None else self._write(trimmed, version)

    def _trim(self, bucket: KeyBucket, max_bytes: int) -> KeyBucket | None:
        return trim_bucket(bucket, self._now_unix_s, self._retention_s, max_bytes)

    def _write(self, bucket: KeyBucket, version: int) -> StoreCommand:
        holders = {each.attempt_id for each in bucket.records_by_key.values()}
        self._written_attempts |= holders & self._pending_claims.keys()
        return self._issue(WriteBucket(self.bucket, bucket, version))

    def _issue(self, command: StoreCommand) -> StoreCommand:
        self._pending_command = command
        return command

    def _end(self) -> None:
        self._pending_command = None

    def _apply_settlements(self, records_by_key: dict[str, KeyRecord]) -> bool:
        """:return: whether any record changed"""
        changed = False
        for settlement in self.unsettled:
            key = record_key(settlement.caller, settlement.key)
            if _may_settle(records_by_key.get(key), settlement):
                records_by_key[key] = settlement
                changed = True
            else:
                del self._pending_settlements[settlement.attempt_id]
        return changed

    def _apply_claims(self, records_by_key: dict[str, KeyRecord]) -> bool:
        """Add claims on free keys; claims on other keys get their results.

        :return: whether any claim was added
        """
        claimed_keys: set[str] = set()
        for claim in list(self._pending_claims.values()):
            key = record_key(claim.caller, claim.key)
            record = records_by_key.get(key)
            if key in claimed_keys:
                # An earlier claim of this update has the key; resolved once that one is stored.
                continue
            if self._is_key_free(record, claim):
                records_by_key[key] = claim
                claimed_keys.add(key)
            else:
                self._set_result(claim, self._resolve_claim(claim, record))
        return bool(claimed_keys)

    def _is_key_free(self, record: KeyRecord | None, claim: KeyRecord) -> bool:
        if record is None or record.claimed_unix_s < self._now_unix_s - self._retention_s:
            return True
        if _is_same_attempt(record, claim):
            # An attempt that was rejected must not run when it is delivered again.
            return False
        return record.state == KeyState.NOT_RUN and record.body_digest == claim.body_digest

    def _resolve_claim(self, claim: KeyRecord, record: KeyRecord) -> ClaimResult:
        if record.body_digest != claim.body_digest:
            return KeyReused(record)
        if record.state == KeyState.ANSWERED:
            return UnknownRun(record) if record.truncated else Replay(record)
        if record.state == KeyState.NOT_RUN:
            return Unclaimed(self._make_failure("attempt was rejected before"))
        if record.state == KeyState.UNKNOWN:
            return UnknownRun(record)
        if _is_same_attempt(record, claim):
            # The record may also have been written by another machine for the same attempt.
            is_written_here = claim.attempt_id in self._written_attempts
            return Claimed(record) if is_written_here else StillRunning(record)
        return UnknownRun(record) if self._is_abandoned(record, claim) else StillRunning(record)

    def _is_abandoned(self, record: KeyRecord, claim: KeyRecord) -> bool:
        """:return: whether the claim's holder has ended, or has not settled it in time"""
        if record.incarnation in self._gone_incarnations:
            return True
        if record.endpoint == claim.endpoint and record.incarnation != claim.incarnation:
            return True
        return self._now_unix_s - record.claimed_unix_s > self._max_running_s

    def _set_result(self, claim: KeyRecord, result: ClaimResult) -> None:
        del self._pending_claims[claim.attempt_id]
        self.results_by_attempt[claim.attempt_id] = result

    def _reject_claims(self, reason: str) -> None:
        failure = self._make_failure(reason)
        for claim in list(self._pending_claims.values()):
            self._set_result(claim, Unclaimed(failure))
            if self._lost_answers and claim.attempt_id in self._written_attempts:
                self.to_settle.append(claim._replace(state=KeyState.NOT_RUN))

    def _make_failure(self, reason: str) -> Failure:
        return Failure(Outcome.NOT_RUN, Step.CLAIM, self._peer, reason, RETRY_AFTER_S)

    def _give_up(self, reason: str) -> None:
        self._reject_claims(reason)
        self._end()


class ClaimMachine(BucketMachine):
    """Claims keys in one conditional update.

    :param bucket: name of the bucket
    :param claims: records to claim, in state "claimed"
    """

    def __init__(self, bucket: str, claims: Sequence[KeyRecord], **options: Any) -> None:
        super().__init__(bucket, claims, **options)


class SettleMachine(BucketMachine):
    """Records how attempts of this sidecar ended.

    Records that remain in ``unsettled`` must be tried again later.

    :param bucket: name of the bucket
    :param records: records of its attempts, in state "answered", "not_run" or "unknown"
    """

    def __init__(self, bucket: str, records: Sequence[KeyRecord], **options: Any) -> None:
        super().__init__(bucket, (), records, **options)


def _is_same_attempt(record: KeyRecord, other: KeyRecord) -> bool:
    return (record.attempt_id, record.endpoint, record.incarnation) == (
        other.attempt_id,
        other.endpoint,
        other.incarnation,
    )


def _may_settle(record: KeyRecord | None, settlement: KeyRecord) -> bool:
    if record is None:
        # Storing "not run" without a claim raises the version, so that a claim in flight conflicts.
        return True
    if _is_same_attempt(record, settlement):
        return _RANK_BY_STATE[settlement.state] > _RANK_BY_STATE[record.state]
    return record.state == settlement.state == KeyState.NOT_RUN
