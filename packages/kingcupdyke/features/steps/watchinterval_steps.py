"""
watchinterval_steps
~~~~~~~~~~~~~~~~~~~

Steps for how often gateways ask the store for changes.
"""

from bisect import bisect_right
from random import Random
from statistics import median

from behave import then, when

from kingcupdyke.forwarding.watchinterval import choose_watch_interval, choose_watch_timeout


def watch(change_times, interval_s, until_s):
    """Watch as one gateway; a call is answered when there is a change since the last answer.

    :return: the number of calls, and the age in seconds of each change when it is known
    """
    calls, known, now_s = 0, 0, 0.0
    ages = []
    while now_s < until_s and known < len(change_times):
        calls += 1
        answered_s = max(now_s, change_times[known])
        found = bisect_right(change_times, answered_s)
        ages += [answered_s - each for each in change_times[known:found]]
        known = found
        now_s = max(answered_s, now_s + interval_s)
    return calls, ages


@when(
    "watchinterval: {readers:d} of {gateways:d} gateways watch {rate:g} changes a second for "
    "{for_s:g} s"
)
def watch_all(context, readers, gateways, rate, for_s):
    rng = Random(gateways)
    changes = sorted(rng.uniform(0, for_s) for _ in range(round(rate * for_s)))
    calls, context.ages = watch(changes, choose_watch_interval(gateways), for_s)
    context.calls_per_s = readers * calls / for_s


@then("watchinterval: all readers together make at most {limit:g} calls a second")
def check_calls(context, limit):
    assert context.calls_per_s <= limit, context.calls_per_s


@then(
    "watchinterval: half of the changes are known within {median_s:g} s, and all within "
    "{worst_s:g} s"
)
def check_ages(context, median_s, worst_s):
    assert median(context.ages) <= median_s, median(context.ages)
    assert max(context.ages) <= worst_s, max(context.ages)


@then("watchinterval: a call of {who} waits for {wait_s:g} s with a bound of {bound_s:g} s")
def check_timeout(context, who, wait_s, bound_s):
    found_s = choose_watch_timeout(who == "a primary reader", bound_s)
    assert found_s == wait_s, found_s
