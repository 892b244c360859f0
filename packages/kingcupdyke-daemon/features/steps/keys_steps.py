"""
keys_steps
~~~~~~~~~~

Steps of a sidecar's claims, with a store in memory.
"""

import anyio
from behave import given, then, when

from kingcupdyke.keyrecord import KeyBucket, KeyState, bucket_name, encode_bucket, record_key
from kingcupdyke.keyworker import KeyWorker
from kingcupdyke_daemon.sidecar.keys import KEYS_KIND, IdempotencyKeyManager
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.memorystore import MemoryStoreClient
from kingcupdyke_wire.sidecar_pb2 import RunRequest

REQUEST = RunRequest(caller="desk", idempotency_key="k", attempt_id="a1", target="bookings")
BUCKET = bucket_name("desk", "k")


async def run_desk(context, act):
    """Run the claims of one sidecar."""
    async with anyio.create_task_group() as tasks:
        desk = IdempotencyKeyManager(KeyWorker(), context.store, "x", "1", tasks, LoopTimer(tasks))
        await act(desk)
        context.goes_on = not tasks.cancel_scope.cancel_called
        tasks.cancel_scope.cancel()


@given("keys are in a store that holds {found}")
def hold(context, found):
    context.store = MemoryStoreClient()

    async def prepare(desk):
        answered = desk.make_record(REQUEST)._replace(
            state=KeyState.ANSWERED, status=200, answer=b"ok", attempt_id="a0"
        )
        bucket = KeyBucket({record_key("desk", "k"): answered})
        values = {"what is no bucket": b"{", "an answer to the key": encode_bucket(bucket)}
        if found in values:
            await context.store.put(KEYS_KIND, BUCKET, values[found], 0)

    anyio.run(run_desk, context, prepare)


@when("keys claim one")
def claim(context):
    async def act(desk):
        with anyio.fail_after(2.0):
            context.result = await desk.claim(desk.make_record(REQUEST))

    anyio.run(run_desk, context, act)


@then("keys give {result} and the sidecar goes on")
def check(context, result):
    assert type(context.result).__name__ == result, context.result
    assert context.goes_on
