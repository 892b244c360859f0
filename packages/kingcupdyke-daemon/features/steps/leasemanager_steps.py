"""
leasemanager_steps
~~~~~~~~~~~~~~~~~~

Steps for a lease in the store whose record can't be read.
"""

from anyio import run
from behave import then, when

from kingcupdyke.lease import LeaseMachine
from kingcupdyke_daemon.leasemanager import LeaseManager
from kingcupdyke_wire.memorystore import MemoryStoreClient

KIND = "leases"
NAME = "planner"
DURATION_S = 3.0


async def tick_until(manager, clock, end_s):
    while clock[0] < end_s:
        clock[0] += 0.2
        await manager.tick()


@when('leasemanager: the lease\'s object is "{text}"')
def contend(context, text):
    values = {"nested": b"[" * 100_000, "nothing": b""}
    value = values.get(text, text.encode())

    async def job():
        store = MemoryStoreClient()
        written = (await store.put(KIND, NAME, value, 0)).ok
        clock = [0.0]
        machine = LeaseMachine(NAME, "p", DURATION_S, 0.8)
        manager = LeaseManager(machine, store, KIND, lambda: clock[0])
        await tick_until(manager, clock, 2 * DURATION_S)
        context.early = machine.fence_at(clock[0])
        await store.delete(KIND, NAME, written.version)
        await tick_until(manager, clock, 5 * DURATION_S)
        context.late = machine.fence_at(clock[0])

    run(job)


@then("leasemanager: the lease is not taken, and it is once the object is gone")
def check_lease(context):
    assert context.early is None, context.early
    assert context.late, context.late
