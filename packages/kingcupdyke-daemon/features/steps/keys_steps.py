"""
keys_steps
~~~~~~~~~~

Steps for a sidecar's claims of idempotency keys, with a store in memory.
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


async def run_manager(context, action):
    """Run an action on the key manager of one sidecar."""
    async with anyio.create_task_group() as tasks:
        manager = IdempotencyKeyManager(
            KeyWorker(), context.store, "x", "1", tasks, LoopTimer(tasks)
        )
        await action(manager)
        context.keeps_running = not tasks.cancel_scope.cancel_called
        tasks.cancel_scope.cancel()


@given("keys: a store that holds {found}")
def write_store(context, found):
    context.store = MemoryStoreClient()

    async def prepare(manager):
        answered_record = manager.make_record(REQUEST)._replace(
            state=KeyState.ANSWERED, status=200, answer=b"ok", attempt_id="a0"
        )
        bucket = KeyBucket({record_key("desk", "k"): answered_record})
        values = {"an invalid bucket": b"{", "an answer to the key": encode_bucket(bucket)}
        if found in values:
            await context.store.put(KEYS_KIND, BUCKET, values[found], 0)

    anyio.run(run_manager, context, prepare)


@when("keys: an attempt claims its key")
def claim(context):
    async def action(manager):
        with anyio.fail_after(2.0):
            context.result = await manager.claim(manager.make_record(REQUEST))

    anyio.run(run_manager, context, action)


@then("keys: the result is {result} and the sidecar keeps running")
def check(context, result):
    assert type(context.result).__name__ == result, context.result
    assert context.keeps_running
