"""
keyrecord_steps
~~~~~~~~~~~~~~~

Steps for the stored records of idempotency keys.
"""

from collections import Counter

from behave import given, then, when

from kingcupdyke.keyrecord import (
    KeyBucket,
    KeyRecord,
    KeyState,
    bucket_name,
    decode_bucket,
    encode_bucket,
    record_key,
    trim_bucket,
)

NOW_UNIX_S = 1_000_000.0


def make_bucket(records):
    return KeyBucket({record_key(each.caller, each.key): each for each in records})


@when("keyrecord encodes a bucket with an answer of all byte values and non-ASCII names")
def encode_all(context):
    fields = {"state": "answered", "answer": bytes(range(256)), "claimed_unix_s": 1.5}
    record = KeyRecord("Hoja del Día", 'č"\\\n', "b", "A1", "A", "A-1", **fields)
    context.bucket = make_bucket([record, record._replace(caller="Rozhodčí", status=201)])
    context.value = encode_bucket(context.bucket)


@then("keyrecord decodes the same bucket")
def check_decoded(context):
    assert decode_bucket(context.value) == context.bucket
    assert decode_bucket(b"") == KeyBucket.empty()


@when("keyrecord decodes {value}")
def decode_value(context, value):
    try:
        context.outcome = decode_bucket(value.encode())
    except ValueError as error:
        context.outcome = error


@then("keyrecord raises a ValueError")
def check_value_error(context):
    assert isinstance(context.outcome, ValueError), context.outcome


@then(
    "keyrecord separates the same key of two callers "
    "and distributes {keys:d} keys over {buckets:d} buckets"
)
def check_names(context, keys, buckets):
    names = {record_key("a", "k"), record_key("b", "k"), record_key("a b", "c")}
    assert len(names | {record_key("a", "b c")}) == 4, names
    counts = Counter(bucket_name("a", f"key-{index}", buckets) for index in range(keys))
    assert len(counts) == buckets
    assert max(counts.values()) < 1.5 * keys / buckets, counts


@given(
    'keyrecord has {count:d} records "{state}" of age {age_s:d} s with answers of {size:d} bytes'
)
def give_records(context, count, state, age_s, size):
    first = KeyRecord("secretary", "", "b", "A1", "A", "A-1", state, answer=b"x" * size)
    context.records = [
        first._replace(key=f"key-{index:04}", claimed_unix_s=NOW_UNIX_S - age_s + index * 0.001)
        for index in range(count)
    ]


@when("keyrecord trims the bucket to {max_bytes:d} bytes")
def trim(context, max_bytes):
    context.bucket = trim_bucket(make_bucket(context.records), NOW_UNIX_S, max_bytes=max_bytes)
    if context.bucket is not None:
        assert len(encode_bucket(context.bucket)) <= max_bytes


@when(
    "keyrecord gives each a key of {count:d} escaped characters "
    "and trims the bucket to {max_bytes:d} bytes"
)
def trim_escaped(context, count, max_bytes):
    context.records = [each._replace(key=each.key + "\x01" * count) for each in context.records]
    trim(context, max_bytes)


@then("keyrecord keeps {kept} records, {whole:d} of them with their answers")
def check_kept(context, kept, whole):
    if kept == "none":
        assert context.bucket is None, context.bucket
        return
    records = list(context.bucket.records_by_key.values())
    found = (len(records), sum(1 for each in records if each.answer))
    assert found == (int(kept), whole), found


@then("keyrecord has dropped the body of record 0 alone and kept its digest")
def check_oldest(context):
    records = sorted(context.bucket.records_by_key.values(), key=lambda each: each.key)
    assert [each.truncated for each in records] == [True, False, False], records
    assert [bool(each.answer) for each in records] == [False, True, True], records
    assert len(records[0].answer_digest) == 64
    assert records[0].state == KeyState.ANSWERED


@when(
    "keyrecord fills a bucket of {max_bytes:d} bytes with claims "
    "and answers all with {size:d} bytes"
)
def fill_and_answer(context, max_bytes, size):
    held = []
    for record in context.records:
        if trim_bucket(make_bucket([*held, record]), NOW_UNIX_S, max_bytes=max_bytes) is None:
            break
        held.append(record)
    assert 100 < len(held) < len(context.records), len(held)
    answer = {"status": 200, "content_type": "x" * 500, "answer": b"x" * size}
    settled = [each._replace(state=KeyState.ANSWERED, **answer) for each in held]
    context.bucket = trim_bucket(make_bucket(settled), NOW_UNIX_S, max_bytes=max_bytes)


@then("keyrecord encodes the bucket in {max_bytes:d} bytes")
def check_encoded(context, max_bytes):
    assert context.bucket is not None
    assert len(encode_bucket(context.bucket)) <= max_bytes
