"""
keyworker_steps
~~~~~~~~~~~~~~~

Steps for grouping claims and settlements.
"""

from collections import Counter

from behave import then, when
from key_fakes import FakeSidecar, World

from kingcupdyke.keyrecord import KeyState, bucket_name, decode_bucket
from kingcupdyke.keyworker import KeyWorker

KEYS = [f"key-{index}" for index in range(100)]
KEYS_OF_ONE = [key for key in KEYS if bucket_name("secretary", key, 2) == "00000"]


def start(context):
    context.world = World()
    context.sidecar = FakeSidecar("A", context.world)
    return context.sidecar


@when("keyworker claims 1 key, starts its update and claims {count:d} more of the same bucket")
def claim_during_update(context, count):
    sidecar = start(context)
    sidecar.submit(key=KEYS_OF_ONE[0])
    sidecar.step()
    for key in KEYS_OF_ONE[1 : count + 1]:
        sidecar.submit(key=key)
        sidecar.pending += sidecar.worker.commands(context.world.now_s, context.world.now_s)
        assert len(sidecar.pending) == 1, sidecar.pending
    sidecar.step_all()


@when("keyworker claims {count:d} keys over two buckets at once")
def claim_two_buckets(context, count):
    sidecar = start(context)
    for key in KEYS[:count]:
        sidecar.submit(key=key)
    assert len(sidecar.worker.commands(context.world.now_s, context.world.now_s)) == 2
    start(context)
    for key in KEYS[:count]:
        context.sidecar.submit(key=key)
    context.sidecar.step_all()


@when("keyworker settles a record while a claim waits")
def settle_with_claim(context):
    sidecar = start(context)
    first = sidecar.submit(key=KEYS_OF_ONE[0])
    sidecar.step_all()
    sidecar.run(first)
    sidecar.finish(first)
    sidecar.submit(key=KEYS_OF_ONE[1])
    sidecar.step_all()
    assert sidecar.worker.unsettled == 0


@then("keyworker has made {reads:d} reads and {writes:d} writes and given {claims:d} claims")
def check_calls(context, reads, writes, claims):
    counts = Counter(context.world.store.calls)
    found = (counts["ReadBucket"], counts["WriteBucket"], len(context.world.claims))
    assert found == (reads, writes, claims), found


@when(
    "keyworker settles {count:d} records of {buckets:d} buckets in an outage of {seconds:d} s, "
    "asked 10 times a second"
)
def settle_in_outage(context, count, buckets, seconds):
    sidecar = start(context)
    sidecar.worker = KeyWorker(buckets=100_000)
    for key in KEYS[:count]:
        sidecar.submit(key=key)
    sidecar.step_all()
    assert len(context.world.store.stored_by_name) == buckets
    for attempt_id in list(sidecar.machines):
        sidecar.fail(attempt_id)
    context.world.store.calls.clear()
    for _ in range(seconds * 10):
        sidecar.step("down")
        context.world.now_s += 0.1


@then("keyworker has made at most {reads:d} reads in the outage and keeps all {count:d} records")
def check_outage(context, reads, count):
    calls = context.world.store.calls
    assert set(calls) == {"ReadBucket"}, calls
    assert 2 <= len(calls) <= reads, calls
    assert context.sidecar.worker.unsettled == count


@then("keyworker settles them when the store is back, with at most {most:d} updates at once")
def check_back(context, most):
    context.world.now_s += 30.0
    at_once = []
    while context.sidecar.step():
        at_once.append(len(context.sidecar.pending))
    assert context.sidecar.worker.unsettled == 0
    assert max(at_once) == most, max(at_once)


@when("keyworker settles {count:d} answers of {size:d} bytes with room for {most:d}")
def settle_many(context, count, size, most):
    sidecar = start(context)
    sidecar.worker = KeyWorker(buckets=2, waiting_most_bytes=most)
    for key in KEYS_OF_ONE[:count]:
        sidecar.submit(key=key)
    sidecar.step_all()
    for record in sidecar.records.values():
        fields = {"state": KeyState.ANSWERED, "answer": b"x" * size}
        sidecar.worker.settle(record._replace(**fields))
    sidecar.step("down")


@when("keyworker settles a record as unknown and, during its update, as answered")
def settle_twice(context):
    sidecar = start(context)
    sidecar.submit()
    sidecar.step_all()
    sidecar.worker.settle(sidecar.records["A1"]._replace(state=KeyState.UNKNOWN))
    sidecar.step()
    sidecar.worker.settle(sidecar.records["A1"]._replace(state=KeyState.ANSWERED))
    sidecar.step("down")
    sidecar.step_all()


@then('keyworker has stored "{state}"')
def check_stored(context, state):
    (stored,) = context.world.store.stored_by_name.values()
    (record,) = decode_bucket(stored.value).records_by_key.values()
    assert record.state == state, record


@then("keyworker keeps {count:d} records to settle and writes {whole:d} answers whole")
def check_bounded(context, count, whole):
    assert context.sidecar.worker.unsettled == count, context.sidecar.worker.unsettled
    context.sidecar.step_all()
    bucket, _ = context.world.store.read("00000")
    records = bucket.records_by_key.values()
    assert {each.state for each in records} == {KeyState.ANSWERED}
    assert sum(1 for each in records if each.answer) == whole
    assert sum(1 for each in records if each.truncated) == count - whole


@when("keyworker gets {count:d} claims and {seconds:d} s pass")
def forget(context, count, seconds):
    sidecar = start(context)
    for key in KEYS[:count]:
        sidecar.submit(key=key)
    sidecar.step_all()
    context.world.now_s += seconds
    sidecar.step_all()


@then("keyworker remembers no attempt")
def check_forgotten(context):
    assert context.sidecar.worker.remembered == 0, context.sidecar.worker.remembered
