"""
kingcupdyke.keyrecord
~~~~~~~~~~~~~~~~~~~~~

Stored records of idempotency keys, grouped in buckets.

A bucket is one object of the store, so that one conditional update carries many keys. A record
that a repeat must still meet is never dropped: space is won from records past their retention,
then from records of attempts that did not run, then from the bodies of old answers.
"""

import json
from base64 import b64decode, b64encode
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from kingcupdyke.util import hash_score

__all__ = [
    "ANSWER_MOST_BYTES",
    "BUCKET_MOST_BYTES",
    "CLAIM_MOST_BYTES",
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

#: Most bytes of a stored bucket.
BUCKET_MOST_BYTES = 1_000_000
#: Most bytes of a bucket that still takes new claims; the rest is for settling them.
CLAIM_MOST_BYTES = 900_000
#: Most bytes of an answer that is kept whole.
ANSWER_MOST_BYTES = 64 * 1024
#: Most characters of a content type that are kept.
CONTENT_TYPE_MOST_CHARACTERS = 128
#: Seconds for which a repeat of a key is recognised.
RETENTION_S = 86_400.0
#: Number of buckets. All processes must use the same number: another one loses sight of old keys.
KEY_BUCKETS = 16_384
#: Bytes by which a record may grow from claimed to settled.
SETTLED_GROWTH_BYTES = 320
#: Most bytes of a record without its strings and its answer, growth included.
HEAD_MOST_BYTES = SETTLED_GROWTH_BYTES + 160
#: Most bytes that JSON takes for a character.
ESCAPED_BYTES = 6


class KeyState:
    """Names of the states of a record."""

    #: An attempt holds the key and may run.
    CLAIMED = "claimed"
    #: The work ran and its answer is recorded.
    ANSWERED = "answered"
    #: The holder has recorded that it did not run and never will.
    NOT_RUN = "not_run"
    #: The holder has recorded that the work may or may not have run.
    UNKNOWN = "unknown"


class KeyRecord(NamedTuple):
    """What is stored of one idempotency key."""

    caller: str
    key: str
    #: Hexadecimal digest of the request's body, to tell a repeat from a reuse of the key.
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
    #: Whether the body of the answer was dropped for its size; its digest remains.
    truncated: bool = False
    answer_digest: str = ""


class KeyBucket(NamedTuple):
    """The records of one bucket, by caller, NUL and key."""

    records_by_key: dict[str, KeyRecord]

    @classmethod
    def empty(cls) -> "KeyBucket":
        """:return: a bucket without records"""
        return cls({})


def record_key(caller: str, key: str) -> str:
    """:return: the name of a key within its bucket, scoped to its caller"""
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
    """Read a stored bucket; no bytes stand for a bucket that does not exist yet.

    :raises ValueError: when the value is no bucket; no claim may be made on a guess
    """
    if not value:
        return KeyBucket.empty()
    try:
        records = [KeyRecord(*fields) for fields in json.loads(value)["records"]]
        records = [each._replace(answer=b64decode(each.answer, validate=True)) for each in records]
    except (KeyError, TypeError) as error:
        raise ValueError(f"stored bucket: {error!r}") from error
    return KeyBucket({record_key(each.caller, each.key): each for each in records})


def truncate_record(record: KeyRecord) -> KeyRecord:
    """:return: an answered record with the digest of its answer in place of the body"""
    digest = blake2b(record.answer, digest_size=32).hexdigest()
    return record._replace(answer=b"", truncated=True, answer_digest=digest)


def trim_bucket(
    bucket: KeyBucket,
    now_unix_s: float,
    retention_s: float = RETENTION_S,
    most_bytes: int = BUCKET_MOST_BYTES,
) -> KeyBucket | None:
    """Make a bucket fit without forgetting any work that may have run.

    :param now_unix_s: time in seconds since the epoch
    :param retention_s: seconds from the claim for which a record is kept
    :param most_bytes: most bytes of the encoded bucket, growth by settling included
    :return: the bucket to store, or None when it cannot be made to fit
    """
    oldest_s = now_unix_s - retention_s
    records_by_key = {
        key: _limit_answer(record)
        for key, record in bucket.records_by_key.items()
        if record.claimed_unix_s >= oldest_s
    }
    if sum(map(_most_size, records_by_key.values())) <= most_bytes:
        return KeyBucket(records_by_key)
    sizes_by_key = {key: _size(record) for key, record in records_by_key.items()}
    excess_bytes = sum(sizes_by_key.values()) - most_bytes
    for key in _order_by_worth(records_by_key.items()):
        if excess_bytes <= 0:
            break
        record = records_by_key.pop(key)
        excess_bytes -= sizes_by_key[key]
        if record.state == KeyState.ANSWERED:
            records_by_key[key] = truncate_record(record)
            excess_bytes += _size(records_by_key[key])
    return KeyBucket(records_by_key) if excess_bytes <= 0 else None


def _limit_answer(record: KeyRecord) -> KeyRecord:
    if len(record.content_type) > CONTENT_TYPE_MOST_CHARACTERS:
        record = record._replace(content_type=record.content_type[:CONTENT_TYPE_MOST_CHARACTERS])
    return truncate_record(record) if len(record.answer) > ANSWER_MOST_BYTES else record


def _order_by_worth(items: Iterable[tuple[str, KeyRecord]]) -> list[str]:
    """:return: keys of records that may shrink: those not run, then answers, the oldest first"""
    shrinkable = [
        (record.state == KeyState.ANSWERED, record.claimed_unix_s, key)
        for key, record in items
        if record.state == KeyState.NOT_RUN or record.answer
    ]
    return [key for _, _, key in sorted(shrinkable)]


def _most_size(record: KeyRecord) -> int:
    """:return: a bound of the size that is quick to work out"""
    characters = sum(len(each) for each in record if isinstance(each, str))
    return HEAD_MOST_BYTES + ESCAPED_BYTES * characters + 2 * len(record.answer)


def _size(record: KeyRecord) -> int:
    head_bytes = len(json.dumps(record._replace(answer=""), ensure_ascii=False).encode())
    growth_bytes = SETTLED_GROWTH_BYTES if record.state == KeyState.CLAIMED else 0
    return head_bytes + growth_bytes + 4 * (len(record.answer) + 2) // 3 + len(", ")
