"""
report_steps
~~~~~~~~~~~~

Steps for the report arithmetic.
"""

from behave import given, then, when

from kingcupdyke_measure.load import Arrival, ArrivalResult
from kingcupdyke_measure.report import Moves, count_losses, get_percentile, report_group

#: Status and wholeness of an answer by its word.
_ANSWERS_BY_WORD = {
    "whole": (200, True),
    "cut": (200, False),
    "refused": (503, False),
    "silent": (0, False),
}


@given(
    'a report of an answer that is "{word}" after {seconds:g} s, due in {due:g} s,'
    ' with the key "{key}"'
)
@given(
    'a report of an answer that is "{word}" after {seconds:g} s, due in {due:g} s,'
    ' with the key ""'
)
def give_answer(context, word, seconds, due, key=""):
    arrival = Arrival(0.0, "text", "token", "/", {}, due, key=key)
    status, whole = _ANSWERS_BY_WORD[word]
    context.key = key
    context.runs_by_key = {}
    context.results = [ArrivalResult(arrival, status, 0.1, seconds, 0.0, whole, "", "")]


@when("the report knows that the key ran {runs:d} times")
def take_runs(context, runs):
    context.runs_by_key = {context.key: runs} if runs else {}


@then(
    "the report counts {attained:d} attained, {late:d} late,"
    " {refused:d} refused and {lost:d} lost"
)
def check_counts(context, attained, late, refused, lost):
    group = report_group(context.results, context.runs_by_key)
    found = (group.sent, group.attained, group.late, group.refused, group.lost)
    assert found == (1, attained, late, refused, lost), found


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
    "the report of {weights:d} GB of weights moved afar and {traffic:d} MB of traffic counts"
    " {crossing:d} bytes across regions"
)
def check_crossing(context, weights, traffic, crossing):
    moves = Moves(1, weights * 10**9, weights * 10**9, 0, traffic * 10**6)
    assert moves.crossing_bytes == crossing
