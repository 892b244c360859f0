"""
fence_steps
~~~~~~~~~~~

Steps for fencing numbers and the takeover of an endpoint.
"""

from behave import then, when
from checks import find_wrong_option
from fake_engine import FakeEngine, make_intent

from kingcupdyke.error import Step
from kingcupdyke.fence import (
    EndpointGuard,
    EndpointRecord,
    FenceGuard,
    RaiseFence,
    ReadEndpoint,
    ReadInventory,
    Ready,
    TakeoverMachine,
    WriteEndpoint,
)
from kingcupdyke.intent import MAX_VALUE_BYTES, encode_intents
from kingcupdyke.placement import Order


def parse_record(words):
    """:return: the record for the words INCARNATION FENCE INTENTS, None for "-" """
    if words[0] == "-":
        return None
    names = words[2].split(",") if len(words) > 2 and words[2] != "-" else []
    orders = [Order(name, "e", "load", "a", order_bytes=5) for name in names]
    intents = tuple(make_intent(order, int(words[1]), 0.0, 10.0) for order in orders)
    return EndpointRecord("e", words[0], int(words[1]), intents)


def format_command(command):
    """:return: a command in the notation of the tables"""
    if isinstance(command, ReadEndpoint):
        return "read"
    if isinstance(command, ReadInventory):
        return "inventory"
    if isinstance(command, RaiseFence):
        return f"raise {command.fence}"
    name = "ready" if isinstance(command, Ready) else "write"
    record = command.value if isinstance(command, WriteEndpoint) else command
    return f"{name} {record.fence} {','.join(each.order_id for each in record.intents) or '-'}"


def give_event(context, name, words):
    """Pass an event of the tables to the machine.

    :return: the machine's next command
    """
    machine = context.machine
    if name == "unknown":
        return machine.endpoint_unknown()
    if name == "raised":
        return machine.fence_raised()
    if name == "inventory":
        inventory = FakeEngine(100).inventory()
        running = words[1].split(",") if len(words) > 1 else []
        orders = dict.fromkeys(running, "running") | {"ended": "done"}
        return machine.inventory_read(inventory._replace(fence=int(words[0]), orders=orders))
    context.version += 1
    if name == "written":
        return machine.endpoint_written(context.version)
    given_event = machine.endpoint_read if name == "read" else machine.endpoint_conflict
    return given_event(parse_record(words), context.version)


@then('fence: the numbers "{numbers}" get "{expected}" and a rejection is "not run"')
def check_numbers(context, numbers, expected):
    guard = FenceGuard()
    pairs = [each.split() for each in numbers.split(";")]
    answers = [guard.accept(lease, int(number)) for lease, number in pairs]
    assert " ".join("yes" if each.is_ok() else "no" for each in answers) == expected
    rejections = [each.error for each in answers if each.is_error()]
    assert all((each.outcome, each.step) == ("not_run", "order") for each in rejections)


@when('fence: a sidecar s2 that starts beside an engine that {checks} gets "{events}"')
def run_takeover(context, checks, events):
    context.machine = TakeoverMachine("e", "s2", checks == "checks")
    context.commands = [context.machine.start()]
    context.version = 0
    for event in events.split(";"):
        name, *words = event.split()
        command = give_event(context, name, words)
        if isinstance(command, WriteEndpoint):
            assert command.value.incarnation == "s2"
            assert command.if_version == context.version
        context.commands.append(command)


@then('fence: the commands are "{expected}"')
def check_commands(context, expected):
    seen = "; ".join(format_command(each) for each in context.commands)
    assert seen == expected, seen
    assert context.machine.version == context.version


@then('fence: sidecar s1 that reads "{found}" {may} send orders and accept requests')
def check_guard(context, found, may):
    guard = EndpointGuard("s1")
    for version, each in enumerate(found.split(";")):
        guard.endpoint_conflict(parse_record(each.split()), version)
    superseded = may == "may not"
    assert guard.superseded == superseded
    checks = [guard.check(step) for step in (Step.ORDER, Step.ADMIT)]
    assert [each.is_error() for each in checks] == [superseded, superseded]
    assert all(each.error.outcome == "not_run" for each in checks if each.is_error())


@then('fence: the object "{words}" is the same after decoding')
def check_record(context, words):
    record = parse_record(words.split())
    assert EndpointRecord.decode(record.encode()) == record


@then('fence: decoding "{value}" is rejected')
def check_rejection(context, value):
    assert find_wrong_option(EndpointRecord.decode, value.encode()) == "endpoint"


@then("fence: an object whose intents alone have the maximum size is rejected")
def check_size(context):
    record = parse_record(["s1", "4", "L"])
    intent = record.intents[0]
    missing = MAX_VALUE_BYTES - len(encode_intents([intent]))
    intent = intent._replace(model=intent.model + "x" * missing)
    assert len(encode_intents([intent])) == MAX_VALUE_BYTES
    assert find_wrong_option(record._replace(intents=(intent,)).encode) == "endpoint"
