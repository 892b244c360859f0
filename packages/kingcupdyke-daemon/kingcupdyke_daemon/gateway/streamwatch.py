"""
kingcupdyke_daemon.gateway.streamwatch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Detection of stalled streams by one periodic check of all of them.
"""

from collections.abc import Callable, Hashable
from typing import NamedTuple

__all__ = ["StreamWatch"]


class _Wait(NamedTuple):
    since_s: float
    on_stall: Callable[[], None]


class StreamWatch:
    """Records which streams wait for a message, and since when.

    A separate timeout for each message would cost more than the rest of its handling.

    :param silence_s: seconds without a message after which a stream is stalled
    """

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._waits_by_stream: dict[Hashable, _Wait] = {}

    def begin(self, stream: Hashable, now_s: float, on_stall: Callable[[], None]) -> None:
        """Record that a stream starts to wait.

        :param now_s: time in seconds of the timer service
        :param on_stall: called once if the wait lasts too long
        """
        self._waits_by_stream[stream] = _Wait(now_s, on_stall)

    def end(self, stream: Hashable) -> None:
        """Record that a stream no longer waits; an unknown stream is ignored."""
        self._waits_by_stream.pop(stream, None)

    def check_stalled(self, now_s: float) -> None:
        """Call ``on_stall`` for each stream that has stalled, and stop tracking it."""
        for stream, wait in list(self._waits_by_stream.items()):
            if now_s - wait.since_s >= self._silence_s:
                self.end(stream)
                wait.on_stall()
