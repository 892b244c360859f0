"""
storewatcher_steps
~~~~~~~~~~~~~~~~~~

Steps for watching objects of the store.
"""

import json
from collections import Counter

from anyio import create_task_group, current_time, run, sleep
from behave import then, when
from process_steps import JsonDialect, Site, capture

from kingcupdyke_daemon.forwarder.peergossip import PEERS_KIND
from kingcupdyke_daemon.forwarder.storewatcher import StoreWatcher
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.memorystore import MemoryStoreClient

KIND = "endpoints"


class CountingStore(MemoryStoreClient):
    """Counts the watch calls by kind."""

    def __init__(self, other=None):
        super().__init__(other)
        self.watches = Counter()

    async def watch(self, kind, position, timeout_s):
        self.watches[kind] += 1
        return await super().watch(kind, position, timeout_s)


async def change(store, count, within_s):
    """Write the entry of an endpoint that is leaving again and again."""
    version = 0
    for number in range(count):
        value = json.dumps({"port": 9, "leaving": True, "number": number}).encode()
        version = (await store.put(KIND, "busy", value, version)).ok.version
        await sleep(within_s / count)


async def measure(context, interval_s, quiet_s, count, within_s):
    known = []
    async with create_task_group() as tasks:
        store = CountingStore()
        watcher = StoreWatcher(
            store,
            KIND,
            LoopTimer(tasks),
            lambda objects, after_outage: None,
            lambda found: known.append((json.loads(found.value)["number"], current_time())),
            lambda name, after_outage: None,
            lambda: interval_s,
        )
        tasks.start_soon(watcher.watch_forever)
        await sleep(0.05 + quiet_s)
        await change(store, count, within_s)
        changed_s = current_time() - within_s / count
        await sleep(1.0)
        context.calls = store.watches[KIND]
        last, known_s = known[-1]
        assert last == count - 1, last
        context.age_s = known_s - changed_s
        tasks.cancel_scope.cancel()


@when(
    "storewatcher: {count:d} changes are made within {within_s:g} s while they are gathered for "
    "{interval_s:g} s"
)
def make_many(context, count, within_s, interval_s):
    run(measure, context, interval_s, 0.0, count, within_s)


@when(
    "storewatcher: a single change is made after a quiet second, while changes are gathered for "
    "{interval_s:g} s"
)
def make_one(context, interval_s):
    run(measure, context, interval_s, 1.0, 1, 0.01)


@then("storewatcher: the store got at most {limit:d} watch calls")
def check_calls(context, limit):
    assert context.calls <= limit, context.calls


@then("storewatcher: the last change is known after {limit_s:g} s")
def check_age(context, limit_s):
    assert context.age_s <= limit_s, context.age_s


@when(
    "storewatcher: {gateways:d} gateways are listed, endpoints change all the time, and the "
    "configuration changes"
)
def change_configuration(context, gateways):
    async def job():
        async with create_task_group() as tasks:
            store = CountingStore()
            site = Site(tasks, store=store)
            for number in range(gateways):
                fields = {"address": "127.0.0.1", "port": 9, "data_centre": "n1"}
                value = json.dumps(fields).encode()
                await site.writer.put(PEERS_KIND, f"other-{number}", value, 0)
            await site.configure(1)
            await site.start()
            await sleep(0.5)
            store.watches.clear()
            tasks.start_soon(change, site.writer, 200, 2.0)
            await sleep(1.0)
            await site.configure(2)
            since_s = current_time()
            while "configuration 2 is in force" not in context.log_records:
                await sleep(0.01)
            context.in_force_s = current_time() - since_s
            await sleep(max(0.0, since_s + 1.0 - current_time()))
            context.calls = store.watches[JsonDialect.endpoint_kind]
            tasks.cancel_scope.cancel()

    capture(context, job)


@then("storewatcher: the configuration is in force after {limit_s:g} s")
def check_in_force(context, limit_s):
    assert context.in_force_s <= limit_s, context.in_force_s


@then("storewatcher: the store got at most {limit:d} watch calls for endpoints in 2 s")
def check_endpoint_calls(context, limit):
    assert context.calls <= limit, context.calls
