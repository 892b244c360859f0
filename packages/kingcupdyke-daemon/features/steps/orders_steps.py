"""
orders_steps
~~~~~~~~~~~~

Steps for a sidecar's orders, with an engine and a store in memory.
"""

import time

import anyio
from behave import given, then, when
from expression import Error, Ok

from kingcupdyke.drain import DrainMachine
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.fence import EndpointRecord
from kingcupdyke.intent import Intent
from kingcupdyke.inventory import EngineInventory, OrderState
from kingcupdyke.ledger import MemoryLedger
from kingcupdyke.residency import Holder, ResidencyRecord, decode_residency, encode_residency
from kingcupdyke_daemon.sidecar.orders import OrderManager
from kingcupdyke_daemon.sidecar.ownership import ENDPOINTS_KIND, EndpointOwnership
from kingcupdyke_daemon.sidecar.residency import RESIDENCY_KIND, ResidencyPublisher
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.engine import OrderAnswer
from kingcupdyke_wire.memorystore import MemoryStoreClient
from kingcupdyke_wire.sidecar_pb2 import OrderRequest

GB = 10**9


class FakeEngine:
    """Executes orders immediately; implements only the methods that orders use."""

    def __init__(self):
        self.incarnation = "e1"
        self.fence = 0
        self.models = {}
        self.orders = {}
        self.sent = []
        self.fails = False
        self.failing_requests = 0

    async def order(self, order_id, fence, kind, model, *rest):
        if self.failing_requests:
            self.failing_requests -= 1
            return Error(Failure(Outcome.NOT_RUN, Step.CONNECT, "engine", "away"))
        self.fence = max(self.fence, fence)
        state = OrderState.FAILED if self.fails or not model else OrderState.DONE
        if model:
            self.sent.append(kind)
        if kind == "load" and state == OrderState.DONE:
            self.models[model] = rest[-2]
        self.orders[order_id] = state
        return Ok(OrderAnswer(state, ""))

    async def inventory(self):
        used = sum(self.models.values())
        return Ok(
            EngineInventory(
                self.incarnation,
                "",
                self.fence,
                80 * GB,
                used,
                dict(self.models),
                {},
                {},
                dict(self.orders),
            )
        )


async def run_manager(context, action):
    """Start the order manager of one endpoint, and run an action on it."""
    async with anyio.create_task_group() as tasks:
        store, engine = context.store, context.engine
        ownership = EndpointOwnership("x", "20", context.checks, store, engine)
        publisher = ResidencyPublisher(
            store, "x", lambda: Holder(engine.incarnation, "x", "d", "r"), lambda _: 1, frozenset
        )
        context.manager = OrderManager(
            ownership, MemoryLedger(1 << 60), engine, publisher, DrainMachine(), context.checks,
            30.0, 5, tasks, LoopTimer(tasks), lambda _: 0,
        )  # fmt: skip
        await context.manager.start()
        await action(context.manager)
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()


def make_order(kind):
    """:return: a planner's order"""
    return OrderRequest(order_id="o1", kind=kind, model="m", bytes=10 * GB, lease="l", fence=1)


async def supersede(store):
    """Let a later sidecar take over the endpoint."""
    found = (await store.get(ENDPOINTS_KIND, "x")).ok
    value = EndpointRecord("x", "30", 9).encode()
    await store.put(ENDPOINTS_KIND, "x", value, found.version)


@given("orders: an engine that {checks} fencing numbers, with {store}")
def create_endpoint(context, checks, store):
    context.engine = FakeEngine()
    context.store = MemoryStoreClient()
    context.checks = checks == "checks"
    context.store_state = store
    if store == "an intent of an earlier sidecar":
        context.engine.failing_requests = 1
        intent = Intent("o0", "load", "m0", "", 10 * GB, 1, time.time() - 5, 0.01)
        record = EndpointRecord("x", "10", 1, (intent,))
        anyio.run(context.store.put, ENDPOINTS_KIND, "x", record.encode(), 0)


@given('orders: this endpoint and another hold the model "{model}"')
def write_holders(context, model):
    context.engine.models[model] = GB
    record = ResidencyRecord(model, {"y": Holder("e9", "y", "d", "r")})
    anyio.run(context.store.put, RESIDENCY_KIND, model, encode_residency(record), 0)


@when("orders: a load of 10 GB is submitted")
def submit_load(context):
    async def action(manager):
        if context.store_state == "a successor":
            await supersede(context.store)
        context.store.down = context.store_state == "the store down"
        manager.submit(make_order("load"))
        await anyio.sleep(0.1)
        context.store.down = False

    anyio.run(run_manager, context, action)


@when("orders: an unload is submitted that fails at the engine")
def submit_unload(context):
    async def action(manager):
        context.engine.fails = True
        manager.submit(make_order("unload"))

    anyio.run(run_manager, context, action)


@when("orders: the engine restarts")
def restart(context):
    async def action(manager):
        context.engine.incarnation = "e2"
        context.engine.fence = 0
        with anyio.move_on_after(0.1):
            await manager.observe_forever(0.02)

    anyio.run(run_manager, context, action)


@when("orders: the engine fails the first request")
def fail_first_request(context):
    async def action(manager):
        with anyio.move_on_after(0.2):
            await manager.observe_forever(0.02)
        context.pending = manager.pending

    anyio.run(run_manager, context, action)


@then("orders: {sent:d} were sent and {intents:d} intents are in the store")
def check_sent(context, sent, intents):
    found = anyio.run(context.store.get, ENDPOINTS_KIND, "x").ok
    assert len(context.engine.sent) == sent, context.engine.sent
    assert len(EndpointRecord.decode(found.value).intents) == intents


@then('orders: the endpoint is among the holders of "{model}"')
def check_holder(context, model):
    found = anyio.run(context.store.get, RESIDENCY_KIND, model).ok
    assert "x" in decode_residency(found.value).holders_by_endpoint


@then("orders: the engine has received the fencing number")
def check_fence(context):
    assert context.engine.fence >= 1, context.engine.fence


@then("orders: no order is pending")
def check_pending(context):
    assert context.pending == (), context.pending
