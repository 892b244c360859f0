"""
lease_steps
~~~~~~~~~~~

Steps for leases.
"""

import os

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test
from lease_rules import LeaseRules
from lease_story import LeaseStory

from kingcupdyke.error import OptionError
from kingcupdyke.lease import LeaseMachine, LeaseRecord


@given("lease: processes p, q and r share a lease of 10 s, renewed every 3 s")
def give_processes(context):
    context.story = LeaseStory()


@when('lease: "{events}" happens')
def run_events(context, events):
    context.story.run(events)


@then('lease: p, q and r hold the numbers "{numbers}"')
def check_numbers(context, numbers):
    assert context.story.numbers() == numbers, context.story.numbers()


@then("lease: one of {duration:d} s that is renewed every {renew:d} s is refused")
def check_option(context, duration, renew):
    try:
        LeaseMachine("l", "p", duration, renew)
    except OptionError as error:
        assert error.option == "renew_s"
    else:
        raise AssertionError("accepted")


@then('lease: a record is the same when read back, and "{first}" and "{second}" are refused')
def check_record(context, first, second):
    record = LeaseRecord("l", "p", 3, 10.0)
    assert LeaseRecord.decode(record.encode()) == record
    for value in (first, second):
        try:
            LeaseRecord.decode(value.encode())
        except OptionError as error:
            assert error.option == "lease"
        else:
            raise AssertionError(f"accepted {value}")


@then("lease: no two processes hold the same number in any order of events")
def run_machine(context):
    chosen = settings(
        max_examples=int(os.environ.get("KINGCUPDYKE_FUZZ_EXAMPLES", "60")),
        derandomize=True,
        database=None,
        deadline=None,
        stateful_step_count=50,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(LeaseRules, settings=chosen)
