"""
peerreports_steps
~~~~~~~~~~~~~~~~~

Steps for sums of what peers report.
"""

from collections import Counter
from random import Random

from behave import then, when
from forwarding_builders import make_entry

from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.peerreports import EndpointReports
from kingcupdyke.forwarding.peerstate import Demand, EndpointLoad, GatewayState

ENDPOINTS = [f"e{number}" for number in range(6)]
MODELS = ["m1", "m2", "m3"]


def make_state(rng, host):
    loads = tuple(
        EndpointLoad(each, rng.randint(1, 5), rng.randint(0, 900))
        for each in rng.sample(ENDPOINTS, rng.randint(0, 4))
    )
    demands = tuple(
        Demand(each, rng.choice(("", "a1")), rng.randint(0, 3), 1.0)
        for each in rng.choices(MODELS, k=rng.randint(0, 3))
    )
    unreachable = tuple(rng.sample(ENDPOINTS, rng.randint(0, 2)))
    return GatewayState(host, "i", 1, False, 1, loads, demands, unreachable, 0, None, ())


def sum_up(states):
    """:return: the reports by endpoint, and the waiting requests by model"""
    requests, tokens, unreachable, waiting = Counter(), Counter(), Counter(), Counter()
    for state in states:
        for load in state.loads:
            requests[load.endpoint] += load.requests
            tokens[load.endpoint] += load.prompt_tokens
        unreachable.update(state.unreachable)
        for demand in state.demands:
            waiting[demand.model] += demand.waiting
    reports = {
        each: EndpointReports(requests[each], tokens[each], unreachable[each]) for each in ENDPOINTS
    }
    return reports, +waiting


@when(
    "peerreports: {peers:d} peers report {count:d} states in a random order, while peers and "
    "endpoints come and go, with seed {seed:d}"
)
def report_states(context, peers, count, seed):
    rng = Random(seed)
    table = EndpointTable()
    state_by_host = {}
    context.wrong = []
    for number in range(count):
        host = f"g{rng.randrange(peers)}"
        state_by_host[host] = make_state(rng, host)
        table.apply_peer_state(state_by_host[host])
        if rng.random() < 0.05:
            state_by_host.pop(rng.choice(list(state_by_host)))
            table.retain_peers(state_by_host.keys())
        endpoint = rng.choice(ENDPOINTS)
        if rng.random() < 0.1:
            table.remove(endpoint, 0.0, False)
        else:
            table.put(make_entry(endpoint))
        reports, waiting = sum_up(state_by_host.values())
        found = {each: state.peer_reports for each, state in table.state_by_id.items()}
        expected = {each: reports[each] for each in found}
        if found != expected or dict(table.peer_waiting_by_model) != dict(waiting):
            context.wrong.append(number)


@then("peerreports: the loads, unreachable peers and waiting requests were always the sums")
def check_sums(context):
    assert not context.wrong, context.wrong[:10]
