"""
cache_steps
~~~~~~~~~~~

Steps for the index of cached prompt prefixes.
"""

import re

from behave import given, then, when

from kingcupdyke.cache import PrefixIndex


@given("a cache index of {max_prefixes:d} prefixes")
def make_index(context, max_prefixes):
    context.index = PrefixIndex(max_prefixes)


@when("the cache index receives {events:S} {more}")
def apply_events(context, events, more):
    for event in (events, *more.split()):
        fields = re.fullmatch(r"(\w+)/(\w+)/(\d+)([+-])(\w+)", event)
        stored = fields[4] == "+"
        context.index.apply_event(fields[1], fields[2], int(fields[3]), stored, fields[5])


@then("the cache index counts {blocks:d} of the blocks a b c at e1, with {gaps:d} gaps")
def check_blocks(context, blocks, gaps):
    assert context.index.cached_blocks("e1", ("a", "b", "c")) == blocks
    assert context.index.gaps == gaps


@then("the cache index keeps {kept:d} of {count:d} prefixes, none once endpoints are removed")
def check_bound(context, kept, count):
    for number in range(count):
        context.index.apply_event(f"e{number % 10}", "x", number // 10, True, f"p{number}")
    assert len(context.index) == kept
    for number in range(10):
        context.index.forget(f"e{number}")
    assert len(context.index) == 0
