"""
config_steps
~~~~~~~~~~~~

Steps for the configuration replica of one process, and for a network of replicas.
"""

from random import Random

from behave import then, when
from checks import run_machine
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from hypothesis.strategies import integers

from kingcupdyke.config import ConfigChange, ConfigReplica
from kingcupdyke.membership import choose_push_targets, choose_watchers, pick_peers
from kingcupdyke.rule import CallerRule
from kingcupdyke.rulesnapshot import (
    RuleSnapshot,
    SnapshotDelta,
    apply_delta,
    store_rule,
    to_rule_set,
)

DATA_CENTRES = ("praha-1", "praha-2", "brno-1")
MAX_CHANGES = 4
#: Upper bound of the deliveries of one change to all hosts, with each push duplicated.
MAX_DELIVERIES = 1000


def make_change(version):
    names = [f"caller-{version % 5}", f"caller-{(version + 1) % 5}"]
    put = store_rule("caller", CallerRule(names[0], names[0], float(version)), "Jana")
    return ConfigChange(version, f"change-{version}", "Jana", (put,), (f"caller/{names[1]}",))


def make_snapshot(version):
    snapshot = RuleSnapshot({})
    for each in range(1, version + 1):
        change = make_change(each)
        snapshot = apply_delta(snapshot, SnapshotDelta(change.puts, change.removes))
    return snapshot


def check_replica(replica, version):
    assert replica.version == version, (replica.version, version)
    assert replica.rule_snapshot == make_snapshot(version)
    assert replica.rule_set == to_rule_set(replica.rule_snapshot)


def make_replica(version):
    replica = ConfigReplica(MAX_CHANGES)
    for each in range(1, version + 1):
        assert replica.accept_change(make_change(each))
    return replica


def answer_pull(puller, peer):
    """Update one replica from another, as a pull between two processes does."""
    changes = peer.changes_since(puller.version)
    puller.record_version(peer.version)
    if changes is None:
        puller.accept_snapshot(peer.version, peer.rule_snapshot.rules_by_key.values())
    for change in changes or ():
        puller.accept_change(change)


@when("config at version {version:d} receives {arrivals}")
def receive(context, version, arrivals):
    replica = context.replica = make_replica(version)
    for arrival in arrivals.split(", "):
        word, *_, number = arrival.split()
        before = replica.version
        if word == "change":
            taken = replica.accept_change(make_change(int(number)))
        elif word == "snapshot":
            rules = make_snapshot(int(number)).rules_by_key.values()
            taken = replica.accept_snapshot(int(number), rules)
        else:
            taken = replica.record_version(int(number)) or False
        assert taken is (replica.version > before)
        assert replica.version >= before


@then("config is at version {version:d} with its rules and needs a pull: {pull}")
def check_version(context, version, pull):
    check_replica(context.replica, version)
    assert context.replica.needs_pull is (pull == "yes")


@then("config has for a peer at version {peer:d}: {answer}")
def check_answer(context, peer, answer):
    changes = context.replica.changes_since(peer)
    versions = [change.version for change in changes or ()]
    expected = [int(word) for word in answer.split() if word.isdigit()]
    assert versions == expected
    assert (changes is None) is (answer == "a snapshot")


@then(
    "config at version {version:d} keeps its rule set until a change, "
    "which does not modify the old one"
)
def check_rule_set(context, version):
    replica = make_replica(version)
    old = replica.rule_set
    assert replica.rule_set is old
    replica.accept_change(make_change(version + 1))
    assert replica.rule_set is not old
    assert old == to_rule_set(make_snapshot(version))


class ConfigNetwork:
    """Replicas in several data centres, with watches, pushes and pulls that can fail."""

    def __init__(self, hosts_each):
        self.rng = Random(5)
        self.hosts_by_centre = {
            centre: [f"{centre}-{index}" for index in range(hosts_each)] for centre in DATA_CENTRES
        }
        names = [name for hosts in self.hosts_by_centre.values() for name in hosts]
        self.replicas_by_name = {name: make_replica(5) for name in names}
        self.dead_hosts = set()
        self.stalled_hosts = set()
        self.partitioned = False
        self.loss_ratio = 0.0
        self.is_scrambled = False
        self.pushes = []
        self.has_reverted = False

    def accept(self, version):
        """Deliver an accepted change to the watchers, which push it to the other hosts."""
        change = make_change(version)
        for centre, hosts in self.hosts_by_centre.items():
            for name in choose_watchers(hosts, centre):
                if name not in self.dead_hosts | self.stalled_hosts and not self.is_cut_off(
                    name, "praha-1"
                ):
                    self.deliver(centre, name, change)
        self.flush()

    def is_cut_off(self, name, other):
        return self.partitioned and name.startswith("brno") != other.startswith("brno")

    def deliver(self, centre, name, change):
        replica = self.replicas_by_name[name]
        before = replica.version
        if replica.accept_change(change):
            hosts = self.hosts_by_centre[centre]
            targets = choose_push_targets(hosts, name, centre, change.version)
            copies = 2 if self.is_scrambled else 1
            self.pushes += [(centre, target, change) for target in targets] * copies
        self.has_reverted |= replica.version < before

    def flush(self):
        deliveries = 0
        while self.pushes:
            deliveries += 1
            assert deliveries <= MAX_DELIVERIES, "a change is pushed without end"
            if self.is_scrambled:
                self.rng.shuffle(self.pushes)
            centre, name, change = self.pushes.pop()
            if name not in self.dead_hosts and self.rng.random() >= self.loss_ratio:
                self.deliver(centre, name, change)

    def pull(self):
        alive = sorted(set(self.replicas_by_name) - self.dead_hosts)
        for name in alive:
            for peer in pick_peers(alive, name, 3, self.rng):
                if not self.is_cut_off(name, peer):
                    replica = self.replicas_by_name[name]
                    before = replica.version
                    answer_pull(replica, self.replicas_by_name[peer])
                    self.has_reverted |= replica.version < before


