"""
configlog_steps
~~~~~~~~~~~~~~~

Steps for the change log in the store.
"""

from anyio import run
from behave import given, then, when
from expression import Error, Ok

from kingcupdyke.changelog import (
    CHANGES_KIND,
    SNAPSHOT_NAME,
    SNAPSHOTS_KIND,
    decode_snapshot,
    encode_change,
    encode_snapshot,
    get_change_name,
)
from kingcupdyke.config import ConfigChange
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.rulesnapshot import RuleSnapshot, SnapshotDelta, StoredRule, apply_delta
from kingcupdyke_wire.configlog import (
    apply_change,
    read_changes,
    read_config,
    read_log,
    watch_changes,
    write_snapshot,
)
from kingcupdyke_wire.memorystore import MemoryStoreClient


def make_delta(version):
    put = StoredRule(f"caller/{version % 7}", f'{{"version":{version}}}', "Jana" * 200)
    return SnapshotDelta((put,), (f"caller/{(version + 1) % 7}",))


def make_rules(version):
    rule_snapshot = RuleSnapshot({})
    for each in range(1, version + 1):
        rule_snapshot = apply_delta(rule_snapshot, make_delta(each))
    return tuple(rule_snapshot.rules_by_key.values())


class FaultyStore(MemoryStoreClient):
    """A store that simulates a fault when the next change is written."""

    fault = "nothing fails"

    async def put(self, kind, name, value, if_version):
        fault, self.fault = self.fault, "nothing fails"
        unknown = Error(Failure(Outcome.UNKNOWN, Step.STORE, "store", "timeout"))
        if fault == "another writer is first":
            await super().put(kind, name, make_rival(int(name)), 0)
        if fault == "the store goes down before the write":
            self.down = True
        if fault == "the write is lost in transit":
            return unknown
        written = await super().put(kind, name, value, if_version)
        if fault == "the answer is lost, a change follows":
            await super().put(kind, get_change_name(int(name) + 1), make_rival(int(name) + 1), 0)
        if fault == "the answer is lost, the store goes down":
            self.down = True
        return unknown if "answer" in fault else written


def make_rival(version):
    return encode_change(ConfigChange(version, f"rival-{version}", "Petr", (), ()))


async def fill(store, count):
    for version in range(1, count + 1):
        applied = await apply_change(
            store, f"{version}-x", "Jana", version - 1, make_delta(version)
        )
        assert applied.version == version


@given("a configlog of {count:d} changes")
def give_log(context, count):
    context.store = FaultyStore()
    context.count = count
    run(fill, context.store, count)


@given("the configlog's snapshot {state}")
def change_snapshot(context, state):
    async def change():
        stored = (await context.store.get(SNAPSHOTS_KIND, SNAPSHOT_NAME)).ok
        if state == "is missing":
            await context.store.delete(SNAPSHOTS_KIND, SNAPSHOT_NAME, stored.version)
        elif state == "is of version 5":
            value = encode_snapshot(5, make_rules(5))
            await context.store.put(SNAPSHOTS_KIND, SNAPSHOT_NAME, value, stored.version)

    run(change)


@given("the configlog's change {version:d} cannot be decoded")
def create_invalid_change(context, version):
    run(context.store.put, CHANGES_KIND, get_change_name(version), b"{}", 0)


@when("configlog reads the configuration and the changes after {after:d}")
def read(context, after):
    context.configuration = run(read_config, context.store).ok
    context.changes = run(read_changes, context.store, after).ok


@then("configlog returns version {version:d} with its rules, and {count:d} changes after it")
def check_config(context, version, count):
    assert context.configuration[0] == version
    assert sorted(context.configuration[1]) == sorted(make_rules(version))
    first = version - count + 1
    assert [each.version for each in context.changes] == list(range(first, version + 1))


@when("configlog reads the log after {after:d} and another change is accepted")
def read_then_apply(context, after):
    context.page = run(read_log, context.store, after).ok
    run(apply_change, context.store, "4-x", "Jana", after, make_delta(after + 1))


@then("configlog's watch returns change {version:d} and then nothing")
def check_watch(context, version):
    assert not context.page.changes
    position, changes = run(watch_changes, context.store, context.page.position, 1.0).ok
    assert [change.version for change in changes] == [version]
    assert run(watch_changes, context.store, position, 0.01) == Ok((position, ()))


@then("configlog's snapshot holds version {version:d}, and {last:d} after it is written twice")
def check_snapshot(context, version, last):
    async def read_snapshot():
        return decode_snapshot((await context.store.get(SNAPSHOTS_KIND, SNAPSHOT_NAME)).ok.value)

    assert run(read_snapshot) == (version, tuple(sorted(make_rules(version))))
    for _ in range(2):
        assert run(write_snapshot, context.store).ok == last
        assert run(read_snapshot)[0] == last


@when("configlog applies a change on version {base:d} while {fault}")
def apply_with_fault(context, base, fault):
    context.store.fault = fault
    context.store.down = fault == "the store is down"
    delta = make_delta(base + 1)
    context.result = run(apply_change, context.store, "own", "Jana", base, delta, 0.001)
    context.store.down = False


@then("configlog ends as {result} and the log holds {count:d} changes")
def check_result(context, result, count):
    assert type(context.result).__name__ == result, context.result
    assert len(run(read_changes, context.store, 0).ok) == count


@then('configlog\'s reads fail at step "{step}"')
def check_reads(context, step):
    for read in (lambda: read_config(context.store), lambda: read_changes(context.store, 3)):
        failure = run(read).error
        assert failure.step == step, failure
