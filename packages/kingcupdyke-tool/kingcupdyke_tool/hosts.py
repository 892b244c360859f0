"""
kingcupdyke_tool.hosts
~~~~~~~~~~~~~~~~~~~~~~

The commands that look at hosts and drain them.
"""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from anyio import CapacityLimiter, create_task_group
from expression import Result

from kingcupdyke.error import Failure, Outcome
from kingcupdyke.host import Host
from kingcupdyke_tool.hostcalls import GatewayCalls, make_calls
from kingcupdyke_tool.report import ExitCode, Report, report_away

__all__ = ["drain_host", "explain_model", "show_status"]

#: Hosts that are asked at once.
MOST_AT_ONCE = 64
_GB = 10**9
_COLUMNS = ("HOST", "KIND", "REGION", "STATE", "VERSION", "IN FLIGHT", "MEMORY", "MODELS")


class _Row(NamedTuple):
    """A host and its answer."""

    host: Host
    answer: Result[Mapping[str, object], Failure]


async def show_status(hosts: Sequence[Host], head: Result[int, Failure], token: str = "") -> Report:
    """Ask every host for its state.

    :param hosts: entries of the host list
    :param head: highest version in the store, or why it is not known
    :return: fine when every live host answers and has the version in force
    """
    rows = await _ask_all(hosts, token)
    versions = [_version_of(row) for row in rows if row.answer.is_ok()]
    wanted = head.ok if head.is_ok() else max(versions, default=0)
    late = [row for row in rows if row.host.state == "live" and not _is_up(row, wanted)]
    store = f"version {head.ok}" if head.is_ok() else f"away ({head.error.reason})"
    lines = [f"store: {store}", *_write_table(rows)]
    lines += [_write_late(row, wanted) for row in late]
    code = ExitCode.NOT_DONE if late else ExitCode.FINE
    return Report(code, "\n".join(lines), {"version": wanted, "hosts": _to_data(rows)})


async def explain_model(hosts: Sequence[Host], model: str, caller: str, token: str = "") -> Report:
    """Ask the first gateway that answers where a request would go."""
    gateways = [host for host in hosts if host.kind == "gateway" and host.state == "live"]
    failures = []
    for host in gateways:
        answer = await GatewayCalls(host, token).explain(model, caller)
        if answer.is_ok():
            text = "\n".join([f"asked: {host.host}", *_write_tree(answer.ok)])
            return Report(ExitCode.FINE, text, {"gateway": host.host, **answer.ok})
        if answer.error.outcome is Outcome.FAILED:
            text = f"{host.host} refuses: {answer.error.reason}"
            return Report(ExitCode.NOT_DONE, text, {"failure": answer.error._asdict()})
        failures.append(f"{host.host}: {answer.error.reason}")
    text = "\n".join(["no gateway answers", *failures])
    return Report(ExitCode.AWAY, text, {"failures": failures})


async def drain_host(hosts: Iterable[Host], name: str, token: str = "") -> Report:
    """Ask one host to take no more work and to finish what runs."""
    host = next((each for each in hosts if each.host == name), None)
    if host is None:
        text = f"the host list names no {name!r}; `kingcupdyke status` shows all names"
        return Report(ExitCode.BAD_INPUT, text, {})
    answer = await make_calls(host, token).drain()
    if answer.is_ok():
        in_flight = int(answer.ok.get("in_flight", 0))
        text = f"{name} drains: it takes no more work and finishes {in_flight} in progress"
        return Report(ExitCode.FINE, text, {"host": name, "in_flight": in_flight})
    failure = answer.error
    if failure.outcome is Outcome.UNKNOWN:
        text = f"unknown whether {name} drains: {failure.reason}; asking again does no harm"
        return Report(ExitCode.UNKNOWN, text, {"failure": failure._asdict()})
    if failure.outcome is Outcome.FAILED:
        text = f"{name} refuses: {failure.reason}"
        return Report(ExitCode.NOT_DONE, text, {"failure": failure._asdict()})
    return report_away(failure)


async def _ask_all(hosts: Sequence[Host], token: str) -> list[_Row]:
    rows_by_name: dict[str, _Row] = {}
    limiter = CapacityLimiter(MOST_AT_ONCE)

    async def ask(host: Host) -> None:
        async with limiter:
            rows_by_name[host.host] = _Row(host, await make_calls(host, token).describe())

    async with create_task_group() as group:
        for host in hosts:
            group.start_soon(ask, host)
    return [rows_by_name[name] for name in sorted(rows_by_name)]


def _version_of(row: _Row) -> int:
    return int(row.answer.ok.get("config_version", 0))


def _is_up(row: _Row, wanted: int) -> bool:
    return row.answer.is_ok() and _version_of(row) >= wanted


def _write_table(rows: Iterable[_Row]) -> list[str]:
    table = [_COLUMNS, *(_write_row(row) for row in rows)]
    widths = [max(len(line[index]) for line in table) for index in range(len(_COLUMNS))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in table
    ]


def _write_row(row: _Row) -> tuple[str, ...]:
    host = row.host
    place = (host.host, host.kind, f"{host.region}/{host.data_centre}")
    if row.answer.is_error():
        return (*place, f"{host.state}, no answer", "-", "-", "-", "-")
    state = row.answer.ok
    load = state.get("load") or {}
    leaving = state.get("leaving") or load.get("leaving")
    in_flight = state.get("in_flight", int(load.get("running", 0)) + int(load.get("waiting", 0)))
    capacity = int(state.get("capacity_bytes", 0)) / _GB
    reserved = int(state.get("reserved_bytes", 0)) / _GB
    memory = f"{reserved:.1f}/{capacity:.1f}GB" if capacity else "-"
    models = ",".join(state.get("models") or ()) or "-"
    word = "leaving" if leaving else host.state
    return (*place, word, str(_version_of(row)), str(in_flight), memory, models)


def _write_late(row: _Row, wanted: int) -> str:
    if row.answer.is_error():
        return f"{row.host.host} gives no answer: {row.answer.error.reason}"
    return f"{row.host.host} has version {_version_of(row)}, not yet {wanted}"


def _to_data(rows: Iterable[_Row]) -> list[dict[str, object]]:
    return [
        row.host._asdict()
        | ({"answer": row.answer.ok} if row.answer.is_ok() else {"failure": row.answer.error})
        for row in rows
    ]


def _write_tree(value: Mapping[str, object]) -> list[str]:
    lines = []
    for name, entry in value.items():
        if isinstance(entry, list) and entry:
            lines.append(f"{name}:")
            lines += [f"  {_write_flat(each)}" for each in entry]
        else:
            lines.append(f"{name}: {_write_flat(entry)}")
    return lines


def _write_flat(value: object) -> str:
    if isinstance(value, Mapping):
        return ", ".join(f"{name}={_write_flat(entry)}" for name, entry in value.items())
    return value if isinstance(value, str) else json.dumps(value, ensure_ascii=False)
