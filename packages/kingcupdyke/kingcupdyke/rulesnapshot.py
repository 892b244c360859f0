"""
kingcupdyke.rulesnapshot
~~~~~~~~~~~~~~~~~~~~~~~~

The checked rules of one version, in the form in which they are stored and sent to peers.
"""

import json
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from kingcupdyke.error import DECODE_ERRORS
from kingcupdyke.rule import (
    AdapterRule,
    CallerRule,
    LinkRule,
    MemoryRule,
    ModelRule,
    RuleSet,
    ServiceRule,
)

__all__ = [
    "RULE_CLASSES_BY_KIND",
    "AnyRule",
    "SnapshotDelta",
    "RuleSnapshot",
    "StoredRule",
    "apply_delta",
    "collect_rule_set",
    "diff_snapshots",
    "parse_rule",
    "store_rule",
    "to_rule_set",
]

AnyRule = ModelRule | AdapterRule | ServiceRule | CallerRule | MemoryRule | LinkRule

RULE_CLASSES_BY_KIND: dict[str, type[AnyRule]] = {
    "model": ModelRule,
    "adapter": AdapterRule,
    "service": ServiceRule,
    "caller": CallerRule,
    "memory": MemoryRule,
    "link": LinkRule,
}


class StoredRule(NamedTuple):
    """One checked rule with the operator's comment on who requested it and why."""

    #: Kind and name, such as ``model/cs-drafts-7b``.
    key: str
    #: Canonical JSON of the checked fields.
    fields: str
    comment: str


class RuleSnapshot(NamedTuple):
    """All rules of one version."""

    rules_by_key: dict[str, StoredRule]

    @classmethod
    def from_rules(cls, rules: Iterable[StoredRule]) -> "RuleSnapshot":
        """:return: a snapshot of the rules; of two rules with the same key the later one counts"""
        return cls({rule.key: rule for rule in rules})


class SnapshotDelta(NamedTuple):
    """The difference between two snapshots."""

    #: Rules that are added or replaced.
    puts: tuple[StoredRule, ...]
    #: Keys of the removed rules.
    removes: tuple[str, ...]


def store_rule(kind: str, rule: AnyRule, comment: str) -> StoredRule:
    """:return: the rule in its stored form, which is the same for equal rules"""
    fields = json.dumps(
        rule._asdict(), ensure_ascii=False, allow_nan=False, sort_keys=True, separators=(",", ":")
    )
    return StoredRule(f"{kind}/{rule.name}", fields, comment)


def parse_rule(stored: StoredRule) -> AnyRule | None:
    """Parse a stored rule.

    Unknown fields and kinds are ignored, as a newer release may have added them: processes
    of both releases can then hold the same version.

    :return: the rule, or None if its kind is unknown or its fields cannot be parsed
    """
    rule_class = RULE_CLASSES_BY_KIND.get(stored.key.partition("/")[0])
    if rule_class is None:
        return None
    try:
        fields = json.loads(stored.fields)
        known = {name: _freeze(fields[name]) for name in rule_class._fields if name in fields}
        return rule_class(**known)
    except DECODE_ERRORS:
        return None


def _freeze(value: object) -> object:
    return tuple(value) if isinstance(value, list) else value


def collect_rule_set(rules_by_key: Mapping[str, AnyRule]) -> RuleSet:
    """:return: the rules grouped by kind and indexed by name, or by token digest for callers"""
    rule_set = RuleSet.empty()
    rules_by_class = {
        ModelRule: rule_set.models_by_name,
        AdapterRule: rule_set.adapters_by_name,
        ServiceRule: rule_set.services_by_name,
        MemoryRule: rule_set.memory_by_name,
        LinkRule: rule_set.links_by_name,
    }
    for rule in rules_by_key.values():
        if isinstance(rule, CallerRule):
            rule_set.callers_by_digest[rule.token_digest] = rule
        else:
            rules_by_class[type(rule)][rule.name] = rule
    return rule_set


def to_rule_set(snapshot: RuleSnapshot) -> RuleSet:
    """:return: the rules of a snapshot as typed values"""
    parsed = {key: parse_rule(stored) for key, stored in snapshot.rules_by_key.items()}
    return collect_rule_set({key: rule for key, rule in parsed.items() if rule is not None})


def diff_snapshots(old: RuleSnapshot, new: RuleSnapshot) -> SnapshotDelta:
    """:return: the delta that turns the old snapshot into the new one, sorted by key"""
    puts = [rule for key, rule in new.rules_by_key.items() if old.rules_by_key.get(key) != rule]
    removes = old.rules_by_key.keys() - new.rules_by_key.keys()
    return SnapshotDelta(tuple(sorted(puts)), tuple(sorted(removes)))


def apply_delta(snapshot: RuleSnapshot, delta: SnapshotDelta) -> RuleSnapshot:
    """:return: the changed snapshot; the given one is not modified"""
    rules_by_key = dict(snapshot.rules_by_key)
    for key in delta.removes:
        rules_by_key.pop(key, None)
    for rule in delta.puts:
        rules_by_key[rule.key] = rule
    return RuleSnapshot(rules_by_key)
