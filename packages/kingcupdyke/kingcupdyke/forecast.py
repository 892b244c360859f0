"""
kingcupdyke.forecast
~~~~~~~~~~~~~~~~~~~~

Predicting when a queued request is sent, from the requests in progress.
"""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Forecast", "EstimateCorrection"]

#: Weight of the latest request in the moving average of duration / estimate.
SMOOTHING_FACTOR = 0.05
#: Bound on duration / estimate of one request, and on its reciprocal, so that outliers count less.
MAX_RATIO = 10.0


class EstimateCorrection:
    """Corrects estimated durations by the moving average of duration / estimate."""

    def __init__(self) -> None:
        self._ratio = 1.0

    def learn(self, estimate_s: float, duration_s: float) -> None:
        """Record the estimated and the actual duration of a request that ended."""
        if estimate_s > 0:
            ratio = min(MAX_RATIO, max(1 / MAX_RATIO, duration_s / estimate_s))
            self._ratio += SMOOTHING_FACTOR * (ratio - self._ratio)

    def correct(self, estimate_s: float) -> float:
        """:return: the corrected estimate, in seconds"""
        return self._ratio * estimate_s


class Forecast(NamedTuple):
    """Predicts when each unit of capacity becomes free."""

    #: Seconds until each unit of capacity is first free, in ascending order.
    free_in_s: tuple[float, ...]
    #: Seconds for which each queued request is expected to occupy its unit.
    mean_s: float

    @classmethod
    def make(cls, remaining_s: Iterable[float], capacity: int, mean_s: float) -> "Forecast":
        """Make a forecast.

        :param remaining_s: estimated seconds until each request in progress ends
        :param capacity: maximum number of concurrent requests; when more are in progress, the
            first to end free no unit
        :param mean_s: mean estimated duration of a queued request, in seconds
        :return: the forecast
        """
        ends = sorted(max(0.0, each) for each in remaining_s)
        free = [0.0] * (capacity - len(ends)) + ends
        return cls(tuple(free[-capacity:]), mean_s)

    def get_wait(self, position: int) -> float:
        """:return: seconds until the request with ``position`` others ahead of it is sent"""
        rounds, unit = divmod(position, len(self.free_in_s))
        return self.free_in_s[unit] + rounds * self.mean_s
