"""
kingcupdyke_daemon.forwarder.events
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Splits an event stream into complete events and keeps the id of the last one.
"""

from kingcupdyke_wire.sse import EVENT_END, LINE_ENDS, MAX_EVENT_BYTES, EventTooLongError

__all__ = ["EventBuffer"]

#: Longest match of EVENT_END.
MAX_EVENT_END_BYTES = 4


class EventBuffer:
    """Passes on complete events only, so that another endpoint can resume after the last one."""

    def __init__(self) -> None:
        #: Data after the last complete event.
        self.partial = b""
        #: Number of complete events.
        self.count = 0
        #: Id of the last complete event, or empty.
        self.last_id = b""

    @property
    def partial_bytes(self) -> int:
        """:return: number of bytes of an incomplete event, after the last complete one"""
        return len(self.partial.strip(LINE_ENDS))

    def feed(self, data: bytes) -> bytes:
        """:return: the events completed by the data; an incomplete event is buffered

        :raises EventTooLongError: when an event has no end within MAX_EVENT_BYTES
        """
        text = self.partial + data
        end = 0
        for match in EVENT_END.finditer(text, max(0, len(self.partial) - MAX_EVENT_END_BYTES + 1)):
            end = match.end()
            self.count += 1
        complete, self.partial = text[:end], text[end:]
        if len(self.partial) > MAX_EVENT_BYTES:
            raise EventTooLongError
        for line in complete.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
        return complete

    def drop_partial(self) -> None:
        """Discard the incomplete event, as its stream broke."""
        self.partial = b""
