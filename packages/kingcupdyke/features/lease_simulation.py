"""
lease_simulation
~~~~~~~~~~~~~~~~

Simulated gateways that contend for the planner's lease, with faults of the store and the network.
"""

from random import Random

from kingcupdyke.forwarding.leasepromise import LeasePromises
from kingcupdyke.forwarding.peerstate import GatewayState
from kingcupdyke.lease import LeaseMachine, LeaseRecord, ReadLease

__all__ = ["GatewaySimulation"]

HOSTS = ("a", "b", "c", "d")
TICK_S = 0.1
LEASE_S = 3.0
LEASE_DURATION_S = LEASE_S + 1.2
#: Seconds after the last proof of the lease for which its holder still sends orders.
MAX_PROOF_AGE_S = 1.0
STORE_TIMEOUT_S = 1.5
PEER_TIMEOUT_S = 1.5
OUTLIVES_S = 40.0


class Gateway:
    """The parts of one gateway that take and keep the lease."""

    def __init__(self, host, incarnation):
        self.host = host
        self.incarnation = incarnation
        self.lease = LeaseMachine(
            "l", f"{host}/{incarnation}", LEASE_DURATION_S, 0.4, False, f"{host}/", host, OUTLIVES_S
        )
        self.received_s = {}
        self.promises = LeasePromises(host, LEASE_DURATION_S)
        self.number = 0
        self.frozen_until_s = 0.0
        self.call = None

    def fence(self, now_s, uses_promises):
        fence = self.lease.fence_at(now_s)
        if fence is None:
            return 0
        hosts = self.lease.proof_hosts
        proof_s = self.promises.proof_s(fence, hosts) if uses_promises else None
        if proof_s is not None:
            self.lease.record_proof(proof_s)
        return fence if self.lease.proof_age_s(now_s) < MAX_PROOF_AGE_S else 0


class GatewaySimulation:
    """Four gateways and a store, with random faults that depend on a seed."""

    def __init__(self, seed, faults=True, uses_promises=True):
        self.rng = Random(seed)
        self.faults = faults
        self.uses_promises = uses_promises
        self.gateways = {host: Gateway(host, 1) for host in HOSTS}
        self.record, self.version = None, 0
        self.orders = []
        self.late_writes = []
        self.messages = []
        self.store_lost_until = dict.fromkeys(HOSTS, 0.0)
        self.partitioned_until = {}
        self.outage = (-1.0, -1.0)
        self.dead_until = dict.fromkeys(HOSTS, 0.0)

    def share(self, length_s):
        """:return: the share of ticks in which a gateway sent orders"""
        return len({round(at_s, 1) for at_s, _, _ in self.orders}) * TICK_S / length_s

    def run(self, length_s, begin_s=0.0):
        now_s = begin_s
        while now_s < length_s:
            now_s += TICK_S
            if self.faults:
                self.inject_faults(now_s)
            for write in [each for each in self.late_writes if each[0] <= now_s]:
                self.late_writes.remove(write)
                self.write(*write[1:])
            for message in [each for each in self.messages if each[0] <= now_s]:
                self.messages.remove(message)
                self.deliver(*message[1:], now_s)
            for host, gateway in self.gateways.items():
                if now_s >= max(gateway.frozen_until_s, self.dead_until[host]):
                    self.step(gateway, now_s)

    def inject_faults(self, now_s):
        rng = self.rng
        host = rng.choice(HOSTS)
        if rng.random() < 0.01:
            self.store_lost_until[host] = now_s + rng.uniform(1, 9)
        if rng.random() < 0.004:
            self.outage = (now_s, now_s + rng.uniform(1, 9))
        if rng.random() < 0.008:
            self.partitioned_until[host, rng.choice(HOSTS)] = now_s + rng.uniform(0.5, 6)
        if rng.random() < 0.004:
            self.gateways[host].frozen_until_s = now_s + rng.uniform(0.5, 7)
        if rng.random() < 0.004:
            restarts = self.gateways[host].incarnation + 1
            self.gateways[host] = Gateway(host, restarts)
            self.dead_until[host] = now_s + rng.uniform(0.2, 5)

    def step(self, gateway, now_s):
        fence = gateway.fence(now_s, self.uses_promises)
        if fence:
            self.orders.append((now_s, gateway.host, fence))
        self.send_state(gateway, now_s)
        self.keep_lease(gateway, now_s)

    def send_state(self, gateway, now_s):
        gateway.number += 1
        gateway.promises.note_sent(gateway.number, now_s)
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
            lease_promise=gateway.promises.get_own_promise(now_s),
            placements=(),
        )
        for other in HOSTS:
            is_partitioned = self.partitioned_until.get((gateway.host, other), 0.0) > now_s
            if other != gateway.host and not is_partitioned and self.rng.random() > 0.05:
                self.messages.append((now_s + self.rng.uniform(0.01, 0.4), other, state))

    def deliver(self, host, state, now_s):
        gateway = self.gateways[host]
        if now_s < max(gateway.frozen_until_s, self.dead_until[host]):
            return
        gateway.received_s[state.host] = now_s
        is_rival = gateway.lease.may_have_written
        gateway.promises.receive(state, str(gateway.incarnation), is_rival, now_s)

    def keep_lease(self, gateway, now_s):
        lease = gateway.lease
        if gateway.call is not None:
            done_s, command, answer = gateway.call
            if now_s < done_s:
                return
            gateway.call = None
            self.finish(gateway, command, answer, now_s)
            return
        lease.may_take = not self.uses_promises or gateway.promises.may_take(now_s)
        live = {
            host
            for host, received_s in gateway.received_s.items()
            if now_s - received_s < PEER_TIMEOUT_S
        }
        lease.members = tuple(sorted(live | {gateway.host}))
        command = lease.tick(now_s)
        if command is not None:
            self.begin(gateway, command, now_s)

    def begin(self, gateway, command, now_s):
        is_down = self.outage[0] <= now_s < self.outage[1]
        if is_down or self.store_lost_until[gateway.host] > now_s:
            if not isinstance(command, ReadLease) and self.rng.random() < 0.3:
                write_s = now_s + self.rng.uniform(0.1, 4)
                self.late_writes.append((write_s, command.record, command.if_version))
            gateway.call = (now_s + STORE_TIMEOUT_S, command, None)
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
            next_command = lease.store_failed(now_s, not isinstance(command, ReadLease))
        elif answer[0] == "written":
            next_command = lease.lease_written(answer[2], now_s)
        elif answer[0] == "conflict":
            next_command = lease.lease_conflict(answer[1], answer[2], now_s)
        else:
            next_command = lease.lease_read(answer[1], answer[2], now_s)
        if next_command is not None:
            self.begin(gateway, next_command, now_s)
