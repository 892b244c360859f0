"""
kingcupdyke.retry
~~~~~~~~~~~~~~~~~

Deciding whether a failed attempt is tried again elsewhere.
"""

from collections import OrderedDict
from collections.abc import Collection
from typing import NamedTuple

from kingcupdyke.budget import RetryBudget
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.request import Request
from kingcupdyke.util import get_int_opt

__all__ = ["GiveUp", "Retry", "RetryPolicy"]

#: Steps whose failure another endpoint may not repeat.
RETRIABLE_STEPS = frozenset({Step.ADMIT, Step.ROUTE, Step.CONNECT, Step.RUN, Step.RELAY})
#: Requests whose earlier attempts are remembered; of any other the outcome counts as unknown.
MOST_REMEMBERED = 20_000
#: Seconds after which coming back may help when nothing better is known.
DEFAULT_RETRY_AFTER_S = 1.0

_SEVERITY = {Outcome.NOT_RUN: 0, Outcome.FAILED: 1, Outcome.UNKNOWN: 2}


class Retry(NamedTuple):
    """Try again, at an endpoint that is not among the excluded."""

    excluded: frozenset[str]


class GiveUp(NamedTuple):
    """Answer the caller with this failure, which covers all attempts."""

    failure: Failure


class RetryPolicy:
    """Retries before the deadline, elsewhere, within a budget, and never unsafely.

    :param budget: shared by all requests of the process
    :param most_attempts: attempts of one request, the first included
    :raises OptionError: when ``most_attempts`` is below one
    """

    def __init__(self, budget: RetryBudget, most_attempts: int = 3) -> None:
        options = {"most_attempts": most_attempts}
        self._budget = budget
        self._most_attempts = get_int_opt(options, "most_attempts", least=1)
        self._worst_by_request: OrderedDict[str, Outcome] = OrderedDict()

    def decide(
        self,
        request: Request,
        failure: Failure,
        tried: Collection[str],
        now_s: float,
        estimate_s: float,
    ) -> Retry | GiveUp:
        """Decide after a failed attempt.

        :param failure: how the last attempt ended
        :param tried: endpoints of all attempts so far, the last included
        :param now_s: time in seconds
        :param estimate_s: seconds that another attempt is thought to take
        :return: a retry, which has been taken from the budget, or the final failure; that says
            "not run" only if every attempt did not run
        """
        worst = self._get_worst(request, failure, tried)
        objection = self._object(request, failure, worst, tried, now_s + estimate_s)
        if not objection and not self._budget.take(now_s):
            objection = "the retry budget is used up"
        if objection:
            self.forget(request.request_id)
            return GiveUp(_conclude(failure, worst, objection))
        self._remember(request.request_id, worst)
        return Retry(frozenset(tried))

    def forget(self, request_id: str) -> None:
        """Drop what is remembered of a request that has its answer."""
        self._worst_by_request.pop(request_id, None)

    def _get_worst(self, request: Request, failure: Failure, tried: Collection[str]) -> Outcome:
        missing = Outcome.UNKNOWN if len(tried) > 1 else Outcome.NOT_RUN
        earlier = self._worst_by_request.get(request.request_id, missing)
        return max(earlier, failure.outcome, key=_SEVERITY.__getitem__)

    def _object(
        self,
        request: Request,
        failure: Failure,
        worst: Outcome,
        tried: Collection[str],
        finish_s: float,
    ) -> str:
        """:return: why there is no further attempt, or the empty string"""
        if not request.idempotent and worst is not Outcome.NOT_RUN:
            return "it may not run twice"
        if failure.step not in RETRIABLE_STEPS:
            return f"step {failure.step} fails everywhere"
        if len(tried) >= self._most_attempts:
            return f"{len(tried)} attempts were made"
        if finish_s > request.deadline_s:
            return "another attempt would miss the deadline"
        return ""

    def _remember(self, request_id: str, worst: Outcome) -> None:
        self._worst_by_request[request_id] = worst
        self._worst_by_request.move_to_end(request_id)
        while len(self._worst_by_request) > MOST_REMEMBERED:
            self._worst_by_request.popitem(last=False)


def _conclude(failure: Failure, worst: Outcome, objection: str) -> Failure:
    retry_after_s = failure.retry_after_s
    if worst is Outcome.NOT_RUN and not retry_after_s:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    reason = f"{failure.reason}; no retry: {objection}"
    return failure._replace(outcome=worst, reason=reason, retry_after_s=retry_after_s)
