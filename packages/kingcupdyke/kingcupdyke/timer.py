"""
kingcupdyke.timer
~~~~~~~~~~~~~~~~~

The timer service that parts subscribe to.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["ManualTimer", "TimerService"]


class TimerService(ABC):
    """Gives the time and calls subscribers at their periods.

    Times are seconds of a monotonic clock; only differences mean something.
    """

    @abstractmethod
    def now(self) -> float:
        """:return: the time in seconds"""

    @abstractmethod
    def subscribe(self, name: str, period_s: float, callback: Callable[[float], None]) -> None:
        """Call ``callback`` with the time, once each period.

        :param name: unique name of the subscription; a later one replaces an earlier one
        :param period_s: seconds between calls, above zero
        :param callback: takes the time in seconds and returns at once
        """

    @abstractmethod
    def unsubscribe(self, name: str) -> None:
        """End a subscription; an unknown name is ignored."""


class ManualTimer(TimerService):
    """A timer that moves only when told to, for tests and for embedding."""

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s
        self._due_by_name: dict[str, tuple[float, float, Callable[[float], None]]] = {}

    def now(self) -> float:
        return self._now_s

    def subscribe(self, name: str, period_s: float, callback: Callable[[float], None]) -> None:
        self._due_by_name[name] = (self._now_s + period_s, period_s, callback)

    def unsubscribe(self, name: str) -> None:
        self._due_by_name.pop(name, None)

    def advance(self, seconds: float) -> None:
        """Move the time on, calling each subscriber at each of its due times.

        :param seconds: how far to move, zero or more
        """
        end_s = self._now_s + seconds
        while self._due_by_name:
            name = min(self._due_by_name, key=lambda each: self._due_by_name[each][0])
            due_s, period_s, callback = self._due_by_name[name]
            if due_s > end_s:
                break
            self._now_s = due_s
            self._due_by_name[name] = (due_s + period_s, period_s, callback)
            callback(due_s)
        self._now_s = end_s
