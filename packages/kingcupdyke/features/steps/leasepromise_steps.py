"""
leasepromise_steps
~~~~~~~~~~~~~~~~~~

Steps for the promises by which a holder keeps its lease in an outage of the store.
"""

from behave import then, when
from lease_simulation import HOSTS, TICK_S, GatewaySimulation

from kingcupdyke.forwarding.leasepromise import LeasePromises
from kingcupdyke.forwarding.peerstate import GatewayState
from kingcupdyke.storeera import find_fence_era

PROMISE_S = 4.2
EMPTY = GatewayState("a", "i", 0, False, 1, (), (), (), 0, None, ())


class LeasePromiseScript:
    """Three gateways that receive each other's messages immediately; runs scripts of events."""

    def __init__(self):
        self.promises_by_host = {name: LeasePromises(name, PROMISE_S) for name in "abc"}
        self.numbers = dict.fromkeys("abc", 0)
        self.rivals = set()
        self.now_s = 0.0

    def run(self, events):
        for event in events.split("; "):
            word, *rest = event.split()
            getattr(self, f"do_{word}")(*rest)

    def do_send(self, name, at_s, fence=3, is_received=True):
        self.now_s = float(at_s)
        self.numbers[name] += 1
        promises = self.promises_by_host[name]
        promises.note_sent(self.numbers[name], self.now_s)
        state = EMPTY._replace(
            host=name,
            number=self.numbers[name],
            fence=fence if name == "a" else 0,
            lease_promise=promises.get_own_promise(self.now_s),
        )
        for other, each in self.promises_by_host.items():
            if other != name and is_received:
                each.receive(state, "i", other in self.rivals or other == "a", self.now_s)

    def do_lose(self, name, at_s):
        self.do_send(name, at_s, is_received=False)

    def do_release(self, name, at_s):
        self.do_send(name, at_s, fence=0)

    def do_rival(self, name):
        self.rivals.add(name)

    def do_wait(self, time_s):
        self.now_s = float(time_s)


@when('leasepromise: "{events}" happens to gateways a, b and c, of which a holds fence 3')
def run_events(context, events):
    context.script = LeasePromiseScript()
    context.script.run(events)


@then('leasepromise: the proof of a is from second "{proof}", and b {may} take the lease')
def check_proof(context, proof, may):
    script = context.script
    found = script.promises_by_host["a"].proof_s(3, "abc")
    assert str(found) == proof.replace("none", "None"), found
    assert script.promises_by_host["b"].may_take(script.now_s) == (may == "may")


@when("leasepromise: four gateways contend for {length:d} s under faults, with seed {seed:d}")
def run_simulation(context, length, seed):
    context.simulation = GatewaySimulation(seed)
    context.simulation.run(length)
    context.length_s = length


@when(
    "leasepromise: four gateways contend for {length:d} s under faults, drills of the store and "
    "planned restarts, with seed {seed:d}"
)
def run_drills(context, length, seed):
    context.simulation = GatewaySimulation(seed, drills=True)
    context.simulation.run(length)
    context.length_s = length


@then("leasepromise: the store has come back from a copy, and orders were sent in {least:d} eras")
def check_eras(context, least):
    eras = {find_fence_era(fence) for _, _, fence in context.simulation.orders}
    assert context.simulation.era > 1
    assert len(eras) >= least, eras


@then(
    "leasepromise: no two gateways sent orders within 3 s of each other or with one fence, and "
    "no fence decreased"
)
def check_orders(context):
    last_s, last_host, last_fence = {}, {}, 0
    for at_s, host, fence in context.simulation.orders:
        for other, seen_s in last_s.items():
            assert other == host or at_s - seen_s >= 3.0, (at_s, host, other, seen_s)
        assert last_host.setdefault(fence, host) == host, (at_s, host, fence)
        assert fence >= last_fence, (at_s, host, fence, last_fence)
        last_s[host], last_fence = at_s, fence


@then("leasepromise: orders were sent in at least {share:d} percent of the time")
def check_share(context, share):
    found = context.simulation.share(context.length_s)
    assert found >= share / 100, found


@when("leasepromise: the holder is lost for good from second {begin:d} on, of {length:d}")
def lose_holder(context, begin, length):
    context.simulation = GatewaySimulation(0, faults=False)
    context.simulation.run(begin)
    holder = context.simulation.orders[-1][1]
    context.simulation.dead_until[holder] = float("inf")
    context.simulation.run(length, begin)


@then("leasepromise: another gateway sends orders from second {latest:d} on at the latest")
def check_successor(context, latest):
    first, last = context.simulation.orders[0], context.simulation.orders[-1]
    assert first[1] != last[1], first
    begin_s = min(at_s for at_s, host, _ in context.simulation.orders if host == last[1])
    assert begin_s <= latest and last[0] >= 59.0, (begin_s, last)


@when("leasepromise: the store is down for all for {length:d} s")
def run_outage(context, length):
    context.length_s = length + 15
    context.simulation = GatewaySimulation(0, faults=False)
    context.simulation.outage = (10.0, 10.0 + length)
    context.simulation.run(context.length_s)
    context.without_promises = GatewaySimulation(0, faults=False, uses_promises=False)
    context.without_promises.outage = context.simulation.outage
    context.without_promises.run(context.length_s)


@then(
    "leasepromise: without the promises of peers they were sent in at most {share:d} percent "
    "of it"
)
def check_without_promises(context, share):
    found = context.without_promises.share(context.length_s)
    assert found <= share / 100, found


@when(
    "leasepromise: a gateway without the lease is lost for good from second {begin:d} on, and the "
    "store is down for all from {down:d} to {up:d}"
)
def lose_other(context, begin, down, up):
    context.simulation = GatewaySimulation(0, faults=False)
    context.simulation.outage = (float(down), float(up))
    context.simulation.run(begin)
    holder = context.simulation.orders[-1][1]
    lost, *_ = [each for each in HOSTS if each != holder]
    context.simulation.dead_until[lost] = float("inf")
    context.simulation.run(up, begin)


@then(
    "leasepromise: orders were sent from second {begin:d} to {end:d} in at least {share:d} "
    "percent of the time"
)
def check_share_between(context, begin, end, share):
    ticks = {round(at_s, 1) for at_s, _, _ in context.simulation.orders if begin <= at_s < end}
    found = len(ticks) * TICK_S / (end - begin)
    assert found >= share / 100, found


@when(
    "leasepromise: gateway {lost} receives from no peer from second {begin:d} on, and the others "
    "lose the store from {down:d} to {up:d}"
)
def partition_gateway(context, lost, begin, down, up):
    context.simulation = GatewaySimulation(0, faults=False)
    context.simulation.run(begin)
    for other in HOSTS:
        context.simulation.partitioned_until[lost, other] = context.simulation.partitioned_until[
            other, lost
        ] = float("inf")
    context.simulation.run(down, begin)
    for other in HOSTS:
        if other != lost:
            context.simulation.store_lost_until[other] = float(up)
    context.simulation.run(up, down)


@then("leasepromise: gateway {lost} sends orders in the end")
def check_last_holder(context, lost):
    assert context.simulation.orders[-1][1] == lost, context.simulation.orders[-1]
