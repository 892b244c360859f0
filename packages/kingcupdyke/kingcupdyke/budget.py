"""
kingcupdyke.budget
~~~~~~~~~~~~~~~~~~

Rates and budgets: bytes on a paid link, loads, retries.
"""

from math import inf

from kingcupdyke.util import get_float_opt

__all__ = ["ByteBudget", "RetryBudget", "TokenBucket"]


class TokenBucket:
    """In any window of T seconds gives at most ``burst + T * rate_per_s``.

    :param rate_per_s: what is given a second in the long run
    :param burst: what can be given at once after a pause
    :raises OptionError: when a number is below zero
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = get_float_opt({"rate_per_s": rate_per_s}, "rate_per_s")
        self._burst = get_float_opt({"burst": burst}, "burst")
        self._left = self._burst
        self._filled_s: float | None = None

    def take(self, count: float, now_s: float, keep: float = 0.0) -> bool:
        """Take when there is enough.

        :param count: how much
        :param now_s: time in seconds
        :param keep: what must be left for more urgent uses
        :return: whether it was taken; nothing is taken otherwise
        """
        self._fill(now_s)
        if count + keep > self._left:
            return False
        self._left -= count
        return True

    def refund(self, count: float) -> None:
        """Give back what was taken and not used."""
        self._left += count

    def wait_s(self, count: float, now_s: float) -> float:
        """:return: seconds until ``count`` can be taken; infinite when it never can"""
        self._fill(now_s)
        missing = count - self._left
        if missing <= 0:
            return 0.0
        if count > self._burst or not self._rate_per_s:
            return inf
        return missing / self._rate_per_s

    def change_rate(self, rate_per_s: float, now_s: float) -> None:
        """Give at another rate from now on."""
        self._fill(now_s)
        self._rate_per_s = get_float_opt({"rate_per_s": rate_per_s}, "rate_per_s")

    def _fill(self, now_s: float) -> None:
        if self._filled_s is None:
            self._filled_s = now_s
        passed_s = max(0.0, now_s - self._filled_s)
        self._left = min(self._burst, self._left + passed_s * self._rate_per_s)
        self._filled_s = max(self._filled_s, now_s)


class ByteBudget(TokenBucket):
    """Bytes on a paid link; counts are bytes.

    :param bytes_per_s: sustained rate
    :param burst_bytes: bytes that may go at once after a pause
    """

    def __init__(self, bytes_per_s: float, burst_bytes: float) -> None:
        super().__init__(bytes_per_s, burst_bytes)


class RetryBudget:
    """Retries as a share of first attempts.

    Each first attempt earns ``share`` of a retry and at most ``least`` are saved up. So in any
    window, however short, retries stay within ``least + share * first attempts``.

    :param share: retries for each first attempt
    :param least: retries that a quiet process can make at once, and the most saved up
    :raises OptionError: when a number is below zero
    """

    def __init__(self, share: float = 0.1, least: float = 10.0) -> None:
        options = {"share": share, "least": least}
        self._share = get_float_opt(options, "share")
        self._least = get_float_opt(options, "least")
        self._left = self._least
        #: Counters for metrics.
        self.first_attempts = 0
        self.retries = 0
        self.refused = 0
        #: Time of the last event, in seconds.
        self.last_s = 0.0

    def first_attempt(self, now_s: float) -> None:
        """Count a first attempt, which earns a share of a retry."""
        self.last_s = now_s
        self.first_attempts += 1
        self._left = min(self._least, self._left + self._share)

    def take(self, now_s: float) -> bool:
        """:return: whether a retry may be made; it is counted then"""
        self.last_s = now_s
        if self._left < 1.0:
            self.refused += 1
            return False
        self._left -= 1.0
        self.retries += 1
        return True
