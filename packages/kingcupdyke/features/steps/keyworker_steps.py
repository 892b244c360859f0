"""
keyworker_steps
~~~~~~~~~~~~~~~

Steps for batching claims and settlements.
"""

from collections import Counter
from random import Random

from behave import then, when
from key_fakes import FakeSidecar, SharedState

from kingcupdyke.claimresult import WriteBucket
from kingcupdyke.keyrecord import KeyBucket, KeyState, bucket_name, decode_bucket, record_key
from kingcupdyke.keyworker import KeyWorker

KEYS = [f"key-{index}" for index in range(100)]
KEYS_OF_ONE = [key for key in KEYS if bucket_name("secretary", key, 2) == "00000"]


def start(context):
    context.shared = SharedState()
    context.sidecar = FakeSidecar("A", context.shared)
    return context.sidecar


@when("keyworker claims 1 key, starts its update and claims {count:d} more of the same bucket")
def claim_during_update(context, count):
    sidecar = start(context)
    sidecar.submit(key=KEYS_OF_ONE[0])
    sidecar.step()
    for key in KEYS_OF_ONE[1 : count + 1]:
        sidecar.submit(key=key)
        sidecar.pending += sidecar.worker.commands(context.shared.now_s, context.shared.now_s)
        assert len(sidecar.pending) == 1, sidecar.pending
    sidecar.step_all()


@when("keyworker claims {count:d} keys of two buckets concurrently")
def claim_two_buckets(context, count):
    sidecar = start(context)
    for key in KEYS[:count]:
        sidecar.submit(key=key)
    assert len(sidecar.worker.commands(context.shared.now_s, context.shared.now_s)) == 2
    start(context)
    for key in KEYS[:count]:
        context.sidecar.submit(key=key)
    context.sidecar.step_all()


@when("keyworker settles a record while a claim is pending")
def settle_with_claim(context):
    sidecar = start(context)
    first = sidecar.submit(key=KEYS_OF_ONE[0])
    sidecar.step_all()
    sidecar.run(first)
    sidecar.finish(first)
    sidecar.submit(key=KEYS_OF_ONE[1])
    sidecar.step_all()
    assert sidecar.worker.unsettled == 0


@then("keyworker has made {reads:d} reads and {writes:d} writes and granted {claims:d} claims")
def check_calls(context, reads, writes, claims):
    counts = Counter(context.shared.store.calls)
    found = (counts["ReadBucket"], counts["WriteBucket"], len(context.shared.claims))
    assert found == (reads, writes, claims), found


def execute_due_commands(sidecar, seconds, fate):
    """Execute the store commands that are due, 10 times a second."""
    for _ in range(seconds * 10):
        for _ in range(20):
            sidecar.step(fate)
        sidecar.shared.now_s += 0.1


@when("keyworker settles {count:d} records of {buckets:d} buckets in an outage of {seconds:d} s")
def settle_in_outage(context, count, buckets, seconds):
    sidecar = start(context)
    sidecar.worker = KeyWorker(buckets=100_000)
    for key in KEYS[:count]:
        sidecar.submit(key=key)
    sidecar.step_all()
    assert len(context.shared.store.stored_by_name) == buckets
    for attempt_id in list(sidecar.machines):
        sidecar.fail(attempt_id)
    context.shared.store.calls.clear()
    execute_due_commands(sidecar, seconds, "down")


@then(
    "keyworker has made {min_reads:d} to {max_reads:d} reads in the outage "
    "and keeps all {count:d} records"
)
def check_outage(context, min_reads, max_reads, count):
    calls = context.shared.store.calls
    assert set(calls) == {"ReadBucket"}, calls
    assert min_reads <= len(calls) <= max_reads, len(calls)
    assert context.sidecar.worker.unsettled == count


@when("keyworker settles records whose writes took effect but whose answers were lost")
def settle_done(context):
    sidecar = start(context)
    sidecar.worker = KeyWorker(buckets=100_000)
    for key in KEYS[:5]:
        sidecar.submit(key=key)
    sidecar.step_all()
    for record in sidecar.records.values():
        sidecar.worker.settle(record._replace(state=KeyState.UNKNOWN))
    for fate in ["ok"] * 5 + ["lost_done"] * 5 + ["down"] * 5:
        sidecar.step(fate)
    context.shared.now_s += 30.0


