"""
kingcupdyke_tool.hosts
~~~~~~~~~~~~~~~~~~~~~~

The commands that show the state of hosts, explain routing and drain hosts.
"""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from anyio import CapacityLimiter, create_task_group
from expression import Result

from kingcupdyke.error import Failure, Outcome
from kingcupdyke.host import Host
from kingcupdyke_tool.hostcalls import GatewayCalls, make_calls
from kingcupdyke_tool.report import ExitCode, Report, report_unreachable

__all__ = ["drain_host", "explain_model", "show_status"]

#: Maximum number of hosts that are called concurrently.
MAX_CONCURRENT_CALLS = 64
_GB = 10**9
_COLUMNS = ("HOST", "KIND", "REGION", "STATE", "VERSION", "IN FLIGHT", "MEMORY", "MODELS")


class _Row(NamedTuple):
    """A host and its answer."""

    host: Host
    answer: Result[Mapping[str, object], Failure]


async def show_status(
    hosts: Sequence[Host], head_version: Result[int, Failure], token: str = ""
) -> Report:
    """Show the state of every host.

    :param hosts: entries of the host list
    :param head_version: latest version in the store, or the failure to read it
    :return: success if every live host answers and has the required version: the latest in the
        store or, if the store is unavailable, the highest of all hosts
    """
    rows = await _describe_all(hosts, token)
    versions = [_get_version(row) for row in rows if row.answer.is_ok()]
    required_version = head_version.ok if head_version.is_ok() else max(versions, default=0)
    unhealthy_rows = [
        row for row in rows if row.host.state == "live" and not _is_healthy(row, required_version)
    ]
    store = (
        f"version {head_version.ok}"
        if head_version.is_ok()
        else f"unavailable ({head_version.error.reason})"
    )
    lines = [f"store: {store}", *_format_table(rows)]
    lines += [_format_unhealthy(row, required_version) for row in unhealthy_rows]
    code = ExitCode.NOT_DONE if unhealthy_rows else ExitCode.SUCCESS
    return Report(code, "\n".join(lines), {"version": required_version, "hosts": _to_data(rows)})


async def explain_model(hosts: Sequence[Host], model: str, caller: str, token: str = "") -> Report:
    """Show where the first gateway that responds would route a request."""
    gateways = [host for host in hosts if host.kind == "gateway" and host.state == "live"]
    failures = []
    for host in gateways:
        answer = await GatewayCalls(host, token).explain(model, caller)
        if answer.is_ok():
            text = "\n".join([f"answered by: {host.host}", *_format_tree(answer.ok)])
            return Report(ExitCode.SUCCESS, text, {"gateway": host.host, **answer.ok})
        if answer.error.outcome is Outcome.FAILED:
            text = f"{host.host} rejected the call: {answer.error.reason}"
            return Report(ExitCode.NOT_DONE, text, {"failure": answer.error._asdict()})
        failures.append(f"{host.host}: {answer.error.reason}")
    text = "\n".join(["no gateway responds", *failures])
    return Report(ExitCode.UNREACHABLE, text, {"failures": failures})


async def drain_host(hosts: Iterable[Host], name: str, token: str = "") -> Report:
    """Make one host accept no more requests and finish those in progress."""
    host = next((each for each in hosts if each.host == name), None)
    if host is None:
        text = f"the host list has no host {name!r}; `kingcupdyke status` shows all names"
        return Report(ExitCode.BAD_INPUT, text, {})
    answer = await make_calls(host, token).drain()
    if answer.is_ok():
        in_flight = int(answer.ok.get("in_flight", 0))
        text = f"{name} is draining: accepts no more requests, finishes {in_flight} in progress"
        return Report(ExitCode.SUCCESS, text, {"host": name, "in_flight": in_flight})
    failure = answer.error
    if failure.outcome is Outcome.UNKNOWN:
        text = f"unknown whether {name} is draining: {failure.reason}; the call is safe to repeat"
        return Report(ExitCode.UNKNOWN, text, {"failure": failure._asdict()})
    if failure.outcome is Outcome.FAILED:
        text = f"{name} rejected the call: {failure.reason}"
        return Report(ExitCode.NOT_DONE, text, {"failure": failure._asdict()})
    return report_unreachable(failure)


async def _describe_all(hosts: Sequence[Host], token: str) -> list[_Row]:
    rows_by_name: dict[str, _Row] = {}
    limiter = CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def describe_host(host: Host) -> None:
        async with limiter:
            rows_by_name[host.host] = _Row(host, await make_calls(host, token).describe())

    async with create_task_group() as group:
        for host in hosts:
            group.start_soon(describe_host, host)
    return [rows_by_name[name] for name in sorted(rows_by_name)]


def _get_version(row: _Row) -> int:
    return int(row.answer.ok.get("config_version", 0))


def _is_healthy(row: _Row, required_version: int) -> bool:
    return row.answer.is_ok() and _get_version(row) >= required_version


def _format_table(rows: Iterable[_Row]) -> list[str]:
    table = [_COLUMNS, *(_format_row(row) for row in rows)]
    widths = [max(len(line[index]) for line in table) for index in range(len(_COLUMNS))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in table
    ]


def _format_row(row: _Row) -> tuple[str, ...]:
    host = row.host
    first_columns = (host.host, host.kind, f"{host.region}/{host.data_centre}")
    if row.answer.is_error():
        return (*first_columns, f"{host.state}, no answer", "-", "-", "-", "-")
    state = row.answer.ok
    load = state.get("load") or {}
    leaving = state.get("leaving") or load.get("leaving")
    in_flight = state.get("in_flight", int(load.get("running", 0)) + int(load.get("waiting", 0)))
    capacity = int(state.get("capacity_bytes", 0)) / _GB
    reserved = int(state.get("reserved_bytes", 0)) / _GB
    memory = f"{reserved:.1f}/{capacity:.1f}GB" if capacity else "-"
    models = ",".join(state.get("models") or ()) or "-"
    host_state = "leaving" if leaving else host.state
    return (*first_columns, host_state, str(_get_version(row)), str(in_flight), memory, models)


def _format_unhealthy(row: _Row, required_version: int) -> str:
    if row.answer.is_error():
        return f"the state of {row.host.host} is unknown: {row.answer.error.reason}"
    return f"{row.host.host} has version {_get_version(row)}, not yet {required_version}"


def _to_data(rows: Iterable[_Row]) -> list[dict[str, object]]:
    return [
        row.host._asdict()
        | ({"answer": row.answer.ok} if row.answer.is_ok() else {"failure": row.answer.error})
        for row in rows
    ]


def _format_tree(value: Mapping[str, object]) -> list[str]:
    lines = []
    for name, entry in value.items():
        if isinstance(entry, list) and entry:
            lines.append(f"{name}:")
            lines += [f"  {_format_flat(each)}" for each in entry]
        else:
            lines.append(f"{name}: {_format_flat(entry)}")
    return lines


def _format_flat(value: object) -> str:
    if isinstance(value, Mapping):
        return ", ".join(f"{name}={_format_flat(entry)}" for name, entry in value.items())
    return value if isinstance(value, str) else json.dumps(value, ensure_ascii=False)
