"""
util_steps
~~~~~~~~~~

Steps for option helpers and rendezvous hashing.
"""

import json

from behave import then, when

from kingcupdyke.error import OptionError
from kingcupdyke.util import get_bytes_opt, get_seconds_opt, rank_rendezvous

READERS = {"bytes": get_bytes_opt, "seconds": get_seconds_opt}


@when("util reads the option {text} as {kind}")
def read_option(context, text, kind):
    try:
        context.outcome = READERS[kind]({"value": json.loads(text)}, "value")
    except OptionError as error:
        context.outcome = error


@then("util gives {expected:g}")
def check_value(context, expected):
    assert abs(context.outcome - expected) < 1e-9, context.outcome


@then('util refuses it and names option "{name}"')
def check_refusal(context, name):
    assert isinstance(context.outcome, OptionError), context.outcome
    assert context.outcome.option == name
    assert context.outcome.remedy


@then("util moves only the keys of the removed member, of {count:d} keys and 10 members")
def check_moves(context, count):
    members = [f"member-{index}" for index in range(10)]
    keys = [f"key-{index}" for index in range(count)]
    before = {key: rank_rendezvous(key, members)[0] for key in keys}
    after = {key: rank_rendezvous(key, members[:-1])[0] for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key, owner in before.items() if owner == "member-9"}
    assert moved
