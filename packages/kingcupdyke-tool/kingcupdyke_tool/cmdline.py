"""
kingcupdyke_tool.cmdline
~~~~~~~~~~~~~~~~~~~~~~~~

The command line of ``kingcupdyke``.
"""

import getpass
import json
import os
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from secrets import token_hex
from typing import Annotated

import anyio
from cappa import Arg, Subcommands, command, invoke
from expression import Result

from kingcupdyke.check import Problem
from kingcupdyke.config import ConfigChange
from kingcupdyke.error import Failure
from kingcupdyke.host import Host
from kingcupdyke_tool.hosts import drain_host, explain_model, show_status
from kingcupdyke_tool.report import ExitCode, Report, report_problems, report_unreachable
from kingcupdyke_tool.rules import (
    ApplyRequest,
    apply_rules,
    check_rules,
    show_history,
    show_rules,
)
from kingcupdyke_tool.settings import ToolSettings, read_settings
from kingcupdyke_tool.timeline import explain_request
from kingcupdyke_wire.announce import announce_change
from kingcupdyke_wire.configlog import read_config
from kingcupdyke_wire.hostlist import HostListClient
from kingcupdyke_wire.store import HttpStoreClient, StoreClient

__all__ = ["main"]

#: Environment variable that holds the operator's token.
TOKEN_VARIABLE = "KINGCUPDYKE_OPERATOR_TOKEN"
#: Number of random bytes in the id of a change.
NONCE_BYTES = 6

Json = Annotated[bool, Arg(long="--json", help="Print JSON for programs instead of text.")]
Settings = Annotated[
    Path,
    Arg(long="--settings", help="YAML file with the lines store: URL and hosts: URL."),
]
RuleFilePath = Annotated[Path, Arg(value_name="FILE", help="The rule file.")]


def _print(report: Report, as_json: bool) -> int:
    if as_json:
        data = {"exit_code": int(report.code), **report.data}
        print(json.dumps(data, ensure_ascii=False, default=str))
    else:
        succeeded = report.code is ExitCode.SUCCESS
        print(report.text, file=sys.stdout if succeeded else sys.stderr)
    return int(report.code)


def _read_text(path: Path) -> str | Report:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return report_problems(str(path), [Problem(1, "", None, f"can't be read: {error}")])


def _run(path: Path, run: Callable[[ToolSettings], Awaitable[Report]]) -> Report:
    settings = read_settings(path)
    if settings.is_error():
        return report_problems(str(path), settings.error)
    return anyio.run(run, settings.ok)


async def _with_store(
    run: Callable[[StoreClient], Awaitable[Report]], settings: ToolSettings
) -> Report:
    store = HttpStoreClient(settings.store)
    try:
        return await run(store)
    finally:
        await store.aclose()


async def _read_hosts(settings: ToolSettings) -> Result[list[Host], Failure]:
    client = HostListClient(settings.hosts)
    try:
        return await client.hosts()
    finally:
        await client.aclose()


async def _with_hosts(
    run: Callable[[list[Host]], Awaitable[Report]], settings: ToolSettings
) -> Report:
    hosts = await _read_hosts(settings)
    return report_unreachable(hosts.error) if hosts.is_error() else await run(hosts.ok)


def _token() -> str:
    return os.environ.get(TOKEN_VARIABLE, "")


def _check(arguments: "CheckCommand") -> int:
    text = _read_text(arguments.file)
    report = text if isinstance(text, Report) else check_rules(str(arguments.file), text)
    return _print(report, arguments.json)


def _apply(arguments: "ApplyCommand") -> int:
    text = _read_text(arguments.file)
    if isinstance(text, Report):
        return _print(text, arguments.json)
    author = arguments.author or getpass.getuser()
    request = ApplyRequest(
        str(arguments.file), text, author, arguments.base, token_hex(NONCE_BYTES)
    )
    return _print(_run(arguments.settings, partial(_apply_and_announce, request)), arguments.json)


async def _apply_and_announce(request: ApplyRequest, settings: ToolSettings) -> Report:
    async def announce(change: ConfigChange) -> None:
        hosts = await _read_hosts(settings)
        if hosts.is_ok():
            await announce_change(hosts.ok, change, Random())

    run = partial(apply_rules, request=request, announce=announce)
    return await _with_store(run, settings)


def _show(arguments: "ShowCommand") -> int:
    return _print(_run(arguments.settings, partial(_with_store, show_rules)), arguments.json)


def _history(arguments: "HistoryCommand") -> int:
    run = partial(_with_store, lambda store: show_history(store, arguments.change_id))
    return _print(_run(arguments.settings, run), arguments.json)


