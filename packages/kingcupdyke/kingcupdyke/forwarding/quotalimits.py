"""
kingcupdyke.forwarding.quotalimits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How far the use of a quota over all gateways may exceed it, and how a quota is divided.
"""

from typing import NamedTuple

from kingcupdyke.forwarding.quotaspec import QuotaSpec, QuotaUnit

__all__ = ["RESERVE_SHARE", "UNUSED_S", "QuotaLimits"]

#: Share of rate and burst that gateways may use without an owner, over all of them.
RESERVE_SHARE = 0.1
#: Seconds after which a gateway's stock that has not been used is returned.
UNUSED_S = 2.0


class QuotaLimits(NamedTuple):
    """Permitted excess over a quota.

    In any window, the use may be (rate * window + burst) * (1 + overage) + slack.
    """

    window_s: float = 8.0
    overage: float = 0.1
    #: In tokens; a quota of requests is permitted one request instead.
    slack: float = 17_000.0

    def get_capacity(self, spec: QuotaSpec) -> float:
        """:return: the greatest level of the owner's bucket

        It contains half of the slack, as a request larger than the burst could otherwise never be
        served, and half of the overage, as the use of a caller just below its quota varies.
        """
        extra = self.slack / 2 if spec.unit is QuotaUnit.TOKENS else 1.0
        return spec.burst * (1.0 - RESERVE_SHARE) + self._get_half_overage(spec) + extra

    def get_stock_limit(self, spec: QuotaSpec) -> float:
        """:return: limit of what all gateways together hold in advance of requests"""
        return self._get_half_overage(spec)

    def _get_half_overage(self, spec: QuotaSpec) -> float:
        return 0.5 * self.overage * (spec.rate_per_s * self.window_s + spec.burst)
