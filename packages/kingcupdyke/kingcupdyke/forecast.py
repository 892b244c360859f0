"""
kingcupdyke.forecast
~~~~~~~~~~~~~~~~~~~~

Foretelling when a waiting request is sent, from what is in progress.
"""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Forecast", "Pace"]

#: Weight of one request in the average pace.
PACE_WEIGHT = 0.05
#: Most by which durations are thought to differ from their estimates, either way.
MOST_PACE = 10.0


class Pace:
    """Learns how durations compare with their estimates."""

    def __init__(self) -> None:
        self._ratio = 1.0

    def learn(self, estimate_s: float, duration_s: float) -> None:
        """Take the duration of a request that ended."""
        if estimate_s > 0:
            ratio = min(MOST_PACE, max(1 / MOST_PACE, duration_s / estimate_s))
            self._ratio += PACE_WEIGHT * (ratio - self._ratio)

    def correct(self, estimate_s: float) -> float:
        """:return: the seconds that such an estimate stands for"""
        return self._ratio * estimate_s


class Forecast(NamedTuple):
    """When capacity becomes free."""

    #: Seconds until each unit of capacity is free for the first time, the soonest first.
    free_in_s: tuple[float, ...]
    #: Seconds for which each waiting request holds its unit.
    mean_s: float

    @classmethod
    def make(cls, left_s: Iterable[float], capacity: int, mean_s: float) -> "Forecast":
        """:return: a forecast

        :param left_s: seconds that each request in progress still takes
        :param capacity: requests in progress at once; those beyond it free nothing when they end
        :param mean_s: seconds that a waiting request takes
        """
        ends = sorted(max(0.0, each) for each in left_s)
        free = [0.0] * (capacity - len(ends)) + ends
        return cls(tuple(free[-capacity:]), mean_s)

    def get_wait(self, place: int) -> float:
        """:return: seconds until the request with ``place`` others before it is sent"""
        turns, unit = divmod(place, len(self.free_in_s))
        return self.free_in_s[unit] + turns * self.mean_s
