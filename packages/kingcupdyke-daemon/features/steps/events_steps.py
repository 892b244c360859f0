"""
events_steps
~~~~~~~~~~~~

Steps for the ends of events in a stream.
"""

from random import Random
from unittest.mock import patch

from behave import then

from kingcupdyke_daemon.forwarder import events
from kingcupdyke_daemon.forwarder.events import EventBuffer
from kingcupdyke_wire.sse import EVENT_END, LINE_ENDS, EventTooLongError

LIMIT = 65_536
#: What random streams consist of.
WORDS = (b"id: 1", b"id:22 ", b"data: a", b"\n", b"\r\n", b"\r", b"\n\n", b"\r\n\r\n", b"\n\r")


def split(text, rng):
    pieces = []
    while text:
        size = rng.randint(1, 6)
        pieces.append(text[:size])
        text = text[size:]
    return pieces


def find_events(pieces):
    """:return: events as found by searching all of the incomplete event for each piece, and rest"""
    found, partial = [], b""
    for piece in pieces:
        text, begin = partial + piece, 0
        for match in EVENT_END.finditer(text, max(0, len(partial) - 3)):
            found.append(text[begin : match.end()])
            begin = match.end()
        partial = text[begin:]
    return found, partial


def read_id(event_list):
    ids = [
        line[3:].strip()
        for event in event_list
        for line in event.splitlines()
        if line.startswith(b"id:")
    ]
    return ids[-1] if ids else b""


@then("events: in 500 random streams the events, ids and incomplete bytes are found, {case}")
def check_random(context, case):
    is_holding = case == "holding incomplete events back"
    for seed in range(500):
        rng = Random(seed)
        pieces = split(b"".join(rng.choices(WORDS, k=rng.randint(0, 40))), rng)
        expected, rest = find_events(pieces)
        buffer = EventBuffer(is_holding, LIMIT)
        passed_on = b""
        for number, piece in enumerate(pieces, 1):
            passed_on += buffer.feed(piece)
            complete, partial = find_events(pieces[:number])
            assert buffer.count == len(complete), seed
            assert buffer.partial_bytes == len(partial.strip(LINE_ENDS)), seed
            if is_holding:
                assert passed_on == b"".join(complete), seed
                assert buffer.held_bytes == len(partial), seed
        assert buffer.count == len(expected), seed
        if is_holding:
            assert buffer.last_id == read_id(expected), seed
            assert buffer.take_rest() == rest, seed
        else:
            assert passed_on == b"".join(pieces), seed


class CountingPattern:
    """Finds the ends of events, and counts the bytes of the texts that are put together for it."""

    searched = 0

    def finditer(self, text, begin=0):
        self.searched += len(text)
        return EVENT_END.finditer(text, begin)


@then(
    "events: an event of {size:d} bytes in pieces of {piece:d} bytes is searched in less than "
    "{limit:d} bytes"
)
def check_cost(context, size, piece, limit):
    pattern = CountingPattern()
    buffer = EventBuffer(True, LIMIT)
    copied = 0
    with patch.object(events, "EVENT_END", pattern):
        for _ in range(size // piece):
            copied += len(buffer.feed(b"a" * piece))
        copied += len(buffer.feed(b"\n\n"))
    assert copied == size + 2
    assert pattern.searched < limit, pattern.searched


@then("events: with a limit of {limit:d} bytes, {case} passes")
def check_passes(context, limit, case):
    for is_holding in (True, False):
        feed_case(limit, case, is_holding)


@then("events: with a limit of {limit:d} bytes, {case} is too long")
def check_too_long(context, limit, case):
    for is_holding in (True, False):
        try:
            feed_case(limit, case, is_holding)
        except EventTooLongError:
            continue
        raise AssertionError(f"no error, {is_holding=}")


def feed_case(limit, case, is_holding):
    numbers = [int(each) for each in case.split() if each.isdigit()]
    text = b"a" * numbers[0]
    if "event" in case:
        text = text[:-2] + b"\n\n"
    if case.startswith("two"):
        text *= 2
    size = numbers[1] if len(numbers) > 1 else len(text)
    buffer = EventBuffer(is_holding, limit)
    for begin in range(0, len(text), size):
        buffer.feed(text[begin : begin + size])


@then("events: a stream whose pieces are passed on holds 0 bytes")
def check_holds_nothing(context):
    buffer = EventBuffer(False, LIMIT)
    for _ in range(100):
        assert buffer.feed(b"a" * 100) == b"a" * 100
    assert buffer.held_bytes == 0
    assert buffer.partial_bytes == 10_000
