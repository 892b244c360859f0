"""
drain_steps
~~~~~~~~~~~

Steps for planned stops.
"""

from collections import Counter
from random import Random

from behave import then, when

from kingcupdyke.attempt import AttemptMachine
from kingcupdyke.drain import DrainMachine
from kingcupdyke.error import Step


def apply(machine, word, now_s):
    """:return: the result of admitting or holding, or None"""
    if word.startswith("-"):
        machine.finished(word[1:])
    elif word in ("stop", "told"):
        getattr(machine, word)(now_s)
    elif word == "release":
        machine.release("load")
    else:
        return machine.hold("load") if word == "hold" else machine.admit(word)
    return None


@when('drain runs "{script}"')
def run_script(context, script):
    context.machine = DrainMachine("g1", 5.0)
    context.failures_by_word = {}
    context.now_s = 100.0
    for word in script.split():
        if word.startswith("+"):
            context.now_s += float(word)
            continue
        result = apply(context.machine, word, context.now_s)
        if result is not None and result.is_error():
            context.failures_by_word[word] = result.error


@then('drain refused "{refused}", is "{state}" with {count:d} in flight and may exit: {exit}')
def check_script(context, refused, state, count, exit):
    machine = context.machine
    found = " ".join(context.failures_by_word) or "none"
    assert found == refused, found
    assert (machine.state, machine.in_flight) == (state, count), machine.state
    assert machine.may_exit(context.now_s) == (exit == "yes")


@then('drain failed as "{outcome}" at "{steps}" of "{peer}" with retry after {seconds:d} s')
def check_failures(context, outcome, steps, peer, seconds):
    failures = list(context.failures_by_word.values())
    assert [each.step for each in failures] == steps.split(), failures
    assert {each.outcome for each in failures} == {outcome}
    assert {(each.peer, each.retry_after_s) for each in failures} == {(peer, seconds)}


@then("drain of {count:d} gateways in turn runs each request once, interrupts none, replaces all")
def check_in_turn(context, count):
    rng = Random(5)
    runs, interrupted, replaced = Counter(), [], 0
    gateways = [DrainMachine(f"g{index}") for index in range(count)]
    ends_by_request = {}
    for tick in range(600):
        now_s = tick / 10
        for request_id, (gateway, end_s) in list(ends_by_request.items()):
            if now_s >= end_s:
                gateway.finished(request_id)
                del ends_by_request[request_id]
        for gateway in rng.sample(gateways, count):
            if gateway.admit(f"r{tick}").is_ok():
                ends_by_request[f"r{tick}"] = (gateway, now_s + rng.uniform(0.0, 3.0))
                runs[f"r{tick}"] += 1
                break
        leaving = gateways[replaced % count]
        leaving.stop(now_s)
        if now_s % 10 > 1:
            leaving.told(now_s)
        if replaced < count and leaving.may_exit(now_s):
            interrupted += [each for each, (g, _) in ends_by_request.items() if g is leaving]
            gateways[replaced] = DrainMachine(f"g{replaced}-new")
            replaced += 1
    assert len(runs) == 600, len(runs)
    assert set(runs.values()) == {1}
    assert interrupted == []
    assert replaced == count, replaced


@then('drain\'s request refused before a kill runs once elsewhere and the sent one is "{outcome}"')
def check_kill(context, outcome):
    leaving, other = DrainMachine("g1"), DrainMachine("g2")
    sent = AttemptMachine("a1", "g1", needs_claim=False)
    assert leaving.admit("r1").is_ok()
    sent.send(0.0)
    leaving.stop(0.0)
    assert leaving.admit("r2").error.outcome == "not_run"
    assert other.admit("r2").is_ok()
    assert sent.failure(Step.RELAY, "connection closed").outcome == outcome
