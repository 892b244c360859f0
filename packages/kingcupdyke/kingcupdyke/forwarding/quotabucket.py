"""
kingcupdyke.forwarding.quotabucket
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The token bucket of one caller, which the caller's owner keeps.
"""

from collections.abc import Sequence
from itertools import compress
from typing import NamedTuple

from kingcupdyke.forwarding.quotalimits import RESERVE_SHARE, UNUSED_S, QuotaLimits
from kingcupdyke.forwarding.quotamessage import QuotaAsk, QuotaGrant
from kingcupdyke.forwarding.quotaspec import QuotaSpec

__all__ = ["QuotaBucket"]

#: Fraction of the capacity that is never granted in advance of requests.
KEPT_FRACTION = 0.25


class _Account(NamedTuple):
    """What the bucket knows of one gateway."""

    incarnation: str
    #: Number of the last ask, and the amount granted for it.
    number: int
    granted: float
    #: Amount that the gateway may hold in advance of requests, and the time of its last ask.
    held: float
    asked_s: float


class QuotaBucket:
    """Grants the tokens of one caller, and never more than it holds.

    It starts empty, so that a change of owner grants no second burst.

    :param spec: the caller's quota
    :param limits: permitted excess over it
    :param now_s: time in seconds
    """

    def __init__(self, spec: QuotaSpec, limits: QuotaLimits, now_s: float) -> None:
        self._spec = spec
        self._limits = limits
        self._updated_s = now_s
        self._account_by_host: dict[str, _Account] = {}
        self.level = 0.0

    def configure(self, spec: QuotaSpec) -> None:
        """Replace the quota; a level above the new capacity is cut off."""
        self._spec = spec
        self.add(0.0)

    def add(self, amount: float) -> None:
        """Add tokens that were returned, up to the capacity."""
        self.level = min(self._limits.get_capacity(self._spec), self.level + amount)

    def refill(self, lent_share: float, now_s: float) -> None:
        """Add what has accrued since the last call.

        :param lent_share: share of the listed gateways that do not refill their reserves
        """
        share = 1.0 - RESERVE_SHARE * (1.0 - lent_share)
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        self.add(self._spec.rate_per_s * share * passed_s)

    def answer(self, ask: QuotaAsk, now_s: float) -> QuotaGrant | None:
        """Grant what a gateway asks for, as far as the bucket holds it.

        :return: the grant, or None if the ask is older than the last one
        """
        account = self._account_by_host.get(ask.sender)
        if account is not None and account.incarnation == ask.incarnation:
            if ask.number <= account.number:
                return None
            if ask.received_number != account.number:
                # The grant was lost, and the gateway ignores it if it comes after this ask.
                self.add(account.granted)
        self.add(ask.returned)
        accepted = self._take_needs(ask.needs)
        needed = sum(compress(ask.needs, accepted))
        # A gateway that still waits for tokens comes before stocks for later requests.
        advance = 0.0 if not all(accepted) else self._take_advance(ask, now_s)
        self._account_by_host[ask.sender] = _Account(
            ask.incarnation, ask.number, needed + advance, ask.stock + advance, now_s
        )
        return QuotaGrant(
            ask.caller, ask.incarnation, ask.number, accepted, round(advance, 3), self.level
        )

    def _take_needs(self, needs: Sequence[float]) -> tuple[bool, ...]:
        accepted = []
        for need in needs:
            is_accepted = need <= self.level
            self.level -= need if is_accepted else 0.0
            accepted.append(is_accepted)
        return tuple(accepted)

    def _take_advance(self, ask: QuotaAsk, now_s: float) -> float:
        # An older stock belongs to a gateway that is frozen or gone, and can be spent until a
        # window and its own age have passed.
        valid_s = self._limits.window_s + UNUSED_S
        for host, each in list(self._account_by_host.items()):
            if now_s - each.asked_s > valid_s:
                del self._account_by_host[host]
        held = ask.stock + sum(
            each.held for host, each in self._account_by_host.items() if host != ask.sender
        )
        kept = KEPT_FRACTION * self._limits.get_capacity(self._spec)
        room = min(self._limits.get_stock_limit(self._spec) - held, self.level - kept)
        advance = max(0.0, min(ask.advance, room))
        self.level -= advance
        return advance
