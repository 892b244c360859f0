"""
kingcupdyke.routers.cost
~~~~~~~~~~~~~~~~~~~~~~~~

Routing by estimated cost, with two random choices and a byte budget for the link between regions.
"""

from collections.abc import Sequence
from math import isfinite
from random import Random
from typing import NamedTuple

from expression import Error, Ok, Result

from kingcupdyke.budget import ByteBudget
from kingcupdyke.error import Failure, OptionError
from kingcupdyke.estimate import estimate_batch_slowdown, estimate_wait
from kingcupdyke.request import Request
from kingcupdyke.routers.refusal import NO_ENDPOINT_RETRY_S, reject_route
from kingcupdyke.routing import Choice, EndpointView, Router
from kingcupdyke.util import get_float_opt, hash_score

__all__ = ["CostRouter", "count_crossing_bytes"]

#: Number of endpoints in a rendezvous-hashing subset.
SUBSET_SIZE = 4
#: Number of endpoints outside the subset that are compared as well, so that a frequent prefix
#: spreads to more endpoints.
OUTSIDE_CHOICES = 1
#: Round-trip time in seconds between data centres of one region.
DATA_CENTRE_RTT_S = 0.003
#: Round-trip time in seconds between regions.
REGION_RTT_S = 0.060
#: Default budget in bytes a second of one router across regions: a tenth of 15 Mbit/s.
REGION_LINK_BYTES_PER_S = 187_500.0
#: Burst of that budget, in seconds of its rate.
REGION_LINK_BURST_S = 4.0
#: Bytes of one streamed token with its framing.
TOKEN_BYTES = 64
#: Bytes of headers and framing of one request.
ENVELOPE_BYTES = 1024
#: Upper limit of a router's ``retry_after_s`` in seconds.
MAX_RETRY_S = 30.0


class _Candidate(NamedTuple):
    """A candidate endpoint with its estimated time and cost."""

    view: EndpointView
    estimate_s: float
    #: Seconds of delay to all requests, including those in progress there.
    cost_s: float


def count_crossing_bytes(request: Request) -> int:
    """:return: bytes that a request and its answer use on the link between regions"""
    return ENVELOPE_BYTES + request.body_bytes + request.max_tokens * TOKEN_BYTES


