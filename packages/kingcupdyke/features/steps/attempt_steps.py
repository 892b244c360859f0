"""
attempt_steps
~~~~~~~~~~~~~

Steps for the states of an attempt.
"""

from behave import then, when

from kingcupdyke.attempt import AttemptMachine
from kingcupdyke.error import Step


def run_script(context, script, needs_claim):
    machine = context.machine = AttemptMachine("a1", "engine", needs_claim, 10.0)
    context.outcomes, context.sent = [], 0
    for word in script.split():
        name, _, argument = word.partition("=")
        if name in ("fail", "said", "unsent"):
            if name == "unsent":
                failure = machine.unsent(Step.CONNECT, "test")
            else:
                failure = machine.failure(Step.RUN, "test", reported_by_back_end=name == "said")
            context.outcomes.append(failure.outcome.value)
            continue
        result = machine.send(float(argument or 0)) if name == "send" else getattr(machine, name)()
        if result is not None and result.is_error():
            context.outcomes.append(result.error.outcome.value)
        elif name == "send":
            context.sent += 1


@when('attempt runs "{script}"')
def run_claimed(context, script):
    run_script(context, script, needs_claim=True)


@when('attempt without a claim runs "{script}"')
def run_unclaimed(context, script):
    run_script(context, script, needs_claim=False)


@then('attempt returned "{outcomes}", was sent {sent:d} times, and settles its key as "{key}"')
def check_outcomes(context, outcomes, sent, key):
    assert (" ".join(context.outcomes) or "none") == outcomes, context.outcomes
    assert context.sent == sent, context.sent
    assert (context.machine.key_state or "open") == key, context.machine.key_state


@then('attempt\'s failure at step "{step}" is "{outcome}" of "{peer}", retry after {seconds:d} s')
def check_failure(context, step, outcome, peer, seconds):
    failure = AttemptMachine("a1", "engine", True).failure(Step(step), "test", float(seconds))
    found = (failure.outcome, failure.step, failure.peer, failure.retry_after_s)
    assert found == (outcome, step, peer, seconds), found
