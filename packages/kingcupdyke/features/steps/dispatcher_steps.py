"""
dispatcher_steps
~~~~~~~~~~~~~~~~

Steps for the dispatcher.
"""

import re
from random import Random

from behave import given, then, when
from forwarding_builders import make_engine_spec, make_entry, make_held, make_item, make_services

from kingcupdyke.forwarding.crashreport import CrashReport
from kingcupdyke.forwarding.decision import Refuse, Send, Wait
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.metadata import PromptPart
from kingcupdyke.forwarding.peerstate import Demand, EndpointLoad, GatewayState, Placement
from kingcupdyke.forwarding.softwareversions import SoftwareVersions

REGIONS = {"n1": "north", "s1": "south"}


class DispatcherScript:
    """A dispatcher and the time; runs scripts of events on them."""

    def __init__(self, engine=None):
        self.endpoint_table = EndpointTable()
        self.dispatcher = Dispatcher(self.endpoint_table, "n1", REGIONS)
        self.dispatcher.configure(make_services(engine))
        self.now_s = 0.0
        self.items = {}
        self.decisions = {}
        self.loads = {}

    def add(self, text):
        name, _, held = text.partition("=")
        held, _, on_disk = held.partition("/")
        entry = make_entry(
            name,
            data_centre="s1" if name.startswith("s") else "n1",
            models=make_held(held),
            on_disk=frozenset(filter(None, [on_disk])),
        )
        self.endpoint_table.put(entry)

    def run(self, events):
        for event in events.split(";"):
            word, *rest = event.split()
            getattr(self, f"do_{word}")(*rest)

    def do_crash(self, part):
        """Record three crashes under prompts with a part."""
        for number in range(3):
            report = CrashReport(f"lost{number}", 1, (part,), True, 9.0 - number)
            self.dispatcher.crash_table.record(report, self.now_s)

    def do_limit(self, endpoint, limit):
        entry = self.endpoint_table.state_by_id[endpoint].entry
        limit_per_s = None if limit == "none" else float(limit)
        self.dispatcher.limit_table.note_answer(entry, limit_per_s, self.now_s)

    def do_backoff(self, endpoint, seconds):
        self.endpoint_table.backoff_table.note(endpoint, float(seconds), self.now_s)

    def do_succeed(self, endpoint):
        self.endpoint_table.note_success(endpoint)

    def do_submit(self, attempt_id, *fields):
        values = dict(each.split("=") for each in fields)
        excluded = frozenset(filter(None, [values.pop("excluded", "")]))
        if "parts" in values:
            name, tokens = values["parts"].split(":")
            values["parts"] = (PromptPart(name, int(tokens)),)
        if "tokens" in values:
            values["prompt_tokens"] = int(values.pop("tokens"))
        for name in ("objective_s", "deadline_s", "first_by_s"):
            if name in values:
                values[name] = float(values[name])
        if "priority" in values:
            values["priority"] = int(values["priority"])
        item = self.items[attempt_id] = make_item(attempt_id, **values)
        self.decisions[attempt_id] = self.dispatcher.submit(item, excluded, self.now_s)

    def do_poll(self):
        self.decisions |= self.dispatcher.poll(self.now_s)

    def do_wait(self, seconds):
        self.now_s += float(seconds)

    def do_slow(self, seconds):
        self.dispatcher.ended("x", "e1", "service", float(seconds), self.now_s, True)

    def do_peer(self, endpoint, requests):
        self.loads[endpoint] = EndpointLoad(endpoint, int(requests), 0)
        state = GatewayState("p", "i", 1, False, 1, tuple(self.loads.values()), (), (), 0, None, ())
        self.endpoint_table.apply_peer_state(state)

    def do_demand(self, model, waiting):
        demand = Demand(model, "", int(waiting), 0.0)
        state = GatewayState("p", "i", 1, False, 1, (), (demand,), (), 0, None, ())
        self.endpoint_table.apply_peer_state(state)

    def do_remove(self, endpoint):
        self.endpoint_table.remove(endpoint, self.now_s, False)

    def do_list(self, endpoint):
        self.add(endpoint)

    def do_drain(self, endpoint):
        self.endpoint_table.put(make_entry(endpoint, is_leaving=True))

    def do_version(self, endpoint, software_version):
        entry = self.endpoint_table.state_by_id[endpoint].entry
        self.endpoint_table.put(entry._replace(software_version=software_version))

    def do_refuse(self, endpoint):
        self.endpoint_table.starts.note_refused(endpoint, self.now_s)

    def do_beat(self, endpoint, heartbeat):
        entry = self.endpoint_table.state_by_id[endpoint].entry
        self.endpoint_table.put(entry._replace(heartbeat=int(heartbeat)), self.now_s)

    def do_registered(self, versions):
        registered = SoftwareVersions(frozenset(versions.split(",")))
        self.dispatcher.version_register.apply("service", registered, self.now_s)

    def do_begin_resumable(self, attempt_id):
        item = self.items[attempt_id] = make_item(attempt_id, is_resumable=True)
        self.decisions[attempt_id] = self.dispatcher.submit(item, frozenset(), self.now_s)

    def do_withdraw(self, attempt_id):
        self.dispatcher.withdraw(attempt_id)

    def do_fail(self, endpoint):
        self.endpoint_table.note_failure(endpoint, self.now_s, True)

    def do_place(self, endpoint, model, ready_in_s):
        placement = Placement(endpoint, model, "", True, float(ready_in_s))
        state = GatewayState("p", "i", 1, False, 1, (), (), (), 1, None, (placement,))
        self.endpoint_table.apply_placements(state, self.now_s)

    def do_hold(self, endpoint, model):
        self.endpoint_table.put(make_entry(endpoint, models=make_held(model)))

    def do_begin(self, attempt_id):
        endpoint = self.decisions[attempt_id].endpoint
        self.dispatcher.began(attempt_id, endpoint, 0.1, 2000, self.now_s)


