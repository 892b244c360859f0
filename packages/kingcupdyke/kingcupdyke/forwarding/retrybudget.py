"""
kingcupdyke.forwarding.retrybudget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The retry budget of each service, which all gateways share.
"""

from collections import deque

__all__ = ["SharedRetryBudget"]

#: Share of the permitted retries that is used; the rest covers what peers have not reported yet.
USED_SHARE = 0.7


class SharedRetryBudget:
    """Counts requests and retries in a sliding window and decides whether a retry may be sent.

    Each gateway may use an equal part of the fixed allowance, and a share of its own requests.

    :param share: permitted retries for each request
    :param allowance: permitted retries in one window beyond that share, over all gateways
    :param window_s: length of the window in seconds
    """

    def __init__(self, share: float, allowance: float, window_s: float) -> None:
        self.configure(share, allowance, window_s)
        self._requests_by_service: dict[str, deque[float]] = {}
        self._retries_by_service: dict[str, deque[float]] = {}

    def configure(self, share: float, allowance: float, window_s: float) -> None:
        """Change the limits; requests and retries that were counted remain counted."""
        self._share = share
        self._allowance = allowance
        self._window_s = window_s

    def count_request(self, service: str, now_s: float) -> None:
        """Count a request of a client."""
        self._trim(self._requests_by_service, service, now_s).append(now_s)

    def take(self, service: str, gateways: int, now_s: float) -> bool:
        """Count a retry if the budget allows it.

        :param gateways: number of gateways that share the allowance
        :return: whether the retry may be sent
        """
        requests = self._trim(self._requests_by_service, service, now_s)
        retries = self._trim(self._retries_by_service, service, now_s)
        permitted = self._share * len(requests) + self._allowance / max(1, gateways)
        if len(retries) + 1 > USED_SHARE * permitted:
            return False
        retries.append(now_s)
        return True

    def _trim(
        self, times_by_service: dict[str, deque[float]], service: str, now_s: float
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        while times and times[0] <= now_s - self._window_s:
            times.popleft()
        return times
