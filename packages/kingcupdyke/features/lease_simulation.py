"""
lease_simulation
~~~~~~~~~~~~~~~~

Simulated gateways that contend for the planner's lease, with faults of the store and the network.

In a drill the store is away for a moment and comes back from a copy that is some seconds old. It
then gives out the same revisions again, and writes that were in flight may still take effect.
"""

from random import Random

from kingcupdyke.forwarding.leasepromise import LeasePromises
from kingcupdyke.forwarding.peerstate import GatewayState, PeerTable
from kingcupdyke.lease import LeaseMachine
from kingcupdyke.leaserecord import LeaseRecord, ReadLease
from kingcupdyke.storeera import join_revision, split_revision

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
            "l",
            f"{host}/{incarnation}",
            LEASE_DURATION_S,
            0.4,
            False,
            f"{host}/",
            host,
            OUTLIVES_S,
            LEASE_S,
        )
        self.peers = PeerTable()
        #: Era of the store's last answer.
        self.era = 0
        self.is_stopping = False
        self.received_s = {}
        self.promises = LeasePromises(host, LEASE_DURATION_S)
        self.number = 0
        self.frozen_until_s = 0.0
        self.call = None

    def fence(self, now_s, uses_promises):
        fence = self.lease.fence_at(now_s)
        if fence is None or not self.lease.may_use(now_s):
            return 0
        hosts = self.lease.proof_hosts
        proof_s = self.promises.proof_s(fence, hosts) if uses_promises else None
        if proof_s is not None:
            self.lease.record_proof(proof_s)
        return fence if self.lease.proof_age_s(now_s) < MAX_PROOF_AGE_S else 0


class GatewaySimulation:
    """Four gateways and a store, with random faults that depend on a seed.

    :param drills: whether the faults include drills of the store and planned restarts
    """

    def __init__(self, seed, faults=True, uses_promises=True, drills=False):
        self.rng = Random(seed)
        self.faults = faults
        self.uses_promises = uses_promises
        self.gateways = {host: Gateway(host, 1) for host in HOSTS}
        self.drills = drills
        self.era, self.rev = int(drills), 0
        #: Records and their revisions by name, now and at the end of each second.
        self.objects = {}
        self.copies = []
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
            if self.drills:
                self.play_drills(now_s)
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
            self.restart(self.gateways[host], now_s)

    def play_drills(self, now_s):
        if not self.copies or now_s - self.copies[-1][0] >= 1.0:
            self.copies.append((now_s, self.rev, dict(self.objects)))
        if self.rng.random() < 0.005 and now_s >= self.outage[1]:
            copies = [each for each in self.copies if now_s - each[0] <= 8.0]
            _, self.rev, objects = self.rng.choice(copies)
            self.objects = dict(objects)
            self.era += 1
            self.outage = (now_s, now_s + 0.5)
        if self.rng.random() < 0.004:
            self.gateways[self.rng.choice(HOSTS)].is_stopping = True

    def restart(self, gateway, now_s):
        host = gateway.host
        self.gateways[host] = Gateway(host, gateway.incarnation + 1)
        self.dead_until[host] = now_s + self.rng.uniform(0.2, 5)

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
            is_stopping=gateway.is_stopping,
            version=1,
            loads=(),
            demands=(),
            unreachable=(),
            fence=gateway.lease.fence_at(now_s) or 0,
            lease_promise=gateway.promises.get_own_promise(now_s),
            placements=(),
            store_era=gateway.era,
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
        gateway.peers.receive(state, now_s)
        gateway.lease.note_peer_era(state.store_era)
        gateway.lease.note_fence(state.fence)
        is_rival = gateway.lease.may_have_written
        incarnation = str(gateway.incarnation)
        gateway.promises.receive(state, incarnation, is_rival, now_s, gateway.era)

    def keep_lease(self, gateway, now_s):
        lease = gateway.lease
        if gateway.call is not None:
            done_s, command, answer = gateway.call
            if now_s < done_s:
                return
            gateway.call = None
            self.finish(gateway, command, answer, now_s)
            return
        if gateway.is_stopping:
            command = lease.release(now_s)
            if command is None:
                self.restart(gateway, now_s)
            else:
                self.begin(gateway, command, now_s)
            return
        others = set(HOSTS) - {gateway.host}
        lease.is_era_shared = not gateway.peers.list_unaware(others, gateway.era, now_s, OUTLIVES_S)
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
            outcome, name = "read", command.name
        else:
            name = command.record.name
            is_written = self.write(command.record, command.if_version)
            outcome = "written" if is_written else "conflict"
        record, rev = self.objects.get(name, (None, 0))
        version = join_revision(self.era, rev) if rev else 0
        gateway.call = (now_s + TICK_S, command, (outcome, record, version, self.era))

    def write(self, record, if_version):
        """Write if the revision matches, whatever era the condition is of."""
        _, rev = self.objects.get(record.name, (None, 0))
        if split_revision(if_version).revision != rev:
            return False
        self.rev += 1
        self.objects[record.name] = LeaseRecord.decode(record.encode()), self.rev
        return True

    def finish(self, gateway, command, answer, now_s):
        lease = gateway.lease
        if answer is not None:
            gateway.era = max(gateway.era, answer[3])
        era = lease.era
        lease.note_era(gateway.era, now_s)
        if lease.era != era:
            next_command = lease.era_ended(now_s)
        elif answer is None:
            next_command = lease.store_failed(now_s, not isinstance(command, ReadLease))
        elif answer[0] == "written":
            next_command = lease.lease_written(answer[2], now_s)
        elif answer[0] == "conflict":
            next_command = lease.lease_conflict(answer[1], answer[2], now_s)
        else:
            next_command = lease.lease_read(answer[1], answer[2], now_s)
        if next_command is not None:
            self.begin(gateway, next_command, now_s)
