"""
storereaders_steps
~~~~~~~~~~~~~~~~~~

Steps for gateways that read the store for their region.
"""

from contextlib import asynccontextmanager

from anyio import create_task_group, current_time, run, sleep
from behave import then, when
from expression import Ok
from forwarder_steps import describe
from process_steps import JsonDialect, Site
from storewatcher_steps import CountingStore, change

from kingcupdyke.forwarding.storechanges import StoreChange, StoreChanges
from kingcupdyke_daemon.forwarder.storewatcher import StoreWatcher
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.memorystore import MemoryStoreClient
from kingcupdyke_wire.store import StoreObject, WatchAnswer

KIND = JsonDialect.endpoint_kind
#: Time after which gateways know each other and have chosen their readers.
SETTLE_S = 1.5


class Fleet:
    """Gateways of one region that share a store, and count their calls to it."""

    def __init__(self, tasks, count):
        first = CountingStore()
        stores = [first, *(CountingStore(first) for _ in range(count - 1))]
        self.sites = [Site(tasks, f"entry-{n}", store) for n, store in enumerate(stores)]

    async def start(self):
        await self.sites[0].configure(1)
        await self.sites[0].add("e1")
        for site in self.sites:
            await site.start()
        await sleep(SETTLE_S)
        for site in self.sites:
            site.store.watches.clear()

    async def replace_endpoint(self):
        await self.sites[0].add("e2")
        await self.sites[0].list("e1", True)

    def list_readers(self):
        """:return: gateways that have called the store since the start"""
        return [each for each in self.sites if each.store.watches[KIND] > 2]

    async def ask_all(self, sites):
        return [describe(await each.ask()) for each in sites]


@asynccontextmanager
async def open_fleet(count):
    async with create_task_group() as tasks:
        fleet = Fleet(tasks, count)
        await fleet.start()
        yield fleet
        tasks.cancel_scope.cancel()


@when(
    "storereaders: {count:d} gateways run while {changes:d} changes are made within {within_s:g} "
    "s, the last of which lists another endpoint"
)
def run_while_changing(context, count, changes, within_s):
    async def job():
        async with open_fleet(count) as fleet:
            await change(fleet.sites[0].writer, changes, within_s)
            await fleet.replace_endpoint()
            await sleep(0.6)
            context.calls = sorted(each.store.watches[KIND] for each in fleet.sites)
            context.answers = await fleet.ask_all(fleet.sites)

    run(job)


@then("storereaders: all {count:d} gateways use the new endpoint")
def check_answers(context, count):
    assert context.answers == ["200 e2"] * count, context.answers


@then(
    "storereaders: all gateways made at most {total:d} watch calls, and {few:d} of them at most "
    "{limit:d}"
)
def check_calls(context, total, few, limit):
    assert sum(context.calls) <= total, context.calls
    assert max(context.calls[:few]) <= limit, context.calls


@when(
    "storereaders: the readers of {count:d} gateways end without notice, then another endpoint is "
    "listed"
)
def end_readers(context, count):
    run(disturb_readers, context, count, lambda site: site.kill())


@when(
    "storereaders: the readers of {count:d} gateways lose the store, then another endpoint is "
    "listed"
)
def cut_readers(context, count):
    def cut(site):
        site.store.down = True

    run(disturb_readers, context, count, cut)


async def disturb_readers(context, count, disturb):
    async with open_fleet(count) as fleet:
        await change(fleet.sites[0].writer, 20, 1.0)
        readers = fleet.list_readers()
        assert len(readers) == 2, [each.store.watches for each in fleet.sites]
        for site in readers:
            disturb(site)
        await fleet.replace_endpoint()
        await sleep(2.5)
        context.answers = await fleet.ask_all([each for each in fleet.sites if each not in readers])


@then("storereaders: after 2.5 s all remaining gateways use the new endpoint")
def check_remaining(context):
    assert context.answers == ["200 e2"] * 4, context.answers


class FixedStore(CountingStore):
    """A store whose list is fixed, and whose watch answers with one further object."""

    def __init__(self, objects):
        super().__init__()
        self.objects = objects

    async def list(self, kind, prefix=""):
        return Ok((2, self.objects))

    async def watch(self, kind, position, timeout_s):
        self.watches[kind] += 1
        if self.watches[kind] > 1:
            await sleep(60)
        return Ok(WatchAnswer(9, []))


def parse_change(text):
    """:return: the change of ``a@3``, or the deletion of ``a-3``"""
    name, _, version = text.replace("-", "@").partition("@")
    return StoreChange(name, int(version), None if "-" in text else "1")


def parse_message(text):
    positions, *changes = text.split()
    first, last = positions.split("-")
    return StoreChanges(
        "r", KIND, int(first), int(last), False, tuple(parse_change(each) for each in changes)
    )


def make_watcher(tasks, store, object_by_name, told):
    """:param told: each object that is listed or changed, in order"""

    def replace(objects, after_outage):
        for each in objects:
            put(each)

    def put(found):
        object_by_name[found.name] = found
        told.append(found)

    return StoreWatcher(
        store,
        KIND,
        LoopTimer(tasks),
        replace,
        put,
        lambda name, after_outage: object_by_name.pop(name),
    )


@when('storereaders: a follower at position 2 with "{known}" receives "{messages}"')
def receive(context, known, messages):
    async def job():
        objects = []
        for text in known.split():
            name, _, version = text.partition("@")
            objects.append(StoreObject(KIND, name, int(version), b"1"))
        object_by_name = {}
        context.told = []
        async with create_task_group() as tasks:
            store = FixedStore(objects)
            watcher = make_watcher(tasks, store, object_by_name, context.told)
            watcher.follow(True)
            tasks.start_soon(watcher.watch_forever)
            await sleep(0.05)
            for text in messages.split(", "):
                watcher.apply_changes(parse_message(text))
            await sleep(0.05)
            tasks.cancel_scope.cancel()
        context.calls = store.watches[KIND]
        context.objects = [f"{each.name}@{each.version}" for each in object_by_name.values()]

    run(job)


@then('storereaders: it knows "{objects}"')
def check_objects(context, objects):
    if objects != "store":
        assert sorted(context.objects) == objects.split(), context.objects


@then("storereaders: it was told of each version of an object at most once, and in order")
def check_versions(context):
    versions_by_name = {}
    for each in context.told:
        versions_by_name.setdefault(each.name, []).append(each.version)
    for versions in versions_by_name.values():
        assert versions == sorted(set(versions)), versions_by_name


@then("storereaders: it has made {calls:d} watch calls")
def check_watch_calls(context, calls):
    assert context.calls == calls, context.calls


@when("storereaders: a follower hears nothing while an object changes")
def hear_nothing(context):
    async def job():
        object_by_name = {}
        async with create_task_group() as tasks:
            store = MemoryStoreClient()
            watcher = make_watcher(tasks, store, object_by_name, [])
            watcher.follow(True)
            tasks.start_soon(watcher.watch_forever)
            await sleep(0.05)
            since_s = current_time()
            await change(store, 1, 0.01)
            while not object_by_name:
                await sleep(0.02)
            context.seconds = current_time() - since_s
            tasks.cancel_scope.cancel()

    run(job)


@then("storereaders: it knows the change within {limit_s:g} s")
def check_soon(context, limit_s):
    assert context.seconds <= limit_s, context.seconds
