"""
budget_steps
~~~~~~~~~~~~

Steps for byte and retry budgets.
"""

from random import Random

from behave import given, then, when
from checks import DETERMINISTIC
from hypothesis import given as for_all
from hypothesis import strategies

from kingcupdyke.budget import ByteBudget, RetryBudget


@given("the budget module's byte budget of {rate:d} bytes a second and a burst of {burst:d}")
def make_budget(context, rate, burst):
    context.rate, context.burst = rate, burst
    context.budget = ByteBudget(rate, burst)


@when("the budget is asked {asks:d} times for up to {max_bytes:d} bytes, with seed {seed:d}")
def ask_often(context, asks, max_bytes, seed):
    rng = Random(seed)
    now_s = 0.0
    context.taken = []
    for _ in range(asks):
        now_s += rng.choice((0.0, 0.01, 0.3, 5.0))
        size = rng.randint(0, max_bytes)
        if context.budget.take(size, now_s):
            context.taken.append((now_s, size))


@then("the budget granted some bytes, and in no window more than its burst and rate")
def check_windows(context):
    assert context.taken
    for first, (start_s, _) in enumerate(context.taken):
        total = 0
        for end_s, size in context.taken[first:]:
            total += size
            limit = context.burst + context.rate * (end_s - start_s)
            assert total <= limit + 1e-6, (start_s, end_s, total, limit)


@when("the budget is asked at second 0 for {first:d} bytes and refunded {refund:d}")
def ask_once(context, first, refund):
    assert context.budget.take(first, 0.0)
    context.budget.refund(refund)


@then(
    "at {at:g} s the budget for {size:d} bytes, reserve {reserve:d}, returns {answer}, wait {wait}"
)
def check_answer(context, at, size, reserve, answer, wait):
    assert abs(context.budget.wait_s(size, at) - float(wait)) < 1e-9 or wait == "inf"
    assert context.budget.take(size, at, reserve) == (answer == "yes")


@then("the budget module's retry budget is kept in any order of first attempts and retries")
def check_retry_budget(context):
    @DETERMINISTIC
    @for_all(
        strategies.lists(strategies.booleans(), max_size=200),
        strategies.sampled_from((0.0, 0.1, 0.5, 1.0)),
        strategies.integers(0, 12),
    )
    def check_order(firsts, share, least):
        budget = RetryBudget(share, least)
        balance = lowest_before = 0.0
        for number, first in enumerate(firsts):
            if first:
                budget.first_attempt(number)
                balance -= share
            elif budget.take(number):
                balance += 1.0
            # balance - lowest_before: the most retries beyond the share in any window ending now.
            lowest_before = min(lowest_before, balance)
            assert balance - lowest_before <= least + 1e-6

    check_order()
    budget = RetryBudget(0.1, 2)
    assert [budget.take(0.0) for _ in range(3)] == [True, True, False]
