"""
kingcupdyke.forwarding.retrybudget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The budget of repeats that all gateways share, by service.
"""

from collections import deque

__all__ = ["SharedRetryBudget"]

#: Part of the permitted repeats that is used; the rest covers what peers have not told yet.
USED_SHARE = 0.7


class SharedRetryBudget:
    """Counts requests and repeats in a sliding window and says whether one more may be sent.

    A gateway takes an equal part of the fixed allowance, and a share of its own requests.

    :param share: repeats for each request
    :param allowance: repeats beyond that in one window, over all gateways
    :param window_s: length of the window in seconds
    """

    def __init__(self, share: float, allowance: float, window_s: float) -> None:
        self.configure(share, allowance, window_s)
        self._requests_by_service: dict[str, deque[float]] = {}
        self._repeats_by_service: dict[str, deque[float]] = {}

    def configure(self, share: float, allowance: float, window_s: float) -> None:
        """Take changed limits; what was counted stays."""
        self._share = share
        self._allowance = allowance
        self._window_s = window_s

    def count_request(self, service: str, now_s: float) -> None:
        """Count a request of a client."""
        self._requests_by_service.setdefault(service, deque()).append(now_s)

    def take(self, service: str, gateways: int, now_s: float) -> bool:
        """Count a repeat if the budget allows it.

        :param gateways: gateways that share the allowance
        :return: whether it may be sent
        """
        requests = self._trim(self._requests_by_service, service, now_s)
        repeats = self._trim(self._repeats_by_service, service, now_s)
        permitted = self._share * len(requests) + self._allowance / max(1, gateways)
        if len(repeats) + 1 > USED_SHARE * permitted:
            return False
        repeats.append(now_s)
        return True

    def _trim(
        self, times_by_service: dict[str, deque[float]], service: str, now_s: float
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        while times and times[0] <= now_s - self._window_s:
            times.popleft()
        return times
