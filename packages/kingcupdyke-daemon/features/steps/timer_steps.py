"""
timer_steps
~~~~~~~~~~~

Steps for the timer service on the event loop.
"""

import time
from itertools import pairwise
from statistics import median

from anyio import create_task_group, current_time, move_on_after, run, sleep
from behave import then, when

from kingcupdyke.forwarding.decision import Wait
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.queue import WaitingQueue
from kingcupdyke_daemon.timer import LoopTimer


@when(
    "timer: subscriptions with periods of {first:g} s, {second:g} s and {third:g} s begin at "
    "different times and run for {for_s:g} s"
)
def run_subscriptions(context, first, second, third, for_s):
    context.periods = (first, second, third)
    context.calls_by_period = {each: [] for each in context.periods}
    context.for_s = for_s

    async def job():
        async with create_task_group() as tasks:
            timer = LoopTimer(tasks)
            for period_s in context.periods:
                timer.subscribe(str(period_s), period_s, context.calls_by_period[period_s].append)
                await sleep(0.007)
            await sleep(for_s)
            tasks.cancel_scope.cancel()

    run(job)


@then("timer: each was called once per period")
def check_counts(context):
    for period_s, calls in context.calls_by_period.items():
        periods = context.for_s / period_s
        # A busy machine may skip some.
        assert 0.7 * periods <= len(calls) <= periods + 2, (period_s, len(calls))


@then(
    "timer: {percent:d} % of the calls with longer periods came within {limit_ms:g} ms of a call "
    "with the shortest one"
)
def check_together(context, percent, limit_ms):
    shortest, *others = context.calls_by_period.values()
    gaps = [min(abs(other - each) for other in shortest) for calls in others for each in calls]
    together = sum(gap <= limit_ms / 1000 for gap in gaps)
    assert together >= percent / 100 * len(gaps), (together, len(gaps))


@when("timer: a callback with a period of {period_s:g} s takes {takes_s:g} s, for {for_s:g} s")
def run_slow(context, period_s, takes_s, for_s):
    context.calls, context.period_s = [], period_s

    def call(now_s):
        context.calls.append(now_s)
        time.sleep(takes_s)

    async def job():
        async with create_task_group() as tasks:
            context.started_s = current_time()
            LoopTimer(tasks).subscribe("slow", period_s, call)
            await sleep(for_s)
            tasks.cancel_scope.cancel()

    run(job)


@then("timer: it was called at most {limit:d} times, at multiples of its period")
def check_skipped(context, limit):
    assert 2 <= len(context.calls) <= limit, len(context.calls)
    late_s = [(each - context.started_s) % context.period_s for each in context.calls]
    assert median(late_s) < 0.25 * context.period_s, late_s


class WaitingDispatcher:
    """A dispatcher that lets its only request wait."""

    def __init__(self):
        self.waiting = 0
        self.polled_s = []

    def submit(self, item, excluded, now_s):
        self.waiting = 1
        return Wait("all endpoints are full")

    def poll(self, now_s):
        self.polled_s.append(now_s)
        return {}

    def withdraw(self, attempt_id):
        self.waiting = 0


@when("timer: a request waits in a queue for {for_s:g} s and is withdrawn")
def wait_in_queue(context, for_s):
    async def job():
        async with create_task_group() as tasks:
            context.dispatcher = WaitingDispatcher()
            timer = LoopTimer(tasks)
            queue = WaitingQueue(context.dispatcher, timer)
            await sleep(0.1)
            context.waited_from_s = current_time()
            queue.submit(None, frozenset())
            with move_on_after(for_s):
                await queue.wait("a1")
            context.waited_until_s = current_time()
            await sleep(0.1)
            context.is_subscribed = bool(timer.list_names())
            tasks.cancel_scope.cancel()

    run(job)


@then("timer: the queue was polled while it waited, and not before or later")
def check_polls(context):
    polled_s = context.dispatcher.polled_s
    assert len(polled_s) >= 8, polled_s
    assert context.waited_from_s <= polled_s[0]
    assert polled_s[-1] <= context.waited_until_s
    assert not context.is_subscribed


class SteppedTimer(TimerService):
    """A clock that the test moves, without subscriptions."""

    def __init__(self):
        self.now_s = 0.0

    def now(self):
        return self.now_s

    def subscribe(self, name, period_s, callback):
        """Not called, as events ask for decisions."""

    def unsubscribe(self, name):
        """There is none."""


class SlowDispatcher(WaitingDispatcher):
    """A dispatcher whose decisions take time."""

    def __init__(self, timer, takes_s):
        super().__init__()
        self.timer, self.takes_s = timer, takes_s

    def poll(self, now_s):
        self.timer.now_s += self.takes_s
        return super().poll(now_s)


@when(
    "timer: decisions take {takes_s:g} s each, and events ask for one each {interval_s:g} s, for "
    "{for_s:g} s"
)
def ask_often(context, takes_s, interval_s, for_s):
    timer = SteppedTimer()
    context.dispatcher = SlowDispatcher(timer, takes_s)
    queue = WaitingQueue(context.dispatcher, timer)

    async def job():
        queue.submit(None, frozenset())
        while timer.now_s < for_s:
            queue.poll(timer.now_s)
            timer.now_s += interval_s

    run(job)
    context.taken = len(context.dispatcher.polled_s) * takes_s / for_s


@then(
    "timer: they have taken at most {share:g} of the time, and no two were more than {gap_s:g} s "
    "apart"
)
def check_taken(context, share, gap_s):
    polled_s = context.dispatcher.polled_s
    assert context.taken <= share, context.taken
    assert max(b - a for a, b in pairwise(polled_s)) <= gap_s, polled_s
