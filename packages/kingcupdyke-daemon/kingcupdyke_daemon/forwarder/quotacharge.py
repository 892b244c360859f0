"""
kingcupdyke_daemon.forwarder.quotacharge
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The charge of one request to its caller's quota.
"""

from kingcupdyke.forwarding.callertable import Caller
from kingcupdyke.forwarding.metadata import RequestMetadata
from kingcupdyke.forwarding.quotagateway import Denied
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.forwarder.quotadirectory import QuotaDirectory

__all__ = ["QuotaCharge", "describe_denial"]


class QuotaCharge:
    """Charges a request before it is sent, and refunds it if it does not run.

    :param quotas: the quotas of all callers
    :param metrics: counts denials
    :param caller: the request's caller, or None if it has none
    :param metadata: metadata from the request's headers
    """

    def __init__(
        self,
        quotas: QuotaDirectory,
        metrics: ForwarderMetrics,
        caller: Caller | None,
        metadata: RequestMetadata,
    ) -> None:
        self._quotas = quotas
        self._metrics = metrics
        self._caller = caller
        self._metadata = metadata
        #: What was charged.
        self._cost = 0.0

    async def acquire(self) -> Denied | None:
        """:return: None if the request is charged, or has no quota"""
        if self._caller is None or self._caller.quota is None:
            return None
        cost = self._caller.quota.measure(self._metadata)
        outcome = await self._quotas.acquire(self._caller.name, cost)
        if isinstance(outcome, Denied):
            self._metrics.count_quota_denial(self._caller.name, outcome.is_known)
            return outcome
        self._cost = cost
        return None

    def settle(self, may_have_run: bool) -> None:
        """Refund the charge if the request certainly has not run."""
        if self._cost and not may_have_run:
            self._quotas.refund(self._caller.name, self._cost)
        self._cost = 0.0


def describe_denial(denied: Denied) -> str:
    """:return: reason for the client"""
    if denied.is_known:
        return "the quota of the caller is used up"
    return "the quota of the caller can't be determined now"
