"""
kingcupdyke.timer
~~~~~~~~~~~~~~~~~

The timer service, which gives the time and calls subscribers periodically.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["ManualTimer", "TimerService"]


class TimerService(ABC):
    """Gives the time and calls each subscriber once per period.

    Times are seconds of a monotonic clock; only differences between them are meaningful.
    """

    @abstractmethod
    def now(self) -> float:
        """:return: the time in seconds"""

    @abstractmethod
    def subscribe(self, name: str, period_s: float, callback: Callable[[float], None]) -> None:
        """Call ``callback`` with the time, once per period.

        :param name: unique name of the subscription; a later one replaces an earlier one
        :param period_s: seconds between calls, above zero
        :param callback: takes the time in seconds; it must return without delay
        """

    @abstractmethod
    def unsubscribe(self, name: str) -> None:
        """End a subscription; an unknown name is ignored."""


class ManualTimer(TimerService):
    """A timer that is advanced by its user, for tests and for embedding."""

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s
        #: Time of the next call, period and callback of each subscription.
        self._subscription_by_name: dict[str, tuple[float, float, Callable[[float], None]]] = {}

    def now(self) -> float:
        return self._now_s

    def subscribe(self, name: str, period_s: float, callback: Callable[[float], None]) -> None:
        self._subscription_by_name[name] = (self._now_s + period_s, period_s, callback)

    def unsubscribe(self, name: str) -> None:
        self._subscription_by_name.pop(name, None)

    def advance(self, seconds: float) -> None:
        """Advance the time, calling each subscriber whenever its period has elapsed.

        :param seconds: seconds to advance by, zero or more
        """
        end_s = self._now_s + seconds
        while self._subscription_by_name:
            name = min(
                self._subscription_by_name, key=lambda each: self._subscription_by_name[each][0]
            )
            due_s, period_s, callback = self._subscription_by_name[name]
            if due_s > end_s:
                break
            self._now_s = due_s
            self._subscription_by_name[name] = (due_s + period_s, period_s, callback)
            callback(due_s)
        self._now_s = end_s
