"""
kingcupdyke.report
~~~~~~~~~~~~~~~~~~

Estimated load of the endpoints: their delayed reports plus the requests sent since.
"""

from typing import NamedTuple

from kingcupdyke.util import get_float_opt

__all__ = ["LoadEstimate", "LoadTracker"]

#: Age in seconds of the state in a report when the report is received.
REPORT_LAG_S = 0.5
#: Weight of the latest report in the moving averages from which the share is computed.
SMOOTHING_FACTOR = 0.05
#: Smallest share of the requests that this process is assumed to have sent.
MIN_SHARE = 1 / 16


class LoadEstimate(NamedTuple):
    """The load fields of an :class:`~kingcupdyke.routing.EndpointView`."""

    running: int
    waiting: int
    report_age_s: float
    #: Estimated requests sent to the endpoint since the state that it reported: those of this
    #: process, scaled up for the other processes.
    dispatched_since: int
    token_interval_s: float


class _Report(NamedTuple):
    """The last report of an endpoint."""

    running: int
    waiting: int
    token_interval_s: float
    received_s: float


class LoadTracker:
    """Keeps the last report of each endpoint, and the requests of this process in progress there.

    A report is out of date when it is received, so all processes would send to the endpoint that
    it shows as idle. The requests that this process sent since the reported state are therefore
    added. Other processes act on the same report, so the number is divided by the share of the
    endpoints' requests that comes from this process.

    :param lag_s: age in seconds of the reported state when a report is received
    :param correct: whether to scale up for the requests of other processes
    :raises OptionError: when ``lag_s`` is below zero
    """

    def __init__(self, lag_s: float = REPORT_LAG_S, correct: bool = True) -> None:
        self._lag_s = get_float_opt({"lag_s": lag_s}, "lag_s")
        self._correct = correct
        self._report_by_endpoint: dict[str, _Report] = {}
        #: Time at which each request in progress was sent, by endpoint and request.
        self._sent_s_by_endpoint: dict[str, dict[str, float]] = {}
        #: Moving averages over reports: requests of this process and of all processes.
        self._average_own = 1.0
        self._average_total = 1.0
        self._now_s = 0.0

    def record_report(
        self, endpoint: str, running: int, waiting: int, token_interval_s: float, now_s: float
    ) -> None:
        """Process a report of an endpoint.

        :param running: requests in the endpoint's batch
        :param waiting: requests in its queue
        :param token_interval_s: seconds between tokens of an answer
        :param now_s: time in seconds
        """
        self._now_s = max(self._now_s, now_s)
        report = _Report(running, waiting, token_interval_s, now_s)
        self._report_by_endpoint[endpoint] = report
        self._update_share(endpoint, report)

    def dispatched(self, endpoint: str, request_id: str) -> None:
        """Record that a request is sent, at the time given by the last call that had ``now_s``."""
        self._sent_s_by_endpoint.setdefault(endpoint, {})[request_id] = self._now_s

    def finished(self, endpoint: str, request_id: str) -> None:
        """Record that a request ended, with any outcome; unknown ids are ignored."""
        self._sent_s_by_endpoint.get(endpoint, {}).pop(request_id, None)

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint that has left."""
        self._report_by_endpoint.pop(endpoint, None)
        self._sent_s_by_endpoint.pop(endpoint, None)

    def estimate_load(self, endpoint: str, now_s: float) -> LoadEstimate:
        """Estimate the load of an endpoint, for its view.

        :param now_s: time in seconds
        :return: the estimate; without a report, only the requests of this process count
        """
        self._now_s = max(self._now_s, now_s)
        report = self._report_by_endpoint.get(endpoint)
        if report is None:
            own = len(self._sent_s_by_endpoint.get(endpoint, ()))
            return LoadEstimate(0, 0, 0.0, own, 0.0)
        unreported = self._count_sent(endpoint, after_s=report.received_s - self._lag_s)
        if self._correct:
            unreported = round(unreported / self._get_share())
        age_s = max(0.0, now_s - report.received_s)
        return LoadEstimate(
            report.running, report.waiting, age_s, unreported, report.token_interval_s
        )

    def _count_sent(self, endpoint: str, after_s: float) -> int:
        sent = self._sent_s_by_endpoint.get(endpoint, {})
        return sum(1 for sent_s in sent.values() if sent_s > after_s)

    def _update_share(self, endpoint: str, report: _Report) -> None:
        total = report.running + report.waiting
        sent = len(self._sent_s_by_endpoint.get(endpoint, ()))
        own = min(total, sent - self._count_sent(endpoint, report.received_s - self._lag_s))
        self._average_own += SMOOTHING_FACTOR * (own - self._average_own)
        self._average_total += SMOOTHING_FACTOR * (total - self._average_total)

    def _get_share(self) -> float:
        if self._average_total <= 0.0:
            return 1.0
        return min(1.0, max(MIN_SHARE, self._average_own / self._average_total))
