"""
dissemination_steps
~~~~~~~~~~~~~~~~~~~

Steps for the choice of watchers, push targets and peers.
"""

from random import Random

from behave import given, then, when

from kingcupdyke.dissemination import choose_push_targets, choose_watchers, pick_peers


@given("dissemination over {count:d} hosts of a data centre")
def give_hosts(context, count):
    context.hosts = [f"host-{index}" for index in range(count)]
    context.watchers = choose_watchers(context.hosts, "praha-1")


@when("dissemination chooses watchers and push targets for version {version:d}")
def choose(context, version):
    context.targets_by_host = {
        host: choose_push_targets(context.hosts, host, "praha-1", version) for host in context.hosts
    }


@then("dissemination has {count:d} watchers and reaches each host without extra pushes")
def check_tree(context, count):
    assert len(context.watchers) == count
    pushed = [target for targets in context.targets_by_host.values() for target in targets]
    below = [target for target in pushed if target not in context.watchers]
    assert sorted([*below, *context.watchers]) == sorted(context.hosts)
    assert len(pushed) - len(below) == count * (count - 1)
    for host, targets in context.targets_by_host.items():
        assert host not in targets
        assert len(targets) <= 4 + (count - 1) * (host in context.watchers)


@then("dissemination keeps the other watchers when the first is lost")
def check_watchers(context):
    watchers = choose_watchers(context.hosts[:], "praha-1")
    hosts = [host for host in context.hosts if host != watchers[0]]
    assert choose_watchers(hosts, "praha-1")[:2] == watchers[1:]


@then("dissemination picks {count:d} peers that never include the local host")
def check_peers(context, count):
    rng = Random(7)
    picks = [pick_peers(context.hosts, "host-0", count, rng) for _ in range(200)]
    assert all(len(set(pick)) == count and "host-0" not in pick for pick in picks)
    assert len({host for pick in picks for host in pick}) == len(context.hosts) - 1