async def _read_head_version(settings: ToolSettings) -> Result[int, Failure]:
    store = HttpStoreClient(settings.store)
    try:
        return (await read_config(store)).map(lambda read: read[0])
    finally:
        await store.aclose()


async def _show_status(settings: ToolSettings) -> Report:
    head_version = await _read_head_version(settings)
    return await _with_hosts(lambda hosts: show_status(hosts, head_version, _token()), settings)


def _status(arguments: "StatusCommand") -> int:
    return _print(_run(arguments.settings, _show_status), arguments.json)


def _explain(arguments: "ExplainCommand") -> int:
    run = partial(
        _with_hosts,
        lambda hosts: explain_model(hosts, arguments.model, arguments.caller, _token()),
    )
    return _print(_run(arguments.settings, run), arguments.json)


def _drain(arguments: "DrainCommand") -> int:
    run = partial(_with_hosts, lambda hosts: drain_host(hosts, arguments.host, _token()))
    return _print(_run(arguments.settings, run), arguments.json)


@command(name="check", invoke=_check)
@dataclass
class CheckCommand:
    """List all errors in a rule file. Works without the platform and changes nothing."""

    file: RuleFilePath
    json: Json = False


@command(name="apply", invoke=_apply)
@dataclass
class ApplyCommand:
    """Apply a rule file, unless another operator has changed the rules first.

    The file replaces all rules. It is accepted only if nobody has changed the rules since
    the version in its header, which `rules show` writes.
    """

    file: RuleFilePath
    settings: Settings
    author: Annotated[
        str, Arg(long="--author", help="Author of the change; by default the login name.")
    ] = ""
    base: Annotated[
        int | None,
        Arg(long="--base", help="Version that the file was edited from; overrides its header."),
    ] = None
    json: Json = False


@command(name="show", invoke=_show)
@dataclass
class ShowCommand:
    """Print the rules in force as a rule file, ready to be edited and applied."""

    settings: Settings
    json: Json = False


@command(name="history", invoke=_history)
@dataclass
class HistoryCommand:
    """Show the latest changes, or the outcome of the change with an id."""

    settings: Settings
    change_id: Annotated[
        str, Arg(value_name="ID", help="Id that `rules apply` printed, such as 124-9f3c21d07a54.")
    ] = ""
    json: Json = False


@command(name="rules")
@dataclass
class RulesCommand:
    """Check, apply and show the rules: what is served, to whom, where and at what priority."""

    action: Subcommands[CheckCommand | ApplyCommand | ShowCommand | HistoryCommand]


@command(name="status", invoke=_status)
@dataclass
class StatusCommand:
    """Show each host, whether it responds, and its version of the rules."""

    settings: Settings
    json: Json = False


@command(name="explain", invoke=_explain)
@dataclass
class ExplainCommand:
    """Show where a request for a model would be routed now, and why."""

    model: Annotated[str, Arg(value_name="MODEL", help="Name of a model or an adapter.")]
    settings: Settings
    caller: Annotated[str, Arg(long="--caller", help="Name of the caller of the request.")] = ""
    json: Json = False


@command(name="drain", invoke=_drain)
@dataclass
class DrainCommand:
    """Make a host accept no more requests and finish those in progress. Safe to repeat."""

    host: Annotated[str, Arg(value_name="HOST", help="Name of the host as `status` shows it.")]
    settings: Settings
    json: Json = False


def _explain_request(command: "ExplainRequestCommand") -> int:
    return _print(explain_request(command.request, command.logs), command.json)


@command(name="explain-request", invoke=_explain_request)
@dataclass
class ExplainRequestCommand:
    """Show the timeline of one request, from the logs of one or several processes."""

    request: Annotated[str, Arg(value_name="ID", help="Id of the request, as its caller sent it.")]
    logs: Annotated[list[Path], Arg(value_name="FILE", help="Log files, one per process.")]
    json: Json = False


@command(
    name="kingcupdyke",
    description=(
        "Exit codes: 0 success, 1 not done, 2 invalid input, 3 conflict with another operator, "
        "4 outcome unknown, 5 platform or host unreachable."
    ),
)
@dataclass
class ToolCommand:
    """Operate kingcupdyke: rules, status, explanations and planned stops."""

    action: Subcommands[
        RulesCommand | StatusCommand | ExplainCommand | ExplainRequestCommand | DrainCommand
    ]


def main(arguments: list[str] | None = None) -> int:
    """:param arguments: the arguments without the program's name; None for those of the process
    :return: the exit code
    """
    return invoke(ToolCommand, argv=arguments)
