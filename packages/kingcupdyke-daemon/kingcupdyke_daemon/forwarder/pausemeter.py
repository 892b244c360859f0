"""
kingcupdyke_daemon.forwarder.pausemeter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Measures the longest pause between two pieces of a stream.
"""

__all__ = ["PauseMeter"]


class PauseMeter:
    """The pauses of one stream after its first event, over all endpoints that it comes from.

    A pause lasts from the time at which a piece was passed on to the time at which the next one
    was read, so that it does not include the time for which a slow client stops the stream.
    """

    def __init__(self) -> None:
        #: The longest pause in seconds, or None if there was none.
        self.longest_s: float | None = None
        self._since_s: float | None = None

    def note_read(self, now_s: float) -> None:
        """Record that a piece was read from the endpoint."""
        if self._since_s is not None:
            self.longest_s = max(self.longest_s or 0.0, now_s - self._since_s)

    def note_passed_on(self, has_event: bool, now_s: float) -> None:
        """Record that the piece was passed on.

        :param has_event: whether the stream has had its first event
        """
        self._since_s = now_s if has_event else None
