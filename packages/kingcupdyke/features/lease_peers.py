"""
lease_peers
~~~~~~~~~~~

Gateways that contend for the planner's lease, over a store and a network with faults.
"""

from random import Random

from kingcupdyke.forwarding.leasepromise import LeasePromises
from kingcupdyke.forwarding.peerstate import GatewayState
from kingcupdyke.lease import LeaseMachine, LeaseRecord, ReadLease

__all__ = ["PeerDay"]

HOSTS = ("a", "b", "c", "d")
TICK_S = 0.1
LEASE_S = 3.0
DURATION_S = LEASE_S + 1.2
ORDERS_S = 1.0
CALL_S = 1.5
LIVE_S = 1.5
OUTLIVES_S = 40.0


class Gateway:
    """The lease's part of one gateway."""

    def __init__(self, host, incarnation):
        self.host = host
        self.incarnation = incarnation
        self.lease = LeaseMachine(
            "l", f"{host}/{incarnation}", DURATION_S, 0.4, False, f"{host}/", host, OUTLIVES_S
        )
        self.heard_s = {}
        self.support = LeasePromises(host, DURATION_S)
        self.number = 0
        self.frozen_until_s = 0.0
        self.call = None

    def fence(self, now_s, is_supported):
        fence = self.lease.fence_at(now_s)
        if fence is None:
            return 0
        hosts = self.lease.proof_hosts
        proof_s = self.support.proof_s(fence, hosts) if is_supported else None
        if proof_s is not None:
            self.lease.prove(proof_s)
        return fence if self.lease.proof_age_s(now_s) < ORDERS_S else 0


class PeerDay:
    """Four gateways, a store and faults by a seed."""

    def __init__(self, seed, faults=True, is_supported=True):
        self.rng = Random(seed)
        self.faults = faults
        self.is_supported = is_supported
        self.gateways = {host: Gateway(host, 1) for host in HOSTS}
        self.record, self.version = None, 0
        self.orders = []
        self.late_writes = []
        self.messages = []
        self.store_cut = dict.fromkeys(HOSTS, 0.0)
        self.cut = {}
        self.outage = (-1.0, -1.0)
        self.dead_until = dict.fromkeys(HOSTS, 0.0)

    def share(self, length_s):
        """:return: the share of ticks in which orders were given"""
        return len({round(at_s, 1) for at_s, _, _ in self.orders}) * TICK_S / length_s

    def run(self, length_s, begin_s=0.0):
        now_s = begin_s
        while now_s < length_s:
            now_s += TICK_S
            if self.faults:
                self.break_something(now_s)
            for write in [each for each in self.late_writes if each[0] <= now_s]:
                self.late_writes.remove(write)
                self.write(*write[1:])
            for message in [each for each in self.messages if each[0] <= now_s]:
                self.messages.remove(message)
                self.deliver(*message[1:], now_s)
            for host, gateway in self.gateways.items():
                if now_s >= max(gateway.frozen_until_s, self.dead_until[host]):
                    self.step(gateway, now_s)

    def break_something(self, now_s):
        rng = self.rng
        host = rng.choice(HOSTS)
        if rng.random() < 0.01:
            self.store_cut[host] = now_s + rng.uniform(1, 9)
        if rng.random() < 0.004:
            self.outage = (now_s, now_s + rng.uniform(1, 9))
        if rng.random() < 0.008:
            self.cut[host, rng.choice(HOSTS)] = now_s + rng.uniform(0.5, 6)
        if rng.random() < 0.004:
            self.gateways[host].frozen_until_s = now_s + rng.uniform(0.5, 7)
        if rng.random() < 0.004:
            restarts = self.gateways[host].incarnation + 1
            self.gateways[host] = Gateway(host, restarts)
            self.dead_until[host] = now_s + rng.uniform(0.2, 5)

    def step(self, gateway, now_s):
        fence = gateway.fence(now_s, self.is_supported)
        if fence:
            self.orders.append((now_s, gateway.host, fence))
        self.say(gateway, now_s)
        self.keep(gateway, now_s)

    def say(self, gateway, now_s):
        gateway.number += 1
        gateway.support.note_sent(gateway.number, now_s)
        state = GatewayState(
            host=gateway.host,
            incarnation=str(gateway.incarnation),
            number=gateway.number,
            is_stopping=False,
            version=1,
            loads=(),
            demands=(),
            unreachable=(),
            fence=gateway.lease.fence_at(now_s) or 0,
            support=gateway.support.get_given(now_s),
            placements=(),
        )
        for other in HOSTS:
            is_cut = self.cut.get((gateway.host, other), 0.0) > now_s
            if other != gateway.host and not is_cut and self.rng.random() > 0.05:
                self.messages.append((now_s + self.rng.uniform(0.01, 0.4), other, state))

    def deliver(self, host, state, now_s):
        gateway = self.gateways[host]
        if now_s < max(gateway.frozen_until_s, self.dead_until[host]):
            return
        gateway.heard_s[state.host] = now_s
        is_rival = gateway.lease.may_have_written
        gateway.support.hear(state, str(gateway.incarnation), is_rival, now_s)

    def keep(self, gateway, now_s):
        lease = gateway.lease
        if gateway.call is not None:
            done_s, command, answer = gateway.call
            if now_s < done_s:
                return
            gateway.call = None
            self.finish(gateway, command, answer, now_s)
            return
        lease.may_take = not self.is_supported or gateway.support.may_take(now_s)
        live = {host for host, heard_s in gateway.heard_s.items() if now_s - heard_s < LIVE_S}
        lease.members = tuple(sorted(live | {gateway.host}))
        command = lease.tick(now_s)
        if command is not None:
            self.begin(gateway, command, now_s)

    def begin(self, gateway, command, now_s):
        is_down = self.outage[0] <= now_s < self.outage[1]
        if is_down or self.store_cut[gateway.host] > now_s:
            if not isinstance(command, ReadLease) and self.rng.random() < 0.3:
                late_s = now_s + self.rng.uniform(0.1, 4)
                self.late_writes.append((late_s, command.record, command.if_version))
            gateway.call = (now_s + CALL_S, command, None)
            return
        if isinstance(command, ReadLease):
            answer = ("read", self.record, self.version)
        elif self.write(command.record, command.if_version):
            answer = ("written", command.record, self.version)
        else:
            answer = ("conflict", self.record, self.version)
        gateway.call = (now_s + TICK_S, command, answer)

    def write(self, record, if_version):
        if if_version != self.version:
            return False
        self.record = LeaseRecord.decode(record.encode())
        self.version += 1
        return True

    def finish(self, gateway, command, answer, now_s):
        lease = gateway.lease
        if answer is None:
            following = lease.store_failed(now_s, not isinstance(command, ReadLease))
        elif answer[0] == "written":
            following = lease.lease_written(answer[2], now_s)
        elif answer[0] == "conflict":
            following = lease.lease_conflict(answer[1], answer[2], now_s)
        else:
            following = lease.lease_read(answer[1], answer[2], now_s)
        if following is not None:
            self.begin(gateway, following, now_s)
