"""
lease_rules
~~~~~~~~~~~

Random ticks, pauses, lost answers and outages among processes that share a lease.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from lease_story import OFFSETS_S, LeaseStory

NAMES = st.sampled_from(sorted(OFFSETS_S))


class LeaseRules(RuleBasedStateMachine):
    """Each fencing number has one owner for good."""

    @initialize()
    def begin(self):
        self.story = LeaseStory()
        self.owners = {}

    @rule(name=NAMES)
    def tick(self, name):
        self.story.tick(name)

    @rule(name=NAMES)
    def act(self, name):
        if name in self.story.commands and name not in self.story.answers:
            self.story.act(name)

    @rule(name=NAMES)
    def answer(self, name):
        if name in self.story.answers:
            self.story.answer(name)

    @rule(name=NAMES)
    def fail(self, name):
        if name in self.story.commands:
            self.story.fail(name)

    @rule(name=NAMES, seconds=st.integers(1, 15))
    def live(self, name, seconds):
        if not self.story.answers:
            self.story.live(name, seconds)

    @rule(seconds=st.integers(1, 15))
    def wait(self, seconds):
        self.story.wait(seconds)

    @rule(name=NAMES)
    def release(self, name):
        self.story.release(name)

    @rule(is_down=st.booleans())
    def change_store(self, is_down):
        self.story.store.is_down = is_down

    @rule()
    def lose_answer(self):
        self.story.lose()

    @invariant()
    def a_number_has_one_owner(self):
        record, _ = self.story.store.get("l")
        if record is not None and record.owner:
            assert self.owners.setdefault(record.fence, record.owner) == record.owner
            assert record.fence == max(self.owners), (record, self.owners)
        for name, machine in self.story.machines.items():
            number = machine.fence_at(self.story.clock(name))
            assert number is None or self.owners[number] == name, (name, number, self.owners)
