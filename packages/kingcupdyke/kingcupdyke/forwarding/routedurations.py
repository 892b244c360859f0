"""
kingcupdyke.forwarding.routedurations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long the requests of each route take, to tell which can still end before the process does.
"""

from collections import deque

__all__ = ["RouteDurations"]

#: Number of the latest requests of a route that are taken into account.
MAX_SAMPLES = 64
#: Share of them that take at most the estimated time.
QUANTILE = 0.9


class RouteDurations:
    """The durations of the latest answered requests, by route."""

    def __init__(self) -> None:
        self._samples_by_route: dict[str, deque[float]] = {}

    def note(self, route: str, seconds: float) -> None:
        """Record that a request has been answered.

        :param seconds: seconds from the first sending of the request to the end of its answer
        """
        samples = self._samples_by_route.setdefault(route, deque(maxlen=MAX_SAMPLES))
        samples.append(seconds)

    def retain(self, routes: set[str]) -> None:
        """Forget all other routes."""
        for route in self._samples_by_route.keys() - routes:
            del self._samples_by_route[route]

    def estimate_s(self, route: str) -> float:
        """:return: seconds within which most requests of a route are answered; 0 if none was yet"""
        samples = self._samples_by_route.get(route)
        if not samples:
            return 0.0
        return sorted(samples)[int(QUANTILE * (len(samples) - 1))]
