"""
kingcupdyke_tool.report
~~~~~~~~~~~~~~~~~~~~~~~

The result of a command: an exit code, text for people and data for programs.
"""

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

from kingcupdyke.check import Problem
from kingcupdyke.error import Failure

__all__ = ["ExitCode", "Report", "report_problems", "report_unreachable"]


class ExitCode(IntEnum):
    """Exit codes of the tool."""

    SUCCESS = 0
    #: The command was valid but failed, was rejected or found nothing; or a host is unhealthy.
    NOT_DONE = 1
    #: The command line, the settings or the rule file contain errors.
    BAD_INPUT = 2
    #: Another operator changed the rules first.
    CONFLICT = 3
    #: The change may or may not be in force.
    UNKNOWN = 4
    #: The store, the host list or the host could not be reached; nothing was done.
    UNREACHABLE = 5


class Report(NamedTuple):
    """The result of a command."""

    code: ExitCode
    text: str
    data: Mapping[str, object]


def report_problems(source: str, problems: Iterable[Problem]) -> Report:
    """:return: a report of all errors, each as ``SOURCE:LINE: FIELD: VALUE: REMEDY``"""
    problems = list(problems)
    lines = [_format_problem(source, problem) for problem in problems]
    noun = "problem" if len(lines) == 1 else "problems"
    text = "\n".join([*lines, f"{len(lines)} {noun}; nothing was changed"])
    data = [problem._asdict() | {"value": str(problem.value)} for problem in problems]
    return Report(ExitCode.BAD_INPUT, text, {"problems": data})


def _format_problem(source: str, problem: Problem) -> str:
    value = repr(problem.value) if problem.field else ""
    parts = [f"{source}:{problem.line}", problem.field, value, problem.remedy]
    return ": ".join(part for part in parts if part)


def report_unreachable(failure: Failure) -> Report:
    """:return: a report that the platform or a host could not be reached"""
    text = f"{failure.peer} could not be reached at step {failure.step}: {failure.reason}"
    return Report(ExitCode.UNREACHABLE, f"{text}; nothing was done", {"failure": failure._asdict()})
