"""
board_steps
~~~~~~~~~~~

Steps for the board of endpoints.
"""

from behave import given, then, when
from forwarding_builders import make_entry, make_held

from kingcupdyke.forwarding.endpoint import Replica
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.metadata import PromptPart
from kingcupdyke.forwarding.peerstate import GatewayState, Placement


class BoardStory:
    """A board, the time, and what happens to them."""

    def __init__(self, held=""):
        self.board = EndpointTable()
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
        self.board.replace_all(entries, self.now_s, self.after_outage)

    def do_put(self, name):
        self.board.put(make_entry(name))

    def do_old(self, name):
        self.board.put(make_entry(name, started_ms=999))

    def do_leave(self, name):
        self.board.put(make_entry(name, is_leaving=True))

    def do_remove(self, name):
        self.board.remove(name, self.now_s, self.after_outage)

    def do_outage(self):
        self.after_outage = True

    def do_wait(self, seconds):
        self.now_s += float(seconds)
        self.board.drop_lapsed(self.now_s)

    def do_fence(self, fence):
        self.fence = int(fence)

    def do_place(self, replica, due_s):
        self.tell(replica, True, float(due_s))

    def do_drop(self, replica):
        self.tell(replica, False, 0.0)

    def do_deny(self, replica):
        self.board.deny_replica(read_replica(replica), self.now_s)

    def tell(self, replica, is_present, due_s):
        endpoint, model, adapter = read_replica(replica)
        placement = Placement(endpoint, model, adapter, is_present, due_s)
        state = GatewayState("p", "i", 1, False, 1, (), (), (), self.fence, None, (placement,))
        self.board.hear_placements(state, self.now_s)


def read_replica(text):
    model, _, adapter = text.partition("+")
    return Replica("e1", model, adapter)


def read_parts(text):
    pairs = [each.split(":") for each in text.split()]
    return tuple(PromptPart(name, int(tokens)) for name, tokens in pairs)


@given('board: e1 holds "{held}"')
def hold(context, held):
    context.story = BoardStory(held)
    context.story.run("list e1")


@when('board: "{events}" happens')
def run_events(context, events):
    if not hasattr(context, "story"):
        context.story = BoardStory()
    context.story.run(events)


@when('board: "" happens')
def run_nothing(context):
    pass


@then('board: the endpoints that take work are "{ready}"')
def check_ready(context, ready):
    found = [each.entry.endpoint for each in context.story.board.list_ready("service")]
    assert " ".join(sorted(found)) == ready, found


@then('board: the endpoints that take work are ""')
def check_none_ready(context):
    assert context.story.board.list_ready("service") == []


@then('board: e1 {has} "{replica}"')
def check_replica(context, has, replica):
    story = context.story
    found = story.board.has_replica(read_replica(replica), story.now_s)
    assert found == (has == "has"), found


@when('board: e1 fails "{failures:d}" times in a row')
def fail_often(context, failures):
    context.story = BoardStory()
    context.story.run("list e1")
    for _ in range(failures):
        context.story.board.note_failure("e1", context.story.now_s, True)


@then("board: e1 is left alone for {pause:g} s")
def check_pause(context, pause):
    state = context.story.board.state_by_id["e1"]
    assert round(state.shunned_until_s - context.story.now_s, 3) == pause


@then('board: after a prompt of "{parts}" for {model} the kept tokens are')
def check_kept(context, parts, model):
    story = BoardStory()
    story.run("list e1")
    state = story.board.state_by_id["e1"]
    state.remember_parts(model, read_parts(parts))
    for row in context.table:
        kept = state.count_kept_tokens(row["model"], read_parts(row["parts"]))
        assert kept == int(row["kept"]), (row, kept)
