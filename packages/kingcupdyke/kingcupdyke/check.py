"""
kingcupdyke.check
~~~~~~~~~~~~~~~~~

Checks the lines of a rule file and reports all errors in one pass.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from expression import Error, Ok, Result

from kingcupdyke.feasibility import find_misfits
from kingcupdyke.rule import ANY_CALLER, AdapterRule, CallerRule, MemoryRule, ModelRule
from kingcupdyke.rulefields import READERS_BY_KIND, FieldReader
from kingcupdyke.rulesnapshot import AnyRule, RuleSnapshot, store_rule

__all__ = ["Problem", "RuleLine", "check_lines", "check_rules"]

#: Kinds that callers address by name; they share a namespace, so each name must be unique in it.
_TARGET_KINDS = ("model", "adapter", "service")


class RuleLine(NamedTuple):
    """One line of a rule file."""

    #: Number of the line, counted from 1.
    line: int
    #: Field names and values as written; the first field's name is the kind of the rule.
    fields: Mapping[str, object]
    #: Text of the comment without its ``#``.
    comment: str


class Problem(NamedTuple):
    """An error in a rule file."""

    line: int
    field: str
    value: object
    remedy: str


class _CheckedLine(NamedTuple):
    """A line whose fields are valid on their own, regardless of the other lines."""

    line: RuleLine
    kind: str
    rule: AnyRule


def check_rules(lines: Sequence[RuleLine]) -> Result[RuleSnapshot, tuple[Problem, ...]]:
    """Check all lines of a rule file.

    :param lines: the lines in file order
    :return: the rules, or all errors sorted by line
    """
    if not lines:
        # Applying an empty file would remove all rules.
        return Error((Problem(1, "", None, "has no rules; write at least one line"),))
    checked, problems = _read_lines(lines)
    problems += _find_duplicates(checked)
    problems += _find_unknown_names(lines, checked)
    problems += _find_misfits(lines, checked)
    if problems:
        return Error(tuple(sorted(problems, key=lambda problem: problem.line)))
    stored = (store_rule(each.kind, each.rule, each.line.comment) for each in checked)
    return Ok(RuleSnapshot.from_rules(stored))


def check_lines(lines: Sequence[RuleLine]) -> tuple[Problem, ...]:
    """:return: the errors within single lines, without checks across lines"""
    return tuple(_read_lines(lines)[1])


def _read_lines(lines: Sequence[RuleLine]) -> tuple[list[_CheckedLine], list[Problem]]:
    problems: list[Problem] = []
    checked: list[_CheckedLine] = []
    for line in lines:
        problems += _check_comment(line)
        rule, found = _read_line(line)
        problems += found
        if rule is not None:
            checked.append(rule)
    return checked, problems


def _check_comment(line: RuleLine) -> list[Problem]:
    if line.comment.strip():
        return []
    remedy = "end the line with a comment that says who requested the rule and why"
    return [Problem(line.line, "#", "", remedy)]


def _read_line(line: RuleLine) -> tuple[_CheckedLine | None, list[Problem]]:
    kind = next(iter(line.fields), "")
    read = READERS_BY_KIND.get(kind)
    if read is None:
        remedy = f"begin the rule with one of {', '.join(READERS_BY_KIND)}"
        return None, [Problem(line.line, str(kind), line.fields.get(kind), remedy)]
    reader = FieldReader(line.fields)
    rule = read(reader)
    problems = [
        Problem(line.line, error.option, error.value, error.remedy) for error in reader.finish()
    ]
    return (None if problems else _CheckedLine(line, kind, rule)), problems


def _find_duplicates(checked: Iterable[_CheckedLine]) -> list[Problem]:
    problems = []
    lines_by_key: dict[tuple[str, str], int] = {}
    for each in checked:
        keys = [("target" if each.kind in _TARGET_KINDS else each.kind, each.rule.name)]
        if isinstance(each.rule, CallerRule):
            keys.append(("token_sha256", each.rule.token_digest))
        for key in keys:
            first = lines_by_key.setdefault(key, each.line.line)
            if first != each.line.line:
                field = key[0] if key[0] == "token_sha256" else each.kind
                remedy = f"is already taken by line {first}; use another one or merge the lines"
                problems.append(Problem(each.line.line, field, key[1], remedy))
    return problems


def _collect_names(lines: Iterable[RuleLine], kind: str) -> set[object]:
    # Lines with errors count as well, so that references to them are not reported as errors too.
    firsts = (next(iter(line.fields.items()), ("", "")) for line in lines)
    return {name for first, name in firsts if first == kind and isinstance(name, str)}


def _find_unknown_names(
    lines: Sequence[RuleLine], checked: Iterable[_CheckedLine]
) -> list[Problem]:
    callers = _collect_names(lines, "caller") | {ANY_CALLER}
    models = _collect_names(lines, "model")
    regions = _collect_regions(lines)
    problems = []
    for each in checked:
        number = each.line.line
        for caller in getattr(each.rule, "callers", ()):
            if caller not in callers:
                remedy = f"add a caller rule for it, or write {ANY_CALLER} for every caller"
                problems.append(Problem(number, "callers", caller, remedy))
        if isinstance(each.rule, AdapterRule) and each.rule.model not in models:
            remedy = "add a model rule for it, or correct the name"
            problems.append(Problem(number, "model", each.rule.model, remedy))
        if isinstance(each.rule, ModelRule):
            for region in each.rule.regions:
                if region not in regions:
                    remedy = "add a memory rule for the region, or correct its name"
                    problems.append(Problem(number, "regions", region, remedy))
    return problems


def _collect_regions(lines: Iterable[RuleLine]) -> set[object]:
    memory = [line for line in lines if next(iter(line.fields), "") == "memory"]
    regions = [line.fields.get("region", line.fields["memory"]) for line in memory]
    return {region for region in regions if isinstance(region, str)}


def _find_misfits(lines: Sequence[RuleLine], checked: Sequence[_CheckedLine]) -> list[Problem]:
    memory = [each.rule for each in checked if isinstance(each.rule, MemoryRule)]
    if len(memory) != sum(next(iter(line.fields), "") == "memory" for line in lines):
        # With an invalid memory rule the available memory is unknown, so the fit is not checked.
        return []
    lines_by_model = {
        each.rule.name: each.line.line for each in checked if isinstance(each.rule, ModelRule)
    }
    models = [each.rule for each in checked if isinstance(each.rule, ModelRule)]
    adapters = [each.rule for each in checked if isinstance(each.rule, AdapterRule)]
    return [
        Problem(lines_by_model[misfit.model], misfit.field, misfit.value, misfit.remedy)
        for misfit in find_misfits(models, adapters, memory)
    ]
