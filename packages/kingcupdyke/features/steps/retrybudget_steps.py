"""
repeats_steps
~~~~~~~~~~~~~

Steps for the shared budget of repeats.
"""

from random import Random

from behave import then, when

from kingcupdyke.forwarding.retrybudget import SharedRetryBudget

SHARE, ALLOWANCE, WINDOW_S = 0.2, 58.0, 10.0


@when(
    "repeats: {gateways:d} gateways get {requests:d} requests and ask for {asks:d} repeats over "
    "{length:d} s, with seed {seed:d}"
)
def run_day(context, gateways, requests, asks, length, seed):
    rng = Random(seed)
    budgets = [SharedRetryBudget(SHARE, ALLOWANCE, WINDOW_S) for _ in range(gateways)]
    events = [(rng.uniform(0, length), "request") for _ in range(requests)]
    events += [(rng.uniform(0, length), "repeat") for _ in range(asks)]
    context.requests, context.repeats = [], []
    for at_s, kind in sorted(events):
        budget = rng.choice(budgets)
        if kind == "request":
            budget.count_request("s", at_s)
            context.requests.append(at_s)
        elif budget.take("s", gateways, at_s):
            context.repeats.append(at_s)


@then("repeats: no window of 10 s has more than a fifth of its requests and 58 repeats")
def check_windows(context):
    for start_s in context.repeats:
        end_s = start_s + WINDOW_S
        repeats = sum(start_s <= each < end_s for each in context.repeats)
        requests = sum(start_s <= each < end_s for each in context.requests)
        assert repeats <= SHARE * requests + ALLOWANCE, (start_s, repeats, requests)


@then("repeats: at least {least:d} repeats were allowed")
def check_some(context, least):
    assert len(context.repeats) >= least, len(context.repeats)
