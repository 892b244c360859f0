"""
leavingtable_steps
~~~~~~~~~~~~~~~~~~

Steps for the memory of leaving endpoints.
"""

from behave import then, when
from forwarding_builders import make_entry

from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.leavingmessage import LeavingMessage, LeavingReport
from kingcupdyke.forwarding.leavingtable import LeavingProcess, LeavingTable
from kingcupdyke.forwarding.peermessage import MessageKind, pack_message

MAX_DATAGRAM_BYTES = 60_000


class LeavingScript:
    """A table and the time; runs scripts of events on them."""

    def __init__(self):
        self.table = LeavingTable()
        self.now_s = 0.0

    def run(self, events):
        for event in events.split("; "):
            word, *rest = event.split()
            getattr(self, f"do_{word}")(*rest)

    def do_add(self, endpoint, started_ms):
        self.table.add(LeavingProcess(endpoint, int(started_ms)))

    def do_tell(self, endpoint, started_ms, unlisted_s):
        report = LeavingReport(endpoint, int(started_ms), float(unlisted_s))
        self.table.merge(report, self.now_s)

    def do_wait(self, seconds):
        self.now_s += float(seconds)

    def do_list(self, endpoint="", started_ms="0"):
        listed = {LeavingProcess(endpoint, int(started_ms))} if endpoint else set()
        self.table.drop_expired(listed, self.now_s)


@when('leavingtable: "{events}" happens')
def run_events(context, events):
    context.script = LeavingScript()
    context.script.run(events)


@then('leavingtable: the table knows "{known}"')
def check_known(context, known):
    reports = context.script.table.make_reports(context.script.now_s)
    found = [f"{each.endpoint} {each.started_ms}" for each in reports]
    assert found == [known], found


@then('leavingtable: the table knows ""')
def check_nothing_known(context):
    assert context.script.table.make_reports(context.script.now_s) == ()


@when('leavingtable: the table of endpoints gets the entries "{entries}"')
def put_entries(context, entries):
    table = context.endpoint_table = EndpointTable()
    for each in entries.split("; "):
        if each == "gone":
            table.remove("e1", 0.0, False)
            continue
        started_ms, word, heartbeat = f"{each} 1".split()[:3]
        if word == "said":
            table.note_leaving(LeavingProcess("e1", int(started_ms)))
        else:
            entry = make_entry("e1", started_ms=int(started_ms), heartbeat=int(heartbeat))
            table.put(entry._replace(is_leaving=word == "leaving"))


@then("leavingtable: endpoint e1 is {state}")
def check_state(context, state):
    is_leaving = context.endpoint_table.state_by_id["e1"].entry.is_leaving
    assert is_leaving == (state == "leaving")
    assert bool(context.endpoint_table.list_ready("service")) == (state == "ready")


def make_message(count):
    reports = tuple(
        LeavingReport(f"i-{number * 7919:010x}", 1_783_566_075_548 + number, 0.25 * number)
        for number in range(count)
    )
    return LeavingMessage("entry-n1", reports)


@then("leavingtable: a message with nothing changed is the same after decoding")
def check_round_trip(context):
    message = make_message(3)
    assert LeavingMessage.decode(message.encode()).ok == message


@then("leavingtable: a message with 500 reports is shorter than a datagram")
def check_length(context):
    assert len(make_message(500).encode()) < MAX_DATAGRAM_BYTES


@then("leavingtable: a message with {change} is rejected")
def check_rejected(context, change):
    fields = {
        "no reports field": {"sender": "n1"},
        "a wrong start": {"sender": "n1", "reports": [["e1", "soon", 0.0]]},
        "another kind": make_message(1)._asdict(),
    }[change]
    kind = MessageKind.LIMITS if change == "another kind" else MessageKind.LEAVING
    assert LeavingMessage.decode(pack_message(kind, fields)).is_error()
