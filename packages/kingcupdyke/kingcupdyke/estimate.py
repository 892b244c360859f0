"""
kingcupdyke.estimate
~~~~~~~~~~~~~~~~~~~~

Estimates of the time that an endpoint takes for a request, for routing and admission.
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
    "estimate_batch_slowdown",
    "estimate_prefill",
    "estimate_service",
    "estimate_staleness",
    "estimate_wait",
]

#: Seconds to load an adapter while few loads are in flight.
ADAPTER_LOAD_S = 0.010
#: Seconds to compute one prefix block that is not cached.
PREFILL_BLOCK_S = 0.004
#: Assumed seconds between tokens of an endpoint that has not reported yet.
DEFAULT_TOKEN_INTERVAL_S = 0.030
#: Assumed number of tokens of an answer when the request sets no limit.
DEFAULT_TOKENS = 64
#: Assumed seconds of a call to a service without tokens, when no other is in progress.
DEFAULT_SERVICE_S = 0.020
#: Relative growth of the token interval for each request that joins the batch.
INTERVAL_GROWTH_PER_REQUEST = 0.04
#: Seconds up to which a report is not stale.
FRESH_REPORT_S = 1.0
#: Seconds added to the estimate for each second that a report is older than that.
STALE_COST_S_PER_S = 0.05
#: Maximum number of seconds that a stale report adds.
MAX_STALENESS_S = 1.0


def estimate_wait(view: EndpointView, request: Request) -> float:
    """Estimate the time from sending a request to the end of its answer.

    :param view: load and cache state of the endpoint
    :param request: the request
    :return: seconds, without network latency
    """
    load_and_prefill_s = estimate_adapter(view) + estimate_prefill(view, request)
    return load_and_prefill_s + estimate_service(view, request) + estimate_staleness(view)


def estimate_adapter(view: EndpointView) -> float:
    """:return: seconds until the adapter of the request is loaded"""
    return 0.0 if view.adapter_resident else ADAPTER_LOAD_S


def estimate_prefill(view: EndpointView, request: Request) -> float:
    """:return: seconds to compute the prefix blocks that are not cached"""
    return max(0, len(request.prefixes) - view.cached_blocks) * PREFILL_BLOCK_S


def estimate_service(view: EndpointView, request: Request) -> float:
    """:return: seconds in the endpoint's queue and batch"""
    joined = view.dispatched_since
    if view.waiting:
        return _get_service_s(view, request, 0) * (
            1 + (view.waiting + joined) / max(1, view.running)
        )
    return _get_service_s(view, request, joined)


def estimate_batch_slowdown(view: EndpointView, request: Request) -> float:
    """:return: seconds of delay, in total, that the request causes to the other requests there"""
    concurrent = view.running + view.waiting + view.dispatched_since
    return concurrent * INTERVAL_GROWTH_PER_REQUEST * _get_service_s(view, request, 0) / 2


def estimate_staleness(view: EndpointView) -> float:
    """:return: seconds added for the age of the last report, as the load may have changed since"""
    stale_s = max(0.0, view.report_age_s - FRESH_REPORT_S)
    return min(MAX_STALENESS_S, stale_s * STALE_COST_S_PER_S)


def _get_service_s(view: EndpointView, request: Request, joined: int) -> float:
    growth = 1.0 + INTERVAL_GROWTH_PER_REQUEST * joined
    if not view.token_interval_s and not request.max_tokens:
        return DEFAULT_SERVICE_S * (1 + view.running + joined)
    tokens = request.max_tokens or DEFAULT_TOKENS
    if view.token_interval_s:
        return tokens * view.token_interval_s * growth
    growth += INTERVAL_GROWTH_PER_REQUEST * view.running
    return tokens * DEFAULT_TOKEN_INTERVAL_S * growth
