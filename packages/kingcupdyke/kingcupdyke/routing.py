"""
kingcupdyke.routing
~~~~~~~~~~~~~~~~~~~

Choosing the endpoint for a request.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.request import Request

__all__ = ["Choice", "EndpointView", "Router"]


class EndpointView(NamedTuple):
    """State of an endpoint, as a gateway sees it when it chooses."""

    endpoint: str
    region: str
    data_centre: str
    #: Requests running and waiting by the last report.
    running: int
    waiting: int
    #: Age of that report in seconds.
    report_age_s: float
    #: Estimated requests in progress that were sent to the endpoint after the reported state.
    dispatched_since: int
    #: Seconds between tokens by the last report.
    token_interval_s: float
    #: Whether the adapter of the request is resident; True without an adapter.
    adapter_resident: bool
    #: Leading prefix blocks of the request that are assumed to be cached.
    cached_blocks: int


class Choice(NamedTuple):
    """The endpoint chosen for an attempt."""

    endpoint: str
    #: Estimated seconds until the whole answer is received.
    estimate_s: float
    crosses_regions: bool


class Router(ABC):
    """Chooses among the endpoints that hold the target and are not draining."""

    #: Name of the router in settings and reports.
    name = ""

    @abstractmethod
    def choose(
        self, request: Request, views: Sequence[EndpointView], now_s: float, rng: Random
    ) -> Result[Choice, Failure]:
        """Choose an endpoint.

        :param request: the request
        :param views: candidates, in any order; may be empty
        :param now_s: time in seconds of the timer service
        :param rng: random numbers
        :return: a choice, or a failure "not run" at step "route" with ``retry_after_s``
        """

    def refund(self, request: Request) -> None:  # noqa: B027
        """Refund the budget that a choice across regions has used, since nothing was sent."""
