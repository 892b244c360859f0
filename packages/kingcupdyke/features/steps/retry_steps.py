"""
retry_steps
~~~~~~~~~~~

Steps for the retry policy.
"""

from behave import then, when
from builders import make_request

from kingcupdyke.budget import RetryBudget
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.retry import GiveUp, Retry, RetryPolicy


@when("a retry policy of {max_attempts:d} attempts, {kind}, gets {outcomes} at {step} at {now:g} s")
def decide_on_outcomes(context, max_attempts, kind, outcomes, step, now):
    policy = RetryPolicy(RetryBudget(), max_attempts)
    key = "key" if kind.endswith("+key") else ""
    request = make_request(idempotent=kind == "idempotent", idempotency_key=key)
    tried = []
    for outcome in outcomes.split():
        tried.append(f"e{len(tried)}")
        if outcome == "forgotten":
            continue
        failure = Failure(Outcome(outcome), Step(step), tried[-1], "no answer")
        context.decision = policy.decide(request, failure, tried, now, 1.0)
    context.tried = tried


@then("the retry decision is {decision}")
def check_decision(context, decision):
    if decision == "retry":
        assert context.decision == Retry(frozenset(context.tried)), context.decision
        return
    assert isinstance(context.decision, GiveUp), context.decision
    failure = context.decision.failure
    assert failure.outcome == decision, failure
    assert failure.outcome != Outcome.NOT_RUN or failure.retry_after_s > 0


@then("the retry policy grants {firsts:d} failures {low:d} to {high:d} retries, {saved:d} saved")
def check_retries(context, firsts, low, high, saved):
    budget = RetryBudget(0.1, saved)
    policy = RetryPolicy(budget)
    retries = 0
    for number in range(firsts):
        request = make_request(str(number))
        budget.first_attempt(0.0)
        tried = []
        while True:
            tried.append(f"e{len(tried)}")
            failure = Failure(Outcome.NOT_RUN, Step.CONNECT, tried[-1], "refused")
            if isinstance(policy.decide(request, failure, tried, 0.0, 0.1), GiveUp):
                break
            retries += 1
    assert low <= retries <= high, retries
