"""
kingcupdyke.forwarding.quotastock
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A gateway's stock of the tokens of one caller, and its part of the reserve.
"""

from collections import deque

from kingcupdyke.forwarding.quotalimits import RESERVE_SHARE, UNUSED_S, QuotaLimits
from kingcupdyke.forwarding.quotaspec import QuotaSpec

__all__ = ["QuotaStock"]

#: Time whose spending is asked for in advance.
ADVANCE_S = 0.3


class QuotaStock:
    """The tokens that a gateway may spend without asking.

    :param spec: the caller's quota
    :param limits: permitted excess over it
    :param now_s: time in seconds
    """

    def __init__(self, spec: QuotaSpec, limits: QuotaLimits, now_s: float) -> None:
        self.spec = spec
        self._limits = limits
        self.amount = 0.0
        self.reserve = 0.0
        self._reserve_limit = 0.0
        self._reserve_rate_per_s = 0.0
        self._updated_s = now_s
        self._spent: deque[tuple[float, float]] = deque()
        self._spent_sum = 0.0
        #: Least amount since the time at which unused tokens were last returned.
        self._least = 0.0
        self._returned_s = now_s

    def configure(self, spec: QuotaSpec, gateway_count: int) -> None:
        """Set the quota and the number of listed gateways; a lowered rate shrinks the stock."""
        self.amount *= min(1.0, spec.rate_per_s / self.spec.rate_per_s)
        self._least = min(self._least, self.amount)
        self.spec = spec
        share = RESERVE_SHARE / max(1, gateway_count)
        self._reserve_limit = spec.burst * share
        self._reserve_rate_per_s = spec.rate_per_s * share
        self.reserve = min(self.reserve, self._reserve_limit)

    @property
    def max_cost(self) -> float:
        """:return: the cost of the largest request that can ever be within the quota"""
        return self._limits.get_capacity(self.spec)

    def take(self, cost: float, now_s: float) -> bool:
        """Spend tokens of the stock, or else of the reserve.

        :return: whether there were enough
        """
        if cost > self.amount + self.reserve:
            return False
        from_stock = min(self.amount, cost)
        self.amount -= from_stock
        self.reserve -= cost - from_stock
        self._least = min(self._least, self.amount)
        self.note_spent(cost, now_s)
        return True

    def put(self, amount: float) -> None:
        """Add granted tokens, first to the reserve."""
        to_reserve = max(0.0, min(amount, self._reserve_limit - self.reserve))
        self.reserve += to_reserve
        self.amount += amount - to_reserve

    def note_spent(self, cost: float, now_s: float) -> None:
        """Record spending that was granted for one request."""
        self._spent.append((now_s, cost))
        self._spent_sum += cost

    def get_advance(self, now_s: float) -> float:
        """:return: the amount to ask for in advance of requests"""
        while self._spent and self._spent[0][0] < now_s - ADVANCE_S:
            self._spent_sum -= self._spent.popleft()[1]
        if not self._spent:
            self._spent_sum = 0.0
        missing = self._reserve_limit - self.reserve
        return max(0.0, self._spent_sum - self.amount) + max(0.0, missing)

    def refill_reserve(self, is_lent: bool, now_s: float) -> None:
        """Add what has accrued since the last call.

        :param is_lent: whether the caller's owner has the rate of this reserve
        """
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        if not is_lent:
            accrued = self._reserve_rate_per_s * passed_s
            self.reserve = min(self._reserve_limit, self.reserve + accrued)

    def take_unused(self, now_s: float) -> float:
        """:return: the amount that has not been used for UNUSED_S, which is taken out"""
        if now_s - self._returned_s < UNUSED_S:
            return 0.0
        unused = min(self._least, self.amount)
        self.amount -= unused
        self._least = self.amount
        self._returned_s = now_s
        return unused
