"""
report_steps
~~~~~~~~~~~~

Steps for the reports of policy runs.
"""

from behave import given, then, when

from kingcupdyke_measure.load import Arrival, ArrivalResult
from kingcupdyke_measure.report import Moves, count_losses, get_percentile, report_group

#: HTTP status of an answer, and whether it is complete, by its description in the steps.
_STATUS_AND_COMPLETENESS_BY_ANSWER = {
    "complete": (200, True),
    "truncated": (200, False),
    "rejected": (503, False),
    "missing": (0, False),
}


@given(
    'a report of an answer that is "{answer}" after {seconds:g} s, with a deadline of'
    ' {deadline_s:g} s and the key "{key}"'
)
@given(
    'a report of an answer that is "{answer}" after {seconds:g} s, with a deadline of'
    ' {deadline_s:g} s and the key ""'
)
def give_answer(context, answer, seconds, deadline_s, key=""):
    arrival = Arrival(0.0, "text", "token", "/", {}, deadline_s, key=key)
    status, is_complete = _STATUS_AND_COMPLETENESS_BY_ANSWER[answer]
    context.key = key
    context.runs_by_key = {}
    context.results = [ArrivalResult(arrival, status, 0.1, seconds, 0.0, is_complete, "", "")]


@when("the key was executed {runs:d} times")
def give_runs(context, runs):
    context.runs_by_key = {context.key: runs} if runs else {}


@then(
    "the report counts {attained:d} attained, {late:d} late,"
    " {rejected:d} rejected and {lost:d} lost"
)
def check_counts(context, attained, late, rejected, lost):
    group = report_group(context.results, context.runs_by_key)
    found = (group.sent, group.attained, group.late, group.refused, group.lost)
    assert found == (1, attained, late, rejected, lost), found


@then('the report\'s percentile {percent:g} of "{values}" is {value:g}')
@then('the report\'s percentile {percent:g} of "" is {value:g}')
def check_percentile(context, percent, value, values=""):
    found = get_percentile([float(each) for each in values.split()], percent)
    assert found == value, found


@then('the report\'s losses are "{text}"')
def check_losses(context, text):
    found = ", ".join(f"{name}: {n}" for name, n in count_losses(context.results).items())
    assert found == text, found


@then(
    "the report of {weights:d} GB of weights and {traffic:d} MB of traffic between regions"
    " counts {crossing:d} bytes"
)
def check_crossing(context, weights, traffic, crossing):
    moves = Moves(1, weights * 10**9, weights * 10**9, 0, traffic * 10**6)
    assert moves.crossing_bytes == crossing
