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
from kingcupdyke.rulesnapshot import RuleSnapshot, SnapshotDelta, diff_books
from kingcupdyke_tool.report import ExitCode, Report, report_away, report_problems
from kingcupdyke_wire.configlog import apply_change, find_change, read_changes, read_config
from kingcupdyke_wire.rulefile import CheckedFile, check_rule_file
from kingcupdyke_wire.ruletext import format_rule_file, format_rule_line
from kingcupdyke_wire.store import StoreClient

__all__ = ["ApplyRequest", "apply_rules", "check_rules", "show_history", "show_rules"]

#: Changes that ``rules history`` shows where no id is given.
HISTORY_CHANGES = 20

Announce = Callable[[ConfigChange], Awaitable[None]]


class ApplyRequest(NamedTuple):
    """What ``rules apply`` was asked for."""

    #: Name of the file, for messages.
    source: str
    text: str
    author: str
    #: Version given on the command line; goes before the file's header.
    base_version: int | None
    #: Chance part of the change's id.
    nonce: str


class _Head(NamedTuple):
    """The rules in force."""

    version: int
    book: RuleSnapshot


def check_rules(source: str, text: str) -> Report:
    """:return: every mistake of a rule file, or a count of its rules"""
    checked = check_rule_file(text)
    if checked.is_error():
        return report_problems(source, checked.error)
    keys = list(checked.ok.book.rules_by_key)
    return Report(ExitCode.FINE, f"{source}: {len(keys)} rules, all fine", {"rules": keys})


async def apply_rules(
    store: StoreClient, request: ApplyRequest, announce: Announce | None = None
) -> Report:
    """Have a rule file accepted against the version that its operator read.

    :param announce: tells daemons of the change once it is accepted
    """
    checked = check_rule_file(request.text)
    if checked.is_error():
        return report_problems(request.source, checked.error)
    read = await _read_head(store)
    if read.is_error():
        return report_away(read.error)
    head = read.ok
    base_version = _choose_base(request, checked.ok, head)
    if base_version < head.version:
        changes = await read_changes(store, base_version)
        if changes.is_error():
            return report_away(changes.error)
        return _report_conflict(base_version, changes.ok)
    delta = diff_books(head.book, checked.ok.book)
    if base_version == head.version and delta == SnapshotDelta((), ()):
        text = f"version {head.version} has these rules already; nothing to do"
        return Report(ExitCode.FINE, text, {"version": head.version, "changed": False})
    change_id = f"{base_version + 1}-{request.nonce}"
    result = await apply_change(store, change_id, request.author, base_version, delta)
    if isinstance(result, Applied) and announce is not None:
        change = ConfigChange(result.version, change_id, request.author, delta.puts, delta.removes)
        await announce(change)
    return _report_result(result, base_version, change_id, _write_delta(delta, head.book))


async def show_rules(store: StoreClient) -> Report:
    """:return: the rules in force as a rule file, ready to be edited and applied"""
    read = await _read_head(store)
    if read.is_error():
        return report_away(read.error)
    rules = read.ok.book.rules_by_key.values()
    data = {"version": read.ok.version, "rules": [rule._asdict() for rule in rules]}
    return Report(ExitCode.FINE, format_rule_file(read.ok.version, rules).rstrip(), data)


async def show_history(store: StoreClient, change_id: str) -> Report:
    """:return: the latest changes, or what became of one"""
    if change_id:
        return await _settle(store, change_id)
    read = await _read_head(store)
    if read.is_error():
        return report_away(read.error)
    changes = await read_changes(store, max(read.ok.version - HISTORY_CHANGES, 0))
    if changes.is_error():
        return report_away(changes.error)
    lines = [_write_change(change) for change in changes.ok]
    data = [change._asdict() for change in changes.ok]
    return Report(ExitCode.FINE, "\n".join(lines) or "no changes yet", {"changes": data})


async def _settle(store: StoreClient, change_id: str) -> Report:
    version, dash, _ = change_id.partition("-")
    if not dash or not version.isascii() or not version.isdigit():
        text = f"{change_id!r} is no id of a change; ids look like 124-9f3c21d07a54"
        return Report(ExitCode.BAD_INPUT, text, {})
    found = await find_change(store, int(version))
    if found.is_error():
        text = f"unknown: {found.error.peer}: {found.error.reason}; ask again later"
        return Report(ExitCode.UNKNOWN, text, {"failure": found.error._asdict()})
    change = found.ok
    if change is None:
        text = (
            f"not applied so far: there is no version {version} yet, but the write may still "
            f"arrive. Apply the file again with --base {int(version) - 1}: of the two, one is taken"
        )
        return Report(ExitCode.UNKNOWN, text, {"applied": None})
    if change.change_id != change_id:
        text = f"not applied, and never will be: version {version} is another change"
        text = f"{text}\n{_write_change(change)}"
        return Report(ExitCode.NOT_DONE, text, {"applied": False, "change": change._asdict()})
    text = f"applied as version {version}\n{_write_change(change)}"
    return Report(ExitCode.FINE, text, {"applied": True, "change": change._asdict()})


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
        return Report(ExitCode.FINE, text, data | {"version": result.version, "changed": True})
    if isinstance(result, Conflict):
        return _report_conflict(base_version, result.changes)
    if isinstance(result, NotApplied):
        text = f"not applied: {result.failure.peer}: {result.failure.reason}"
        return Report(ExitCode.NOT_DONE, text, data | {"failure": result.failure._asdict()})
    text = (
        f"unknown: {result.failure.peer}: {result.failure.reason}\n"
        f"run `kingcupdyke rules history {change_id}` when the store is back"
    )
    return Report(ExitCode.UNKNOWN, text, data | {"failure": result.failure._asdict()})


def _report_conflict(base_version: int, changes: tuple[ConfigChange, ...]) -> Report:
    lines = [_write_change(change) for change in changes]
    head_version = changes[-1].version if changes else base_version
    text = "\n".join(
        [
            f"conflict: the file was made from version {base_version}; since then others changed:",
            *lines,
            f"run `kingcupdyke rules show`, put your lines into it, and apply that "
            f"(version {head_version} is the head); nothing was changed",
        ]
    )
    data = {"base": base_version, "changes": [change._asdict() for change in changes]}
    return Report(ExitCode.CONFLICT, text, data)


def _write_change(change: ConfigChange) -> str:
    head = f"version {change.version} by {change.author}, change {change.change_id}"
    puts = [f"  + {format_rule_line(rule)}" for rule in change.puts]
    return "\n".join([head, *puts, *(f"  - {key}" for key in change.removes)])


def _write_delta(delta: SnapshotDelta, book: RuleSnapshot) -> str:
    old = [book.rules_by_key[key] for key in delta.removes]
    old += [book.rules_by_key[rule.key] for rule in delta.puts if rule.key in book.rules_by_key]
    minus = [f"- {format_rule_line(rule)}" for rule in old]
    return "\n".join([*minus, *(f"+ {format_rule_line(rule)}" for rule in delta.puts)])
