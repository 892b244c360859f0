"""
residency_machine
~~~~~~~~~~~~~~~~~

Random tests: concurrent planners, leaving hosts and a failing store, checked on actual holders.
"""

from fake_residency import FakeResidency
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

NAMES = ("a", "b", "c", "d")
PLANNERS = ("p", "q", "r")
INDEXES = st.integers(0, 1000)
#: Longer than any test run, so that no hand-over ends by its time limit.
HAND_OVER_LIMIT_S = 10**6


class ResidencyMachine(RuleBasedStateMachine):
    """Runs only planned changes and no crashes, so the model must be reachable at any time."""

    @initialize(needed=st.integers(0, 2), count=st.integers(1, 4))
    def begin(self, needed, count):
        self.now_s = 0.0
        self.residency = FakeResidency(needed, NAMES)
        for name in NAMES[: max(needed, count)]:
            self.residency.load(name)

    def _choose(self, names, index):
        names = sorted(names)
        return names[index % len(names)]

    @rule(planner=st.sampled_from(PLANNERS), index=INDEXES)
    def begin_unload(self, planner, index):
        held = self.residency.resident - {name for _, _, name in self.residency.removals.values()}
        if planner not in self.residency.removals and held:
            self.residency.begin_unload(planner, self._choose(held, index))

    @precondition(lambda self: self.residency.removals)
    @rule(index=INDEXES)
    def step_unload(self, index):
        self.residency.step_unload(self._choose(self.residency.removals, index))

    @rule(index=INDEXES)
    def load(self, index):
        unloading = {name for _, _, name in self.residency.removals.values()}
        free = self.residency.incarnations.keys() - self.residency.hand_overs.keys() - unloading
        if free:
            self.residency.load(self._choose(free, index))

    @rule(index=INDEXES)
    def leave(self, index):
        unloading = {name for _, _, name in self.residency.removals.values()}
        free = self.residency.resident - self.residency.hand_overs.keys() - unloading
        if free:
            self.residency.begin_hand_over(self._choose(free, index), HAND_OVER_LIMIT_S, self.now_s)

    @precondition(lambda self: self.residency.hand_overs)
    @rule(index=INDEXES, wait_s=st.integers(0, 2))
    def step_hand_over(self, index, wait_s):
        self.now_s += wait_s
        self.residency.step_hand_over(self._choose(self.residency.hand_overs, index), self.now_s)

    @rule(index=INDEXES)
    def list_leaving(self, index):
        self.residency.listed_leaving ^= {self._choose(NAMES, index)}

    @rule(is_down=st.booleans())
    def change_store(self, is_down):
        self.residency.store.is_down = is_down

    @rule()
    def lose_answer(self):
        self.residency.store.loses_answers = True

    @invariant()
    def model_is_reachable(self):
        assert self.residency.resident, "no endpoint holds the model"

    @invariant()
    def record_names_no_other_holder(self):
        leaving = {name for _, _, name in self.residency.removals.values()}
        wrong = self.residency.record.holders_by_endpoint.keys() - self.residency.resident - leaving
        assert not wrong, wrong
