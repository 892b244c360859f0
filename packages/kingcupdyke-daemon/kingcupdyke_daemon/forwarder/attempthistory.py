"""
kingcupdyke_daemon.forwarder.attempthistory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The attempts of one client request at endpoints, and whether another one may follow.
"""

from kingcupdyke.forwarding.configuration import Route
from kingcupdyke_daemon.forwarder.attemptresult import AttemptResult
from kingcupdyke_daemon.forwarder.dependencies import ForwarderDependencies
from kingcupdyke_daemon.forwarder.requestlog import RetryOutcome

__all__ = ["AttemptHistory"]


class AttemptHistory:
    """Attempts that have ended.

    :param deps: collaborators shared by all requests
    :param route: route of the request
    :param gateway_count: number of gateways that share the retry budget
    """

    def __init__(self, deps: ForwarderDependencies, route: Route, gateway_count: int) -> None:
        self._deps = deps
        self._route = route
        self._gateway_count = gateway_count
        self._excluded: set[str] = set()
        #: Number of attempts in which the request ran or may have run.
        self._runs = 0

    @property
    def is_retryable(self) -> bool:
        """:return: whether the request may run more than once"""
        return self._route.is_idempotent or self._route.is_resumable

    @property
    def excluded(self) -> frozenset[str]:
        """:return: endpoints to which it must not be sent again"""
        return frozenset(self._excluded)

    @property
    def has_run(self) -> bool:
        """:return: whether it ran, or may have run"""
        return self._runs > 0

    def note_end(self, endpoint: str, result: AttemptResult) -> None:
        """Record how an attempt has ended."""
        if not self._may_return(endpoint, result):
            self._excluded.add(endpoint)
        if result not in (AttemptResult.NOT_RUN, AttemptResult.NOT_SENT):
            self._runs += 1

    def decide_retry(
        self, service: str, result: AttemptResult, can_be_continued: bool
    ) -> RetryOutcome:
        """Decide whether another attempt may follow, which draws on the retry budget.

        :param result: how the latest attempt has ended
        :param can_be_continued: whether another endpoint can continue what was passed on
        """
        if result is AttemptResult.NOT_SENT:
            return RetryOutcome.RETRIED
        if result is not AttemptResult.NOT_RUN:
            if not self.is_retryable or self._runs >= self._route.max_attempts:
                return RetryOutcome.NOT_RETRYABLE
            if result is AttemptResult.BROKEN and not can_be_continued:
                return RetryOutcome.NOT_RETRYABLE
        now_s = self._deps.timer.now()
        is_granted = self._deps.budget.take(service, self._gateway_count, now_s)
        self._deps.metrics.count_retry(service, is_granted)
        return RetryOutcome.RETRIED if is_granted else RetryOutcome.NO_BUDGET

    def _may_return(self, endpoint: str, result: AttemptResult) -> bool:
        """:return: whether the request may be sent to an endpoint again after an attempt there"""
        if result is AttemptResult.BROKEN:
            return self._route.is_resumable
        if result not in (AttemptResult.NOT_RUN, AttemptResult.NOT_SENT):
            return False
        # The endpoint has said when it accepts the request.
        backoff_table = self._deps.endpoint_table.backoff_table
        return backoff_table.find_delay(endpoint, self._deps.timer.now()) > 0.0
