"""
convert_steps
~~~~~~~~~~~~~

Steps for configuration and membership updates between peers.
"""

from behave import given, then, when

from kingcupdyke.config import ConfigChange, ConfigReplica
from kingcupdyke.membership import LeaveNotice
from kingcupdyke.rulesnapshot import StoredRule
from kingcupdyke_wire.convert import apply_update, make_update, read_leaving
from kingcupdyke_wire.peer_pb2 import News

LEAVE_NOTICE = LeaveNotice("praha-1", "b", 3, True)


def make_replica(version):
    replica = ConfigReplica(max_changes=4)
    for each in range(1, version + 1):
        put = StoredRule(f"caller/{each % 3}", f'{{"version":{each}}}', "Jana Nováková")
        removes = (f"caller/{(each + 1) % 3}",)
        replica.accept_change(ConfigChange(each, f"{each}-x", "Jana", (put,), removes))
    return replica


@given("convert's sender at version {version:d} with 4 changes, its receiver at version {older:d}")
def give_replicas(context, version, older):
    context.sender = make_replica(version)
    context.receiver = make_replica(older)


@when("convert's message is received {times:d} times")
def send(context, times):
    sent = make_update(context.sender, context.receiver.version, [LEAVE_NOTICE])
    context.sent = News.FromString(sent.SerializeToString())
    version_before = context.receiver.version
    is_new = [apply_update(context.receiver, context.sent) for _ in range(times)]
    assert is_new == [version_before < context.sender.version] + [False] * (times - 1)


@then("convert sent {sent}, and the receiver has version {version:d} and the leave notice")
def check_receiver(context, sent, version):
    versions = [str(change.version) for change in context.sent.changes]
    expected_versions = {"nothing": [], "a snapshot": []}
    assert versions == expected_versions.get(sent, sent.split()[1:])
    assert context.sent.HasField("snapshot") is (sent == "a snapshot")
    assert context.receiver.version == context.sender.version == version
    assert context.receiver.rule_snapshot == context.sender.rule_snapshot
    assert not context.receiver.needs_pull
    latest_change = context.receiver.changes_since(version - 1)
    assert latest_change in (None, context.sender.changes_since(version - 1))
    assert [read_leaving(each) for each in context.sent.leaving] == [LEAVE_NOTICE]


@then("convert's receiver that receives only the version stays at {version:d} and needs a pull")
def check_pull(context, version):
    apply_update(context.receiver, News(version=context.sender.version))
    assert context.receiver.version == version
    assert context.receiver.needs_pull
