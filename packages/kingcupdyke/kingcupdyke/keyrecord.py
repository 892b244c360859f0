"""
kingcupdyke.keyrecord
~~~~~~~~~~~~~~~~~~~~~

Stored records of idempotency keys, grouped in buckets.

A bucket is one object of the store, so that one conditional update can change many keys. A record
that is needed to detect a duplicate request is never dropped. Space is freed by dropping records
past their retention time, then records of attempts that did not run, then bodies of old answers.
"""

import json
from base64 import b64decode, b64encode
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from kingcupdyke.error import DECODE_ERRORS
from kingcupdyke.util import hash_score

__all__ = [
    "MAX_ANSWER_BYTES",
    "MAX_BUCKET_BYTES",
    "MAX_CLAIM_BUCKET_BYTES",
    "KEY_BUCKETS",
    "RETENTION_S",
    "KeyBucket",
    "KeyRecord",
    "KeyState",
    "bucket_name",
    "decode_bucket",
    "encode_bucket",
    "record_key",
    "trim_bucket",
    "truncate_record",
]

#: Maximum size of a stored bucket.
MAX_BUCKET_BYTES = 1_000_000
#: Maximum size of a bucket with new claims; the remaining space is reserved for settling them.
MAX_CLAIM_BUCKET_BYTES = 900_000
#: Larger answers are stored as a digest only.
MAX_ANSWER_BYTES = 64 * 1024
#: Longer content types are truncated to this number of characters.
MAX_CONTENT_TYPE_CHARS = 128
#: Seconds for which a duplicate request is recognised by its key.
RETENTION_S = 86_400.0
#: Number of buckets. All processes must use the same number: with another one, keys that are
#: already stored are not found.
KEY_BUCKETS = 16_384
#: Maximum number of bytes by which a record grows from claimed to settled, without its answer.
MAX_SETTLING_GROWTH_BYTES = 320
#: Maximum size of a record without its strings and its answer, but with that growth.
MAX_OVERHEAD_BYTES = MAX_SETTLING_GROWTH_BYTES + 160
#: Maximum size of an escaped character in JSON.
MAX_ESCAPED_CHAR_BYTES = 6


class KeyState:
    """Names of the states of a record."""

    #: An attempt holds the key and may run the request.
    CLAIMED = "claimed"
    #: The request ran and its answer is recorded.
    ANSWERED = "answered"
    #: The holder has recorded that the request did not run and never will under this attempt.
    NOT_RUN = "not_run"
    #: The holder has recorded that the request may or may not have run.
    UNKNOWN = "unknown"


class KeyRecord(NamedTuple):
    """The stored record of one idempotency key."""

    caller: str
    key: str
    #: Hexadecimal digest of the request's body; another digest shows that the key was reused.
    body_digest: str
    #: Attempt that holds or held the key.
    attempt_id: str
    #: Endpoint and incarnation of the sidecar that made the claim.
    endpoint: str
    incarnation: str
    #: One of the names of :class:`KeyState`.
    state: str = KeyState.CLAIMED
    #: HTTP status and content of the recorded answer.
    status: int = 0
    content_type: str = ""
    answer: bytes = b""
    #: Time of the claim in seconds since the epoch.
    claimed_unix_s: float = 0.0
    #: Whether the body of the answer was dropped to save space; its digest is kept.
    truncated: bool = False
    answer_digest: str = ""


class KeyBucket(NamedTuple):
    """The records of one bucket, by the names that :func:`record_key` returns."""

    records_by_key: dict[str, KeyRecord]

    @classmethod
    def empty(cls) -> "KeyBucket":
        """:return: a bucket without records"""
        return cls({})


def record_key(caller: str, key: str) -> str:
    """:return: the name of a key within its bucket: caller, NUL and key"""
    return f"{caller}\0{key}"


def bucket_name(caller: str, key: str, buckets: int = KEY_BUCKETS) -> str:
    """:return: the name of the bucket that holds a key, the same in every process"""
    return f"{hash_score(caller, key) % buckets:05x}"


