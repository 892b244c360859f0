"""
kingcupdyke_wire.configlog
~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads and writes the configuration's change log in the platform's store.
"""

from typing import NamedTuple

import anyio
from expression import Error, Ok, Result

from kingcupdyke.acceptance import (
    AcceptCommand,
    AcceptMachine,
    AcceptResult,
    Applied,
    CreateChange,
    ReadBack,
    ReadHead,
)
from kingcupdyke.changelog import (
    CHANGES_KIND,
    CHANGES_PER_PAGE,
    SNAPSHOT_NAME,
    SNAPSHOT_PERIOD_CHANGES,
    SNAPSHOTS_KIND,
    decode_change,
    decode_snapshot,
    encode_change,
    encode_snapshot,
    get_change_name,
    get_page_prefix,
)
from kingcupdyke.config import ConfigChange
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.rulesnapshot import RuleSnapshot, SnapshotDelta, StoredRule, apply_delta
from kingcupdyke_wire.store import Conflict, StoreClient, StoreObject

__all__ = [
    "LogPage",
    "apply_change",
    "find_change",
    "read_changes",
    "read_config",
    "read_log",
    "watch_changes",
    "write_snapshot",
]

#: Delay before the second read of the log after an unclear write, in seconds. The first read is
#: immediate; each later one waits this much longer than the one before.
READ_BACK_DELAY_S = 0.2

StoredRules = tuple[StoredRule, ...]


class LogPage(NamedTuple):
    """The changes after a version, up to the end of the log."""

    #: Store position of the read; a watch from here misses no change.
    position: int
    #: Highest version on the pages that were read; 0 if they are empty.
    head_version: int
    changes: tuple[ConfigChange, ...]


async def read_config(store: StoreClient) -> Result[tuple[int, StoredRules], Failure]:
    """Read the whole configuration: the snapshot, and the changes after it.

    :return: the highest version and its rules; version 0 has no rules
    """
    read = await store.get(SNAPSHOTS_KIND, SNAPSHOT_NAME)
    if read.is_error():
        return Error(read.error)
    version, rules = 0, ()
    if read.ok is not None:
        decoded = _decode(decode_snapshot, read.ok)
        if decoded.is_error():
            return Error(decoded.error)
        version, rules = decoded.ok
    changes = await read_changes(store, version)
    if changes.is_error():
        return Error(changes.error)
    rule_snapshot = RuleSnapshot.from_rules(rules)
    for change in changes.ok:
        rule_snapshot = apply_delta(rule_snapshot, SnapshotDelta(change.puts, change.removes))
        version = change.version
    return Ok((version, tuple(rule_snapshot.rules_by_key.values())))


async def read_changes(
    store: StoreClient, after_version: int
) -> Result[tuple[ConfigChange, ...], Failure]:
    """:return: all changes after a version, in order and without a gap"""
    page = await read_log(store, after_version)
    return page.map(lambda read: read.changes)


async def read_log(store: StoreClient, after_version: int) -> Result[LogPage, Failure]:
    """Read the log after a version, with one list call per page of 100 changes.

    :return: the changes in order and without a gap, and the position to watch from
    """
    changes_by_version: dict[int, ConfigChange] = {}
    page_version = after_version
    while True:
        listed = await store.list(CHANGES_KIND, get_page_prefix(page_version))
        if listed.is_error():
            return Error(listed.error)
        position, objects = listed.ok
        for each in objects:
            change = _decode(decode_change, each)
            if change.is_error():
                return Error(change.error)
            changes_by_version[change.ok.version] = change.ok
        page_version += CHANGES_PER_PAGE - page_version % CHANGES_PER_PAGE
        if page_version - 1 not in changes_by_version:
            break
    head_version = after_version if after_version in changes_by_version else 0
    head_version = max(changes_by_version, default=head_version)
    changes = []
    while (version := after_version + len(changes) + 1) in changes_by_version:
        changes.append(changes_by_version[version])
    return Ok(LogPage(position, head_version, tuple(changes)))


