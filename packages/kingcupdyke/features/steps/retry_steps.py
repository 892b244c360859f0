"""
retry_steps
~~~~~~~~~~~

Steps for retries.
"""

from behave import then, when
from builders import make_request

from kingcupdyke.budget import RetryBudget
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.retry import GiveUp, Retry, RetryPolicy


@when("a retry policy of {most:d} attempts, {kind}, hears {outcomes} at {step} at {now:g} s")
def hear_outcomes(context, most, kind, outcomes, step, now):
    policy = RetryPolicy(RetryBudget(), most)
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


@then("the retry policy gives {firsts:d} failures {some:d} to {most:d} retries, {least:d} saved")
def check_retries(context, firsts, some, most, least):
    budget = RetryBudget(0.1, least)
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
    assert some <= retries <= most, retries
