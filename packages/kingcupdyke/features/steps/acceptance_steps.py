"""
acceptance_steps
~~~~~~~~~~~~~~~~

Steps for applying a configuration change to the change log.
"""

from behave import then, when

from kingcupdyke.acceptance import AcceptMachine, AcceptResult, CreateChange, ReadBack, ReadHead
from kingcupdyke.config import ConfigChange
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.rulesnapshot import SnapshotDelta

BASE_VERSION = 5


@when('acceptance of the change "own" on version 5 receives {answers}')
def receive(context, answers):
    context.machine = AcceptMachine("own", "Jana", BASE_VERSION, SnapshotDelta((), ("model/a",)))
    context.command = context.machine.start()
    context.creates = 0
    assert context.command == ReadHead(BASE_VERSION)
    for answer in answers.split(", "):
        assert not isinstance(context.command, AcceptResult), (answer, context.command)
        context.command = handle_answer(context, answer)
        if isinstance(context.command, CreateChange):
            context.creates += 1


def handle_answer(context, answer):
    word, *rest = answer.split()
    if word == "log":
        assert isinstance(context.command, ReadHead | ReadBack), context.command
        changes = [
            ConfigChange(version, change_id, "", (), ())
            for version, change_id in enumerate(rest[1:], start=BASE_VERSION + 1)
        ]
        return context.machine.log_read(int(rest[0]), changes)
    if answer in ("not run", "unknown"):
        outcome = Outcome.NOT_RUN if answer == "not run" else Outcome.UNKNOWN
        return context.machine.command_failed(Failure(outcome, Step.STORE, "store", answer))
    assert isinstance(context.command, CreateChange), context.command
    if word == "taken":
        return context.machine.version_taken()
    return context.machine.change_created()


@then("acceptance ends as {result} after {creates:d} creates")
def check_result(context, result, creates):
    command = context.command
    word, *versions = result.split()
    names = {"not": "NotApplied", "unknown": "UnknownOutcome"}
    assert type(command).__name__ == names.get(word, word.title()), command
    if word == "applied":
        assert command.version == int(versions[0])
    elif word == "conflict":
        assert [change.version for change in command.changes] == [int(each) for each in versions]
    elif word == "unknown":
        assert command.change_id == "own"
    assert context.creates == creates
