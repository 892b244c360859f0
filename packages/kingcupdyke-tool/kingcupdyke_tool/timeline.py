"""
kingcupdyke_tool.timeline
~~~~~~~~~~~~~~~~~~~~~~~~~

The story of one request, from the structured logs of several processes.
"""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from kingcupdyke_tool.report import ExitCode, Report

__all__ = ["explain_request"]

#: Seconds before a request's arrival from which other lines may matter to it.
BEFORE_S = 10.0
#: Events that matter to every request.
COMMON_EVENTS = ("configuration", "took the planner's lease", "following", "started", "stopping")


class LogLine(NamedTuple):
    """One line of a process's log."""

    #: Unix time in seconds.
    time: float
    source: str
    event: str
    fields: dict


def explain_request(request_id: str, paths: Iterable[Path]) -> Report:
    """Tell what the logs say of a request, in order of time.

    :param request_id: the request's id
    :param paths: logs of one process each
    :return: the report; "not done" where no log names the request
    """
    lines, mistakes = _read_all(paths)
    ends = [line for line in lines if line.fields.get("request") == request_id]
    if not ends:
        text = [f"no log names the request {request_id}", *mistakes]
        return Report(ExitCode.NOT_DONE, "\n".join(text), {"lines": []})
    ids = {request_id} | {line.fields.get("internal", request_id) for line in ends}
    models = {line.fields.get("model") for line in ends} - {"", None}
    endpoints = {each for line in ends for each in line.fields.get("endpoints", ())}
    begin_s = min(_begin_s(line) for line in ends) - BEFORE_S
    end_s = max(line.time for line in ends)
    story = [
        line
        for line in lines
        if begin_s <= line.time <= end_s and _matters(line, ids, models, endpoints)
    ]
    story.sort(key=lambda line: line.time)
    text = [_describe(line, end_s) for line in story]
    return Report(ExitCode.FINE, "\n".join([*text, *mistakes]), {"lines": _as_data(story)})


def _read_all(paths: Iterable[Path]) -> tuple[list[LogLine], list[str]]:
    lines: list[LogLine] = []
    mistakes = []
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as error:
            mistakes.append(f"{path}: {error}")
            continue
        lines += [each for each in (_read(raw, path.name) for raw in text.splitlines()) if each]
    return lines, mistakes


def _read(raw: str, source: str) -> LogLine | None:
    """:return: a line; None for what is no structured line, such as a library's"""
    _, brace, rest = raw.partition("{")
    try:
        fields = json.loads(brace + rest)
        return LogLine(float(fields.pop("time")), source, str(fields.pop("event")), fields)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _begin_s(line: LogLine) -> float:
    return line.time - line.fields.get("total_ms", 0) / 1000


def _matters(line: LogLine, ids: set[str], models: set[str], endpoints: set[str]) -> bool:
    fields = line.fields
    if "request" in fields:
        return fields["request"] in ids
    if line.event.startswith(COMMON_EVENTS):
        return True
    return fields.get("model") in models or fields.get("endpoint") in endpoints


def _describe(line: LogLine, end_s: float) -> str:
    fields = {name: value for name, value in line.fields.items() if value not in ("", [], -1)}
    fields.pop("level", None)
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"{line.time - end_s:+9.3f} s  {line.source}  {line.event}  {text}".rstrip()


def _as_data(story: list[LogLine]) -> list[dict]:
    return [
        {"time": line.time, "source": line.source, "event": line.event, **line.fields}
        for line in story
    ]
