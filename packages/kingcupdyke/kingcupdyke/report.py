"""
kingcupdyke.report
~~~~~~~~~~~~~~~~~~

Load of the endpoints by their lagging reports, corrected by what was sent since.
"""

from typing import NamedTuple

from kingcupdyke.util import get_float_opt

__all__ = ["LoadParts", "LoadTracker"]

#: Seconds by which a report lags behind the moment at which it is heard.
REPORT_LAG_S = 0.5
#: Weight of one report in the average share of this process.
SHARE_WEIGHT = 0.05
#: Least share that this process is thought to have of an endpoint's requests.
LEAST_SHARE = 1 / 16


class LoadParts(NamedTuple):
    """The parts of an :class:`~kingcupdyke.routing.EndpointView` that concern load."""

    running: int
    waiting: int
    report_age_s: float
    #: Requests thought to have reached the endpoint since the state that it reported, by this
    #: process and, in its proportion, by the others.
    dispatched_since: int
    token_interval_s: float


class _Report(NamedTuple):
    """What an endpoint last said."""

    running: int
    waiting: int
    token_interval_s: float
    heard_s: float


class LoadTracker:
    """Keeps the last report of each endpoint and the requests of this process there.

    A report shows the past. Every process that believes it sends to the same idle endpoint, so
    own requests younger than the lag are added, and scaled up by the share that this process
    has of the endpoints' requests: the others act on the same report.

    :param lag_s: seconds by which reports lag
    :param correct: whether to scale up for the other processes
    :raises OptionError: when ``lag_s`` is below zero
    """

    def __init__(self, lag_s: float = REPORT_LAG_S, correct: bool = True) -> None:
        self._lag_s = get_float_opt({"lag_s": lag_s}, "lag_s")
        self._correct = correct
        self._report_by_endpoint: dict[str, _Report] = {}
        #: Times of dispatch of the requests in progress, by endpoint and request.
        self._sent_by_endpoint: dict[str, dict[str, float]] = {}
        self._own_average = 1.0
        self._total_average = 1.0
        self._now_s = 0.0

    def heard(
        self, endpoint: str, running: int, waiting: int, token_interval_s: float, now_s: float
    ) -> None:
        """Take a report.

        :param running: requests in the endpoint's batch
        :param waiting: requests in its queue
        :param token_interval_s: seconds between tokens
        :param now_s: time in seconds
        """
        self._now_s = max(self._now_s, now_s)
        report = _Report(running, waiting, token_interval_s, now_s)
        self._report_by_endpoint[endpoint] = report
        self._learn_share(endpoint, report)

    def dispatched(self, endpoint: str, request_id: str) -> None:
        """Count a request that is sent now; the time is that of the last call that gave one."""
        self._sent_by_endpoint.setdefault(endpoint, {})[request_id] = self._now_s

    def finished(self, endpoint: str, request_id: str) -> None:
        """Count out a request that ended in whatever way; an unknown one is ignored."""
        self._sent_by_endpoint.get(endpoint, {}).pop(request_id, None)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that has left."""
        self._report_by_endpoint.pop(endpoint, None)
        self._sent_by_endpoint.pop(endpoint, None)

    def parts(self, endpoint: str, now_s: float) -> LoadParts:
        """:return: the load of an endpoint as a router should see it

        :param now_s: time in seconds
        """
        self._now_s = max(self._now_s, now_s)
        report = self._report_by_endpoint.get(endpoint)
        if report is None:
            own = len(self._sent_by_endpoint.get(endpoint, ()))
            return LoadParts(0, 0, 0.0, own, 0.0)
        unseen = self._count_sent(endpoint, after_s=report.heard_s - self._lag_s)
        if self._correct:
            unseen = round(unseen / self._get_share())
        age_s = max(0.0, now_s - report.heard_s)
        return LoadParts(report.running, report.waiting, age_s, unseen, report.token_interval_s)

    def _count_sent(self, endpoint: str, after_s: float) -> int:
        sent = self._sent_by_endpoint.get(endpoint, {})
        return sum(1 for sent_s in sent.values() if sent_s > after_s)

    def _learn_share(self, endpoint: str, report: _Report) -> None:
        total = report.running + report.waiting
        sent = len(self._sent_by_endpoint.get(endpoint, ()))
        own = min(total, sent - self._count_sent(endpoint, report.heard_s - self._lag_s))
        self._own_average += SHARE_WEIGHT * (own - self._own_average)
        self._total_average += SHARE_WEIGHT * (total - self._total_average)

    def _get_share(self) -> float:
        if self._total_average <= 0.0:
            return 1.0
        return min(1.0, max(LEAST_SHARE, self._own_average / self._total_average))