async def watch_changes(
    store: StoreClient, position: int, timeout_s: float
) -> Result[tuple[int, tuple[ConfigChange, ...]], Failure]:
    """Wait for changes that were accepted after a position.

    :param timeout_s: seconds to wait; without a change, an empty tuple is returned
    :return: the position from which to watch next, and the changes
    """
    watched = await store.watch(CHANGES_KIND, position, timeout_s)
    if watched.is_error():
        return Error(watched.error)
    changes = []
    for event in watched.ok.events:
        if event.current is None:
            continue
        change = _decode(decode_change, event.current)
        if change.is_error():
            return Error(change.error)
        changes.append(change.ok)
    return Ok((watched.ok.position, tuple(changes)))


async def find_change(store: StoreClient, version: int) -> Result[ConfigChange | None, Failure]:
    """:return: the change that made a version; None where there is none"""
    read = await store.get(CHANGES_KIND, get_change_name(version))
    if read.is_error():
        return Error(read.error)
    return Ok(None) if read.ok is None else _decode(decode_change, read.ok)


async def apply_change(
    store: StoreClient,
    change_id: str,
    author: str,
    base_version: int,
    delta: SnapshotDelta,
    delay_s: float = READ_BACK_DELAY_S,
) -> AcceptResult:
    """Append one change to the log, provided that the version its operator read is the latest.

    :param change_id: unique id of the change
    :param base_version: version that the operator read
    :param delay_s: see :data:`READ_BACK_DELAY_S`
    :return: the proven outcome, or :class:`UnknownOutcome`
    """
    machine = AcceptMachine(change_id, author, base_version, delta)
    step: AcceptCommand | AcceptResult = machine.start()
    while isinstance(step, AcceptCommand):
        if isinstance(step, ReadBack):
            await anyio.sleep(delay_s * (step.read_number - 1))
        step = await _execute(store, machine, step)
    if isinstance(step, Applied) and step.version % SNAPSHOT_PERIOD_CHANGES == 0:
        # The snapshot only speeds up the start of daemons, so a failure to write it is ignored.
        await write_snapshot(store)
    return step


async def write_snapshot(store: StoreClient) -> Result[int, Failure]:
    """Write the configuration as one object, unless another process replaces it meanwhile.

    :return: the version that was read, also if the snapshot of another process was kept
    """
    stored_snapshot = await store.get(SNAPSHOTS_KIND, SNAPSHOT_NAME)
    read = await read_config(store)
    if stored_snapshot.is_error() or read.is_error():
        return Error(stored_snapshot.error if stored_snapshot.is_error() else read.error)
    version, rules = read.ok
    stored_object_version = 0 if stored_snapshot.ok is None else stored_snapshot.ok.version
    value = encode_snapshot(version, rules)
    written = await store.put(SNAPSHOTS_KIND, SNAPSHOT_NAME, value, stored_object_version)
    return written.map(lambda _: version)


async def _execute(
    store: StoreClient, machine: AcceptMachine, command: AcceptCommand
) -> AcceptCommand | AcceptResult:
    if isinstance(command, ReadHead | ReadBack):
        page = await read_log(store, command.after_version)
        if page.is_error():
            return machine.command_failed(page.error)
        return machine.log_read(page.ok.head_version, page.ok.changes)
    return await _create(store, machine, command)


async def _create(
    store: StoreClient, machine: AcceptMachine, command: CreateChange
) -> AcceptCommand | AcceptResult:
    name = get_change_name(command.change.version)
    written = await store.put(CHANGES_KIND, name, encode_change(command.change), 0)
    if written.is_error():
        return machine.command_failed(written.error)
    if isinstance(written.ok, Conflict):
        return machine.version_taken()
    return machine.change_created()


def _decode(decode, stored: StoreObject) -> Result:
    try:
        return Ok(decode(stored.value))
    except ValueError as error:
        reason = f"{stored.kind}/{stored.name}: {error}"
        return Error(Failure(Outcome.FAILED, Step.CONFIGURE, "store", reason))
