"""
peerschedule_steps
~~~~~~~~~~~~~~~~~~

Steps for when gateways send each other their states.
"""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

from behave import then, when

from kingcupdyke.forwarding.peerschedule import PeerSchedule, PeerScope
from kingcupdyke.forwarding.peerstate import GatewayState, PeerTable

LOCAL_DELAY_S, REMOTE_DELAY_S = 0.001, 0.03
#: Interval between two times at which a waiting request makes a state urgent.
DEMAND_INTERVAL_S = 0.025


class Gateway:
    """One simulated gateway."""

    def __init__(self, host, hosts):
        self.host = host
        self.schedule = PeerSchedule()
        self.table = PeerTable()
        self.number = 0
        self.scope_by_host = {
            each: PeerScope.LOCAL if each[0] == host[0] else PeerScope.REMOTE
            for each in hosts
            if each != host
        }

    def make_state(self, scope):
        interval_s = self.schedule.get_interval_s(scope, len(self.scope_by_host))
        fence = int(self.host == "a0")
        return GatewayState(
            self.host, "i", self.number, False, 1, (), (), (), fence, None, (), (), interval_s
        )


class Exchange:
    """Gateways of two regions that send each other their states in virtual time."""

    def __init__(self, gateways):
        hosts = [f"{'ab'[n % 2]}{n}" for n in range(gateways)]
        self.gateway_by_host = {host: Gateway(host, hosts) for host in hosts}
        self.received = Counter()
        self.gone = []
        self.ended = set()
        self.is_demand_urgent = False
        self._order = count()
        self._events = []
        rng = Random(gateways)
        for host in hosts:
            self._add(rng.uniform(0, 0.5), host, None)

    def run(self, until_s):
        while self._events and self._events[0][0] < until_s:
            at_s, _, host, state = heappop(self._events)
            if host in self.ended:
                continue
            if state is None:
                self._send(self.gateway_by_host[host], at_s)
            else:
                self._receive(self.gateway_by_host[host], state, at_s)

    def _add(self, at_s, host, state):
        heappush(self._events, (at_s, next(self._order), host, state))

    def _send(self, gateway, now_s):
        if self.is_demand_urgent:
            gateway.schedule.make_urgent(is_demand=True)
        if not gateway.schedule.get_wait_s(now_s):
            gateway.number += 1
            state_by_scope = {scope: gateway.make_state(scope) for scope in PeerScope}
            for host in gateway.schedule.take_due(gateway.scope_by_host, {"a0"}, now_s):
                scope = gateway.scope_by_host[host]
                delay_s = LOCAL_DELAY_S if scope is PeerScope.LOCAL else REMOTE_DELAY_S
                self._add(now_s + delay_s, host, state_by_scope[scope])
        wait_s = max(0.001, gateway.schedule.get_wait_s(now_s))
        self._add(
            now_s + (min(wait_s, DEMAND_INTERVAL_S) if self.is_demand_urgent else wait_s),
            gateway.host,
            None,
        )

    def _receive(self, gateway, state, now_s):
        self.received[gateway.host] += 1
        if state.number > 1 and not gateway.table.is_live(state.host, now_s):
            self.gone.append((round(now_s, 2), gateway.host, state.host))
        gateway.table.receive(state, now_s)


@when("peerschedule: {gateways:d} gateways in two regions send each other their states for 60 s")
def run_calmly(context, gateways):
    context.exchange = Exchange(gateways)
    context.seconds = 60.0
    context.exchange.run(context.seconds)


@then("peerschedule: no gateway ever takes a peer that it has heard for gone")
def check_none_gone(context):
    exchange = context.exchange
    assert not exchange.gone, (len(exchange.gone), exchange.gone[:3])
    for gateway in exchange.gateway_by_host.values():
        live = {each.host for each in gateway.table.live(context.seconds)}
        assert live == gateway.scope_by_host.keys(), (gateway.host, len(live))


@then("peerschedule: a gateway receives at most {limit:g} messages a second")
def check_received(context, limit):
    worst = max(context.exchange.received.values()) / context.seconds
    assert worst <= limit, worst


@when("peerschedule: one of {gateways:d} gateways in two regions ends")
def end_one(context, gateways):
    context.exchange = Exchange(gateways)
    context.exchange.run(10.0)
    context.exchange.ended.add("b1")
    context.exchange.run(20.0)


@then("peerschedule: all others take it for gone within {limit_s:g} s")
def check_gone(context, limit_s):
    for host, gateway in context.exchange.gateway_by_host.items():
        assert host == "b1" or not gateway.table.is_live("b1", 10.0 + limit_s), host
        assert host == "b1" or gateway.table.is_live("b1", 10.0), host


@when("peerschedule: a state is urgent for {urgent_for} among {gateways:d} gateways")
def make_urgent(context, urgent_for, gateways):
    gateway = Exchange(gateways).gateway_by_host["b1"]
    gateway.schedule.take_due(gateway.scope_by_host, {"a0"}, 5.0)
    gateway.schedule.make_urgent(is_demand=urgent_for == "planners")
    assert gateway.schedule.get_wait_s(5.01) == 0.0
    context.sent = set(gateway.schedule.take_due(gateway.scope_by_host, {"a0"}, 5.01))
    context.peers = gateway.scope_by_host.keys()


@then("peerschedule: it is sent immediately to {sent_to}")
def check_sent(context, sent_to):
    local = {host for host in context.peers if host.startswith("b")}
    expected = {"a0"} | local if sent_to == "planners and local peers" else context.peers
    assert context.sent == expected, context.sent


@when("peerschedule: requests wait at each of {gateways:d} gateways all the time, for {for_s:g} s")
def let_wait(context, gateways, for_s):
    context.exchange = Exchange(gateways)
    context.exchange.is_demand_urgent = True
    context.seconds = for_s
    context.exchange.run(for_s)


@then("peerschedule: the planner receives at most {limit:g} messages a second")
def check_planner(context, limit):
    rate = context.exchange.received["a0"] / context.seconds
    assert rate <= limit, rate


@then("peerschedule: other gateways receive at most {limit:g} messages a second")
def check_others(context, limit):
    rates = [n for host, n in context.exchange.received.items() if host != "a0"]
    worst = max(rates) / context.seconds
    assert worst <= limit, worst
