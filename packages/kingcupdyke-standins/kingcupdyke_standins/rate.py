"""
kingcupdyke_standins.rate
~~~~~~~~~~~~~~~~~~~~~~~~~

Token bucket of the rates that the platform keeps to.
"""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Allows a number of calls a second, and one burst of it.

    :param per_s: calls a second
    :param burst: calls that may come at once after a pause
    """

    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._left = burst
        self._filled_s = 0.0

    def take(self, now_s: float) -> bool:
        """:return: whether a call is allowed now, and count it"""
        self._fill(now_s)
        if self._left < 1:
            return False
        self._left -= 1
        return True

    def wait_s(self, now_s: float) -> float:
        """:return: seconds until a call will be allowed"""
        self._fill(now_s)
        return max(0.0, 1 - self._left) / self._per_s

    def _fill(self, now_s: float) -> None:
        self._left = min(self._burst, self._left + (now_s - self._filled_s) * self._per_s)
        self._filled_s = now_s
