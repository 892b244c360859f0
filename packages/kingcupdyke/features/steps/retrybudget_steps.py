"""
retrybudget_steps
~~~~~~~~~~~~~~~~~

Steps for the retry budget that gateways share.
"""

from random import Random

from behave import then, when

from kingcupdyke.forwarding.retrybudget import SharedRetryBudget

SHARE, ALLOWANCE, WINDOW_S = 0.2, 58.0, 10.0


@when(
    "retrybudget: {gateways:d} gateways get {requests:d} requests and attempt {attempts:d} retries "
    "over {length:d} s, with seed {seed:d}"
)
def run_simulation(context, gateways, requests, attempts, length, seed):
    rng = Random(seed)
    budgets = [SharedRetryBudget(SHARE, ALLOWANCE, WINDOW_S) for _ in range(gateways)]
    events = [(rng.uniform(0, length), "request") for _ in range(requests)]
    events += [(rng.uniform(0, length), "retry") for _ in range(attempts)]
    context.requests, context.retries = [], []
    for at_s, kind in sorted(events):
        budget = rng.choice(budgets)
        if kind == "request":
            budget.count_request("s", at_s)
            context.requests.append(at_s)
        elif budget.take("s", gateways, at_s):
            context.retries.append(at_s)


@then("retrybudget: no window of 10 s has more retries than a fifth of its requests and 58")
def check_windows(context):
    for start_s in context.retries:
        end_s = start_s + WINDOW_S
        retries = sum(start_s <= each < end_s for each in context.retries)
        requests = sum(start_s <= each < end_s for each in context.requests)
        assert retries <= SHARE * requests + ALLOWANCE, (start_s, retries, requests)


@then("retrybudget: at least {min_count:d} retries were allowed")
def check_some(context, min_count):
    assert len(context.retries) >= min_count, len(context.retries)
