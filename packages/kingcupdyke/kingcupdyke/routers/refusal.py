"""
kingcupdyke.routers.refusal
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The failure that a router returns if it has no endpoint to choose.
"""

from kingcupdyke.error import Failure, Outcome, Step

__all__ = ["NO_ENDPOINT_RETRY_S", "reject_route"]

#: Seconds after which a caller is asked to retry for a model that no endpoint holds.
NO_ENDPOINT_RETRY_S = 1.0


def reject_route(reason: str, retry_after_s: float = NO_ENDPOINT_RETRY_S) -> Failure:
    """:return: a failure "not run" at step "route" """
    return Failure(Outcome.NOT_RUN, Step.ROUTE, "router", reason, retry_after_s)
