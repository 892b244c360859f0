"""
kingcupdyke_daemon.forwarder.events
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Splits an event stream into complete events and keeps the id of the last one.
"""

from collections.abc import Iterable
from re import Match

from kingcupdyke_wire.sse import EVENT_END, LINE_ENDS, EventTooLongError

__all__ = ["EventBuffer"]

#: Longest match of EVENT_END.
MAX_EVENT_END_BYTES = 4


def _find_ends(text: bytes) -> Iterable[Match[bytes]]:
    # The pattern takes much longer than the search for a byte.
    if b"\n" in text or b"\r" in text:
        return EVENT_END.finditer(text)
    return ()


class EventBuffer:
    """Finds the ends of events in a stream that arrives in pieces.

    A piece costs time in proportion to its own length, however long the event is.

    :param is_holding: whether to hold back incomplete events, so that another endpoint can resume
        after the last complete one; only then their ids are read
    :param max_event_bytes: limit of the size of an event
    """

    def __init__(self, is_holding: bool, max_event_bytes: int) -> None:
        self._is_holding = is_holding
        self._max_event_bytes = max_event_bytes
        #: What is held back of the incomplete event.
        self._held = bytearray()
        #: Its last bytes, in which the end of the event may have begun.
        self._tail = b""
        #: Number of its bytes, and of those from its first text to its last.
        self._event_bytes = 0
        self._text_begin: int | None = None
        self._text_end = 0
        #: Number of complete events.
        self.count = 0
        #: Id of the last complete event, or empty.
        self.last_id = b""

    @property
    def held_bytes(self) -> int:
        """:return: number of bytes that are held back"""
        return len(self._held)

    @property
    def partial_bytes(self) -> int:
        """:return: number of bytes of an incomplete event, after the last complete one"""
        return 0 if self._text_begin is None else self._text_end - self._text_begin

    def feed(self, data: bytes) -> bytes:
        """Add a piece of the stream.

        :return: what is to be passed on: complete events, or the piece if nothing is held back
        :raises EventTooLongError: when an event is longer than the limit
        """
        text = self._tail + data
        # Position in the text at which the incomplete event begins.
        begin = len(self._tail) - self._event_bytes
        for match in _find_ends(text):
            self._check_size(match.end() - begin)
            begin = match.end()
            self.count += 1
        end = begin - len(self._tail)
        if end > 0:
            self._forget_event()
        self._note_incomplete(data[max(0, end) :])
        self._check_size(self._event_bytes)
        return self._hold(data, max(0, end)) if self._is_holding else data

    def take_rest(self) -> bytes:
        """:return: what is held back, at the end of the stream"""
        rest = bytes(self._held)
        self._held.clear()
        return rest

    def drop_partial(self) -> None:
        """Discard the incomplete event, as its stream broke."""
        self._held.clear()
        self._forget_event()

    def _forget_event(self) -> None:
        self._tail = b""
        self._event_bytes = 0
        self._text_begin = None

    def _note_incomplete(self, data: bytes) -> None:
        """Record what a piece adds to the incomplete event."""
        text = data.strip(LINE_ENDS)
        if text:
            begin = self._event_bytes + len(data) - len(data.lstrip(LINE_ENDS))
            self._text_begin = begin if self._text_begin is None else self._text_begin
            self._text_end = begin + len(text)
        self._event_bytes += len(data)
        self._tail = (self._tail + data[1 - MAX_EVENT_END_BYTES :])[1 - MAX_EVENT_END_BYTES :]

    def _hold(self, data: bytes, end: int) -> bytes:
        """Hold back what follows the last complete event.

        :param end: length of the part of the piece that completes events
        """
        complete = b""
        if end:
            complete = bytes(self._held) + data[:end]
            self._held.clear()
            for line in complete.splitlines():
                if line.startswith(b"id:"):
                    self.last_id = line[3:].strip()
        self._held += data[end:]
        return complete

    def _check_size(self, size: int) -> None:
        if size > self._max_event_bytes:
            raise EventTooLongError(self._max_event_bytes)
