"""
endpointtable_steps
~~~~~~~~~~~~~~~~~~~

Steps for a gateway's table of endpoints.
"""

import tracemalloc

from behave import given, then, when
from forwarding_builders import make_entry, make_held

from kingcupdyke.forwarding.endpoint import Replica
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.metadata import PromptPart
from kingcupdyke.forwarding.peerstate import GatewayState, Placement


class EndpointTableScript:
    """An endpoint table and the time; runs scripts of events on them."""

    def __init__(self, held=""):
        self.endpoint_table = EndpointTable()
        self.now_s = 10.0
        self.after_outage = False
        self.fence = 1
        self.held = make_held(held)

    def run(self, events):
        for event in filter(None, (each.strip() for each in events.split(";"))):
            word, *rest = event.split()
            getattr(self, f"do_{word}")(*rest)

    def do_list(self, names):
        entries = [make_entry(each, models=self.held) for each in names.split(",")]
        self.endpoint_table.replace_all(entries, self.now_s, self.after_outage)

    def do_put(self, name):
        self.endpoint_table.put(make_entry(name))

    def do_version(self, name, software_version):
        started_ms = round(self.now_s * 1000)
        entry = make_entry(name, started_ms=started_ms, software_version=software_version)
        self.endpoint_table.put(entry)

    def do_beat(self, name, heartbeat, held):
        entry = make_entry(name, heartbeat=int(heartbeat), models=make_held(held))
        self.endpoint_table.put(entry)

    def do_restart(self, name, heartbeat, held):
        models = make_held(held)
        entry = make_entry(name, heartbeat=int(heartbeat), started_ms=2000, models=models)
        self.endpoint_table.put(entry)

    def do_outdated(self, name):
        self.endpoint_table.put(make_entry(name, started_ms=999))

    def do_drain(self, name):
        self.endpoint_table.put(make_entry(name, is_leaving=True))

    def do_remove(self, name):
        self.endpoint_table.remove(name, self.now_s, self.after_outage)

    def do_outage(self):
        self.after_outage = True

    def do_wait(self, seconds):
        self.now_s += float(seconds)
        self.endpoint_table.drop_expired(self.now_s)

    def do_fence(self, fence):
        self.fence = int(fence)

    def do_place(self, replica, ready_in_s):
        self.announce(replica, True, float(ready_in_s))

    def do_unplace(self, replica):
        self.announce(replica, False, 0.0)

    def do_deny(self, replica):
        self.endpoint_table.deny_replica(read_replica(replica), self.now_s)

    def announce(self, replica, is_present, ready_in_s):
        endpoint, model, adapter = read_replica(replica)
        placement = Placement(endpoint, model, adapter, is_present, ready_in_s)
        state = GatewayState("p", "i", 1, False, 1, (), (), (), self.fence, None, (placement,))
        self.endpoint_table.apply_placements(state, self.now_s)


def read_replica(text):
    model, _, adapter = text.partition("+")
    return Replica("e1", model, adapter)


def read_parts(text):
    pairs = [each.split(":") for each in text.split()]
    return tuple(PromptPart(name, int(tokens)) for name, tokens in pairs)


@given('endpointtable: e1 holds "{held}"')
def hold(context, held):
    context.script = EndpointTableScript(held)
    context.script.run("list e1")


@when('endpointtable: "{events}" happens')
def run_events(context, events):
    if not hasattr(context, "script"):
        context.script = EndpointTableScript()
    context.script.run(events)


@when('endpointtable: "" happens')
def run_nothing(context):
    pass


@then('endpointtable: the endpoints that accept requests are "{ready}"')
def check_ready(context, ready):
    found = [each.entry.endpoint for each in context.script.endpoint_table.list_ready("service")]
    assert " ".join(sorted(found)) == ready, found


@then('endpointtable: the endpoints that accept requests are ""')
def check_none_ready(context):
    assert context.script.endpoint_table.list_ready("service") == []


@then('endpointtable: e1 {has} "{replica}"')
def check_replica(context, has, replica):
    script = context.script
    found = script.endpoint_table.has_replica(read_replica(replica), script.now_s)
    assert found == (has == "has"), found


@then('endpointtable: the only software version of the last 4 s is "{version}"')
def check_version(context, version):
    script = context.script
    since_s = script.now_s - 4.0
    versions = script.endpoint_table.list_versions("service", since_s, script.now_s)
    is_known = len(versions) == 1 and script.endpoint_table.listed_since_s <= since_s
    found = versions.pop() if is_known else None
    assert ("unknown" if found is None else found or "unnamed") == version, found


@when('endpointtable: e1 fails "{failures:d}" times consecutively')
def fail_often(context, failures):
    context.script = EndpointTableScript()
    context.script.run("list e1")
    for _ in range(failures):
        context.script.endpoint_table.note_failure("e1", context.script.now_s, True)


@then("endpointtable: the backoff of e1 is {backoff:g} s")
def check_backoff(context, backoff):
    state = context.script.endpoint_table.state_by_id["e1"]
    assert round(state.backoff_until_s - context.script.now_s, 3) == backoff


@then('endpointtable: after a prompt of "{parts}" for {model} the cached tokens are')
def check_cached(context, parts, model):
    script = EndpointTableScript()
    script.run("list e1")
    state = script.endpoint_table.state_by_id["e1"]
    state.add_prefixes(model, read_parts(parts))
    for row in context.table:
        cached = state.count_cached_tokens(row["model"], read_parts(row["parts"]))
        assert cached == int(row["cached"]), (row, cached)


@then("endpointtable: prompts of {count:d} parts leave less than {limit:d} bytes at an endpoint")
def check_held_prefixes(context, count, limit):
    script = EndpointTableScript()
    script.run("list e1")
    state = script.endpoint_table.state_by_id["e1"]
    tracemalloc.start()
    try:
        for prompt in range(3):
            parts = tuple(PromptPart(f"{prompt}-{number}", 1) for number in range(count))
            state.add_prefixes("m1", parts)
            assert state.count_cached_tokens("m1", parts) in (0, count)
        del parts
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held < limit, held
