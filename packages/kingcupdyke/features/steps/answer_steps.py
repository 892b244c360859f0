"""
answer_steps
~~~~~~~~~~~~

Steps for assembling and buffering answers.
"""

from behave import given, then, when
from checks import run_machine
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import integers, sampled_from

from kingcupdyke.answer import AnswerAssembler, AnswerBuffer

NONE = "none"


def split(text):
    return [word for word in text.split() if word != NONE]


def give_message(assembler, request_id, attempt_id, name):
    if name.startswith("start"):
        status = int(name.partition("=")[2] or 200)
        return assembler.start(request_id, attempt_id, status, "text/event-stream")
    if name.startswith("end"):
        return assembler.end(request_id, attempt_id, int(name[3:]))
    return assembler.part(request_id, attempt_id, int(name), f"p{name}".encode())


@when('answer receives "{script}"')
def receive_script(context, script):
    context.assembler = AnswerAssembler("r1", "a1", "e1")
    context.delivered, context.refused, context.failures = [], [], []
    for word in script.split():
        if word.startswith("resume="):
            context.assembler.resumed(word[7:])
            continue
        prefix, _, name = word.rpartition(":")
        request_id = prefix if prefix.startswith("r") else "r1"
        attempt_id = prefix if prefix.startswith("a") else "a1"
        result = give_message(context.assembler, request_id, attempt_id, name)
        if result.is_error():
            context.refused.append(word)
            context.failures.append(result.error)
        elif result.ok is not None:
            context.delivered.append(result.ok.decode())


@then('answer delivered "{delivered}", refused "{refused}" and is {state}')
def check_script(context, delivered, refused, state):
    assert context.delivered == split(delivered), context.delivered
    assert context.refused == split(refused), context.refused
    assembler = context.assembler
    assert assembler.started == (state != "unstarted")
    assert assembler.complete == (state == "complete")
    assert assembler.next_offset == len(context.delivered)


@then('answer failed at step "{step}" and peer "{peer}" with outcome "{outcome}"')
def check_failure(context, step, peer, outcome):
    (failure,) = context.failures
    assert (failure.step, failure.peer, failure.outcome) == (step, peer, outcome), failure


class AnswerMachine(RuleBasedStateMachine):
    """Messages of the expected answer and of others in any order, with resumes in between."""

    expected = [f"p{index}".encode() for index in range(4)]

    def __init__(self):
        super().__init__()
        self.assembler = AnswerAssembler("r1", "a1")
        self.attempt_id = "a1"
        self.delivered = []

    @rule(
        request_id=sampled_from(["r1", "r1", "r1", "r2"]),
        attempt_id=sampled_from(["a1", "a1", "a2"]),
        name=sampled_from(["start", "start=500", "0", "1", "2", "3", "4", "end2", "end3", "end4"]),
    )
    def take(self, request_id, attempt_id, name):
        is_own = (request_id, attempt_id) == ("r1", self.attempt_id)
        if is_own and name in ("start=500", "4", "end2", "end3"):
            # The current attempt never sends a wrong message; all other attempts may.
            return
        result = give_message(self.assembler, request_id, attempt_id, name)
        assert is_own or result.is_error(), (request_id, attempt_id, name)
        if result.is_ok() and result.ok is not None:
            self.delivered.append(result.ok)

    @rule(steps=integers(1, 3))
    def go_on(self, steps):
        names = ["start", *(str(index) for index in range(len(self.expected))), "end4"]
        first = self.assembler.next_offset + 1 if self.assembler.started else 0
        for name in names[first : first + steps]:
            self.take("r1", self.attempt_id, name)

    @rule(attempt_id=sampled_from(["a1", "a2"]))
    def resume(self, attempt_id):
        self.attempt_id = attempt_id
        self.assembler.resumed(attempt_id)

    @invariant()
    def delivers_a_prefix(self):
        assert self.delivered == self.expected[: len(self.delivered)], self.delivered
        assert self.assembler.next_offset == len(self.delivered)

    @invariant()
    def is_complete_only_when_whole(self):
        assert not self.assembler.complete or self.delivered == self.expected, self.delivered


@then("answer keeps its invariants in the state machine")
def check_machine(context):
    run_machine(AnswerMachine)


@given('answer buffers parts "{parts}" with space for {max_bytes:d} bytes')
def buffer_parts(context, parts, max_bytes):
    context.buffer = AnswerBuffer(max_bytes, "e1")
    offsets = [context.buffer.append(each.encode()) for each in parts.split()]
    assert offsets == list(range(len(offsets))), offsets


@when("answer acknowledges {acknowledged:d} and resumes at {offset:d}")
def resume_at(context, acknowledged, offset):
    context.buffer.acknowledge(acknowledged)
    context.check = context.buffer.check_resume(offset)
    try:
        context.parts = context.buffer.parts_from(offset)
    except ValueError:
        context.parts = None


@then('answer gets "{parts}" back and buffers {held:d} bytes')
def check_parts(context, parts, held):
    assert context.buffer.buffered_bytes == held, context.buffer.buffered_bytes
    if parts == "refused":
        assert context.parts is None, context.parts
        assert context.check.error.outcome == "unknown", context.check
        return
    assert context.check.is_ok()
    assert [data.decode() for _, data in context.parts] == split(parts), context.parts
    assert all(data == f"p{offset}".encode() for offset, data in context.parts)


@then("answer ends its buffer with {count:d} parts and then rejects a part")
def end_buffer(context, count):
    assert context.buffer.end() == count
    assert context.buffer.ended
    try:
        context.buffer.append(b"late")
    except ValueError:
        return
    raise AssertionError("a part was accepted after the end")
