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

from kingcupdyke.lease import LeaseMachine
from kingcupdyke.leaserecord import LeaseRecord, ReadLease, WriteLease


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


def run_until_written(machine, record, version, now_s):
    """:return: the write with which a process takes the lease, and its time"""
    command = None
    while not isinstance(command, WriteLease):
        now_s += 0.1
        command = machine.tick(now_s)
        if isinstance(command, ReadLease):
            command = machine.lease_read(record, version, now_s)
    return command, now_s


@when("lease: a lease that may be used 3 s after a hand-over is taken: {case}")
def take_after_handover(context, case):
    def make(number):
        return LeaseMachine(
            "l", f"b/{number}", 10.0, 3.0, earlier_owner_prefix="b/", handover_s=3.0
        )

    record, version = LeaseRecord("l", "", 4, 10.0), 1
    if "has expired" in case:
        record = record._replace(owner="a/1", is_in_use=True)
    elif "earlier run" in case:
        record = record._replace(owner="b/0", is_in_use=True)
    machine = make(1)
    if "deleted" in case:
        machine.tick(0.0)
        machine.lease_read(record._replace(owner="a/1"), version, 0.0)
        record, version = None, 0
    command, taken_s = run_until_written(machine, record, version, 0.0)
    if "lost" in case:
        machine.store_failed(taken_s, True)
        command, _ = run_until_written(machine, command.record, 2, taken_s)
    elif "starts again" in case:
        machine = make(2)
        command, taken_s = run_until_written(machine, command.record, 2, taken_s)
    machine.lease_written(3, taken_s + 1.0)
    now_s = taken_s
    while not machine.may_use(now_s + 0.001):
        now_s += 0.1
    context.after_s = now_s - taken_s


@then("lease: it may be used {after:g} s after the first write that took it")
def check_usable(context, after):
    assert abs(context.after_s - after) < 0.05, context.after_s


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
