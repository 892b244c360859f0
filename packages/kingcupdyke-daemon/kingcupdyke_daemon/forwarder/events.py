"""
kingcupdyke_daemon.forwarder.events
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Whole events of an event stream, and the id of the last one.
"""

__all__ = ["EventBuffer"]


class EventBuffer:
    """Cuts a stream into whole events, so that another endpoint can go on after the last one."""

    def __init__(self) -> None:
        self._rest = b""
        #: Id of the last whole event, or the empty string.
        self.last_id = b""

    def feed(self, data: bytes) -> bytes:
        """:return: the whole events that have now come; a part of one is kept"""
        text = self._rest + data
        end = text.rfind(b"\n\n")
        if end < 0:
            self._rest = text
            return b""
        whole, self._rest = text[: end + 2], text[end + 2 :]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
        return whole

    def drop_partial(self) -> None:
        """The stream broke: forget the part of an event that had come."""
        self._rest = b""

    def take_rest(self) -> bytes:
        """:return: what came after the last whole event, at the stream's end"""
        rest, self._rest = self._rest, b""
        return rest
