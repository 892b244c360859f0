"""
kingcupdyke_daemon.forwarder.attemptresult
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The ways in which an attempt at an endpoint ends.
"""

from enum import StrEnum

__all__ = ["AttemptResult"]


class AttemptResult(StrEnum):
    """How the attempt at one endpoint ended."""

    DELIVERED = "delivered"
    #: No byte of the request was sent.
    NOT_SENT = "not_sent"
    #: The request certainly did not run there, for example because the endpoint reported this.
    NOT_RUN = "not_run"
    #: The endpoint answered with a failure, which is kept.
    FAILED = "failed"
    #: The request may have run there.
    UNKNOWN = "unknown"
    #: The answer broke off after a part of it was passed on.
    BROKEN = "broken"
