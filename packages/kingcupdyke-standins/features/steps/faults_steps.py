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


@when("faults takes {values}")
def take_values(context, values):
    context.faults.set(json.loads(values))


@then("faults refuses {values} and stays as it was")
def check_refused(context, values):
    before = dict(context.faults.values_by_name)
    try:
        context.faults.set(json.loads(values))
    except OptionError:
        assert context.faults.values_by_name == before
    else:
        raise AssertionError("accepted")


@then("faults strikes {strikes:d} times of 3")
def check_strikes(context, strikes):
    assert sum(context.faults.take("lose_answers") for _ in range(3)) == strikes
