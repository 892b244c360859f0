"""
callertable_steps
~~~~~~~~~~~~~~~~~

Steps for finding callers by their keys.
"""

import tracemalloc

from behave import then, when

from kingcupdyke.forwarding.callertable import Caller, CallerTable, hash_key
from kingcupdyke.forwarding.metadata import RequestMetadata
from kingcupdyke.forwarding.quotaspec import QuotaSpec, QuotaUnit

TABLE = CallerTable(
    (
        Caller("a", frozenset((hash_key("key-a"), hash_key("key-a2")))),
        Caller("b", frozenset((hash_key("key-b"),))),
    )
)
#: Bytes that the interpreter may keep after many look-ups, whatever their number.
MAX_GROWTH_BYTES = 10_000


@then('callertable: the authorization "{text}" belongs to "{name}"')
def check_caller(context, text, name):
    text = text.replace("<8192>", "x" * 8192).replace("<lf>", "\n").replace("<nbsp>", "\xa0")
    caller = TABLE.find(text)
    found = TABLE.describe_fault(text) if caller is None else caller.name
    assert found == name, found


@then('callertable: the authorization "" belongs to "{name}"')
def check_no_caller(context, name):
    check_caller(context, "", name)


@then("callertable: a request costs its tokens, the plain tokens without them, or one request")
def check_costs(context):
    metadata = RequestMetadata("r1", None, "m1", "", 1460, 80, ())
    tokens = QuotaSpec(1.0, 1.0, QuotaUnit.TOKENS, 500)
    assert tokens.measure(metadata) == 1540
    assert tokens.measure(metadata._replace(prompt_tokens=0, output_tokens=0)) == 500
    assert QuotaSpec(1.0, 1.0, QuotaUnit.REQUESTS, 500).measure(metadata) == 1


@when("callertable: {count:d} unknown keys are looked up")
def look_up(context, count):
    assert TABLE.find("Bearer warm-up") is None
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(count):
        assert TABLE.find(f"Bearer unknown-{number}") is None
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    context.growth_bytes = after - before


@then("callertable: the table has not grown")
def check_growth(context):
    assert context.growth_bytes < MAX_GROWTH_BYTES, context.growth_bytes
