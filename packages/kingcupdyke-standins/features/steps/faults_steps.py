"""
faults_steps
~~~~~~~~~~~~

Steps for the fault switches.
"""

import json

from behave import given, then, when

from kingcupdyke.error import OptionError
from kingcupdyke_standins.faults import Faults


@given('the switches of faults for the "{standin}"')
def give_switches(context, standin):
    context.faults = Faults(standin)
    context.before = dict(context.faults.values_by_name)


@when("faults takes {values}")
def take_values(context, values):
    try:
        context.faults.set(json.loads(values))
        context.error = None
    except OptionError as error:
        context.error = error


@then("faults refuses it and stays as it was")
def check_refused(context):
    assert context.error is not None
    assert context.faults.values_by_name == context.before


@then("faults strikes {strikes:d} times of 3")
def check_strikes(context, strikes):
    assert sum(context.faults.take("lose_answers") for _ in range(3)) == strikes
