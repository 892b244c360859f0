"""
kingcupdyke.estimate
~~~~~~~~~~~~~~~~~~~~

Estimating how long an endpoint takes for a request; shared by routing and admission.
"""

from kingcupdyke.request import Request
from kingcupdyke.routing import EndpointView

__all__ = [
    "ADAPTER_LOAD_S",
    "DEFAULT_SERVICE_S",
    "DEFAULT_TOKENS",
    "DEFAULT_TOKEN_INTERVAL_S",
    "PREFILL_BLOCK_S",
    "estimate_adapter",
    "estimate_crowding",
    "estimate_prefill",
    "estimate_service",
    "estimate_staleness",
    "estimate_wait",
]

#: Seconds to load an adapter while few are in flight.
ADAPTER_LOAD_S = 0.010
#: Seconds to compute one prefix block that is not cached.
PREFILL_BLOCK_S = 0.004
#: Seconds between tokens of an endpoint that has not reported yet.
DEFAULT_TOKEN_INTERVAL_S = 0.030
#: Tokens of an answer whose request names no limit.
DEFAULT_TOKENS = 64
#: Seconds of a call to a plain service, which reports no token interval.
DEFAULT_SERVICE_S = 0.020
#: Growth of the token interval for each request that joins a batch.
BATCH_GROWTH = 0.04
#: Age up to which a report counts as fresh, in seconds.
FRESH_REPORT_S = 1.0
#: Seconds of cost for each second of a report's age beyond that.
STALE_COST_S_PER_S = 0.05
#: Most that an old report adds, in seconds.
MOST_STALE_S = 1.0


def estimate_wait(view: EndpointView, request: Request) -> float:
    """Estimate the time from sending a request to the end of its answer.

    :param view: what is known of the endpoint
    :param request: the request
    :return: seconds, without the way to the endpoint
    """
    own_s = estimate_adapter(view) + estimate_prefill(view, request)
    return own_s + estimate_service(view, request) + estimate_staleness(view)


def estimate_adapter(view: EndpointView) -> float:
    """:return: seconds until the adapter of the request is resident"""
    return 0.0 if view.adapter_resident else ADAPTER_LOAD_S


def estimate_prefill(view: EndpointView, request: Request) -> float:
    """:return: seconds to compute the prefix blocks that are not cached"""
    return max(0, len(request.prefixes) - view.cached_blocks) * PREFILL_BLOCK_S


def estimate_service(view: EndpointView, request: Request) -> float:
    """:return: seconds in the endpoint's queue and batch"""
    joined = view.dispatched_since
    if view.waiting:
        return _get_service(view, request, 0) * (1 + (view.waiting + joined) / max(1, view.running))
    return _get_service(view, request, joined)


def estimate_crowding(view: EndpointView, request: Request) -> float:
    """:return: seconds of delay that the request causes to those that run beside it"""
    beside = view.running + view.waiting + view.dispatched_since
    return beside * BATCH_GROWTH * _get_service(view, request, 0) / 2


def estimate_staleness(view: EndpointView) -> float:
    """:return: seconds that the age of the last report adds, for what may have changed since"""
    late_s = max(0.0, view.report_age_s - FRESH_REPORT_S)
    return min(MOST_STALE_S, late_s * STALE_COST_S_PER_S)


def _get_service(view: EndpointView, request: Request, joined: int) -> float:
    growth = 1.0 + BATCH_GROWTH * joined
    if not view.token_interval_s and not request.max_tokens:
        return DEFAULT_SERVICE_S * (1 + view.running + joined)
    tokens = request.max_tokens or DEFAULT_TOKENS
    if view.token_interval_s:
        return tokens * view.token_interval_s * growth
    growth += BATCH_GROWTH * view.running
    return tokens * DEFAULT_TOKEN_INTERVAL_S * growth
