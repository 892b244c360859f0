"""
intent_steps
~~~~~~~~~~~~

Steps for the intents of orders.
"""

from behave import then
from checks import find_wrong_option

from kingcupdyke.intent import Intent, decode_intents, encode_intents, may_send

#: Recorded at 100 s, with a lifetime of 10 s.
INTENT = Intent("order-1", "load", "model-a", "", 5, 3, 100.0, 10.0)


@then("intent: at {now:g} s the order {may} be sent")
def check_may_send(context, now, may):
    assert may_send(INTENT, now) == (may == "may")


@then("intent: it is the same after decoding")
def check_same(context):
    assert decode_intents(encode_intents([INTENT] * 2)) == (INTENT,) * 2


@then('intent: decoding "{value}" is rejected')
def check_decoding(context, value):
    assert find_wrong_option(decode_intents, value.encode()) == "intents"


@then("intent: encoding it {count:d} times is rejected")
def check_encoding(context, count):
    assert find_wrong_option(encode_intents, [INTENT] * count) == "intents"