class CostRouter(Router):
    """Chooses by estimated wait, adapter load, missing prefix and distance.

    :param home_region: region of the gateway; empty: no endpoint counts as in another region
    :param home_data_centre: data centre of the gateway; empty: no distance inside the region
    :param affinity: keep requests whose prompts share their first prefix on few endpoints
    :param two_choices: compare two random endpoints of the subset instead of all of it
    :param region_link_bytes_per_s: budget of the link between regions; 0 never crosses regions,
        None treats all regions as one
    :param lean: 0.0 to 1.0; at 1.0 a request crosses regions if it would miss its deadline and the
        budget allows; lower values reserve ``1.0 - lean`` of the budget's burst for requests
        without a local endpoint
    :raises OptionError: if an option is invalid
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
            return Error(reject_route(f"no endpoint holds {request.target}"))
        local = [view for view in views if self._is_local(view)]
        if not local:
            return self._choose_remote(request, views, now_s, rng)
        best = self._choose_in_time(request, local, now_s, rng)
        if len(local) < len(views) and self._is_late(best, request, now_s):
            remote = [view for view in views if not self._is_local(view)]
            other = self._choose_in_time(request, remote, now_s, rng)
            if not self._is_late(other, request, now_s) and self._take_link_bytes(request, now_s):
                return Ok(Choice(other.view.endpoint, other.estimate_s, True))
        return Ok(Choice(best.view.endpoint, best.estimate_s, self._crosses(best.view)))

    def refund(self, request: Request) -> None:
        """Return the link bytes of a request that was to cross regions but was not sent."""
        if self._budget is not None:
            self._budget.refund(count_crossing_bytes(request))

    def _choose_remote(
        self, request: Request, views: Sequence[EndpointView], now_s: float, rng: Random
    ) -> Result[Choice, Failure]:
        size_bytes = count_crossing_bytes(request)
        if not self._budget.take(size_bytes, now_s):
            wait_s = self._budget.wait_s(size_bytes, now_s)
            wait_s = max(NO_ENDPOINT_RETRY_S, wait_s) if isfinite(wait_s) else MAX_RETRY_S
            reason = f"the budget of the link between regions is used up for {request.target}"
            return Error(reject_route(reason, min(MAX_RETRY_S, wait_s)))
        best = self._choose_in_time(request, views, now_s, rng)
        return Ok(Choice(best.view.endpoint, best.estimate_s, True))

    def _choose_in_time(
        self, request: Request, views: Sequence[EndpointView], now_s: float, rng: Random
    ) -> _Candidate:
        """Choose from the subset; if the choice would be late, from all endpoints in time."""
        best = self._choose_cheapest(request, self._sample(request, views, rng), rng)
        if not self._is_late(best, request, now_s):
            return best
        candidates = [self._evaluate(view, request) for view in views]
        in_time = [each.view for each in candidates if not self._is_late(each, request, now_s)]
        if not in_time:
            return best
        return self._choose_cheapest(request, rng.sample(in_time, min(2, len(in_time))), rng)

    def _sample(
        self, request: Request, views: Sequence[EndpointView], rng: Random
    ) -> Sequence[EndpointView]:
        inside, outside = self._split_by_affinity(request, views)
        if not self._two_choices:
            return inside
        sampled = rng.sample(inside, min(2, len(inside)))
        return sampled + rng.sample(outside, min(OUTSIDE_CHOICES, len(outside)))

    def _split_by_affinity(
        self, request: Request, views: Sequence[EndpointView]
    ) -> tuple[list[EndpointView], list[EndpointView]]:
        if not self._affinity or len(views) <= SUBSET_SIZE:
            return list(views), []
        prefix = request.prefixes[0] if request.prefixes else ""
        if not prefix and not request.adapter:
            return list(views), []
        key = f"{request.target}\0{request.adapter}\0{prefix}"
        ranked = sorted(
            views,
            key=lambda view: (view.adapter_resident, hash_score(key, view.endpoint)),
            reverse=True,
        )
        return ranked[:SUBSET_SIZE], ranked[SUBSET_SIZE:]

    def _choose_cheapest(
        self, request: Request, views: Sequence[EndpointView], rng: Random
    ) -> _Candidate:
        candidates = [self._evaluate(view, request) for view in views]
        return min(candidates, key=lambda each: (each.cost_s, rng.random()))

    def _evaluate(self, view: EndpointView, request: Request) -> _Candidate:
        estimate_s = estimate_wait(view, request) + self._get_distance_s(view)
        return _Candidate(view, estimate_s, estimate_s + estimate_batch_slowdown(view, request))

    def _get_distance_s(self, view: EndpointView) -> float:
        if self._crosses(view):
            return REGION_RTT_S
        is_other_data_centre = (
            bool(self._home_data_centre) and view.data_centre != self._home_data_centre
        )
        return DATA_CENTRE_RTT_S if is_other_data_centre else 0.0

    def _crosses(self, view: EndpointView) -> bool:
        return bool(self._home_region) and view.region != self._home_region

    def _is_local(self, view: EndpointView) -> bool:
        return self._budget is None or not self._crosses(view)

    def _take_link_bytes(self, request: Request, now_s: float) -> bool:
        reserved_bytes = (1.0 - self._lean) * self._burst_bytes
        return self._budget.take(count_crossing_bytes(request), now_s, reserved_bytes)

    @staticmethod
    def _is_late(candidate: _Candidate, request: Request, now_s: float) -> bool:
        return now_s + candidate.estimate_s > request.deadline_s
