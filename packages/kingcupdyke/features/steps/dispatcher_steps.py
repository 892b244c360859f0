"""
dispatcher_steps
~~~~~~~~~~~~~~~~

Steps for the dispatcher.
"""

import re
from random import Random

from behave import given, then, when
from forwarding_builders import make_engine, make_entry, make_held, make_item, make_services

from kingcupdyke.forwarding.dispatcher import Dispatcher, Refuse, Send, Wait
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.metadata import PromptPart
from kingcupdyke.forwarding.peerstate import Demand, EndpointLoad, GatewayState, Placement

REGIONS = {"n1": "north", "s1": "south"}


class DispatcherStory:
    """A dispatcher, the time, and what happens to them."""

    def __init__(self, engine=None):
        self.board = EndpointTable()
        self.dispatcher = Dispatcher(self.board, "n1", REGIONS)
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
        self.board.put(entry)

    def run(self, events):
        for event in events.split(";"):
            word, *rest = event.split()
            getattr(self, f"do_{word}")(*rest)

    def do_ask(self, attempt_id, *fields):
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
        self.dispatcher.ended("x", "e1", "service", float(seconds))

    def do_peer(self, endpoint, requests):
        self.loads[endpoint] = EndpointLoad(endpoint, int(requests), 0)
        state = GatewayState("p", "i", 1, False, 1, tuple(self.loads.values()), (), (), 0, None, ())
        self.board.hear_peers([state], self.now_s)

    def do_demand(self, model, waiting):
        demand = Demand(model, "", int(waiting), 0.0)
        state = GatewayState("p", "i", 1, False, 1, (), (demand,), (), 0, None, ())
        self.board.hear_peers([state], self.now_s)

    def do_gone(self, endpoint):
        self.board.remove(endpoint, self.now_s, False)

    def do_leave(self, endpoint):
        self.board.put(make_entry(endpoint, is_leaving=True))

    def do_withdraw(self, attempt_id):
        self.dispatcher.withdraw(attempt_id)

    def do_fail(self, endpoint):
        self.board.note_failure(endpoint, self.now_s, True)

    def do_place(self, endpoint, model, due_s):
        placement = Placement(endpoint, model, "", True, float(due_s))
        state = GatewayState("p", "i", 1, False, 1, (), (), (), 1, None, (placement,))
        self.board.hear_placements(state, self.now_s)

    def do_hold(self, endpoint, model):
        self.board.put(make_entry(endpoint, models=make_held(model)))

    def do_began(self, attempt_id):
        endpoint = self.decisions[attempt_id].endpoint
        self.dispatcher.began(attempt_id, endpoint, 0.1, 2000)


def describe(decision):
    if isinstance(decision, Send):
        return decision.endpoint
    return "wait" if isinstance(decision, Wait) else "refuse"


@given('dispatcher: endpoints "{endpoints}" of a plain service')
def make_plain(context, endpoints):
    context.story = DispatcherStory()
    for each in endpoints.split():
        context.story.add(each)


@given('dispatcher: engines "{endpoints}" with models that load in 6 s, from disk in 1 s')
def make_engines(context, endpoints):
    context.story = DispatcherStory(make_engine((60, 60, 60)))
    for each in re.split(" ", endpoints):
        context.story.add(each)


@when('dispatcher: "{events}" happens')
def run_events(context, events):
    context.story.run(events)


@then('dispatcher: the decisions are "{decisions}"')
def check_decisions(context, decisions):
    found = " ".join(f"{name}:{describe(each)}" for name, each in context.story.decisions.items())
    assert found == decisions, (found, context.story.decisions)
    for each in context.story.decisions.values():
        assert not isinstance(each, Refuse) or each.retry_after_s > 0


@when(
    "dispatcher: {count:d} requests in {length:d} s, a third of them urgent, meet {slots:d} "
    "places of {work:g} s each"
)
def run_burst(context, count, length, slots, work):
    rng = Random(1)
    story = context.story = DispatcherStory()
    story.add("e1")
    context.slots, context.most = slots, 0
    arrivals = sorted(rng.uniform(0, length) for _ in range(count))
    ends = []
    context.starts = {}
    for step in range(int((length + 6) / 0.005)):
        story.now_s = step * 0.005
        while arrivals and arrivals[0] <= story.now_s:
            at_s = arrivals.pop(0)
            name = f"r{len(story.items)}"
            item = make_item(
                name,
                priority=0 if len(story.items) % 3 == 0 else 2,
                arrived_s=at_s,
                objective_s=at_s + 0.5,
                deadline_s=at_s + 2.0,
            )
            story.items[name] = item
            story.decisions[name] = story.dispatcher.submit(item, frozenset(), story.now_s)
        for end_s, name in [each for each in ends if each[0] <= story.now_s]:
            ends.remove((end_s, name))
            story.dispatcher.ended(name, "e1", "service", work)
        story.do_poll()
        for name, decision in story.decisions.items():
            if isinstance(decision, Send) and name not in context.starts:
                context.starts[name] = story.now_s
                ends.append((story.now_s + work, name))
        context.most = max(context.most, len(ends))


@then("dispatcher: every urgent request is served, most of them on time")
def check_urgent(context):
    story = context.story
    urgent = [each for each in story.items.values() if each.priority == 0]
    assert all(isinstance(story.decisions[each.attempt_id], Send) for each in urgent)
    on_time = [context.starts[each.attempt_id] <= each.objective_s for each in urgent]
    assert sum(on_time) >= 0.9 * len(urgent), sum(on_time)


@then("dispatcher: no endpoint had more requests than places")
def check_places(context):
    assert context.most <= context.slots, context.most


@then("dispatcher: nobody waits beyond the own deadline without an answer")
def check_answers(context):
    assert not any(isinstance(each, Wait) for each in context.story.decisions.values())
    assert context.story.dispatcher.waiting == 0
