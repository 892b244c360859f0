"""
kingcupdyke_tool.rules
~~~~~~~~~~~~~~~~~~~~~~

The commands that check, apply and show rules.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from kingcupdyke.acceptance import AcceptResult, Applied, Conflict, NotApplied
from kingcupdyke.config import ConfigChange
from kingcupdyke.error import Failure
from kingcupdyke.rulesnapshot import RuleSnapshot, SnapshotDelta, diff_snapshots
from kingcupdyke_tool.report import ExitCode, Report, report_problems, report_unreachable
from kingcupdyke_wire.configlog import apply_change, find_change, read_changes, read_config
from kingcupdyke_wire.rulefile import CheckedFile, check_rule_file
from kingcupdyke_wire.ruletext import format_rule_file, format_rule_line
from kingcupdyke_wire.store import StoreClient

__all__ = ["ApplyRequest", "apply_rules", "check_rules", "show_history", "show_rules"]

#: Number of changes that ``rules history`` shows if no id is given.
HISTORY_CHANGES = 20

Announce = Callable[[ConfigChange], Awaitable[None]]


class ApplyRequest(NamedTuple):
    """The arguments of ``rules apply``."""

    #: Name of the file, for messages.
    source: str
    text: str
    author: str
    #: Version given on the command line, which overrides the file's header, or None.
    base_version: int | None
    #: Random part of the change's id.
    nonce: str


class _Head(NamedTuple):
    """The rules in force."""

    version: int
    rule_snapshot: RuleSnapshot


def check_rules(source: str, text: str) -> Report:
    """:return: a report of all errors in a rule file, or of the number of its rules"""
    checked = check_rule_file(text)
    if checked.is_error():
        return report_problems(source, checked.error)
    keys = list(checked.ok.rule_snapshot.rules_by_key)
    return Report(ExitCode.SUCCESS, f"{source}: {len(keys)} rules, no errors", {"rules": keys})


async def apply_rules(
    store: StoreClient, request: ApplyRequest, announce: Announce | None = None
) -> Report:
    """Apply a rule file, provided that the version its operator read is the latest.

    :param announce: sends the accepted change to daemons
    """
    checked = check_rule_file(request.text)
    if checked.is_error():
        return report_problems(request.source, checked.error)
    read = await _read_head(store)
    if read.is_error():
        return report_unreachable(read.error)
    head = read.ok
    base_version = _choose_base(request, checked.ok, head)
    if base_version < head.version:
        changes = await read_changes(store, base_version)
        if changes.is_error():
            return report_unreachable(changes.error)
        return _report_conflict(base_version, changes.ok)
    delta = diff_snapshots(head.rule_snapshot, checked.ok.rule_snapshot)
    if base_version == head.version and delta == SnapshotDelta((), ()):
        text = f"version {head.version} has these rules already; nothing to do"
        return Report(ExitCode.SUCCESS, text, {"version": head.version, "changed": False})
    change_id = f"{base_version + 1}-{request.nonce}"
    result = await apply_change(store, change_id, request.author, base_version, delta)
    if isinstance(result, Applied) and announce is not None:
        change = ConfigChange(result.version, change_id, request.author, delta.puts, delta.removes)
        await announce(change)
    return _report_result(result, base_version, change_id, _format_delta(delta, head.rule_snapshot))


async def show_rules(store: StoreClient) -> Report:
    """:return: the rules in force as a rule file, ready to be edited and applied"""
    read = await _read_head(store)
    if read.is_error():
        return report_unreachable(read.error)
    rules = read.ok.rule_snapshot.rules_by_key.values()
    data = {"version": read.ok.version, "rules": [rule._asdict() for rule in rules]}
    return Report(ExitCode.SUCCESS, format_rule_file(read.ok.version, rules).rstrip(), data)


async def show_history(store: StoreClient, change_id: str) -> Report:
    """:return: the latest changes, or the outcome of one"""
    if change_id:
        return await _report_outcome(store, change_id)
    read = await _read_head(store)
    if read.is_error():
        return report_unreachable(read.error)
    changes = await read_changes(store, max(read.ok.version - HISTORY_CHANGES, 0))
    if changes.is_error():
        return report_unreachable(changes.error)
    lines = [_format_change(change) for change in changes.ok]
    data = [change._asdict() for change in changes.ok]
    return Report(ExitCode.SUCCESS, "\n".join(lines) or "no changes yet", {"changes": data})


async def _report_outcome(store: StoreClient, change_id: str) -> Report:
    version, dash, _ = change_id.partition("-")
    if not dash or not version.isascii() or not version.isdigit():
        text = f"{change_id!r} is not the id of a change; ids look like 124-9f3c21d07a54"
        return Report(ExitCode.BAD_INPUT, text, {})
    found = await find_change(store, int(version))
    if found.is_error():
        text = f"unknown: {found.error.peer}: {found.error.reason}; try again later"
        return Report(ExitCode.UNKNOWN, text, {"failure": found.error._asdict()})
    change = found.ok
    if change is None:
        text = (
            f"not applied so far: there is no version {version} yet, but the write may still "
            f"arrive. Apply the file again with --base {int(version) - 1}: only one is accepted"
        )
        return Report(ExitCode.UNKNOWN, text, {"applied": None})
    if change.change_id != change_id:
        text = f"not applied, and never will be: version {version} is another change"
        text = f"{text}\n{_format_change(change)}"
        return Report(ExitCode.NOT_DONE, text, {"applied": False, "change": change._asdict()})
    text = f"applied as version {version}\n{_format_change(change)}"
    return Report(ExitCode.SUCCESS, text, {"applied": True, "change": change._asdict()})


def _choose_base(request: ApplyRequest, file: CheckedFile, head: _Head) -> int:
    if request.base_version is not None:
        return request.base_version
    return head.version if file.base_version is None else file.base_version


async def _read_head(store: StoreClient) -> Result[_Head, Failure]:
    read = await read_config(store)
    if read.is_error():
        return Error(read.error)
    version, rules = read.ok
    return Ok(_Head(version, RuleSnapshot.from_rules(rules)))


def _report_result(
    result: AcceptResult, base_version: int, change_id: str, delta_text: str
) -> Report:
    data = {"change_id": change_id, "delta": delta_text.splitlines()}
    if isinstance(result, Applied):
        text = f"{delta_text}\napplied as version {result.version}, change {change_id}"
        return Report(ExitCode.SUCCESS, text, data | {"version": result.version, "changed": True})
    if isinstance(result, Conflict):
        return _report_conflict(base_version, result.changes)
    if isinstance(result, NotApplied):
        text = f"not applied: {result.failure.peer}: {result.failure.reason}"
        return Report(ExitCode.NOT_DONE, text, data | {"failure": result.failure._asdict()})
    text = (
        f"unknown: {result.failure.peer}: {result.failure.reason}\n"
        f"run `kingcupdyke rules history {change_id}` when the store is available again"
    )
    return Report(ExitCode.UNKNOWN, text, data | {"failure": result.failure._asdict()})


def _report_conflict(base_version: int, changes: tuple[ConfigChange, ...]) -> Report:
    lines = [_format_change(change) for change in changes]
    head_version = changes[-1].version if changes else base_version
    text = "\n".join(
        [
            f"conflict: the file was edited from version {base_version}; changes since then:",
            *lines,
            f"run `kingcupdyke rules show`, make your changes in its output, and apply that "
            f"(the latest version is {head_version}); nothing was changed",
        ]
    )
    data = {"base": base_version, "changes": [change._asdict() for change in changes]}
    return Report(ExitCode.CONFLICT, text, data)


def _format_change(change: ConfigChange) -> str:
    head = f"version {change.version} by {change.author}, change {change.change_id}"
    puts = [f"  + {format_rule_line(rule)}" for rule in change.puts]
    return "\n".join([head, *puts, *(f"  - {key}" for key in change.removes)])


def _format_delta(delta: SnapshotDelta, rule_snapshot: RuleSnapshot) -> str:
    replaced = [rule_snapshot.rules_by_key[key] for key in delta.removes]
    replaced += [
        rule_snapshot.rules_by_key[rule.key]
        for rule in delta.puts
        if rule.key in rule_snapshot.rules_by_key
    ]
    removed_lines = [f"- {format_rule_line(rule)}" for rule in replaced]
    return "\n".join([*removed_lines, *(f"+ {format_rule_line(rule)}" for rule in delta.puts)])
