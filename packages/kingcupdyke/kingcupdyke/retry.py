"""
kingcupdyke.retry
~~~~~~~~~~~~~~~~~

Deciding whether a failed attempt is retried at another endpoint.
"""

from collections import OrderedDict
from collections.abc import Collection
from typing import NamedTuple

from kingcupdyke.budget import RetryBudget
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.request import Request
from kingcupdyke.util import get_int_opt

__all__ = ["GiveUp", "Retry", "RetryPolicy"]

#: Steps whose failure may depend on the endpoint, so that a retry elsewhere may succeed.
RETRIABLE_STEPS = frozenset({Step.ADMIT, Step.ROUTE, Step.CONNECT, Step.RUN, Step.RELAY})
#: Maximum number of requests whose outcome so far is kept. For any other request with earlier
#: attempts, their outcome counts as unknown.
MAX_REMEMBERED_REQUESTS = 20_000
#: ``retry_after_s`` of a final "not run" failure that has none itself, in seconds.
DEFAULT_RETRY_AFTER_S = 1.0

_SEVERITY = {Outcome.NOT_RUN: 0, Outcome.FAILED: 1, Outcome.UNKNOWN: 2}


class Retry(NamedTuple):
    """Retry at an endpoint that is not excluded."""

    excluded: frozenset[str]


class GiveUp(NamedTuple):
    """Return this failure, which covers all attempts, to the caller."""

    failure: Failure


class RetryPolicy:
    """Retries at another endpoint, before the deadline, within a budget, and only where it is safe.

    :param budget: shared by all requests of the process
    :param most_attempts: maximum number of attempts of one request, including the first
    :raises OptionError: when ``most_attempts`` is below one
    """

    def __init__(self, budget: RetryBudget, most_attempts: int = 3) -> None:
        options = {"most_attempts": most_attempts}
        self._budget = budget
        self._max_attempts = get_int_opt(options, "most_attempts", least=1)
        self._worst_by_request: OrderedDict[str, Outcome] = OrderedDict()

    def decide(
        self,
        request: Request,
        failure: Failure,
        tried: Collection[str],
        now_s: float,
        estimate_s: float,
    ) -> Retry | GiveUp:
        """Decide whether to retry after a failed attempt.

        :param failure: failure of the last attempt
        :param tried: endpoints of all attempts so far, including the last
        :param now_s: time in seconds
        :param estimate_s: estimated duration of another attempt, in seconds
        :return: a retry, which has been taken from the budget, or the final failure, which is
            "not run" only if no attempt ran
        """
        worst = self._get_worst(request, failure, tried)
        stop_reason = self._find_stop_reason(request, failure, worst, tried, now_s + estimate_s)
        if not stop_reason and not self._budget.take(now_s):
            stop_reason = "the retry budget is exhausted"
        if stop_reason:
            self.forget(request.request_id)
            return GiveUp(_make_final_failure(failure, worst, stop_reason))
        self._remember(request.request_id, worst)
        return Retry(frozenset(tried))

    def forget(self, request_id: str) -> None:
        """Remove the record of a request that is answered."""
        self._worst_by_request.pop(request_id, None)

    def _get_worst(self, request: Request, failure: Failure, tried: Collection[str]) -> Outcome:
        default = Outcome.UNKNOWN if len(tried) > 1 else Outcome.NOT_RUN
        earlier = self._worst_by_request.get(request.request_id, default)
        return max(earlier, failure.outcome, key=_SEVERITY.__getitem__)

    def _find_stop_reason(
        self,
        request: Request,
        failure: Failure,
        worst: Outcome,
        tried: Collection[str],
        finish_s: float,
    ) -> str:
        """:return: the reason against another attempt, or the empty string"""
        if not request.idempotent and worst is not Outcome.NOT_RUN:
            return "the request is not idempotent and may have run"
        if failure.step not in RETRIABLE_STEPS:
            return f"step {failure.step} would fail at any endpoint"
        if len(tried) >= self._max_attempts:
            return f"{len(tried)} attempts were made, which is the maximum"
        if finish_s > request.deadline_s:
            return "another attempt would end after the deadline"
        return ""

    def _remember(self, request_id: str, worst: Outcome) -> None:
        self._worst_by_request[request_id] = worst
        self._worst_by_request.move_to_end(request_id)
        while len(self._worst_by_request) > MAX_REMEMBERED_REQUESTS:
            self._worst_by_request.popitem(last=False)


def _make_final_failure(failure: Failure, worst: Outcome, stop_reason: str) -> Failure:
    retry_after_s = failure.retry_after_s
    if worst is Outcome.NOT_RUN and not retry_after_s:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    reason = f"{failure.reason}; no retry: {stop_reason}"
    return failure._replace(outcome=worst, reason=reason, retry_after_s=retry_after_s)
