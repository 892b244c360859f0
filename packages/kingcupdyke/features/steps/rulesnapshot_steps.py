"""
rulesnapshot_steps
~~~~~~~~~~~~~~~~~~

Steps for rule snapshots.
"""

from behave import then, when

from kingcupdyke.rule import CallerRule
from kingcupdyke.rulesnapshot import (
    RuleSnapshot,
    StoredRule,
    apply_delta,
    diff_snapshots,
    store_rule,
    to_rule_set,
)


def read_snapshot(text):
    pairs = [each.split("=") for each in text.split()]
    rules = [CallerRule(name, f"digest of {name}", float(weight)) for name, weight in pairs]
    return RuleSnapshot.from_rules(store_rule("caller", rule, "Jana") for rule in rules)


@when("the rule snapshot {old} is compared with {new}")
def compare(context, old, new):
    context.old, context.new = read_snapshot(old), read_snapshot(new)
    context.delta = diff_snapshots(context.old, context.new)


@then('the snapshot delta puts "{puts}", removes "{removes}" and turns the old one into the new')
@then('the snapshot delta puts "", removes "" and turns the old one into the new')
@then('the snapshot delta puts "{puts}", removes "" and turns the old one into the new')
def check_delta(context, puts="", removes=""):
    before = RuleSnapshot(dict(context.old.rules_by_key))
    assert [rule.key for rule in context.delta.puts] == puts.split(), context.delta
    assert list(context.delta.removes) == removes.split(), context.delta
    assert apply_delta(context.old, context.delta) == context.new
    assert context.old == before


@then('the rule snapshot that holds "{key}" with the fields {fields} has {count:d} callers')
def check_callers(context, key, fields, count):
    rules = to_rule_set(RuleSnapshot.from_rules([StoredRule(key, fields, "Jana")]))
    assert len(rules.callers_by_digest) == count
