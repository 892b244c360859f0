"""
check_steps
~~~~~~~~~~~

Steps for checking the lines of a rule file.
"""

import json
from hashlib import sha256

from behave import given, then

from kingcupdyke.check import RuleLine, check_rules
from kingcupdyke.rulesnapshot import RuleSnapshot, to_rule_set

DIGEST = sha256(b"token of app").hexdigest()
VALID_FIELDS = [
    {"memory": "bohemia", "hosts": 4, "per_host": "80GB"},
    {"caller": "app", "token_sha256": DIGEST},
    {
        **{"model": "cs-7b", "version": "3", "weights": "14GB", "kv": "6GB", "replicas": 2},
        **{"regions": ["bohemia"], "callers": ["app"], "class": "interactive", "deadline": "2s"},
    },
    {"adapter": "praha", "model": "cs-7b", "size": "90MB", "callers": ["*"]},
    {
        **{"service": "confirmations", "callers": ["app"], "idempotent": ["GET"]},
        **{"class": "interactive", "deadline": "800ms"},
    },
    {"link": "bohemia-moravia", "budget": "200KB", "lean": 0.8},
    {"caller": "desk", "token_sha256": sha256(b"token of desk").hexdigest(), "weight": 2},
]


@given("check's valid rule lines")
def give_valid(context):
    lines = [dict(fields) for fields in VALID_FIELDS]
    context.lines = [RuleLine(number, each, "Jana") for number, each in enumerate(lines, start=2)]


@given("check's rule lines are {fields}")
def give_lines(context, fields):
    context.lines = [RuleLine(1, each, "Jana") for each in json.loads(fields)]


@given('check\'s line {line:d} has the field "{field}" as {value}')
def change_field(context, line, field, value):
    value = json.loads(value)
    context.lines[line - 2].fields[field] = DIGEST if value == "digest of app" else value


@given("check's line {line:d} has no comment")
def drop_comment(context, line):
    context.lines[line - 2] = context.lines[line - 2]._replace(comment=" ")


@then("check gives a snapshot of {count:d} rules that parses back to the same values")
def check_snapshot(context, count):
    snapshot = check_rules(context.lines).ok
    assert len(snapshot.rules_by_key) == count
    rules = to_rule_set(snapshot)
    model = rules.models_by_name["cs-7b"]
    assert (model.weights_bytes, model.kv_bytes) == (14 * 10**9, 6 * 10**9)
    assert (model.regions, model.callers, model.deadline_s) == (("bohemia",), ("app",), 2.0)
    assert rules.adapters_by_name["praha"].adapter_bytes == 90 * 10**6
    assert rules.services_by_name["confirmations"].idempotent_methods == ("GET",)
    assert rules.callers_by_digest[DIGEST].weight == 1.0
    assert rules.memory_by_name["bohemia"].region == "bohemia"
    assert rules.links_by_name["bohemia-moravia"].lean == 0.8
    assert RuleSnapshot.from_rules(snapshot.rules_by_key.values()) == snapshot


@then('check reports only line {line:d}, field "{field}" and a remedy with "{text}"')
@then('check reports only line {line:d}, field "" and a remedy with "{text}"')
def check_problem(context, line, text, field=""):
    problems = check_rules(context.lines).error
    assert len(problems) == 1, problems
    assert (problems[0].line, problems[0].field) == (line, field), problems
    assert text in problems[0].remedy, problems
    assert "secret" not in str(problems[0].value)


@then("check reports the lines {lines}")
def check_lines(context, lines):
    problems = check_rules(context.lines).error
    assert [problem.line for problem in problems] == [int(line) for line in lines.split(",")]
