"""
kingcupdyke_standins.rate
~~~~~~~~~~~~~~~~~~~~~~~~~

Token bucket for the rate limits of the platform.
"""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Allows a number of calls per second, and a burst.

    :param per_s: calls per second
    :param burst: calls allowed at one time after an idle period
    """

    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_s = 0.0

    def take(self, now_s: float) -> bool:
        """Count a call if it is allowed.

        :return: whether it is allowed now
        """
        self._refill(now_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait_s(self, now_s: float) -> float:
        """:return: seconds until the next call is allowed"""
        self._refill(now_s)
        return max(0.0, 1 - self._tokens) / self._per_s

    def _refill(self, now_s: float) -> None:
        self._tokens = min(self._burst, self._tokens + (now_s - self._refilled_s) * self._per_s)
        self._refilled_s = now_s
