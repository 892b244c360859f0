"""
kingcupdyke.routers.cost
~~~~~~~~~~~~~~~~~~~~~~~~

Routing by estimated cost, with two random choices and a budget for the link between regions.
"""

from collections.abc import Sequence
from math import isfinite
from random import Random
from typing import NamedTuple

from expression import Error, Ok, Result

from kingcupdyke.budget import ByteBudget
from kingcupdyke.error import Failure, OptionError
from kingcupdyke.estimate import estimate_crowding, estimate_wait
from kingcupdyke.request import Request
from kingcupdyke.routers.refusal import NO_ENDPOINT_RETRY_S, refuse_route
from kingcupdyke.routing import Choice, EndpointView, Router
from kingcupdyke.util import get_float_opt, hash_score

__all__ = ["CostRouter", "count_crossing_bytes"]

#: Endpoints of a rendezvous subset.
SUBSET_SIZE = 4
#: Endpoints outside the subset that are compared too, so that a hot prefix spreads.
OUTSIDERS = 1
#: Seconds there and back between data centres of one region.
DATA_CENTRE_RTT_S = 0.003
#: Seconds there and back between regions.
REGION_RTT_S = 0.060
#: Default bytes a second that one router may send across regions: a tenth of 15 Mbit/s.
REGION_LINK_BYTES_PER_S = 187_500.0
#: Seconds of that rate that may go at once.
REGION_LINK_BURST_S = 4.0
#: Bytes of one streamed token with its framing.
TOKEN_BYTES = 64
#: Bytes of headers and framing of one request.
ENVELOPE_BYTES = 1024
#: Longest ``retry_after_s`` of a router, in seconds.
MOST_RETRY_S = 30.0


class _Priced(NamedTuple):
    """A candidate with its estimated time."""

    view: EndpointView
    estimate_s: float
    #: Seconds of delay to all requests, those in progress there included.
    cost_s: float


def count_crossing_bytes(request: Request) -> int:
    """:return: bytes that a request and its answer take on the link between regions"""
    return ENVELOPE_BYTES + request.body_bytes + request.max_tokens * TOKEN_BYTES


