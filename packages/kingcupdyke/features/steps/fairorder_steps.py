"""
fairorder_steps
~~~~~~~~~~~~~~~

Steps for the order of waiting requests of several callers.
"""

from behave import then, when
from fairness_simulation import CALLERS, make_quota, play
from forwarding_builders import make_item

from kingcupdyke.forwarding.callertable import Caller, CallerTable
from kingcupdyke.forwarding.fairorder import FairOrder

RATES = {
    "equal": [2.0] * CALLERS,
    "none": [0.0] * CALLERS,
    "unequal": [4200.0] * 8 + [9000.0] * 4 + [20000.0] * 2 + [60000.0, 160000.0],
}
SEED = 1


@when(
    'fairorder: the callers send with rates "{name}" at {load:d} % of the capacity, without and '
    "with the burst"
)
def play_both(context, name, load):
    context.calm = play(load / 100, 1, SEED, RATES[name])
    context.burst = play(load / 100, 7, SEED, RATES[name])


@then("fairorder: no other caller is served less than 90 % as often with the burst as without it")
def check_others(context):
    before, after = context.calm[1], context.burst[1]
    ratios = {f"c{n}": after[f"c{n}"] / before[f"c{n}"] for n in range(1, CALLERS)}
    assert min(ratios.values()) >= 0.9, ratios


@then("fairorder: no caller is served less than a quarter as often as all")
def check_all(context):
    sent, served = context.burst
    share = sum(served.values()) / sum(sent.values())
    shares = {caller: served[caller] / count / share for caller, count in sent.items()}
    assert min(shares.values()) >= 0.25, shares


@when('fairorder: of waiting requests "{waiting}", "{served}" have been served before')
def arrange(context, waiting, served):
    order = FairOrder()
    names = {"a": 1.0, "b": 1.0, "h": 2.0}
    if served != "-":
        callers = [
            Caller(name, frozenset(), None, make_quota(each)) for name, each in names.items()
        ]
        order.configure(CallerTable(tuple(callers)))
    for caller in served.strip("-"):
        order.note_sent(make_item("x", caller=caller), 0.0)
    items = [
        make_item(
            each[:2],
            caller=each[0],
            objective_s=-1.0 if each.endswith("~") else 1.0 + number / 100,
            priority=0 if each.endswith("!") else 1,
        )
        for number, each in enumerate(waiting.split())
    ]
    context.order = [each.attempt_id for each in order.sort(items, 0.0)]


@then('fairorder: they are served in the order "{order}"')
def check_order(context, order):
    assert " ".join(context.order) == order, context.order
