"""
kingcupdyke_wire.ruletext
~~~~~~~~~~~~~~~~~~~~~~~~~

Formats rules as the text of a rule file.
"""

import json
import re
from collections.abc import Iterable

from kingcupdyke.rulesnapshot import (
    RULE_CLASSES_BY_KIND,
    AnyRule,
    StoredRule,
    parse_rule,
)
from kingcupdyke.util import get_bytes_opt, get_seconds_opt

__all__ = ["format_rule_file", "format_rule_line"]

#: Field names in the rule file by field names of the rule classes, where they differ.
_FILE_FIELD_NAMES = {
    "weights_bytes": "weights",
    "kv_bytes": "kv",
    "service_class": "class",
    "deadline_s": "deadline",
    "adapter_bytes": "size",
    "idempotent_methods": "idempotent",
    "token_digest": "token_sha256",
    "bytes_per_host": "per_host",
    "bytes_per_s": "budget",
}
#: Strings that need no quotes in any version of YAML.
_PLAIN_PATTERN = re.compile(
    r"(?!(?:true|false|null|yes|no|on|off|y|n)$)[A-Za-z][A-Za-z0-9._-]*", re.I
)
_BYTE_UNITS = (("TB", 10**12), ("GB", 10**9), ("MB", 10**6), ("KB", 10**3))


def format_rule_file(version: int, rules: Iterable[StoredRule]) -> str:
    """Format rules as a file that reads back as the same rules.

    :param version: version of the rules; the next apply reads it from the header
    :return: the text, sorted by kind and name
    """
    kinds = list(RULE_CLASSES_BY_KIND)
    lines_by_kind: dict[str, list[str]] = {kind: [] for kind in reversed(kinds)}
    for rule in sorted(rules):
        lines_by_kind.setdefault(rule.key.partition("/")[0], []).append(format_rule_line(rule))
    parts = ["\n".join(lines) for lines in lines_by_kind.values() if lines]
    return "\n\n".join([f"# version: {version}", *parts]) + "\n"


def format_rule_line(stored: StoredRule) -> str:
    """:return: one rule as a line of a rule file"""
    kind = stored.key.partition("/")[0]
    rule = parse_rule(stored)
    if rule is None:
        return f"# {stored.key} is not known to this release: {stored.fields}  # {stored.comment}"
    fields = ", ".join(f"{name}: {value}" for name, value in _format_fields(kind, rule))
    return f"- {{{fields}}}  # {stored.comment}"


def _format_fields(kind: str, rule: AnyRule) -> Iterable[tuple[str, str]]:
    for field, value in rule._asdict().items():
        name = kind if field == "name" else _FILE_FIELD_NAMES.get(field, field)
        if "bytes" in field:
            yield name, _format_bytes(value)
        elif field == "deadline_s":
            yield name, _format_seconds(value)
        else:
            yield name, _format_value(value)


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return f"[{', '.join(_format_value(each) for each in value)}]"
    if isinstance(value, str) and _PLAIN_PATTERN.fullmatch(value):
        return value
    return json.dumps(value, ensure_ascii=False)


def _format_bytes(size: int) -> str:
    for unit, scale in _BYTE_UNITS:
        text = f"{size / scale:.3f}".rstrip("0").rstrip(".") + unit
        if size >= scale and get_bytes_opt({"size": text}, "size") == size:
            return text
    return str(size)


def _format_seconds(seconds: float) -> str:
    for text in (f"{seconds * 1000:g}ms" if seconds < 1 else "", f"{seconds:g}s"):
        if text and "e" not in text and get_seconds_opt({"time": text}, "time") == seconds:
            return text
    return json.dumps(seconds)
