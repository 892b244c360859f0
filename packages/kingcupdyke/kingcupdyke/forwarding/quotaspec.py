"""
kingcupdyke.forwarding.quotaspec
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limit of a caller's use over all gateways, and the cost of a request in its unit.
"""

from enum import StrEnum
from typing import NamedTuple

from kingcupdyke.forwarding.metadata import RequestMetadata

__all__ = ["QuotaSpec", "QuotaUnit"]


class QuotaUnit(StrEnum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class QuotaSpec(NamedTuple):
    """Limit of a caller's use, in units of ``unit``, over all gateways together."""

    #: Units a second that the caller may use; always positive, as a caller without a limit has no
    #: quota.
    rate_per_s: float
    #: Units that the caller may use at once beyond the rate.
    burst: float
    unit: QuotaUnit
    #: Tokens that a request without token counts costs.
    plain_tokens: int

    def measure(self, metadata: RequestMetadata) -> float:
        """:return: the cost of a request, in units of ``unit``"""
        return self.measure_tokens(metadata.prompt_tokens + metadata.output_tokens)

    def measure_tokens(self, tokens: int) -> float:
        """:return: the cost of a request, in units of ``unit``

        :param tokens: prompt tokens and maximum number of answer tokens; 0 if it states none
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        # A request that states no tokens, or zero, would otherwise pass the quota for nothing.
        return float(tokens or self.plain_tokens)
