"""
kingcupdyke.forwarding.quotagateway
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides at one gateway which requests are within their callers' quotas over all gateways.
"""

from collections import deque
from collections.abc import Callable, Collection, Mapping
from math import inf
from typing import NamedTuple

from kingcupdyke.forwarding.decayingrate import DecayingRate
from kingcupdyke.forwarding.quotabucket import QuotaBucket
from kingcupdyke.forwarding.quotaelection import QuotaElection
from kingcupdyke.forwarding.quotalimits import QuotaLimits
from kingcupdyke.forwarding.quotamessage import QuotaAsk, QuotaClaim, QuotaGrant, QuotaMessage
from kingcupdyke.forwarding.quotaspec import QuotaSpec
from kingcupdyke.forwarding.quotastock import QuotaStock

__all__ = ["GRANT_TIMEOUT_S", "Denied", "Granted", "QuotaGateway", "QuotaTicket"]

#: Time that a request waits for a grant: two asks of an owner in another region may be lost.
GRANT_TIMEOUT_S = 0.35
#: Minimum interval between asks for one caller.
ASK_INTERVAL_S = 0.05
#: Time after which an ask or its grant counts as lost; a grant that comes later is void. A round
#: trip between regions takes 0.06 s, and both gateways may be busy.
ASK_TIMEOUT_S = 0.12
#: Minimum interval between asks for a stock after one that got nothing.
ADVANCE_RETRY_S = 0.2
#: Fraction of a stock that is used up when more is asked for; the rest lasts until the answer, also
#: if the first ask is lost.
LOW_FRACTION = 0.25
#: Limit of waiting requests in one ask, so that it fits in a datagram.
MAX_NEEDS = 200
#: Retry-After if the owner of the quota has not answered.
UNKNOWN_RETRY_S = 0.5
#: Limits of the Retry-After of a denial.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 3600.0


class Granted(NamedTuple):
    """The request is within its caller's quota and is charged."""


class Denied(NamedTuple):
    """The request is not charged and must not run."""

    retry_after_s: float
    #: Whether it is beyond the quota; if not, the owner of the quota has not answered.
    is_known: bool


class QuotaTicket:
    """A request that waits for a grant.

    :param cost: its cost
    :param on_end: called when the outcome is known
    """

    def __init__(self, cost: float, on_end: Callable[["QuotaTicket"], None]) -> None:
        self.cost = cost
        self._on_end = on_end
        self.outcome: Granted | Denied | None = None

    def end(self, outcome: Granted | Denied) -> None:
        """Set the outcome."""
        self.outcome = outcome
        self._on_end(self)


class _Asked(NamedTuple):
    """The ask that has not been answered."""

    number: int
    tickets: tuple[QuotaTicket, ...]
    advance: float
    sent_s: float


class _CallerState:
    """What this gateway knows of one caller's quota."""

    def __init__(self, spec: QuotaSpec, limits: QuotaLimits, now_s: float) -> None:
        self.stock = QuotaStock(spec, limits, now_s)
        #: None unless this gateway is the owner.
        self.bucket: QuotaBucket | None = None
        self.share = 0.0
        self.waiting: deque[QuotaTicket] = deque()
        self.asked: _Asked | None = None
        self.received_number = 0
        #: Amount to return to the owner.
        self.returned = 0.0
        self.next_ask_s = -inf
        self.next_advance_s = -inf
        self.used = DecayingRate()


