"""
kingcupdyke_wire.rulefile
~~~~~~~~~~~~~~~~~~~~~~~~~

Reads rule files with their comments and line numbers.
"""

import re
from typing import NamedTuple

from expression import Error, Result
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from kingcupdyke.check import Problem, RuleLine, check_lines, check_rules
from kingcupdyke.rulesnapshot import RuleSnapshot

__all__ = ["CheckedFile", "RuleFile", "check_rule_file", "read_rule_file"]

_VERSION_PATTERN = re.compile(r"#\s*version:\s*([0-9]+)\s*")
_FORMAT_REMEDY = "write each rule on one line, as - {KIND: NAME, FIELD: VALUE, ...}  # WHO: WHY"
_UNQUOTED_STAR_PATTERN = re.compile(r"[\[,:\s]\*[\],}\s]")


class RuleFile(NamedTuple):
    """The lines of a rule file."""

    lines: tuple[RuleLine, ...]
    #: Lines that are not rules.
    problems: tuple[Problem, ...]
    #: Version N of the header ``# version: N``, from which the file was edited, or None.
    base_version: int | None


class CheckedFile(NamedTuple):
    """The rules of a file without errors."""

    rule_snapshot: RuleSnapshot
    base_version: int | None


def check_rule_file(text: str) -> Result[CheckedFile, tuple[Problem, ...]]:
    """:return: the rules of a file's text, or all errors in order of the lines"""
    file = read_rule_file(text)
    if file.problems:
        # Checks across lines are left out: they would report references to the unreadable lines.
        problems = file.problems + check_lines(file.lines)
        return Error(tuple(sorted(problems, key=lambda problem: problem.line)))
    return check_rules(file.lines).map(
        lambda rule_snapshot: CheckedFile(rule_snapshot, file.base_version)
    )


def read_rule_file(text: str) -> RuleFile:
    """Read the text of a rule file.

    Each line is parsed separately, so that one syntax error does not hide the next.

    :param text: the whole file
    """
    yaml = YAML(typ="rt")
    lines: list[RuleLine] = []
    problems: list[Problem] = []
    base_version = None
    for number, line in enumerate(text.splitlines(), start=1):
        if line.startswith("#"):
            match = _VERSION_PATTERN.fullmatch(line)
            if match is not None and not lines:
                base_version = int(match[1])
        elif line.strip() not in ("", "---"):
            read = _read_line(yaml, number, line)
            if isinstance(read, Problem):
                problems.append(read)
            else:
                lines.append(read)
    return RuleFile(tuple(lines), tuple(problems), base_version)


def _read_line(yaml: YAML, number: int, line: str) -> RuleLine | Problem:
    try:
        document = yaml.load(line)
    except MarkedYAMLError as error:
        if _UNQUOTED_STAR_PATTERN.search(line):
            return Problem(number, "", line.strip(), 'put quotes around "*"')
        return Problem(number, "", line.strip(), f"{error.problem}; {_FORMAT_REMEDY}")
    except (YAMLError, ValueError) as error:
        return Problem(number, "", line.strip(), f"{str(error).splitlines()[0]}; {_FORMAT_REMEDY}")
    if not _is_rule(document):
        return Problem(number, "", line.strip(), _FORMAT_REMEDY)
    return RuleLine(number, dict(document[0]), _find_comment(document))


def _is_rule(document: object) -> bool:
    return (
        isinstance(document, CommentedSeq)
        and not document.fa.flow_style()
        and len(document) == 1
        and isinstance(document[0], CommentedMap)
        and document[0].fa.flow_style() is True
    )


def _find_comment(document: CommentedSeq) -> str:
    tokens = document.ca.items.get(0)
    if not tokens or tokens[0] is None:
        return ""
    return tokens[0].value.strip().lstrip("#").strip()
