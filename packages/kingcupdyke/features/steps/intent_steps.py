"""
intent_steps
~~~~~~~~~~~~

Steps for recorded intents.
"""

from behave import given, then

from kingcupdyke.error import OptionError
from kingcupdyke.intent import Intent, decode_intents, encode_intents, may_send


def is_refused(call, *arguments):
    """:return: whether the call names its option as wrong"""
    try:
        call(*arguments)
    except OptionError as error:
        return error.option == "intents"
    return False


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
    assert is_refused(decode_intents, value.encode())


@then("intent: writing it {count:d} times is refused")
def check_writing(context, count):
    assert is_refused(encode_intents, [context.intent] * count)
