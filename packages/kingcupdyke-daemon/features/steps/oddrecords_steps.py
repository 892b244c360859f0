"""
oddrecords_steps
~~~~~~~~~~~~~~~~

Steps for records in the product's store that can't be read.
"""

from types import SimpleNamespace

from anyio import create_task_group, fail_after, run, sleep
from behave import then, when
from expression import Ok

from kingcupdyke.removal import ReadResidency, WriteResidency
from kingcupdyke.residency import Holder, ResidencyRecord, decode_residency, encode_residency
from kingcupdyke_daemon.gateway.cleaner import HolderCleaner
from kingcupdyke_daemon.sidecar.ownership import ENDPOINTS_KIND, EndpointOwnership
from kingcupdyke_daemon.sidecar.residency import RESIDENCY_KIND, execute_residency_command
from kingcupdyke_wire.memorystore import MemoryStoreClient

NESTED = b"[" * 100_000 + b"]" * 100_000
GONE = Holder("i1", "h1", "d", "r")


def write_value(text):
    return NESTED if text == "nested" else text.encode()


@when('oddrecords: the residency record "m1" is "{text}"')
def give_record(context, text):
    async def job():
        store = MemoryStoreClient()
        await store.put(RESIDENCY_KIND, "m1", write_value(text), 0)
        record = ResidencyRecord("m2", {"x": GONE})
        await store.put(RESIDENCY_KIND, "m2", encode_residency(record), 0)
        context.read = await execute_residency_command(store, ReadResidency("m1"))
        command = WriteResidency(ResidencyRecord("m1", {}), 0)
        context.written = await execute_residency_command(store, command)
        cleaner = HolderCleaner("r", SimpleNamespace(is_gone=lambda host, now_s: True), store)
        await cleaner.clean(0.0)
        await cleaner.clean(60.0)
        context.cleaned = decode_residency((await store.get(RESIDENCY_KIND, "m2")).ok.value)

    run(job)


@then('oddrecords: reading and replacing it fail, and the record "m2" is cleaned')
def check_record(context):
    assert context.read.is_error(), context.read
    assert context.written.is_error(), context.written
    assert not context.cleaned.holders_by_endpoint, context.cleaned


class IdleEngine:
    """An engine with an empty inventory, which accepts all orders."""

    async def order(self, *arguments):
        return Ok(None)

    async def inventory(self):
        return Ok(SimpleNamespace(incarnation="e1", fence=0, orders={}))


def make_ownership(store):
    return EndpointOwnership("x", "20", False, store, IdleEngine())


@when('oddrecords: the endpoint\'s record is "{text}" before a takeover, and is gone later')
def take_over(context, text):
    async def job():
        store = MemoryStoreClient()
        written = (await store.put(ENDPOINTS_KIND, "x", write_value(text), 0)).ok
        ownership = make_ownership(store)
        async with create_task_group() as tasks:
            tasks.start_soon(ownership.take_over)
            await sleep(0.7)
            context.early = ownership.fence
            await store.delete(ENDPOINTS_KIND, "x", written.version)
            with fail_after(3.0):
                while not ownership.fence:
                    await sleep(0.05)
            context.late = ownership.fence

    run(job)


@then("oddrecords: the endpoint is taken over once it is gone")
def check_taken(context):
    assert (context.early, context.late) == (0, 1), (context.early, context.late)


@when('oddrecords: the endpoint\'s record becomes "{text}" after a takeover')
def spoil_record(context, text):
    async def job():
        store = MemoryStoreClient()
        ownership = make_ownership(store)
        await ownership.take_over()
        current = (await store.get(ENDPOINTS_KIND, "x")).ok
        await store.put(ENDPOINTS_KIND, "x", write_value(text), current.version)
        context.superseded = await ownership.check_superseded()
        context.recorded = await ownership.record(())

    run(job)


@then("oddrecords: the sidecar does not take itself for superseded, and stores no intent")
def check_not_superseded(context):
    assert not context.superseded
    assert context.recorded.is_error(), context.recorded
