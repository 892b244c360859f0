"""
kingcupdyke.budget
~~~~~~~~~~~~~~~~~~

Rate limits and budgets, for bytes on a paid link, loads and retries.
"""

from math import inf

from kingcupdyke.util import get_float_opt

__all__ = ["ByteBudget", "RetryBudget", "TokenBucket"]


class TokenBucket:
    """A token bucket: grants at most ``burst + T * rate_per_s`` in any window of T seconds.

    :param rate_per_s: sustained rate, in units per second
    :param burst: units that are available immediately after an idle period
    :raises OptionError: when a number is below zero
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = get_float_opt({"rate_per_s": rate_per_s}, "rate_per_s")
        self._burst = get_float_opt({"burst": burst}, "burst")
        self._available = self._burst
        self._refilled_s: float | None = None

    def take(self, count: float, now_s: float, reserve: float = 0.0) -> bool:
        """Take units from the bucket if enough are available.

        :param count: units to take
        :param now_s: time in seconds
        :param reserve: units that must remain available for more urgent uses
        :return: whether the units were taken; otherwise the bucket is unchanged
        """
        self._refill(now_s)
        if count + reserve > self._available:
            return False
        self._available -= count
        return True

    def refund(self, count: float) -> None:
        """Return units that were taken and not used."""
        self._available += count

    def wait_s(self, count: float, now_s: float) -> float:
        """:return: seconds until ``count`` units can be taken; infinite if never"""
        self._refill(now_s)
        missing = count - self._available
        if missing <= 0:
            return 0.0
        if count > self._burst or not self._rate_per_s:
            return inf
        return missing / self._rate_per_s

    def change_rate(self, rate_per_s: float, now_s: float) -> None:
        """Set the rate that applies from now on."""
        self._refill(now_s)
        self._rate_per_s = get_float_opt({"rate_per_s": rate_per_s}, "rate_per_s")

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is None:
            self._refilled_s = now_s
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._available = min(self._burst, self._available + elapsed_s * self._rate_per_s)
        self._refilled_s = max(self._refilled_s, now_s)


class ByteBudget(TokenBucket):
    """A token bucket of bytes on a paid link.

    :param bytes_per_s: sustained rate in bytes per second
    :param burst_bytes: bytes that may be sent immediately after an idle period
    """

    def __init__(self, bytes_per_s: float, burst_bytes: float) -> None:
        super().__init__(bytes_per_s, burst_bytes)


class RetryBudget:
    """Limits retries to a share of the first attempts.

    Each first attempt earns ``share`` of a retry, and at most ``least`` retries are saved up. So in
    a window of any length, retries stay within ``least + share * first attempts``.

    :param share: retries for each first attempt
    :param least: retries available before any first attempt, which is also the most saved up
    :raises OptionError: when a number is below zero
    """

    def __init__(self, share: float = 0.1, least: float = 10.0) -> None:
        options = {"share": share, "least": least}
        self._share = get_float_opt(options, "share")
        self._least = get_float_opt(options, "least")
        self._available = self._least
        #: Counters for metrics: first attempts, granted retries and refused retries.
        self.first_attempts = 0
        self.retries = 0
        self.refused = 0
        #: Time of the last event, in seconds.
        self.last_s = 0.0

    def first_attempt(self, now_s: float) -> None:
        """Count a first attempt, which earns ``share`` of a retry."""
        self.last_s = now_s
        self.first_attempts += 1
        self._available = min(self._least, self._available + self._share)

    def take(self, now_s: float) -> bool:
        """Take one retry from the budget if it is available.

        :return: whether the retry may be made
        """
        self.last_s = now_s
        if self._available < 1.0:
            self.refused += 1
            return False
        self._available -= 1.0
        self.retries += 1
        return True
