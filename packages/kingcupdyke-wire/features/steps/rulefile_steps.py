"""
rulefile_steps
~~~~~~~~~~~~~~

Steps for reading and formatting rule files.
"""

from pathlib import Path

from behave import given, then

from kingcupdyke_wire.rulefile import check_rule_file, read_rule_file
from kingcupdyke_wire.ruletext import format_rule_file

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
VALID_LINE = "- {caller: app}  # Jana"


@given("the rulefile text")
def give_text(context):
    context.rule_text = context.text


@given("the rulefile line {line} between two valid ones")
def give_line(context, line):
    context.rule_text = f"{VALID_LINE}\n{line}\n{VALID_LINE}\n"


@given('the rulefile text of the example "{name}"')
def give_example(context, name):
    context.rule_text = (EXAMPLES / f"{name}.yaml").read_text(encoding="utf-8")


@given('the rulefile text of one caller "{name}" and one link of {size:d} bytes')
def give_values(context, name, size):
    context.rule_text = (
        f'- {{caller: "{name}", token_sha256: "{"0" * 64}"}}  # Jana\n'
        f"- {{link: a, budget: {size}, lean: 0.1}}  # Jana\n"
    )


@then('rulefile returns line {number:d} with the comment "{comment}"')
@then('rulefile returns line {number:d} with the comment ""')
def check_comment(context, number, comment=""):
    lines = read_rule_file(context.rule_text).lines
    comments = {line.line: line.comment for line in lines}
    assert comments[number] == comment, comments


@then("rulefile returns {count:d} lines, no problems and the base version {version:d}")
def check_file(context, count, version):
    file = read_rule_file(context.rule_text)
    assert len(file.lines) == count
    assert not file.problems
    assert file.base_version == version


@then('rulefile returns a problem at line {number:d} with "{remedy}" and keeps lines 1 and 3')
def check_problem(context, number, remedy):
    file = read_rule_file(context.rule_text)
    assert [problem.line for problem in file.problems] == [number], file
    assert remedy in file.problems[0].remedy, file.problems
    assert [line.line for line in file.lines] == [1, 3]


@then("rulefile's check reports the lines {lines}")
def check_lines(context, lines):
    problems = check_rule_file(context.rule_text).error
    assert [problem.line for problem in problems] == [int(each) for each in lines.split(",")]


@then("rulefile's check passes with {models:d} models and {adapters:d} adapters")
def check_counts(context, models, adapters):
    checked = check_rule_file(context.rule_text)
    assert checked.is_ok(), checked.error
    kinds = [key.partition("/")[0] for key in checked.ok.rule_snapshot.rules_by_key]
    assert (kinds.count("model"), kinds.count("adapter")) == (models, adapters)


@then("ruletext formats it so that it reads back as the same rules at version {version:d}")
def check_round_trip(context, version):
    rule_snapshot = check_rule_file(context.rule_text).ok.rule_snapshot
    again = check_rule_file(format_rule_file(version, rule_snapshot.rules_by_key.values()))
    assert again.is_ok(), again.error
    assert again.ok.rule_snapshot == rule_snapshot
    assert again.ok.base_version == version
