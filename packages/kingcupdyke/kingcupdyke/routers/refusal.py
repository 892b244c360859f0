"""
kingcupdyke.routers.refusal
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The failure of a router that has no endpoint to choose.
"""

from kingcupdyke.error import Failure, Outcome, Step

__all__ = ["NO_ENDPOINT_RETRY_S", "refuse_route"]

#: Seconds after which a model without an endpoint may have one again.
NO_ENDPOINT_RETRY_S = 1.0


def refuse_route(reason: str, retry_after_s: float = NO_ENDPOINT_RETRY_S) -> Failure:
    """:return: a failure "not run" at step "route" """
    return Failure(Outcome.NOT_RUN, Step.ROUTE, "router", reason, retry_after_s)