def describe(decision):
    if isinstance(decision, Send):
        return decision.endpoint
    return "wait" if isinstance(decision, Wait) else "reject"


@given('dispatcher: endpoints "{endpoints}" of a plain service')
def make_plain(context, endpoints):
    context.script = DispatcherScript()
    for each in endpoints.split():
        context.script.add(each)


@given('dispatcher: engines "{endpoints}" with models that load in 6 s, from disk in 1 s')
def make_engines(context, endpoints):
    context.script = DispatcherScript(make_engine_spec((60, 60, 60)))
    for each in re.split(" ", endpoints):
        context.script.add(each)


@when('dispatcher: "{events}" happens')
def run_events(context, events):
    context.script.run(events)


@then('dispatcher: the decisions are "{decisions}"')
def check_decisions(context, decisions):
    found = " ".join(f"{name}:{describe(each)}" for name, each in context.script.decisions.items())
    assert found == decisions, (found, context.script.decisions)
    for each in context.script.decisions.values():
        assert not isinstance(each, Refuse) or each.retry_after_s > 0


@when(
    "dispatcher: {count:d} requests in {length:d} s, a third of them urgent, meet {slots:d} "
    "slots of {work:g} s each"
)
def run_burst(context, count, length, slots, work):
    rng = Random(1)
    script = context.script = DispatcherScript()
    script.add("e1")
    context.slots, context.max_running = slots, 0
    arrivals = sorted(rng.uniform(0, length) for _ in range(count))
    ends = []
    context.starts = {}
    for step in range(int((length + 6) / 0.005)):
        script.now_s = step * 0.005
        while arrivals and arrivals[0] <= script.now_s:
            at_s = arrivals.pop(0)
            name = f"r{len(script.items)}"
            item = make_item(
                name,
                priority=0 if len(script.items) % 3 == 0 else 2,
                arrived_s=at_s,
                objective_s=at_s + 0.5,
                deadline_s=at_s + 2.0,
            )
            script.items[name] = item
            script.decisions[name] = script.dispatcher.submit(item, frozenset(), script.now_s)
        for end_s, name in [each for each in ends if each[0] <= script.now_s]:
            ends.remove((end_s, name))
            script.dispatcher.ended(name, "e1", "service", work, script.now_s, True)
        script.do_poll()
        for name, decision in script.decisions.items():
            if isinstance(decision, Send) and name not in context.starts:
                context.starts[name] = script.now_s
                ends.append((script.now_s + work, name))
        context.max_running = max(context.max_running, len(ends))


@then("dispatcher: every urgent request is served, most of them on time")
def check_urgent(context):
    script = context.script
    urgent = [each for each in script.items.values() if each.priority == 0]
    assert all(isinstance(script.decisions[each.attempt_id], Send) for each in urgent)
    on_time = [context.starts[each.attempt_id] <= each.objective_s for each in urgent]
    assert sum(on_time) >= 0.9 * len(urgent), sum(on_time)


@then("dispatcher: no endpoint had more requests than slots")
def check_slots(context):
    assert context.max_running <= context.slots, context.max_running


@then("dispatcher: no request is still waiting after its deadline")
def check_answers(context):
    assert not any(isinstance(each, Wait) for each in context.script.decisions.values())
    assert context.script.dispatcher.waiting == 0


@when(
    "dispatcher: {count:d} requests come, each for another model or adapter that is not configured"
)
def submit_unknown(context, count):
    for number in range(count // 2):
        context.script.do_submit(f"x{number}", f"model=x{number}", "tokens=900")
        context.script.do_submit(f"y{number}", "model=m1", f"adapter=y{number}", "tokens=900")


@then('dispatcher: there is demand for "{models}" only')
def check_demands(context, models):
    demands = context.script.dispatcher.list_demands(context.script.now_s)
    assert {(each.model, each.adapter) for each in demands} == {(m, "") for m in models.split()}
