"""
kingcupdyke.routers.baseline
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simple routers as baselines for comparison; they ignore regions and deadlines.
"""

from collections.abc import Sequence
from random import Random

from expression import Error, Ok, Result

from kingcupdyke.error import Failure
from kingcupdyke.estimate import estimate_wait
from kingcupdyke.request import Request
from kingcupdyke.routers.refusal import reject_route
from kingcupdyke.routing import Choice, EndpointView, Router

__all__ = ["LeastLoadRouter", "RandomRouter", "RoundRobinRouter"]


class BaselineRouter(Router):
    """Chooses an endpoint by one simple rule.

    :param home_region: region of the gateway, to detect choices that cross regions; empty if there
        is only one region
    :param home_data_centre: ignored like the next two, which settings pass to every router
    """

    def __init__(
        self,
        home_region: str = "",
        home_data_centre: str = "",
        region_link_bytes_per_s: float | None = None,
        lean: float = 1.0,
    ) -> None:
        self._home_region = home_region

    def choose(
        self, request: Request, views: Sequence[EndpointView], now_s: float, rng: Random
    ) -> Result[Choice, Failure]:
        if not views:
            return Error(reject_route(f"no endpoint holds {request.target}"))
        ordered = sorted(views, key=lambda view: view.endpoint)
        view = self.pick(request, ordered, rng)
        crosses = bool(self._home_region) and view.region != self._home_region
        return Ok(Choice(view.endpoint, estimate_wait(view, request), crosses))

    def pick(self, request: Request, views: Sequence[EndpointView], rng: Random) -> EndpointView:
        """:return: one of ``views``, which are ordered by endpoint and not empty"""
        raise NotImplementedError


class RandomRouter(BaselineRouter):
    """Chooses a random endpoint."""

    name = "random"

    def pick(self, request: Request, views: Sequence[EndpointView], rng: Random) -> EndpointView:
        return rng.choice(views)


class RoundRobinRouter(BaselineRouter):
    """Chooses the endpoints of a target in turn."""

    name = "round_robin"

    def __init__(self, **options: object) -> None:
        super().__init__(**options)
        self._turn_by_target: dict[str, int] = {}

    def pick(self, request: Request, views: Sequence[EndpointView], rng: Random) -> EndpointView:
        turn = self._turn_by_target.get(request.target, 0)
        self._turn_by_target[request.target] = turn + 1
        return views[turn % len(views)]


class LeastLoadRouter(BaselineRouter):
    """Chooses the endpoint with the fewest requests in its last report, ignoring later ones."""

    name = "least_load"

    def pick(self, request: Request, views: Sequence[EndpointView], rng: Random) -> EndpointView:
        return min(views, key=lambda view: (view.running + view.waiting, rng.random()))