def encode_bucket(bucket: KeyBucket) -> bytes:
    """:return: a bucket as JSON, each record a list of its fields, its answer in base64"""
    records = [
        record._replace(answer=b64encode(record.answer).decode("ascii"))
        for record in bucket.records_by_key.values()
    ]
    return json.dumps({"records": records}, ensure_ascii=False).encode()


def decode_bucket(value: bytes) -> KeyBucket:
    """Decode a stored bucket; an empty value stands for a bucket that does not exist yet.

    :raises ValueError: when the value is not a bucket; no claim may be made then
    """
    if not value:
        return KeyBucket.empty()
    try:
        records = [KeyRecord(*fields) for fields in json.loads(value)["records"]]
        records = [each._replace(answer=b64decode(each.answer, validate=True)) for each in records]
    except DECODE_ERRORS as error:
        raise ValueError(f"malformed stored bucket: {error!r}") from error
    return KeyBucket({record_key(each.caller, each.key): each for each in records})


def truncate_record(record: KeyRecord) -> KeyRecord:
    """:return: the answered record, with the body of its answer replaced by a digest"""
    digest = blake2b(record.answer, digest_size=32).hexdigest()
    return record._replace(answer=b"", truncated=True, answer_digest=digest)


def trim_bucket(
    bucket: KeyBucket,
    now_unix_s: float,
    retention_s: float = RETENTION_S,
    max_bytes: int = MAX_BUCKET_BYTES,
) -> KeyBucket | None:
    """Reduce a bucket to a size without dropping records of requests that may have run.

    :param now_unix_s: time in seconds since the epoch
    :param retention_s: seconds from the claim for which a record is kept
    :param max_bytes: maximum size of the encoded bucket, including later growth by settling
    :return: the bucket to store, or None if it cannot be reduced to the size
    """
    oldest_s = now_unix_s - retention_s
    records_by_key = {
        key: _limit_answer(record)
        for key, record in bucket.records_by_key.items()
        if record.claimed_unix_s >= oldest_s
    }
    if sum(map(_estimate_max_size, records_by_key.values())) <= max_bytes:
        return KeyBucket(records_by_key)
    sizes_by_key = {key: _get_size(record) for key, record in records_by_key.items()}
    excess_bytes = sum(sizes_by_key.values()) - max_bytes
    for key in _order_by_eviction(records_by_key.items()):
        if excess_bytes <= 0:
            break
        record = records_by_key.pop(key)
        excess_bytes -= sizes_by_key[key]
        if record.state == KeyState.ANSWERED:
            records_by_key[key] = truncate_record(record)
            excess_bytes += _get_size(records_by_key[key])
    return KeyBucket(records_by_key) if excess_bytes <= 0 else None


def _limit_answer(record: KeyRecord) -> KeyRecord:
    if len(record.content_type) > MAX_CONTENT_TYPE_CHARS:
        record = record._replace(content_type=record.content_type[:MAX_CONTENT_TYPE_CHARS])
    return truncate_record(record) if len(record.answer) > MAX_ANSWER_BYTES else record


def _order_by_eviction(items: Iterable[tuple[str, KeyRecord]]) -> list[str]:
    """:return: keys of reducible records: those not run, then those with answers, oldest first"""
    shrinkable = [
        (record.state == KeyState.ANSWERED, record.claimed_unix_s, key)
        for key, record in items
        if record.state == KeyState.NOT_RUN or record.answer
    ]
    return [key for _, _, key in sorted(shrinkable)]


def _estimate_max_size(record: KeyRecord) -> int:
    """:return: an upper bound of the size, which is cheap to compute"""
    characters = sum(len(each) for each in record if isinstance(each, str))
    return MAX_OVERHEAD_BYTES + MAX_ESCAPED_CHAR_BYTES * characters + 2 * len(record.answer)


def _get_size(record: KeyRecord) -> int:
    base_bytes = len(json.dumps(record._replace(answer=""), ensure_ascii=False).encode())
    growth_bytes = MAX_SETTLING_GROWTH_BYTES if record.state == KeyState.CLAIMED else 0
    return base_bytes + growth_bytes + 4 * (len(record.answer) + 2) // 3 + len(", ")
