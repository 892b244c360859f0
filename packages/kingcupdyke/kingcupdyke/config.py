"""
kingcupdyke.config
~~~~~~~~~~~~~~~~~~

A process's replica of the configuration; its version only increases.
"""

from collections import deque
from collections.abc import Iterable
from itertools import islice
from typing import NamedTuple

from kingcupdyke.rule import RuleSet
from kingcupdyke.rulesnapshot import (
    AnyRule,
    RuleSnapshot,
    SnapshotDelta,
    StoredRule,
    apply_delta,
    collect_rule_set,
    parse_rule,
)

__all__ = ["ConfigChange", "ConfigReplica"]


class ConfigChange(NamedTuple):
    """An accepted change: applied to version N - 1 of the rules, it gives version N."""

    version: int
    #: Unique id, by which the operator can find out whether the change was applied.
    change_id: str
    author: str
    puts: tuple[StoredRule, ...]
    #: Keys of the removed rules.
    removes: tuple[str, ...]


class ConfigReplica:
    """The configuration version and the rules that one process uses.

    Changes may be lost, duplicated, delayed or reordered: only the next version is
    applied, older ones are ignored, and after a gap :attr:`needs_pull` is set.

    :param max_changes: recent changes kept for peers that are behind
    """

    def __init__(self, max_changes: int = 256) -> None:
        #: Version in force in this process; 0 before the first one.
        self.version = 0
        self.rule_snapshot = RuleSnapshot({})
        self._highest_seen_version = 0
        self._changes: deque[ConfigChange] = deque(maxlen=max_changes)
        self._parsed_by_key: dict[str, AnyRule] = {}
        self._rule_set: RuleSet | None = RuleSet.empty()

    @property
    def rule_set(self) -> RuleSet:
        """The rules in force; the same object until the version changes."""
        if self._rule_set is None:
            self._rule_set = collect_rule_set(self._parsed_by_key)
        return self._rule_set

    @property
    def needs_pull(self) -> bool:
        """Whether a peer or a change has shown a version above the one in force."""
        return self._highest_seen_version > self.version

    def record_version(self, version: int) -> None:
        """Record a version that a peer holds, so that a missing one is pulled.

        :param version: the peer's version in force
        """
        self._highest_seen_version = max(self._highest_seen_version, version)

    def accept_change(self, change: ConfigChange) -> bool:
        """Apply a change if its version is exactly the next one.

        :return: whether the change was applied
        """
        self.record_version(change.version)
        if change.version != self.version + 1:
            return False
        delta = SnapshotDelta(change.puts, change.removes)
        parsed_by_key = self._parse(self._parsed_by_key, delta)
        self.rule_snapshot = apply_delta(self.rule_snapshot, delta)
        self._activate(change.version, parsed_by_key)
        self._changes.append(change)
        return True

    def accept_snapshot(self, version: int, rules: Iterable[StoredRule]) -> bool:
        """Replace all rules by those of a version, if it is higher than the one in force.

        :return: whether the snapshot was applied
        """
        self.record_version(version)
        if version <= self.version:
            return False
        snapshot = RuleSnapshot.from_rules(rules)
        parsed_by_key = self._parse({}, SnapshotDelta(tuple(snapshot.rules_by_key.values()), ()))
        self.rule_snapshot = snapshot
        self._activate(version, parsed_by_key)
        self._changes.clear()
        return True

    def changes_since(self, version: int) -> tuple[ConfigChange, ...] | None:
        """:return: the changes after a version, or None if they are no longer kept"""
        if version >= self.version:
            return ()
        missing = self.version - version
        if missing > len(self._changes):
            return None
        return tuple(islice(self._changes, len(self._changes) - missing, None))

    def _parse(self, parsed_by_key: dict[str, AnyRule], delta: SnapshotDelta) -> dict[str, AnyRule]:
        # Parse before any state changes, so that a malformed rule leaves the replica unchanged.
        parsed_by_key = dict(parsed_by_key)
        for key in delta.removes:
            parsed_by_key.pop(key, None)
        for stored in delta.puts:
            rule = parse_rule(stored)
            if rule is not None:
                parsed_by_key[stored.key] = rule
        return parsed_by_key

    def _activate(self, version: int, parsed_by_key: dict[str, AnyRule]) -> None:
        self.version = version
        self._parsed_by_key = parsed_by_key
        self._rule_set = None
