"""
kingcupdyke_tool.timeline
~~~~~~~~~~~~~~~~~~~~~~~~~

The timeline of one request, from the structured logs of several processes.
"""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from kingcupdyke_tool.report import ExitCode, Report

__all__ = ["explain_request"]

#: Length of the time before a request's arrival from which other lines are shown, in seconds.
LOOKBACK_S = 10.0
#: Prefixes of the events that are relevant to every request.
COMMON_EVENTS = (
    "configuration",
    "event loop late",
    "took the planner's lease",
    "following",
    "started",
    "stopping",
)


class LogLine(NamedTuple):
    """One line of a process's log."""

    #: Unix time in seconds.
    time: float
    source: str
    event: str
    fields: dict


def explain_request(request_id: str, paths: Iterable[Path]) -> Report:
    """Show the log lines that are relevant to a request, in order of time.

    :param request_id: id of the request
    :param paths: log files, one per process
    :return: the report; ``NOT_DONE`` if no log names the request
    """
    lines, read_errors = _read_logs(paths)
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        text = [f"no log names the request {request_id}", *read_errors]
        return Report(ExitCode.NOT_DONE, "\n".join(text), {"lines": []})
    ids = {request_id} | {line.fields.get("internal", request_id) for line in request_lines}
    models = {line.fields.get("model") for line in request_lines} - {"", None}
    endpoints = {each for line in request_lines for each in line.fields.get("endpoints", ())}
    begin_s = min(_get_arrival_s(line) for line in request_lines) - LOOKBACK_S
    end_s = max(line.time for line in request_lines)
    relevant = [
        line
        for line in lines
        if begin_s <= line.time <= end_s and _is_relevant(line, ids, models, endpoints)
    ]
    relevant.sort(key=lambda line: line.time)
    text = [_format_line(line, end_s) for line in relevant]
    return Report(ExitCode.SUCCESS, "\n".join([*text, *read_errors]), {"lines": _to_data(relevant)})


def _read_logs(paths: Iterable[Path]) -> tuple[list[LogLine], list[str]]:
    lines: list[LogLine] = []
    read_errors = []
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as error:
            read_errors.append(f"{path}: {error}")
            continue
        lines += [
            each
            for each in (_parse_line(text_line, path.name) for text_line in text.splitlines())
            if each
        ]
    return lines, read_errors


def _parse_line(text_line: str, source: str) -> LogLine | None:
    """:return: the line, or None if it is not structured, such as a line of a library"""
    _, brace, rest = text_line.partition("{")
    try:
        fields = json.loads(brace + rest)
        return LogLine(float(fields.pop("time")), source, str(fields.pop("event")), fields)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _get_arrival_s(line: LogLine) -> float:
    return line.time - line.fields.get("total_ms", 0) / 1000


def _is_relevant(line: LogLine, ids: set[str], models: set[str], endpoints: set[str]) -> bool:
    fields = line.fields
    if "request" in fields:
        return fields["request"] in ids
    if line.event.startswith(COMMON_EVENTS):
        return True
    return fields.get("model") in models or fields.get("endpoint") in endpoints


def _format_line(line: LogLine, end_s: float) -> str:
    fields = {name: value for name, value in line.fields.items() if value not in ("", [], -1)}
    fields.pop("level", None)
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"{line.time - end_s:+9.3f} s  {line.source}  {line.event}  {text}".rstrip()


def _to_data(relevant: list[LogLine]) -> list[dict]:
    return [
        {"time": line.time, "source": line.source, "event": line.event, **line.fields}
        for line in relevant
    ]
