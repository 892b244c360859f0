"""
kingcupdyke.config
~~~~~~~~~~~~~~~~~~

The configuration that one process holds; it only ever moves to higher versions.
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
    """An accepted change; version N turns version N - 1 into N."""

    version: int
    #: Unique id by which its operator finds it again.
    change_id: str
    author: str
    puts: tuple[StoredRule, ...]
    #: Keys of the rules that are gone.
    removes: tuple[str, ...]


class ConfigReplica:
    """The version and the rules of one process.

    Changes may be lost, doubled, late or out of order: only the next version is
    taken, older ones are ignored and a gap asks for a pull.

    :param most_changes: changes kept for peers that fell behind
    """

    def __init__(self, most_changes: int = 256) -> None:
        #: Version in force here; 0 before the first one.
        self.version = 0
        self.book = RuleSnapshot({})
        self._heard_version = 0
        self._changes: deque[ConfigChange] = deque(maxlen=most_changes)
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
        """Whether a version above the one in force was heard of."""
        return self._heard_version > self.version

    def hear_version(self, version: int) -> None:
        """Note a version that a peer holds.

        :param version: the peer's version in force
        """
        self._heard_version = max(self._heard_version, version)

    def accept_change(self, change: ConfigChange) -> bool:
        """Take the change if it is exactly the next one.

        :return: whether it is in force now and was not before
        """
        self.hear_version(change.version)
        if change.version != self.version + 1:
            return False
        delta = SnapshotDelta(change.puts, change.removes)
        parsed_by_key = self._parse(self._parsed_by_key, delta)
        self.book = apply_delta(self.book, delta)
        self._put_in_force(change.version, parsed_by_key)
        self._changes.append(change)
        return True

    def accept_snapshot(self, version: int, rules: Iterable[StoredRule]) -> bool:
        """Take a whole version if it is higher than the one in force.

        :return: whether it is in force now and was not before
        """
        self.hear_version(version)
        if version <= self.version:
            return False
        book = RuleSnapshot.from_rules(rules)
        parsed_by_key = self._parse({}, SnapshotDelta(tuple(book.rules_by_key.values()), ()))
        self.book = book
        self._put_in_force(version, parsed_by_key)
        self._changes.clear()
        return True

    def changes_since(self, version: int) -> tuple[ConfigChange, ...] | None:
        """:return: the changes after a version; None when a snapshot is needed"""
        if version >= self.version:
            return ()
        missing = self.version - version
        if missing > len(self._changes):
            return None
        return tuple(islice(self._changes, len(self._changes) - missing, None))

    def _parse(self, parsed_by_key: dict[str, AnyRule], delta: SnapshotDelta) -> dict[str, AnyRule]:
        # Parsed before anything is kept, so that a broken rule leaves the replica as it was.
        parsed_by_key = dict(parsed_by_key)
        for key in delta.removes:
            parsed_by_key.pop(key, None)
        for stored in delta.puts:
            rule = parse_rule(stored)
            if rule is not None:
                parsed_by_key[stored.key] = rule
        return parsed_by_key

    def _put_in_force(self, version: int, parsed_by_key: dict[str, AnyRule]) -> None:
        self.version = version
        self._parsed_by_key = parsed_by_key
        self._rule_set = None
