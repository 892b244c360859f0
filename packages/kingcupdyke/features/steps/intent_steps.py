"""
intent_steps
~~~~~~~~~~~~

Steps for recorded intents.
"""

from behave import given, then
from checks import find_wrong_option

from kingcupdyke.intent import Intent, decode_intents, encode_intents, may_send


@given("intent: one recorded at {sent:g} s that lives for {lifetime:g} s")
def give_intent(context, sent, lifetime):
    context.intent = Intent("order-1", "load", "model-a", "", 5, 3, sent, lifetime)


@then("intent: at {now:g} s the order {may} be sent")
def check_may_send(context, now, may):
    assert may_send(context.intent, now) == (may == "may")


@then("intent: it is the same when read back")
def check_same(context):
    assert decode_intents(encode_intents([context.intent] * 2)) == (context.intent,) * 2


@then('intent: reading "{value}" is refused')
def check_reading(context, value):
    assert find_wrong_option(decode_intents, value.encode()) == "intents"


@then("intent: writing it {count:d} times is refused")
def check_writing(context, count):
    assert find_wrong_option(encode_intents, [context.intent] * count) == "intents"
