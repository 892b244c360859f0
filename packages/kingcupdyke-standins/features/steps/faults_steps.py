"""
faults_steps
~~~~~~~~~~~~

Steps for the fault switches.
"""

import json

from behave import given, then, when

from kingcupdyke.error import OptionError
from kingcupdyke_standins.faults import Faults


@given('the fault switches of the stand-in "{standin}"')
def create_switches(context, standin):
    context.faults = Faults(standin)


@when("faults sets {values}")
def set_values(context, values):
    context.faults.set(json.loads(values))


@then("faults rejects {values} and keeps all values")
def check_rejected(context, values):
    before = dict(context.faults.values_by_name)
    try:
        context.faults.set(json.loads(values))
    except OptionError:
        assert context.faults.values_by_name == before
    else:
        raise AssertionError("accepted")


@then("faults applies the fault in {applied:d} of 3 calls")
def check_applied(context, applied):
    assert sum(context.faults.take("lose_answers") for _ in range(3)) == applied
