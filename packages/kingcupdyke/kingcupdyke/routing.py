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
    """What a gateway knows of an endpoint when it chooses."""

    endpoint: str
    region: str
    data_centre: str
    #: Requests running and waiting by the last report.
    running: int
    waiting: int
    #: Age of that report in seconds.
    report_age_s: float
    #: Requests this gateway sent and has not seen finished, since that report.
    dispatched_since: int
    #: Seconds between tokens by the last report.
    token_interval_s: float
    #: Whether the adapter of the request is resident; True without an adapter.
    adapter_resident: bool
    #: Prefix blocks of the request that are thought to be cached.
    cached_blocks: int


class Choice(NamedTuple):
    """The endpoint chosen for an attempt."""

    endpoint: str
    #: Seconds until the whole answer, as estimated.
    estimate_s: float
    crosses_regions: bool


class Router(ABC):
    """Chooses among the endpoints that hold the target and are not leaving."""

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
        :param rng: source of chance
        :return: a choice, or a failure "not run" at step "route" with ``retry_after_s``
        """

    def refund(self, request: Request) -> None:  # noqa: B027
        """Take back what a choice that crosses regions has used up, since nothing was sent."""
