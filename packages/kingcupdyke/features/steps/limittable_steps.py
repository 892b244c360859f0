"""
limittable_steps
~~~~~~~~~~~~~~~~

Steps for the limits that endpoints name.
"""

from math import inf

from behave import given, then, when
from forwarding_builders import make_datagrams, make_entry

from kingcupdyke.forwarding.limitmessage import LimitMessage, LimitReport, LimitVersion
from kingcupdyke.forwarding.limittable import LimitTable

FULL_MESSAGE = LimitMessage(
    "h",
    "i",
    3,
    (
        LimitReport("e1", 7, 1.5, LimitVersion(2, "g"), (0.5, 1.0)),
        LimitReport("e2", 8, None, LimitVersion(1, "h"), ()),
    ),
)


@then("limittable: a full message is the same when decoded")
def check_round_trip(context):
    assert LimitMessage.decode(FULL_MESSAGE.encode()).ok == FULL_MESSAGE


@then('limittable: "{value}" is rejected')
def check_invalid(context, value):
    for each in make_datagrams(LimitMessage, value):
        assert LimitMessage.decode(each).is_error(), each


class LimitScript:
    """The tables of several gateways; runs scripts of events on them.

    :param hosts: the live gateways
    :param count: number of all gateways
    """

    def __init__(self, hosts, count):
        self.entry = make_entry("e1")
        self.now_s = 0.0
        self.number = 0
        self.packed = None
        self.hosts = hosts
        self.count = count
        self.tables = {}
        self.incarnations = dict.fromkeys(hosts, "i1")
        for host in hosts:
            self.start(host)

    def start(self, host):
        self.tables[host] = LimitTable()
        peers = [each for each in self.hosts if each != host]
        self.tables[host].set_gateways(host, peers, self.count)

    def run(self, events):
        for event in events.split(";"):
            second, word, *rest = event.split()
            self.now_s = float(second)
            getattr(self, f"do_{word}")(*rest)

    def do_wait(self):
        pass

    def do_name(self, host, limit):
        limit_per_s = None if limit == "-" else float(limit)
        self.tables[host].note_answer(self.entry, limit_per_s, self.now_s)

    def do_send(self, host):
        self.tables[host].note_sent(self.entry, self.now_s)

    def do_tell(self, host, peer):
        self.tables[peer].merge(self.make_message(host), self.now_s)

    def do_pack(self, host):
        self.packed = self.make_message(host)

    def do_unpack(self, peer):
        self.tables[peer].merge(self.packed, self.now_s)

    def do_restart(self):
        self.entry = self.entry._replace(started_ms=self.entry.started_ms + 1)

    def do_again(self, host):
        self.incarnations[host] = "i2"
        self.start(host)
        self.tables[host].note_answer(self.entry, 0.25, self.now_s)

    def make_message(self, host):
        self.number += 1
        reports = self.tables[host].make_reports(self.now_s)
        return LimitMessage(host, self.incarnations[host], self.number, reports)


@given('limittable: the gateways "{hosts}" of {count:d}')
def give_gateways(context, hosts, count):
    context.script = LimitScript(hosts.split(), count)


@when('limittable: "{events}" happens')
def run_events(context, events):
    context.script.run(events)


@then('limittable: gateway "{host}" may send in "{delay:g}" s')
def check_delay(context, host, delay):
    script = context.script
    found = script.tables[host].find_delay(script.entry, script.now_s)
    assert abs(found - delay) < 0.001, found


@then("limittable: of {count:d} gateways {senders:d} send to an endpoint with a limit of {limit:g}")
def check_senders(context, count, senders, limit):
    script = LimitScript([f"g{number}" for number in range(count)], count)
    entry = script.entry
    for table in script.tables.values():
        table.note_answer(entry, limit, 0.0)
    sending = [host for host, each in script.tables.items() if each.find_delay(entry, 0.0) < inf]
    assert len(sending) == senders, sending


@then(
    "limittable: one of {count:d} gateways that may not send forgets the limit after {seconds:d} "
    "s, and one that may does not"
)
def check_forgotten(context, count, seconds):
    script = LimitScript([f"g{number}" for number in range(count)], count)
    entry = script.entry
    for table in script.tables.values():
        table.note_answer(entry, 1.0, 0.0)
        may_send = table.find_delay(entry, 0.0) < inf
        table.drop_expired([entry], seconds - 0.5)
        assert table.get_limit(entry) == 1.0
        table.drop_expired([entry], seconds + 0.5)
        assert (table.get_limit(entry) == 1.0) == may_send
