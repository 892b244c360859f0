"""
kingcupdyke.forwarding.decision
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a gateway may decide to do with a request.
"""

from typing import NamedTuple

__all__ = ["Decision", "Refuse", "Send", "Wait"]


class Send(NamedTuple):
    """Send the request to an endpoint."""

    endpoint: str
    #: Number of endpoints that had capacity for it.
    choices: int
    #: Expected seconds to the first event, plus the costs of distance and failures.
    cost_s: float


class Wait(NamedTuple):
    """Keep the request waiting until an endpoint can accept it."""

    reason: str


class Refuse(NamedTuple):
    """Reject the request, as it cannot be served in time."""

    reason: str
    retry_after_s: float


Decision = Send | Wait | Refuse
