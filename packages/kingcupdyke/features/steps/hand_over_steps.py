"""
hand_over_steps
~~~~~~~~~~~~~~~

Steps for the hand-over of a draining endpoint; "!" marks a holder whose host is leaving.
"""

from behave import then, when

from kingcupdyke.hand_over import HandOverMachine, MayStop, RequestLoad
from kingcupdyke.removal import ReadResidency
from kingcupdyke.residency import Holder, ResidencyRecord

TIMEOUT_S = 30


def read_record(model, names):
    """:return: a record with a holder for each name"""
    holders = {
        name[0]: Holder("1", name[0], "dc", "region", name.endswith("!"))
        for name in names.split(",")
    }
    return ResidencyRecord(model, holders)


def show(command):
    """:return: a command in the notation of the tables"""
    if isinstance(command, MayStop):
        return f"go {','.join(command.under_replicated_models) or '-'}"
    if isinstance(command, RequestLoad):
        return f"load {command.model} {command.replicas}"
    if isinstance(command, ReadResidency):
        return f"read {command.model}"
    holders = command.record.holders_by_endpoint.items()
    names = (name + "!" * holder.leaving for name, holder in sorted(holders))
    return f"write {command.record.model} {','.join(names)}"


def apply_event(context, name, words):
    """:return: the machine's commands"""
    machine, now_s = context.machine, context.now_s
    if name == "start":
        return machine.start(now_s)
    if name == "wait":
        context.now_s += float(words[0])
        return machine.tick(context.now_s)
    if name == "written":
        return machine.residency_written(words[0], now_s)
    event = machine.residency_read if name == "read" else machine.residency_conflict
    return event(words[0], read_record(*words), 7, now_s)


@when('hand_over: endpoint a needs a replica each of x and y, and receives "{events}"')
def run_events(context, events):
    context.machine = HandOverMachine("a", "a", {"x": 1, "y": 1}, TIMEOUT_S)
    context.now_s = 0.0
    given_events = [event.split() for event in events.split(";")]
    context.commands = [apply_event(context, name, words) for name, *words in given_events]


@then('hand_over: the commands are "{expected}"')
def check_commands(context, expected):
    seen = "; ".join(", ".join(map(show, each)) or "-" for each in context.commands)
    assert seen == expected, seen
