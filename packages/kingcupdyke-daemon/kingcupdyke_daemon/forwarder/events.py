"""
kingcupdyke_daemon.forwarder.events
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Splits an event stream into complete events and keeps the id of the last one.
"""

__all__ = ["EventBuffer"]


class EventBuffer:
    """Passes on complete events only, so that another endpoint can resume after the last one."""

    def __init__(self) -> None:
        self._partial = b""
        #: Id of the last complete event, or empty.
        self.last_id = b""

    def feed(self, data: bytes) -> bytes:
        """:return: the events completed by the data; an incomplete event is buffered"""
        text = self._partial + data
        end = text.rfind(b"\n\n")
        if end < 0:
            self._partial = text
            return b""
        complete, self._partial = text[: end + 2], text[end + 2 :]
        for line in complete.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
        return complete

    def drop_partial(self) -> None:
        """Discard the incomplete event, as its stream broke."""
        self._partial = b""

    def take_partial(self) -> bytes:
        """:return: the data after the last complete event, at the end of the stream"""
        partial, self._partial = self._partial, b""
        return partial
