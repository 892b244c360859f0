"""
kingcupdyke_daemon.gateway.watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Waits that have lasted too long, found by looking at all of them at once.
"""

from collections.abc import Callable, Hashable
from typing import NamedTuple

__all__ = ["StreamWatch"]


class _Wait(NamedTuple):
    since_s: float
    on_silence: Callable[[], None]


class StreamWatch:
    """Knows which streams wait for a message, and since when.

    A timeout of its own for each message costs more than the message's other handling.

    :param silence_s: seconds without a message after which a stream counts as silent
    """

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._waits_by_stream: dict[Hashable, _Wait] = {}

    def begin(self, stream: Hashable, now_s: float, on_silence: Callable[[], None]) -> None:
        """Note that a stream begins to wait.

        :param now_s: time in seconds of the timer service
        :param on_silence: called once if the wait lasts too long
        """
        self._waits_by_stream[stream] = _Wait(now_s, on_silence)

    def end(self, stream: Hashable) -> None:
        """Note that a stream waits no more; an unknown one is ignored."""
        self._waits_by_stream.pop(stream, None)

    def look(self, now_s: float) -> None:
        """Give up the streams that waited too long."""
        for stream, wait in list(self._waits_by_stream.items()):
            if now_s - wait.since_s >= self._silence_s:
                self.end(stream)
                wait.on_silence()
