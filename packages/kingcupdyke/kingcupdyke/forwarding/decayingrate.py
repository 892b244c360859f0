"""
kingcupdyke.forwarding.decayingrate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A rate of recent amounts.
"""

__all__ = ["DecayingRate"]

#: Seconds over which amounts are averaged.
DEMAND_WINDOW_S = 3.0


class DecayingRate:
    """A rate that decays to zero within two demand windows without new amounts."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount."""
        self._rate = self.read(now_s) + amount / DEMAND_WINDOW_S
        self._updated_s = now_s

    def read(self, now_s: float) -> float:
        """:return: the amount a second"""
        passed_s = max(0.0, now_s - self._updated_s)
        return self._rate * max(0.0, 1.0 - passed_s / (2 * DEMAND_WINDOW_S)) ** 2
