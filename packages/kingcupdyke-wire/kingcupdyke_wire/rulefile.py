"""
kingcupdyke_wire.rulefile
~~~~~~~~~~~~~~~~~~~~~~~~~

Reading rule files, with their comments and line numbers.
"""

import re
from typing import NamedTuple

from expression import Error, Ok, Result
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from kingcupdyke.check import Problem, RuleLine

__all__ = ["RuleFile", "read_rule_file"]

_VERSION_PATTERN = re.compile(r"#\s*version:\s*([0-9]+)\s*")
_SHAPE_REMEDY = "write each rule on one line, as - {KIND: NAME, FIELD: VALUE, ...}  # WHO: WHY"


class RuleFile(NamedTuple):
    """The lines of a rule file."""

    lines: tuple[RuleLine, ...]
    #: Version that the file was read from, of its header ``# version: N``; or None.
    base_version: int | None


def read_rule_file(text: str) -> Result[RuleFile, tuple[Problem, ...]]:
    """Read the text of a rule file.

    Each line is read by itself, so that one syntax error does not hide the next.

    :param text: the whole file
    :return: the lines, or every line that is no rule
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
    if problems:
        return Error(tuple(problems))
    return Ok(RuleFile(tuple(lines), base_version))


def _read_line(yaml: YAML, number: int, line: str) -> RuleLine | Problem:
    try:
        document = yaml.load(line)
    except MarkedYAMLError as error:
        return Problem(number, "", line.strip(), f"{error.problem}; {_SHAPE_REMEDY}")
    except (YAMLError, ValueError) as error:
        return Problem(number, "", line.strip(), f"{str(error).splitlines()[0]}; {_SHAPE_REMEDY}")
    if not _is_rule(document):
        return Problem(number, "", line.strip(), _SHAPE_REMEDY)
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