@then("keyworker reads all buckets concurrently after the outage")
def check_done(context):
    assert context.sidecar.worker.unsettled == 5
    context.sidecar.step()
    context.sidecar.step()
    assert len(context.sidecar.pending) == 3, context.sidecar.pending
    context.sidecar.step_all()
    assert context.sidecar.worker.unsettled == 0


@when("keyworker tries to settle in an outage with {count:d} random generators")
def settle_with_jitter(context, count):
    context.times = []
    for seed in range(count):
        sidecar = start(context)
        sidecar.worker = KeyWorker(buckets=2, rng=Random(seed))
        sidecar.submit()
        sidecar.worker.settle(sidecar.records["A1"]._replace(state=KeyState.UNKNOWN))
        sidecar.step("down")
        started_s = context.shared.now_s
        while not sidecar.step("down") and context.shared.now_s < started_s + 9.0:
            context.shared.now_s += 0.001
        context.times.append(round(context.shared.now_s - started_s, 3))


@then("keyworker retries at {count:d} different times, all within the first second")
def check_times(context, count):
    assert len(set(context.times)) == count, context.times
    assert all(0.45 < each < 1.05 for each in context.times), context.times


@when("keyworker settles a record of a bucket that is over its size for {seconds:d} s")
def settle_in_full(context, seconds):
    sidecar = start(context)
    sidecar.submit(key=KEYS_OF_ONE[0])
    first = sidecar.records["A1"]
    sidecar.worker = KeyWorker(buckets=2)
    records = [first._replace(key=f"{index:0200}", attempt_id="C1") for index in range(2000)]
    bucket = KeyBucket({record_key(each.caller, each.key): each for each in records})
    context.shared.store.write(WriteBucket("00000", bucket, 0))
    sidecar.worker.settle(first._replace(state=KeyState.UNKNOWN))
    execute_due_commands(sidecar, seconds, "ok")
    assert sidecar.worker.unsettled == 1


@then("keyworker settles them after the outage, with at most {max_updates:d} updates in flight")
def check_after_outage(context, max_updates):
    context.shared.now_s += 30.0
    in_flight = []
    for _ in range(1000):
        context.sidecar.step()
        in_flight.append(len(context.sidecar.pending))
    assert context.sidecar.worker.unsettled == 0
    assert max(in_flight) == max_updates, max(in_flight)


@when("keyworker settles {count:d} answers of {size:d} bytes with a limit of {max_bytes:d} bytes")
def settle_many(context, count, size, max_bytes):
    sidecar = start(context)
    sidecar.worker = KeyWorker(buckets=2, max_pending_answer_bytes=max_bytes)
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
    (stored,) = context.shared.store.stored_by_name.values()
    (record,) = decode_bucket(stored.value).records_by_key.values()
    assert record.state == state, record


@then("keyworker keeps {count:d} records to settle and writes {complete:d} complete answers")
def check_limited(context, count, complete):
    assert context.sidecar.worker.unsettled == count, context.sidecar.worker.unsettled
    context.sidecar.step_all()
    bucket, _ = context.shared.store.read("00000")
    records = bucket.records_by_key.values()
    assert {each.state for each in records} == {KeyState.ANSWERED}
    assert sum(1 for each in records if each.answer) == complete
    assert sum(1 for each in records if each.truncated) == count - complete


@when("keyworker gets {count:d} claims and {seconds:d} s pass")
def forget(context, count, seconds):
    sidecar = start(context)
    for key in KEYS[:count]:
        sidecar.submit(key=key)
    sidecar.step_all()
    context.shared.now_s += seconds
    sidecar.step_all()


@then("keyworker has no recorded attempts")
def check_forgotten(context):
    assert context.sidecar.worker.known_attempts == 0, context.sidecar.worker.known_attempts
