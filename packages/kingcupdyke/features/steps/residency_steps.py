"""
residency_steps
~~~~~~~~~~~~~~~

Steps for residency records, removals and hand-overs.
"""

from behave import then, when
from checks import find_wrong_option, run_machine
from expression import Ok
from fake_residency import FakeResidency
from residency_machine import ResidencyMachine

from kingcupdyke.residency import (
    Holder,
    ResidencyRecord,
    add_holder,
    decode_residency,
    drop_incarnation,
    encode_residency,
    remove_holder,
)

#: Seconds after which a leaving host may stop even if it holds the last replica.
HAND_OVER_LIMIT_S = 30


class ResidencyScript:
    """Runs the events of a scenario on the holders of a model.

    Events are separated by semicolons; an argument for names takes several, separated by commas.
    """

    def __init__(self, needed):
        self.residency = FakeResidency(needed, "abc")
        self.now_s = 0.0
        self.ends = {}

    def run(self, events):
        for event in events.split(";"):
            name, *words = event.split()
            getattr(self, name)(*words)

    def load(self, names):
        for name in names.split(","):
            assert self.residency.load(name)

    def unrecorded(self, name):
        self.residency.resident.add(name)

    def begin(self, planner, name):
        self.residency.begin_unload(planner, name)

    def step(self, planners, expected):
        for planner in planners.split(","):
            seen = self.residency.step_unload(planner)
            assert seen == expected, f"{planner}: {seen}"

    def leave(self, name):
        self.residency.begin_hand_over(name, HAND_OVER_LIMIT_S, self.now_s)

    def proceed(self, names, count):
        for _ in range(int(count)):
            for name in set(names.split(",")) & self.residency.hand_overs.keys():
                self.ends[name] = self.residency.step_hand_over(name, self.now_s)

    def stopped(self, name, left):
        assert self.ends[name] is not None, f"{name} has not ended"
        assert self.ends[name].under_replicated_models == tuple(left.strip("-")), self.ends[name]

    def requested(self, replicas):
        assert self.residency.requested == int(replicas), self.residency.requested

    def kill(self, name):
        self.residency.kill(name)

    def notice(self, name):
        assert self.residency.notice(name, is_gone=False)

    def restart(self, name):
        self.residency.incarnations[name] += 1

    def late_notice(self, name):
        assert self.residency.change(lambda record: drop_incarnation(record, name, "1"))

    def list(self, name):
        self.residency.listed_leaving.add(name)

    def lose(self):
        self.residency.store.loses_answers = True

    def down(self):
        self.residency.store.is_down = True

    def wait(self, seconds):
        self.now_s += float(seconds)


@when('residency: "{events}" happens to a model that needs {needed:d} replicas')
def run_events(context, events, needed):
    context.script = ResidencyScript(needed)
    context.script.run(events)


@then('residency: it is resident on "{resident}" and the record names "{holders}"')
@then('residency: it is resident on "{resident}" and the record names ""')
@then('residency: it is resident on "" and the record names "{holders}"')
@then('residency: it is resident on "" and the record names ""')
def check_residency(context, resident="", holders=""):
    residency = context.script.residency
    seen = ",".join(sorted(residency.resident)), ",".join(
        sorted(residency.record.holders_by_endpoint)
    )
    assert seen == (resident, holders), seen


@then("residency: a leaving holder on host {before} that is added on {after} is marked: {marked}")
def check_mark(context, before, after, marked):
    holder = Holder("1", before, "dc", "region", leaving=True)
    record = ResidencyRecord("m", {"a": holder})
    added = add_holder(record, "a", Holder("2", after, "dc", "region"))
    assert added.holders_by_endpoint["a"].incarnation == "2"
    assert added.holders_by_endpoint["a"].leaving == (marked == "yes")


@then("residency: removing b from a record of a gives the same record")
def check_no_holder(context):
    record = ResidencyRecord("m", {"a": Holder("1", "a", "dc", "region")})
    assert remove_holder(record, "b", 5, ()) == Ok(record)


@then("residency: a record with two holders is the same after decoding")
def check_same(context):
    holders = {name: Holder("1", name, "dc", "region", name == "b") for name in "ab"}
    record = ResidencyRecord("m", holders)
    assert decode_residency(encode_residency(record)) == record


@then('residency: decoding "{value}" is rejected')
def check_rejected(context, value):
    assert find_wrong_option(decode_residency, value.encode()) == "residency"


@then("residency: the model is reachable in any order of events")
def check_machine(context):
    run_machine(ResidencyMachine)
