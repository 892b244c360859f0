"""
lease_steps
~~~~~~~~~~~

Steps for leases.
"""

import json

from behave import then, when
from checks import find_wrong_option, run_machine
from lease_rules import LeaseRules
from lease_script import LeaseScript

from kingcupdyke.lease import LeaseMachine, LeaseRecord, ReadLease, WriteLease


@when('lease: "{events}" happens to processes that renew a lease of 10 s every 3 s')
def run_events(context, events):
    context.script = LeaseScript()
    context.script.run(events)


@then('lease: p, q and r hold the numbers "{numbers}"')
def check_numbers(context, numbers):
    assert context.script.numbers() == numbers, context.script.numbers()


@then("lease: a lease of {duration:d} s that is renewed every {renew:d} s is rejected")
def check_option(context, duration, renew):
    assert find_wrong_option(LeaseMachine, "l", "p", duration, renew) == "renew_s"


@then('lease: a record is the same after decoding, and "{first}" and "{second}" are rejected')
def check_record(context, first, second):
    record = LeaseRecord("l", "p", 3, 10.0)
    assert LeaseRecord.decode(record.encode()) == record
    for value in (first, second):
        assert find_wrong_option(LeaseRecord.decode, value.encode()) == "lease", value


@then("lease: the record with {fields} is rejected")
def check_odd_record(context, fields):
    record = json.loads(LeaseRecord("l", "p", 3, 10.0).encode()) | json.loads(f"{{{fields}}}")
    assert find_wrong_option(LeaseRecord.decode, json.dumps(record).encode()) == "lease", fields


@then("lease: no two processes hold the same number in any order of events")
def check_machine(context):
    run_machine(LeaseRules)


@when(
    "lease: another process's lease of {duration:g} s is read every {period:g} s "
    "and never renewed"
)
def wait_for_expiry(context, duration, period):
    machine = LeaseMachine("l", "b", duration, period)
    record = LeaseRecord("l", "a", 1, duration)
    now_s, command = 0.0, None
    while not isinstance(command, WriteLease):
        now_s += 0.05
        command = machine.tick(now_s)
        if isinstance(command, ReadLease):
            command = machine.lease_read(record, 1, now_s)
    context.taken_s = now_s


@then("lease: it is taken between {first:g} and {last:g} s")
def check_taken(context, first, last):
    assert first <= context.taken_s <= last, context.taken_s
