"""
lease_rules
~~~~~~~~~~~

Random tests of the lease: ticks, pauses, lost answers and outages of several processes.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from lease_script import OFFSETS_S, LeaseScript

NAMES = st.sampled_from(sorted(OFFSETS_S))


class LeaseRules(RuleBasedStateMachine):
    """Checks that each fencing number only ever has one owner."""

    @initialize()
    def begin(self):
        self.script = LeaseScript()
        self.owners = {}

    @rule(name=NAMES)
    def tick(self, name):
        self.script.tick(name)

    @rule(name=NAMES)
    def execute(self, name):
        if name in self.script.commands and name not in self.script.answers:
            self.script.execute(name)

    @rule(name=NAMES)
    def answer(self, name):
        if name in self.script.answers:
            self.script.answer(name)

    @rule(name=NAMES)
    def fail(self, name):
        if name in self.script.commands:
            self.script.fail(name)

    @rule(name=NAMES, seconds=st.integers(1, 15))
    def advance(self, name, seconds):
        if not self.script.answers:
            self.script.advance(name, seconds)

    @rule(seconds=st.integers(1, 15))
    def wait(self, seconds):
        self.script.wait(seconds)

    @rule(name=NAMES)
    def release(self, name):
        self.script.release(name)

    @rule(is_down=st.booleans())
    def change_store(self, is_down):
        self.script.store.is_down = is_down

    @rule()
    def lose_answer(self):
        self.script.lose()

    @invariant()
    def a_number_has_one_owner(self):
        record, _ = self.script.store.get("l")
        if record is not None and record.owner:
            assert self.owners.setdefault(record.fence, record.owner) == record.owner
            assert record.fence == max(self.owners), (record, self.owners)
        for name, machine in self.script.machines.items():
            number = machine.fence_at(self.script.clock(name))
            assert number is None or self.owners[number] == name, (name, number, self.owners)
