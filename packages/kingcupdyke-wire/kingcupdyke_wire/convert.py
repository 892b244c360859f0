"""
kingcupdyke_wire.convert
~~~~~~~~~~~~~~~~~~~~~~~~

Converts configuration and membership updates to and from the messages between peers.
"""

from collections.abc import Iterable

from kingcupdyke.config import ConfigChange, ConfigReplica
from kingcupdyke.membership import LeaveNotice
from kingcupdyke.rulesnapshot import StoredRule
from kingcupdyke_wire.peer_pb2 import Change, Leaving, News, Rule, Snapshot

__all__ = [
    "apply_update",
    "make_update",
    "read_change",
    "read_leaving",
    "read_rule",
    "write_change",
    "write_leaving",
    "write_rule",
]


def write_rule(rule: StoredRule) -> Rule:
    """:return: the rule as a message"""
    return Rule(key=rule.key, fields=rule.fields, comment=rule.comment)


def read_rule(message: Rule) -> StoredRule:
    """:return: the rule of a message"""
    return StoredRule(message.key, message.fields, message.comment)


def write_change(change: ConfigChange) -> Change:
    """:return: the change as a message"""
    return Change(
        version=change.version,
        change_id=change.change_id,
        author=change.author,
        puts=[write_rule(rule) for rule in change.puts],
        removes=change.removes,
    )


def read_change(message: Change) -> ConfigChange:
    """:return: the change of a message"""
    return ConfigChange(
        message.version,
        message.change_id,
        message.author,
        tuple(read_rule(rule) for rule in message.puts),
        tuple(message.removes),
    )


def write_leaving(notice: LeaveNotice) -> Leaving:
    """:return: a host's leave notice as a message"""
    return Leaving(**notice._asdict())


def read_leaving(message: Leaving) -> LeaveNotice:
    """:return: the leave notice of a message"""
    return LeaveNotice(message.host, message.incarnation, message.sequence, message.leaving)


def make_update(
    replica: ConfigReplica, peer_version: int, leaving: Iterable[LeaveNotice] = ()
) -> News:
    """Build the message that brings a peer up to date.

    :param replica: the local copy of the configuration
    :param peer_version: configuration version of the peer
    :param leaving: leave notices to forward
    :return: the changes that the peer lacks, or a snapshot if the replica no longer has them all
    """
    news = News(version=replica.version, leaving=[write_leaving(each) for each in leaving])
    changes = replica.changes_since(peer_version)
    if changes is None:
        rules = [write_rule(rule) for rule in replica.rule_snapshot.rules_by_key.values()]
        news.snapshot.CopyFrom(Snapshot(version=replica.version, rules=rules))
    else:
        news.changes.extend(write_change(change) for change in changes)
    return news


def apply_update(replica: ConfigReplica, news: News) -> bool:
    """Apply the configuration in a peer's message to a replica.

    If changes are still missing afterwards, the replica sets its ``needs_pull``.

    :return: whether the replica has a new version
    """
    version_before = replica.version
    replica.record_version(news.version)
    if news.HasField("snapshot"):
        rules = [read_rule(rule) for rule in news.snapshot.rules]
        replica.accept_snapshot(news.snapshot.version, rules)
    for change in news.changes:
        replica.accept_change(read_change(change))
    return replica.version > version_before