class QuotaGateway:
    """The quotas at one gateway: its stocks, and the buckets of the callers that it owns.

    :param host: name of this host
    :param incarnation: identifies this start of the process
    :param limits: permitted excess over the quotas
    :param send: sends a message to another gateway; it may be lost
    :param now_s: time in seconds
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        limits: QuotaLimits,
        send: Callable[[str, QuotaMessage], None],
        now_s: float,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._limits = limits
        self._send = send
        self._state_by_caller: dict[str, _CallerState] = {}
        self._gateway_count = 0
        #: Number of the last ask.
        self._number = 0
        self._is_stopping = False
        self.election = QuotaElection(host, incarnation, send, now_s)

    def configure(self, spec_by_caller: Mapping[str, QuotaSpec], now_s: float) -> None:
        """Set the quotas of a configuration version."""
        for caller in self._state_by_caller.keys() - spec_by_caller.keys():
            _end_tickets(self._state_by_caller.pop(caller))
        for caller, spec in spec_by_caller.items():
            state = self._state_by_caller.get(caller)
            if state is None or state.stock.spec.unit is not spec.unit:
                earlier = state
                state = self._state_by_caller[caller] = _CallerState(spec, self._limits, now_s)
                if earlier is not None:
                    # Amounts in another unit can't be compared with the new quota.
                    _end_tickets(earlier)
                    state.received_number = earlier.received_number
            state.stock.configure(spec, self._gateway_count)
            if state.bucket is not None:
                state.bucket.configure(spec)
        self.election.set_callers(spec_by_caller.keys())

    def set_gateways(self, listed: Collection[str], candidates: Collection[str]) -> None:
        """Set the gateways.

        :param listed: those that the store lists, this one included; empty if not yet known
        :param candidates: those that are live and not stopping
        """
        self._is_stopping = bool(listed) and self._host not in candidates
        self.election.set_gateways(listed, candidates)
        if len(listed) != self._gateway_count:
            self._gateway_count = len(listed)
            for state in self._state_by_caller.values():
                state.stock.configure(state.stock.spec, self._gateway_count)

    def request(
        self, caller: str, cost: float, now_s: float, on_end: Callable[[QuotaTicket], None]
    ) -> QuotaTicket:
        """Charge a request, or ask the owner for tokens.

        :param on_end: called with the ticket when a grant or denial arrives for it
        :return: the ticket, with its outcome if that is known
        """
        state = self._state_by_caller.get(caller)
        ticket = QuotaTicket(cost, on_end)
        if state is None:
            ticket.outcome = Granted()
        elif cost > state.stock.max_cost:
            retry_s = cost / state.stock.spec.rate_per_s
            ticket.outcome = Denied(min(MAX_RETRY_S, retry_s), True)
        elif state.stock.take(cost, now_s):
            state.used.add(cost, now_s)
            ticket.outcome = Granted()
            self._ask(caller, state, now_s)
        else:
            state.waiting.append(ticket)
            self._ask(caller, state, now_s)
        return ticket

    def poll(self, caller: str, now_s: float) -> None:
        """Ask again for the waiting requests of a caller if this is due."""
        state = self._state_by_caller.get(caller)
        if state is not None:
            self._ask(caller, state, now_s)

    def give_up(self, caller: str, ticket: QuotaTicket) -> Denied:
        """End the wait of a request; what is granted later goes to the stock.

        :return: the outcome
        """
        outcome = Denied(UNKNOWN_RETRY_S, False)
        ticket.outcome = outcome
        state = self._state_by_caller.get(caller)
        if state is not None and ticket in state.waiting:
            state.waiting.remove(ticket)
        return outcome

    def refund(self, caller: str, cost: float, now_s: float) -> None:
        """Give back the charge of a request that did not run.

        It goes to the owner, whose bucket has a limit, so that many refunds make no second burst.
        """
        state = self._state_by_caller.get(caller)
        if state is not None:
            state.used.add(-cost, now_s)
            state.returned = min(state.stock.max_cost, state.returned + cost)

    def list_used(self, now_s: float) -> dict[str, float]:
        """:return: units a second that were lately charged here, by caller"""
        return {
            caller: max(0.0, each.used.read(now_s))
            for caller, each in self._state_by_caller.items()
        }

    def update(self, now_s: float) -> None:
        """Do what is due; to be called every few hundredths of a second."""
        if self._is_stopping:
            levels = {
                caller: round(each.bucket.level, 3)
                for caller, each in self._state_by_caller.items()
                if each.bucket is not None
            }
            self.election.release_all(levels, now_s)
        self.election.update(now_s)
        for caller, state in self._state_by_caller.items():
            self._update_bucket(caller, state, now_s)
            state.stock.refill_reserve(self.election.is_lent(caller, now_s), now_s)
            state.returned += state.stock.take_unused(now_s)
            self._ask(caller, state, now_s)

    def receive(self, message: QuotaMessage, now_s: float) -> None:
        """Process a message of another gateway."""
        if isinstance(message, QuotaClaim):
            self.election.receive_claim(message, now_s)
        elif isinstance(message, QuotaAsk):
            grant = self._answer(message, now_s)
            if grant is not None:
                self._send(message.sender, grant)
        elif isinstance(message, QuotaGrant):
            self._apply_grant(message, now_s)
        else:
            self.election.receive_vote(message, now_s)

    def _update_bucket(self, caller: str, state: _CallerState, now_s: float) -> None:
        state.share = self.election.get_share(caller, now_s)
        if not state.share:
            state.bucket = None
        elif state.bucket is None:
            state.bucket = QuotaBucket(state.stock.spec, self._limits, now_s)
            state.bucket.add(self.election.take_handed_over(caller, now_s))
        else:
            state.bucket.refill(state.share, now_s)

    def _answer(self, ask: QuotaAsk, now_s: float) -> QuotaGrant | None:
        state = self._state_by_caller.get(ask.caller)
        if state is None:
            return None
        self._update_bucket(ask.caller, state, now_s)
        return None if state.bucket is None else state.bucket.answer(ask, now_s)

    def _ask(self, caller: str, state: _CallerState, now_s: float) -> None:
        owner = self.election.find_owner(caller, now_s)
        is_own = owner == self._host
        if owner is None or (now_s < state.next_ask_s and not is_own):
            return
        if state.asked is not None:
            # An ask that is replaced while it is in flight is void at the owner, too.
            is_replaceable = not state.asked.tickets and bool(state.waiting)
            if now_s < state.asked.sent_s + ASK_TIMEOUT_S and not is_replaceable:
                return
            self._drop_ask(state)
        advance = self._choose_advance(state, is_own, now_s)
        if not state.waiting and not state.returned and not advance:
            return
        count = min(MAX_NEEDS, len(state.waiting))
        tickets = tuple(state.waiting.popleft() for _ in range(count))
        self._number += 1
        state.asked = _Asked(self._number, tickets, advance, now_s)
        state.next_ask_s = now_s + ASK_INTERVAL_S
        ask = QuotaAsk(
            caller,
            self._host,
            self._incarnation,
            self._number,
            state.received_number,
            tuple(each.cost for each in tickets),
            round(advance, 3),
            round(state.stock.amount, 3),
            round(state.returned, 3),
        )
        state.returned = 0.0
        if not is_own:
            self._send(owner, ask)
            return
        grant = self._answer(ask, now_s)
        if grant is not None:
            self._apply_grant(grant, now_s)

    @staticmethod
    def _drop_ask(state: _CallerState) -> None:
        """Give up an ask without an answer; its requests that still wait are asked for again."""
        tickets = [each for each in state.asked.tickets if each.outcome is None]
        state.waiting.extendleft(reversed(tickets))
        state.asked = None

    @staticmethod
    def _choose_advance(state: _CallerState, is_own: bool, now_s: float) -> float:
        # The owner takes from its bucket and needs no stock.
        if is_own or now_s < state.next_advance_s:
            return 0.0
        advance = state.stock.get_advance(now_s)
        is_low = advance > LOW_FRACTION * (state.stock.amount + advance)
        return advance if is_low or state.waiting else 0.0

    def _apply_grant(self, grant: QuotaGrant, now_s: float) -> None:
        state = self._state_by_caller.get(grant.caller)
        if state is None or state.asked is None or grant.incarnation != self._incarnation:
            return
        if grant.number != state.asked.number:
            return
        asked, state.asked = state.asked, None
        state.received_number = grant.number
        state.stock.put(grant.advance)
        if asked.advance and not grant.advance:
            state.next_advance_s = now_s + ADVANCE_RETRY_S
        for ticket, is_accepted in zip(asked.tickets, grant.accepted, strict=False):
            if is_accepted and ticket.outcome is None:
                state.stock.note_spent(ticket.cost, now_s)
                state.used.add(ticket.cost, now_s)
                ticket.end(Granted())
            elif is_accepted:
                state.stock.put(ticket.cost)
            elif ticket.outcome is None:
                missing = ticket.cost - grant.level
                retry_s = missing / state.stock.spec.rate_per_s
                ticket.end(Denied(min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s)), True))
        self._serve_waiting(state, now_s)
        if state.waiting:
            self._ask(grant.caller, state, now_s)

    @staticmethod
    def _serve_waiting(state: _CallerState, now_s: float) -> None:
        waiting, state.waiting = state.waiting, deque()
        for ticket in waiting:
            if state.stock.take(ticket.cost, now_s):
                state.used.add(ticket.cost, now_s)
                ticket.end(Granted())
            else:
                state.waiting.append(ticket)


def _end_tickets(state: _CallerState) -> None:
    """Grant the requests that wait for a quota that has gone."""
    for ticket in (*state.waiting, *(state.asked.tickets if state.asked else ())):
        if ticket.outcome is None:
            ticket.end(Granted())
