"""
kingcupdyke_daemon.forwarder.events
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Splits an event stream into complete events and keeps the id of the last one.
"""

__all__ = ["EventBuffer"]

EVENT_END = b"\n\n"


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
        """:return: number of bytes after the last complete event"""
        return len(self.partial)

    def feed(self, data: bytes) -> bytes:
        """:return: the events completed by the data; an incomplete event is buffered"""
        text = self.partial + data
        end = text.rfind(EVENT_END)
        if end < 0:
            self.partial = text
            return b""
        complete, self.partial = text[: end + 2], text[end + 2 :]
        self.count += complete.count(EVENT_END)
        for line in complete.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
        return complete

    def drop_partial(self) -> None:
        """Discard the incomplete event, as its stream broke."""
        self.partial = b""
