"""
kingcupdyke_daemon.looptimes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells how long bytes may have waited until the process read them.

A process that is short of processor time reads late. Durations that begin when it reads would leave
out what its clients have waited before.
"""

from asyncio import SelectorEventLoop, get_running_loop
from collections import deque
from collections.abc import Callable
from selectors import DefaultSelector
from time import monotonic

__all__ = ["PASSES_TO_ACCEPT", "ArrivalTimes", "LoopTimes", "TimedEventLoop", "get_loop_times"]

#: Passes of the loop from the one that reads bytes, or accepts a connection, to that of its task.
PASSES_TO_TASK = 1
PASSES_TO_ACCEPT = 4
#: Seconds from which on a look has found nothing at first.
MIN_WAIT_S = 0.0002
#: Seconds by which a wait may end late without a sign that the process was not running.
MAX_WAKE_DELAY_S = 0.01


def is_late(began_s: float, ended_s: float, timeout_s: float | None) -> bool:
    """:return: whether a wait ended so late that the process was not running meanwhile, and that
    what has arrived has waited

    :param timeout_s: seconds of the wait; None for any time
    """
    return timeout_s is not None and ended_s - began_s > timeout_s + MAX_WAKE_DELAY_S


class LoopTimes:
    """When an event loop has looked for bytes; a pass is what it does from one look to the next.

    :param now: returns the time in seconds of the loop's clock
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        self.now = now
        self._looked_s = now()
        #: Number of passes since the start.
        self.passes = 0
        #: Times before which the bytes did not arrive that the last looks found, newest last.
        self._earliest_s = deque([self._looked_s], PASSES_TO_ACCEPT + 1)
        self._longest_pass_s = 0.0

    def note_look(self, began_s: float, ended_s: float, timeout_s: float | None) -> None:
        """Record that the loop has looked for bytes.

        :param timeout_s: seconds for which it waits if there are none; None for any time
        """
        self.passes += 1
        self._longest_pass_s = max(self._longest_pass_s, began_s - self._looked_s)
        if timeout_s == 0 or ended_s - began_s < MIN_WAIT_S:
            self._earliest_s.append(self._looked_s)
        elif is_late(began_s, ended_s, timeout_s):
            self._earliest_s.append(began_s)
        else:
            self._earliest_s.append(ended_s)
        self._looked_s = ended_s

    def find_arrival(self, since_s: float, looking_since: int, passes: int) -> float:
        """Bound when bytes arrived at a socket.

        :param since_s: time in seconds before which they did not arrive
        :param looking_since: pass since which the loop looks for them
        :param passes: passes since they were read, at most PASSES_TO_ACCEPT
        :return: time in seconds before which they did not arrive
        """
        if self.passes - looking_since <= passes + 1:
            # They may have been there at the first look.
            return since_s
        return max(since_s, self._earliest_s[max(0, len(self._earliest_s) - 1 - passes)])

    def take_longest_pass(self) -> float:
        """:return: seconds of the longest pass since the last call"""
        longest_s, self._longest_pass_s = self._longest_pass_s, 0.0
        return longest_s


class ArrivalTimes:
    """Bounds when the bytes that are read from one socket arrived.

    :param times: those of the loop that reads it
    :param since_s: time in seconds before which nothing arrived
    :param passes: passes of the loop until what it has read reaches its task
    """

    def __init__(self, times: LoopTimes, since_s: float, passes: int = PASSES_TO_TASK) -> None:
        self._times = times
        self._passes = passes
        #: Time in seconds before which nothing arrived that has not been read.
        self.since_s = since_s
        self._looking_since = times.passes

    def begin_wait(self, since_s: float) -> None:
        """Record that nothing that has not been read arrived before a time in seconds."""
        self.since_s = since_s

    def begin_look(self) -> None:
        """Record that the loop looks for bytes of the socket from now on."""
        self._looking_since = self._times.passes

    def find_arrival(self) -> float:
        """:return: time in seconds before which the bytes just read did not arrive, nor any after
        them
        """
        self.since_s = self._times.find_arrival(self.since_s, self._looking_since, self._passes)
        return self.since_s


class TimedEventLoop(SelectorEventLoop):
    """An event loop that knows its :class:`LoopTimes`."""

    def __init__(self) -> None:
        self.times = LoopTimes()
        super().__init__(_TimedSelector(self.times))


def get_loop_times() -> LoopTimes:
    """:return: the times of the running loop, or of one that reads everything when it arrives"""
    loop = get_running_loop()
    return loop.times if isinstance(loop, TimedEventLoop) else _PromptTimes(loop.time)


class _PromptTimes(LoopTimes):
    """Times of a loop that does not record its looks."""

    def find_arrival(self, since_s: float, looking_since: int, passes: int) -> float:
        return self.now()


class _TimedSelector(DefaultSelector):
    """Records when it looks for bytes."""

    def __init__(self, times: LoopTimes) -> None:
        super().__init__()
        self._times = times

    def select(self, timeout: float | None = None) -> list:
        began_s = self._times.now()
        ready = super().select(timeout)
        if is_late(began_s, self._times.now(), timeout):
            # What has stopped the process may have ended the wait before all was there.
            ready = super().select(0)
        self._times.note_look(began_s, self._times.now(), timeout)
        return ready
