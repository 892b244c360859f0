"""
leasesupport_steps
~~~~~~~~~~~~~~~~~~

Steps for the promises by which a lease outlives an outage of the store.
"""

from behave import then, when
from lease_peers import HOSTS, TICK_S, PeerDay

from kingcupdyke.forwarding.leasepromise import LeasePromises
from kingcupdyke.forwarding.peerstate import GatewayState

PROMISE_S = 4.2
EMPTY = GatewayState("a", "i", 0, False, 1, (), (), (), 0, None, ())


class SupportStory:
    """Three gateways that hear each other at once."""

    def __init__(self):
        self.supports = {name: LeasePromises(name, PROMISE_S) for name in "abc"}
        self.numbers = dict.fromkeys("abc", 0)
        self.rivals = set()
        self.now_s = 0.0

    def run(self, events):
        for event in events.split("; "):
            word, *rest = event.split()
            getattr(self, f"do_{word}")(*rest)

    def do_say(self, name, at_s, fence=3, is_heard=True):
        self.now_s = float(at_s)
        self.numbers[name] += 1
        support = self.supports[name]
        support.note_sent(self.numbers[name], self.now_s)
        state = EMPTY._replace(
            host=name,
            number=self.numbers[name],
            fence=fence if name == "a" else 0,
            support=support.get_given(self.now_s),
        )
        for other, each in self.supports.items():
            if other != name and is_heard:
                each.hear(state, "i", other in self.rivals or other == "a", self.now_s)

    def do_lose(self, name, at_s):
        self.do_say(name, at_s, is_heard=False)

    def do_back(self, name, at_s):
        self.do_say(name, at_s, fence=0)

    def do_rival(self, name):
        self.rivals.add(name)

    def do_wait(self, until_s):
        self.now_s = float(until_s)


@when('leasesupport: "{events}" happens to gateways a, b and c, of which a holds fence 3')
def run_events(context, events):
    context.story = SupportStory()
    context.story.run(events)


@then('leasesupport: the proof of a is from second "{proof}", and b {may} take the lease')
def check_proof(context, proof, may):
    story = context.story
    found = story.supports["a"].proof_s(3, "abc")
    assert str(found) == proof.replace("none", "None"), found
    assert story.supports["b"].may_take(story.now_s) == (may == "may")


@when("leasesupport: four gateways contend for {length:d} s under faults, with seed {seed:d}")
def run_day(context, length, seed):
    context.day = PeerDay(seed)
    context.day.run(length)
    context.length_s = length


@then(
    "leasesupport: no two gave orders within 3 s of each other, or with one fence, or a lower "
    "one later"
)
def check_orders(context):
    last_s, last_host, last_fence = {}, {}, 0
    for at_s, host, fence in context.day.orders:
        for other, seen_s in last_s.items():
            assert other == host or at_s - seen_s >= 3.0, (at_s, host, other, seen_s)
        assert last_host.setdefault(fence, host) == host, (at_s, host, fence)
        assert fence >= last_fence, (at_s, host, fence, last_fence)
        last_s[host], last_fence = at_s, fence


@then("leasesupport: orders were given in at least {share:d} percent of the time")
def check_some(context, share):
    found = context.day.share(context.length_s)
    assert found >= share / 100, found


@when("leasesupport: the holder is gone for good from second {begin:d} on, of {length:d}")
def lose_holder(context, begin, length):
    context.day = PeerDay(0, faults=False)
    context.day.run(begin)
    holder = context.day.orders[-1][1]
    context.day.dead_until[holder] = float("inf")
    context.day.run(length, begin)


@then("leasesupport: another one gives orders from second {latest:d} on at the latest")
def check_successor(context, latest):
    first, last = context.day.orders[0], context.day.orders[-1]
    assert first[1] != last[1], first
    begin_s = min(at_s for at_s, host, _ in context.day.orders if host == last[1])
    assert begin_s <= latest and last[0] >= 59.0, (begin_s, last)


@when("leasesupport: the store is down for all for {length:d} s")
def run_outage(context, length):
    context.length_s = length + 15
    context.day = PeerDay(0, faults=False)
    context.day.outage = (10.0, 10.0 + length)
    context.day.run(context.length_s)
    context.alone = PeerDay(0, faults=False, is_supported=False)
    context.alone.outage = context.day.outage
    context.alone.run(context.length_s)


@then(
    "leasesupport: without the promises of peers they were given in at most {share:d} percent "
    "of it"
)
def check_alone(context, share):
    found = context.alone.share(context.length_s)
    assert found <= share / 100, found


@when(
    "leasesupport: one that holds nothing is gone for good from second {begin:d} on, and the store "
    "is down for all from {down:d} to {up:d}"
)
def lose_other(context, begin, down, up):
    context.day = PeerDay(0, faults=False)
    context.day.outage = (float(down), float(up))
    context.day.run(begin)
    holder = context.day.orders[-1][1]
    lost, *_ = [each for each in HOSTS if each != holder]
    context.day.dead_until[lost] = float("inf")
    context.day.run(up, begin)


@then(
    "leasesupport: orders were given from second {begin:d} to {end:d} in at least {share:d} "
    "percent of the time"
)
def check_share_between(context, begin, end, share):
    ticks = {round(at_s, 1) for at_s, _, _ in context.day.orders if begin <= at_s < end}
    found = len(ticks) * TICK_S / (end - begin)
    assert found >= share / 100, found


@when(
    "leasesupport: gateway {lost} hears no peer from second {begin:d} on, and the others lose the "
    "store from {down:d} to {up:d}"
)
def cut_one(context, lost, begin, down, up):
    context.day = PeerDay(0, faults=False)
    context.day.run(begin)
    for other in HOSTS:
        context.day.cut[lost, other] = context.day.cut[other, lost] = float("inf")
    context.day.run(down, begin)
    for other in HOSTS:
        if other != lost:
            context.day.store_cut[other] = float(up)
    context.day.run(up, down)


@then("leasesupport: gateway {lost} gives orders in the end")
def check_last_holder(context, lost):
    assert context.day.orders[-1][1] == lost, context.day.orders[-1]
