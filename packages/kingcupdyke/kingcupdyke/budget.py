"""
kingcupdyke.budget
~~~~~~~~~~~~~~~~~~

Budgets of bytes on a paid link and of retries.
"""

from math import inf

from kingcupdyke.util import get_float_opt

__all__ = ["ByteBudget", "RetryBudget"]


class ByteBudget:
    """A token bucket: in any window of T seconds at most ``burst_bytes + T * bytes_per_s``.

    :param bytes_per_s: sustained rate
    :param burst_bytes: bytes that may go at once after a pause
    :raises OptionError: when a number is below zero
    """

    def __init__(self, bytes_per_s: float, burst_bytes: float) -> None:
        options = {"bytes_per_s": bytes_per_s, "burst_bytes": burst_bytes}
        self._bytes_per_s = get_float_opt(options, "bytes_per_s")
        self._burst_bytes = get_float_opt(options, "burst_bytes")
        self._left_bytes = self._burst_bytes
        self._filled_s: float | None = None

    def take(self, size_bytes: float, now_s: float, keep_bytes: float = 0.0) -> bool:
        """Take bytes when there are enough.

        :param size_bytes: bytes that will cross the link
        :param now_s: time in seconds
        :param keep_bytes: bytes that must be left for more urgent uses
        :return: whether the bytes were taken; nothing is taken otherwise
        """
        self._fill(now_s)
        if size_bytes + keep_bytes > self._left_bytes:
            return False
        self._left_bytes -= size_bytes
        return True

    def refund(self, size_bytes: float) -> None:
        """Give back bytes that were taken and not sent."""
        self._left_bytes = min(self._burst_bytes, self._left_bytes + size_bytes)

    def wait_s(self, size_bytes: float, now_s: float) -> float:
        """:return: seconds until ``size_bytes`` can be taken; infinite when they never can"""
        self._fill(now_s)
        missing_bytes = size_bytes - self._left_bytes
        if missing_bytes <= 0:
            return 0.0
        if size_bytes > self._burst_bytes or not self._bytes_per_s:
            return inf
        return missing_bytes / self._bytes_per_s

    def _fill(self, now_s: float) -> None:
        if self._filled_s is None:
            self._filled_s = now_s
        passed_s = max(0.0, now_s - self._filled_s)
        earned_bytes = passed_s * self._bytes_per_s
        self._left_bytes = min(self._burst_bytes, self._left_bytes + earned_bytes)
        self._filled_s = max(self._filled_s, now_s)


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
