"""
util_steps
~~~~~~~~~~

Steps for option helpers and hashing.
"""

import json

from behave import given, then, when

from kingcupdyke.error import OptionError
from kingcupdyke.util import get_bytes_opt, get_seconds_opt, rank_rendezvous

READERS = {"bytes": get_bytes_opt, "seconds": get_seconds_opt}


@given('the option "value" is {text}')
def give_option(context, text):
    context.options = {"value": json.loads(text)}


@when("util reads it as {kind}")
def read_option(context, kind):
    try:
        context.outcome = READERS[kind](context.options, "value")
    except OptionError as error:
        context.outcome = error


@then("util gives {expected:g}")
def check_value(context, expected):
    assert abs(context.outcome - expected) < 1e-9, context.outcome


@then('util refuses it and names "{name}"')
def check_refusal(context, name):
    assert isinstance(context.outcome, OptionError), context.outcome
    assert context.outcome.option == name
    assert context.outcome.remedy


@when("util ranks {count:d} keys over 10 members and over 9 of them")
def rank_twice(context, count):
    members = [f"member-{index}" for index in range(10)]
    keys = [f"key-{index}" for index in range(count)]
    context.before = {key: rank_rendezvous(key, members)[0] for key in keys}
    context.after = {key: rank_rendezvous(key, members[:-1])[0] for key in keys}


@then("util moves only the keys of the member taken out")
def check_moves(context):
    moved = {key for key in context.before if context.before[key] != context.after[key]}
    assert moved == {key for key, owner in context.before.items() if owner == "member-9"}
    assert moved