class CostRouter(Router):
    """Chooses by estimated wait, adapter load, missing prefix and distance.

    :param home_region: region of the gateway; empty: nothing counts as another region
    :param home_data_centre: data centre of the gateway; empty: no distance inside the region
    :param affinity: keep requests with one prefix head on a small subset of endpoints
    :param two_choices: compare two random endpoints of the subset instead of all of it
    :param region_link_bytes_per_s: budget of the link between regions; 0 never crosses, None
        treats the regions as one
    :param lean: 1.0 crosses whenever the deadline would be missed and the budget allows; lower
        values keep that share of the budget back for requests without a local endpoint
    :raises OptionError: when an option is wrong
    """

    name = "cost"

    def __init__(
        self,
        home_region: str = "",
        home_data_centre: str = "",
        affinity: bool = True,
        two_choices: bool = True,
        region_link_bytes_per_s: float | None = REGION_LINK_BYTES_PER_S,
        lean: float = 1.0,
    ) -> None:
        for option, value in (("affinity", affinity), ("two_choices", two_choices)):
            if not isinstance(value, bool):
                raise OptionError(option, value, "give true or false")
        self._home_region = home_region
        self._home_data_centre = home_data_centre
        self._affinity = affinity
        self._two_choices = two_choices
        self._lean = get_float_opt({"lean": lean}, "lean", most=1.0)
        self._budget: ByteBudget | None = None
        self._burst_bytes = 0.0
        if region_link_bytes_per_s is not None:
            options = {"region_link_bytes_per_s": region_link_bytes_per_s}
            rate = get_float_opt(options, "region_link_bytes_per_s")
            self._burst_bytes = rate * REGION_LINK_BURST_S
            self._budget = ByteBudget(rate, self._burst_bytes)

    def choose(
        self, request: Request, views: Sequence[EndpointView], now_s: float, rng: Random
    ) -> Result[Choice, Failure]:
        if not views:
            return Error(refuse_route(f"no endpoint holds {request.target}"))
        local = [view for view in views if self._is_local(view)]
        if not local:
            return self._choose_remote(request, views, now_s, rng)
        best = self._choose_in_time(request, local, now_s, rng)
        if len(local) < len(views) and self._is_late(best, request, now_s):
            remote = [view for view in views if not self._is_local(view)]
            other = self._choose_in_time(request, remote, now_s, rng)
            if not self._is_late(other, request, now_s) and self._take_link(request, now_s):
                return Ok(Choice(other.view.endpoint, other.estimate_s, True))
        return Ok(Choice(best.view.endpoint, best.estimate_s, self._crosses(best.view)))

    def refund(self, request: Request) -> None:
        """Give back the link's bytes of a request that was chosen to cross and was not sent."""
        if self._budget is not None:
            self._budget.refund(count_crossing_bytes(request))

    def _choose_remote(
        self, request: Request, views: Sequence[EndpointView], now_s: float, rng: Random
    ) -> Result[Choice, Failure]:
        size_bytes = count_crossing_bytes(request)
        if not self._budget.take(size_bytes, now_s):
            wait_s = self._budget.wait_s(size_bytes, now_s)
            wait_s = max(NO_ENDPOINT_RETRY_S, wait_s) if isfinite(wait_s) else MOST_RETRY_S
            reason = f"the budget of the link between regions is used up for {request.target}"
            return Error(refuse_route(reason, min(MOST_RETRY_S, wait_s)))
        best = self._choose_in_time(request, views, now_s, rng)
        return Ok(Choice(best.view.endpoint, best.estimate_s, True))

    def _choose_in_time(
        self, request: Request, views: Sequence[EndpointView], now_s: float, rng: Random
    ) -> _Priced:
        """Choose from the subset; when that would be late, from those that are in time."""
        best = self._choose_cheapest(request, self._sample(request, views, rng), rng)
        if not self._is_late(best, request, now_s):
            return best
        priced = [self._price(view, request) for view in views]
        in_time = [each.view for each in priced if not self._is_late(each, request, now_s)]
        if not in_time:
            return best
        return self._choose_cheapest(request, rng.sample(in_time, min(2, len(in_time))), rng)

    def _sample(
        self, request: Request, views: Sequence[EndpointView], rng: Random
    ) -> Sequence[EndpointView]:
        inside, outside = self._split(request, views)
        if not self._two_choices:
            return inside
        sampled = rng.sample(inside, min(2, len(inside)))
        return sampled + rng.sample(outside, min(OUTSIDERS, len(outside)))

    def _split(
        self, request: Request, views: Sequence[EndpointView]
    ) -> tuple[list[EndpointView], list[EndpointView]]:
        if not self._affinity or len(views) <= SUBSET_SIZE:
            return list(views), []
        head = request.prefixes[0] if request.prefixes else ""
        if not head and not request.adapter:
            return list(views), []
        key = f"{request.target}\0{request.adapter}\0{head}"
        ranked = sorted(
            views,
            key=lambda view: (view.adapter_resident, hash_score(key, view.endpoint)),
            reverse=True,
        )
        return ranked[:SUBSET_SIZE], ranked[SUBSET_SIZE:]

    def _choose_cheapest(
        self, request: Request, views: Sequence[EndpointView], rng: Random
    ) -> _Priced:
        priced = [self._price(view, request) for view in views]
        return min(priced, key=lambda each: (each.cost_s, rng.random()))

    def _price(self, view: EndpointView, request: Request) -> _Priced:
        estimate_s = estimate_wait(view, request) + self._get_distance(view)
        return _Priced(view, estimate_s, estimate_s + estimate_crowding(view, request))

    def _get_distance(self, view: EndpointView) -> float:
        if self._crosses(view):
            return REGION_RTT_S
        far = bool(self._home_data_centre) and view.data_centre != self._home_data_centre
        return DATA_CENTRE_RTT_S if far else 0.0

    def _crosses(self, view: EndpointView) -> bool:
        return bool(self._home_region) and view.region != self._home_region

    def _is_local(self, view: EndpointView) -> bool:
        return self._budget is None or not self._crosses(view)

    def _take_link(self, request: Request, now_s: float) -> bool:
        keep_bytes = (1.0 - self._lean) * self._burst_bytes
        return self._budget.take(count_crossing_bytes(request), now_s, keep_bytes)

    @staticmethod
    def _is_late(priced: _Priced, request: Request, now_s: float) -> bool:
        return now_s + priced.estimate_s > request.deadline_s