def find_watchers(network):
    return [
        name
        for centre, hosts in network.hosts_by_centre.items()
        for name in choose_watchers(hosts, centre)
    ]


def accept_with_late_deltas(network):
    accept_all(network)
    for centre, hosts in network.hosts_by_centre.items():
        for name in hosts:
            replica = network.replicas_by_name[name]
            replica.accept_snapshot(4, make_snapshot(4).rules_by_key.values())
            for version in (5, 4, 7, 6):
                network.deliver(centre, name, make_change(version))


def accept_with_store_down(network):
    for version in (6, 7, 8):
        network.deliver("praha-1", find_watchers(network)[0], make_change(version))
    network.pushes.clear()


def accept_then_start(network):
    accept_all(network)
    network.replicas_by_name["praha-1-0"] = make_replica(3)
    network.replicas_by_name["praha-1-1"] = ConfigReplica(MAX_CHANGES)


def accept_partitioned(network):
    network.partitioned = True
    accept_all(network)
    network.pull()
    assert network.replicas_by_name["brno-1-0"].version == 5
    network.partitioned = False


def accept_all(network):
    for version in (6, 7, 8):
        network.accept(version)


def fail_with(**faults):
    def accept(network):
        for name, value in faults.items():
            setattr(network, name, value(network) if callable(value) else value)
        accept_all(network)

    return accept


ACCEPT_BY_FAULT = {
    "none": accept_all,
    "a watcher killed": fail_with(dead_hosts=lambda network: set(find_watchers(network)[::3])),
    "a watch stalled": fail_with(stalled_hosts=lambda network: set(find_watchers(network)[1::3])),
    "all watches stalled but one": fail_with(
        stalled_hosts=lambda network: set(find_watchers(network)[1:])
    ),
    "store down after acceptance": accept_with_store_down,
    "started in an outage": accept_then_start,
    "pushes lost": fail_with(loss_ratio=0.5),
    "pushes duplicated, reordered": fail_with(is_scrambled=True),
    "old deltas arriving late": accept_with_late_deltas,
    "regions partitioned": accept_partitioned,
}


@when(
    'a config network of {hosts:d} hosts per data centre gets 3 changes under the fault "{fault}"'
)
def accept_under_fault(context, hosts, fault):
    context.network = ConfigNetwork(hosts)
    ACCEPT_BY_FAULT[fault](context.network)


@when("config replicas pull for {rounds:d} rounds")
def pull_rounds(context, rounds):
    for _ in range(rounds):
        context.network.pull()


@then(
    "every config replica is at version {version:d} with its rules, and no version ever decreased"
)
def check_network(context, version):
    assert not context.network.has_reverted
    for name, replica in context.network.replicas_by_name.items():
        if name not in context.network.dead_hosts:
            check_replica(replica, version)


class ConfigMachine(RuleBasedStateMachine):
    """Delivers changes and snapshots of any age to any replica and compares it with the log."""

    NAMES = integers(0, 3)

    @initialize()
    def start(self):
        self.head = 0
        self.replicas = [ConfigReplica(MAX_CHANGES) for _ in range(4)]
        self.versions = [0] * 4
        self.messages = []

    @rule(name=NAMES)
    def accept(self, name):
        self.head += 1
        self.messages.append(make_change(self.head))
        self.replicas[name].accept_change(make_change(self.head))

    @rule(name=NAMES, pick=integers(0))
    def deliver(self, name, pick):
        # Messages are kept after delivery, so they can be lost, delayed, duplicated or reordered.
        if self.messages:
            message = self.messages[pick % len(self.messages)]
            if isinstance(message, ConfigChange):
                self.replicas[name].accept_change(message)
            else:
                self.replicas[name].accept_snapshot(*message)

    @rule(name=NAMES)
    def snapshot(self, name):
        replica = self.replicas[name]
        self.messages.append((replica.version, tuple(replica.rule_snapshot.rules_by_key.values())))

    @rule(name=NAMES, peer=NAMES)
    def pull(self, name, peer):
        ahead = self.replicas[peer].version
        answer_pull(self.replicas[name], self.replicas[peer])
        assert self.replicas[name].version >= ahead

    @rule(name=NAMES)
    def restart(self, name):
        self.replicas[name] = ConfigReplica(MAX_CHANGES)
        self.versions[name] = 0

    @rule(name=NAMES)
    def read_log(self, name):
        replica = self.replicas[name]
        for version in range(replica.version + 1, self.head + 1):
            assert replica.accept_change(make_change(version))
        assert not replica.needs_pull

    @invariant()
    def never_reverts(self):
        for index, replica in enumerate(getattr(self, "replicas", ())):
            assert replica.version >= self.versions[index]
            self.versions[index] = replica.version

    @invariant()
    def same_version_means_same_rules(self):
        for replica in getattr(self, "replicas", ()):
            check_replica(replica, replica.version)
            assert replica.version <= self.head


@then("config keeps its invariants in every run of the state machine")
def check_machine(context):
    run_machine(ConfigMachine, suppressed=())
