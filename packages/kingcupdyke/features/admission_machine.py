"""
admission_machine
~~~~~~~~~~~~~~~~~

A Hypothesis state machine that drives an admission queue by events in any order.
"""

from builders import make_request
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from kingcupdyke.admission import AdmissionQueue, Admitted, Queued
from kingcupdyke.error import Outcome, Step

__all__ = ["AdmissionMachine"]

MAX_WAITING = 6


class AdmissionMachine(RuleBasedStateMachine):
    """Checks that each request is admitted, refused or cancelled exactly once."""

    def __init__(self):
        super().__init__()
        self.capacity = 2
        self.queue = AdmissionQueue(self.capacity, MAX_WAITING)
        self.now_s = 0.0
        self.count = 0
        self.running = {}
        self.waiting = {}

    @rule(
        caller=st.sampled_from(("a", "b")),
        service_class=st.sampled_from(("interactive", "batch")),
        estimate_s=st.sampled_from((0.1, 1.0)),
        left_s=st.sampled_from((0.5, 2.0, 30.0)),
        weight=st.sampled_from((0.5, 1.0, 3.0)),
    )
    def offer(self, caller, service_class, estimate_s, left_s, weight):
        self.count += 1
        request = make_request(
            str(self.count),
            caller=caller,
            service_class=service_class,
            deadline_s=self.now_s + left_s,
        )
        answer = self.queue.offer(request, estimate_s, self.now_s, weight)
        if isinstance(answer, Admitted):
            self.start(request, estimate_s)
        elif isinstance(answer, Queued):
            self.waiting[request.request_id] = estimate_s
        else:
            self.check_failure(answer.failure)

    @rule(at=st.integers(0, 20))
    def finish(self, at):
        if self.running:
            request_id = sorted(self.running)[at % len(self.running)]
            del self.running[request_id]
            self.take(self.queue.finished(request_id, self.now_s))

    @rule(at=st.integers(0, 20))
    def cancel(self, at):
        request_ids = sorted([*self.running, *self.waiting, "unknown"])
        request_id = request_ids[at % len(request_ids)]
        self.running.pop(request_id, None)
        self.waiting.pop(request_id, None)
        self.take(self.queue.cancelled(request_id, self.now_s))

    @rule(seconds=st.sampled_from((0.0, 0.3, 2.0, 40.0)))
    def wait(self, seconds):
        self.now_s += seconds

    @rule()
    def expire(self):
        for request, failure in self.queue.expire(self.now_s):
            del self.waiting[request.request_id]
            self.check_failure(failure)

    @rule(capacity=st.integers(1, 4))
    def change_capacity(self, capacity):
        self.capacity = capacity
        self.queue.set_capacity(capacity)
        self.take(self.queue.admit(self.now_s))

    def take(self, requests):
        for request in requests:
            self.start(request, self.waiting.pop(request.request_id))

    def start(self, request, estimate_s):
        assert request.request_id not in self.running
        assert len(self.running) < self.capacity
        assert self.now_s + estimate_s <= request.deadline_s
        self.running[request.request_id] = request

    def check_failure(self, failure):
        assert failure.outcome is Outcome.NOT_RUN
        assert failure.step is Step.ADMIT
        assert failure.retry_after_s > 0

    @invariant()
    def counts_agree(self):
        assert sum(self.queue.running.values()) == len(self.running)
        assert sum(self.queue.waiting.values()) <= min(len(self.waiting), MAX_WAITING)

    def teardown(self):
        self.now_s += 1000.0
        self.expire()
        assert not self.waiting, self.waiting
