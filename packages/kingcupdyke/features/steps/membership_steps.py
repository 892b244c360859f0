"""
membership_steps
~~~~~~~~~~~~~~~~

Steps for the membership table.
"""

from behave import given, then, when

from kingcupdyke.host import Host
from kingcupdyke.membership import OLDER_INCARNATION_DELAY_S, MembershipTable

SILENCE_S = 3.0


def make_host(name, kind="sidecar", state="live"):
    return Host(name, "127.0.0.1", 1, kind, "bohemia", "praha-1", state)


@given('a membership table that lists "e1" as live')
def give_table(context):
    context.now_s = 100.0
    context.members = MembershipTable(SILENCE_S)
    context.members.update_list([make_host("e1"), make_host("e2")], context.now_s)
    context.notices = []


@given('a membership table of a peer that is partitioned from "e1"')
def give_peer(context):
    context.peer = MembershipTable(SILENCE_S)
    context.peer.update_list([make_host("e1"), make_host("e2")], context.now_s)


@when("membership processes, a second apart: {events}")
def process_events(context, events):
    for event in events.split(", "):
        context.now_s += OLDER_INCARNATION_DELAY_S if event == "later" else 1.0
        process_event(context.members, event.split(), context.now_s)
        context.notices += context.members.recent_notices()
        # Called after each event, so that a stale cached list is detected.
        context.members.routable()


def process_event(table, words, now_s):
    if words[0] == "news":
        table.record_notice("e1", words[1], int(words[2]), words[3] == "leaving", now_s)
    elif words[0] == "answer":
        table.record_answer("e1", words[1], now_s, leaving=words[-1] == "leaving")
    elif words[0] == "silence":
        table.record_missing_answer("e1", now_s)
    elif words[0] != "later":
        lists = {
            "list": [make_host("e1", state=words[-1]), make_host("e2")],
            "missing": [make_host("e2")],
            "empty": [],
            "gateway": [make_host("e1"), make_host("g1", "gateway")],
        }
        table.update_list(lists[words[0]], now_s)


@when("membership waits {seconds:g} seconds")
def wait(context, seconds):
    context.now_s += seconds
    context.members.record_missing_answer("e2", context.now_s)


@when("membership forwards its notices to the peer, twice and the oldest last")
def forward_notices(context):
    for notice in [*context.notices, *reversed(context.notices)]:
        context.peer.record_notice(*notice, context.now_s)


@then('membership routes to "{name}": {routed}')
def check_routed(context, name, routed):
    check(context.members, name, routed)


@then('the membership table of the peer routes to "{name}": {routed}')
def check_peer(context, name, routed):
    check(context.peer, name, routed)


def check(table, name, routed):
    assert (name in [host.host for host in table.routable()]) is (routed == "yes")
    assert "e2" in [host.host for host in table.routable()]


@then("membership forwards {count:d} notices")
def check_notices(context, count):
    assert len(context.members.recent_notices()) == count, context.members.recent_notices()


@then(
    "membership forwards the notices of {count:d} hosts "
    "within {calls:d} calls of at most 64 notices"
)
def check_parts(context, count, calls):
    names = {f"host-{index}" for index in range(count)}
    for name in names:
        context.members.record_notice(name, "a", 1, True, context.now_s)
    parts = [context.members.recent_notices() for _ in range(calls)]
    assert max(len(part) for part in parts) <= 64
    assert {notice.host for part in parts for notice in part} == names


@then('membership routes kind "sidecar" to "e1" and kind "gateway" to "g1"')
def check_kinds(context):
    assert "e1" in [host.host for host in context.members.routable("sidecar")]
    assert [host.host for host in context.members.routable("gateway")] == ["g1"]
