"""
versionregistrar_steps
~~~~~~~~~~~~~~~~~~~~~~

Steps for the register of software versions of several gateways in one store.
"""

from anyio import create_task_group, current_time, run, sleep
from behave import then, when
from forwarder_rig import make_configuration, make_entry

from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.softwareversions import SoftwareVersions
from kingcupdyke.forwarding.versionregister import VersionRegister
from kingcupdyke_daemon.forwarder.versionregistrar import REGISTER_KIND, VersionRegistrar
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.memorystore import MemoryStoreClient
from kingcupdyke_wire.store import Conflict


class SlowStore(MemoryStoreClient):
    """A store whose answers take a while.

    :ivar reads: number of reads
    :ivar writes: number of writes that took effect
    """

    def __init__(self, other=None, delay_s=0.004):
        super().__init__(other)
        self.delay_s = delay_s
        self.reads = self.writes = 0

    async def get(self, kind, name):
        self.reads += 1
        await sleep(self.delay_s)
        return await super().get(kind, name)

    async def put(self, kind, name, value, if_version):
        await sleep(self.delay_s)
        answer = await super().put(kind, name, value, if_version)
        self.writes += answer.is_ok() and not isinstance(answer.ok, Conflict)
        return answer


class Gateway:
    """One gateway's register, and endpoints of the versions that it uses."""

    def __init__(self, tasks, store, versions):
        self.store = store
        self.table = EndpointTable()
        entries = [
            make_entry(each, ("127.0.0.1", 1))._replace(software_version=each) for each in versions
        ]
        self.timer = LoopTimer(tasks)
        self.table.replace_all(entries, self.timer.now(), False)
        self.register = VersionRegister(self.table)
        self.registrar = VersionRegistrar(
            self.register, store, self.timer, tasks, lambda now_s: None
        )

    def select(self):
        """:return: versions at which a stream may begin now, in order"""
        states = list(self.table.state_by_id.values())
        selected = self.register.select("service", states, self.timer.now())
        return sorted(each.entry.software_version for each in selected)


async def write_register(store, versions, retiring=()):
    """Write the register, whatever it was."""
    current = (await store.get(REGISTER_KIND, "service")).ok
    value = SoftwareVersions(frozenset(versions), frozenset(retiring)).encode()
    await store.put(REGISTER_KIND, "service", value, current.version if current else 0)


async def read_register(store):
    found = (await store.get(REGISTER_KIND, "service")).ok
    return SoftwareVersions() if found is None else SoftwareVersions.decode(found.value).ok


@when(
    'versionregistrar: {count:d} gateways start with the register "{before}" and use "{versions}"'
)
@when('versionregistrar: {count:d} gateways start with the register "" and use "{versions}"')
def start_gateways(context, count, versions, before=""):
    async def job():
        async with create_task_group() as tasks:
            plain = MemoryStoreClient()
            if before:
                await write_register(plain, before.split())
            names = versions.split()
            gateways = [Gateway(tasks, SlowStore(plain), names) for _ in range(count)]
            for each in gateways:
                each.registrar.configure(make_configuration(1, 2.0))
            started_s = current_time()
            while any(each.select() != names for each in gateways):
                assert current_time() - started_s < 0.5, [each.select() for each in gateways]
                await sleep(0.005)
            await sleep(0.05)
            context.register = await read_register(plain)
            context.writes = sum(each.store.writes for each in gateways)
            context.calls = max(each.store.calls for each in gateways)
            tasks.cancel_scope.cancel()

    run(job)


@then('versionregistrar: all may use them within 0.5 s, and the register is "{after}"')
def check_after(context, after):
    assert context.register == SoftwareVersions(frozenset(after.split())), context.register


@then(
    "versionregistrar: there are {writes:d} writes, and each gateway makes at most {calls:d} calls"
)
def check_calls(context, writes, calls):
    assert context.writes <= writes, context.writes
    assert context.calls <= calls, context.calls


@when("versionregistrar: {count:d} resumptions arrive while the store {state}")
def resume_many(context, count, state):
    async def job():
        async with create_task_group() as tasks:
            store = SlowStore()
            await write_register(store, ["v1"])
            gateway = Gateway(tasks, store, ["v1"])
            gateway.registrar.configure(make_configuration(1, 2.0))
            await sleep(0.05)
            store.down = state == "is down"
            store.delay_s = {"hangs": 5.0, "answers after 0.05 s": 0.05}.get(state, 0.004)
            store.reads = 0
            context.results = []

            async def resume():
                started_s = current_time()
                found = await gateway.registrar.infer("service")
                seconds = current_time() - started_s
                context.results.append((found.software_version or found.reason, seconds))

            tasks.start_soon(resume)
            # The others arrive while the first one's read is in progress.
            await sleep(0.001)
            for _ in range(count - 1):
                tasks.start_soon(resume)
            await sleep(0.3)
            context.reads = store.reads
            assert len(context.results) == count
            tasks.cancel_scope.cancel()

    run(job)


@then(
    'versionregistrar: each is decided as "{result}" within {limit:g} s, after at most {reads:d} '
    "reads"
)
def check_results(context, result, limit, reads):
    assert {each for each, _ in context.results} == {result}, context.results
    assert max(seconds for _, seconds in context.results) <= limit, context.results
    assert context.reads <= reads, context.reads


async def lose_answer(plain, gateway):
    gateway.store.answers_to_lose = 1
    gateway.select()


async def cut_store(plain, gateway):
    gateway.store.down = True
    gateway.select()
    await sleep(0.3)
    assert gateway.select() == ["v1"], gateway.select()
    gateway.store.down = False


async def restore_copy(plain, gateway):
    gateway.select()
    await sleep(0.1)
    assert gateway.select() == ["v1", "v2"], gateway.select()
    await write_register(plain, ["v1"])
    gateway.registrar.recheck()


async def announce_removal(plain, gateway):
    await write_register(plain, ["v1", "v2"], ["v2"])
    gateway.registrar.recheck()


CASES = {
    "the answer to its write is lost": lose_answer,
    "the store is down for 0.3 s": cut_store,
    "the store came back from an older copy": restore_copy,
    "another gateway announces its removal": announce_removal,
}


@when('versionregistrar: a gateway uses "v2" beside "v1" while {case}')
def use_second(context, case):
    async def job():
        async with create_task_group() as tasks:
            plain = MemoryStoreClient()
            await write_register(plain, ["v1"])
            gateway = Gateway(tasks, SlowStore(plain), ["v1", "v2"])
            gateway.registrar.configure(make_configuration(1, 2.0))
            await sleep(0.05)
            await CASES[case](plain, gateway)
            started_s = current_time()
            while "v2" not in gateway.select() and current_time() - started_s < 2.0:
                await sleep(0.002)
            context.early = "v2" not in (await read_register(plain)).usable
            context.seconds = current_time() - started_s
            tasks.cancel_scope.cancel()

    run(job)


@then("versionregistrar: it may use v2 only once the register names it, and within {limit:g} s")
def check_registered(context, limit):
    assert not context.early
    assert context.seconds <= limit, context.seconds
