"""
kingcupdyke.forwarding.quotaelection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the owner of each caller's quota by votes that expire.

A gateway gives its vote for a caller to one owner at a time, and the owner needs those of more than
half of the listed gateways. So there is one owner at a time, whichever gateways hear each other.
"""

from collections.abc import Callable, Collection, Mapping
from math import inf
from typing import NamedTuple

from kingcupdyke.forwarding.quotamessage import QuotaClaim, QuotaVote
from kingcupdyke.util import hash_score, rank_rendezvous

__all__ = ["QuotaElection"]

#: Interval between the claims of an owner.
CLAIM_INTERVAL_S = 0.3
#: Time for which an owner counts a vote, from the time at which it sent the claim.
VOTE_VALID_S = 1.0
#: Number of gateways up to which these times apply; with more they grow in proportion.
GATEWAYS_AT_FULL_RATE = 128
#: Limit of the validity that a claim may state.
MAX_VALID_S = 60.0
#: How much longer a gateway keeps its vote than the owner counts it.
VOTE_MARGIN = 1.05
#: Time for which an owner that has not renewed its claim is not expected to claim again.
SILENT_OWNER_S = 5.0
#: Time for which tokens that an owner has handed over can be used by the next one.
HANDOVER_VALID_S = 2.0


class _Hold(NamedTuple):
    """The owner that has this gateway's vote for a caller."""

    host: str
    incarnation: str
    term: int
    until_s: float
    #: Time of its latest claim, by its own clock.
    sent_s: float
    #: Whether it had enough votes then.
    is_elected: bool


class QuotaElection:
    """Claims, votes and the known owners at one gateway.

    :param host: name of this host
    :param incarnation: identifies this start of the process
    :param send: sends a message to a gateway; it may be lost
    :param now_s: time in seconds
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        send: Callable[[str, QuotaClaim | QuotaVote], None],
        now_s: float,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._send = send
        self._started_s = now_s
        self._callers: frozenset[str] = frozenset()
        self._listed: frozenset[str] = frozenset()
        self._candidates: frozenset[str] = frozenset()
        self._hold_by_caller: dict[str, _Hold] = {}
        self._term_by_caller: dict[str, int] = {}
        #: Times of the counted claims by voter, for each caller that this gateway claims.
        self._votes_by_caller: dict[str, dict[str, float]] = {}
        self._claimed_since_s: dict[str, float] = {}
        self._retry_s_by_caller: dict[str, float] = {}
        self._handed_over: dict[str, tuple[float, float]] = {}
        self._next_claim_s = -inf
        #: The candidate that ranks first, by caller and candidates.
        self._first_by_key: dict[tuple[str, frozenset[str]], str] = {}

    @property
    def slowdown(self) -> float:
        """:return: factor of the times, which grow with the number of gateways"""
        return max(1.0, len(self._listed) / GATEWAYS_AT_FULL_RATE)

    def set_callers(self, callers: Collection[str]) -> None:
        """Set the callers that have a quota."""
        self._callers = frozenset(callers)
        for caller in set(self._votes_by_caller) - self._callers:
            self._drop(caller)

    def set_gateways(self, listed: Collection[str], candidates: Collection[str]) -> None:
        """Set the gateways.

        :param listed: those that the store lists, this one included; empty if not yet known
        :param candidates: those that are live and not stopping
        """
        self._listed = frozenset(listed)
        self._candidates = frozenset(candidates) & self._listed

    def find_owner(self, caller: str, now_s: float) -> str | None:
        """:return: host that has this gateway's vote, or None"""
        hold = self._hold_by_caller.get(caller)
        return None if hold is None or now_s >= hold.until_s else hold.host

    def is_lent(self, caller: str, now_s: float) -> bool:
        """:return: whether the caller's owner counts this gateway's part of the reserve"""
        hold = self._hold_by_caller.get(caller)
        if hold is None or now_s >= hold.until_s:
            return False
        return hold.is_elected if hold.host != self._host else self.get_share(caller, now_s) > 0

    def count_owned(self, now_s: float) -> int:
        """:return: number of callers of which this gateway is the owner"""
        return sum(self.get_share(each, now_s) > 0 for each in list(self._votes_by_caller))

    def get_share(self, caller: str, now_s: float) -> float:
        """:return: share of the listed gateways that vote for this one; 0 if it is not the owner"""
        votes = self._votes_by_caller.get(caller)
        if votes is None or not self._listed:
            return 0.0
        since_s = now_s - VOTE_VALID_S * self.slowdown
        voters = {host for host, sent_s in votes.items() if sent_s > since_s} & self._listed
        voters.add(self._host)
        doubled = 2 * len(voters)
        is_tie_won = doubled == len(self._listed) and (
            rank_rendezvous(caller, self._listed)[0] in voters
        )
        is_owner = doubled > len(self._listed) or is_tie_won
        return len(voters) / len(self._listed) if is_owner else 0.0

    def take_handed_over(self, caller: str, now_s: float) -> float:
        """:return: tokens that the former owner has handed over to this gateway, once"""
        level, since_s = self._handed_over.pop(caller, (0.0, -inf))
        return level if now_s - since_s < HANDOVER_VALID_S else 0.0

    def update(self, now_s: float) -> None:
        """Claim callers that have no owner, and renew claims when this is due."""
        valid_s = VOTE_VALID_S * self.slowdown
        # After a restart, votes of the earlier start may still count.
        if not self._listed or now_s - self._started_s < valid_s * VOTE_MARGIN:
            return
        has_new = False
        for caller in self._callers:
            if caller in self._votes_by_caller:
                has_failed = now_s - self._claimed_since_s[caller] > valid_s
                if has_failed and not self.get_share(caller, now_s):
                    self._withdraw(caller, now_s)
            elif self._may_claim(caller, now_s):
                self._begin(caller, now_s)
                has_new = True
        if self._votes_by_caller and (has_new or now_s >= self._next_claim_s):
            self._next_claim_s = now_s + CLAIM_INTERVAL_S * self.slowdown
            self._post(self._votes_by_caller, valid_s, now_s)

    def release_all(self, level_by_caller: Mapping[str, float], now_s: float) -> None:
        """Give all callers to other owners, with the tokens left.

        :param level_by_caller: tokens by caller
        """
        callers = list(self._votes_by_caller)
        if callers:
            self._post(callers, 0.0, now_s, level_by_caller)
        for caller in callers:
            self._drop(caller)

    def receive_claim(self, claim: QuotaClaim, now_s: float) -> None:
        """Vote for a claim, unless another owner has this gateway's vote."""
        agreed = []
        for caller in claim.term_by_caller.keys() & self._callers:
            term = claim.term_by_caller[caller]
            self._term_by_caller[caller] = max(term, self._term_by_caller.get(caller, 0))
            if claim.valid_s == 0.0:
                self._end_hold(caller, claim, now_s)
            elif self._agree(caller, term, claim, now_s):
                agreed.append(caller)
        has_waited = now_s - self._started_s >= VOTE_VALID_S * VOTE_MARGIN * self.slowdown
        if agreed and has_waited and self._listed:
            vote = QuotaVote(self._host, claim.incarnation, claim.sent_s, tuple(sorted(agreed)))
            self._send(claim.sender, vote)

    def receive_vote(self, vote: QuotaVote, now_s: float) -> None:
        """Count a vote."""
        if vote.incarnation != self._incarnation or vote.sent_s > now_s:
            return
        for caller in vote.callers:
            votes = self._votes_by_caller.get(caller)
            if votes is not None and vote.sent_s >= self._claimed_since_s[caller]:
                votes[vote.sender] = max(vote.sent_s, votes.get(vote.sender, -inf))

    def _agree(self, caller: str, term: int, claim: QuotaClaim, now_s: float) -> bool:
        hold = self._hold_by_caller.get(caller)
        is_held = hold is not None and now_s < hold.until_s
        sender = (claim.sender, claim.incarnation)
        if is_held and (hold.host, hold.incarnation) != sender:
            # A later owner has more than half of the votes, so this gateway's own claim is from
            # before it was frozen.
            is_outdated = hold.host == self._host and caller in claim.owned and term > hold.term
            if not is_outdated:
                return False
            self._drop(caller)
            is_held = False
        until_s = now_s + min(claim.valid_s, MAX_VALID_S) * VOTE_MARGIN
        sent_s = claim.sent_s
        if is_held:
            until_s, sent_s = max(until_s, hold.until_s), max(sent_s, hold.sent_s)
        is_elected = caller in claim.owned
        self._hold_by_caller[caller] = _Hold(*sender, term, until_s, sent_s, is_elected)
        return True

    def _end_hold(self, caller: str, claim: QuotaClaim, now_s: float) -> None:
        hold = self._hold_by_caller.get(caller)
        sender = (claim.sender, claim.incarnation)
        # A claim that is sent after the release may arrive before it.
        if hold is not None and hold[:2] == sender and claim.sent_s >= hold.sent_s:
            del self._hold_by_caller[caller]
        if caller in claim.level_by_caller:
            self._handed_over[caller] = (claim.level_by_caller[caller], now_s)

    def _may_claim(self, caller: str, now_s: float) -> bool:
        if self.find_owner(caller, now_s) is not None:
            return False
        if now_s < self._retry_s_by_caller.get(caller, -inf):
            return False
        candidates = self._candidates
        hold = self._hold_by_caller.get(caller)
        if hold is not None and now_s - hold.until_s < SILENT_OWNER_S * self.slowdown:
            # It has not renewed its claim, although the list of live gateways may still have it.
            candidates = candidates - {hold.host}
        key = (caller, candidates)
        if key not in self._first_by_key:
            # The set of candidates rarely changes, and ranking a thousand gateways takes 2 ms.
            if len(self._first_by_key) > len(self._callers):
                self._first_by_key.clear()
            ranked = rank_rendezvous(caller, candidates)
            self._first_by_key[key] = ranked[0] if ranked else ""
        return self._first_by_key[key] == self._host

    def _begin(self, caller: str, now_s: float) -> None:
        term = self._term_by_caller.get(caller, 0) + 1
        self._term_by_caller[caller] = term
        self._votes_by_caller[caller] = {}
        self._claimed_since_s[caller] = now_s
        self._hold_by_caller[caller] = _Hold(self._host, self._incarnation, term, inf, now_s, False)

    def _withdraw(self, caller: str, now_s: float) -> None:
        """End a claim without enough votes, so that another gateway can have them."""
        self._post((caller,), 0.0, now_s)
        self._drop(caller)
        fraction = hash_score(caller, self._host) % 1000 / 1000
        self._retry_s_by_caller[caller] = now_s + (0.2 + fraction) * self.slowdown

    def _drop(self, caller: str) -> None:
        self._votes_by_caller.pop(caller, None)
        self._claimed_since_s.pop(caller, None)
        hold = self._hold_by_caller.get(caller)
        if hold is not None and hold.host == self._host:
            del self._hold_by_caller[caller]

    def _post(
        self,
        callers: Collection[str],
        valid_s: float,
        now_s: float,
        level_by_caller: Mapping[str, float] | None = None,
    ) -> None:
        terms = {each: self._term_by_caller[each] for each in callers}
        owned = frozenset(each for each in callers if self.get_share(each, now_s))
        others = self._candidates - {self._host}
        heir_by_caller = {}
        for caller in level_by_caller or ():
            if others:
                heir_by_caller[caller] = rank_rendezvous(caller, others)[0]
        claim = QuotaClaim(self._host, self._incarnation, now_s, valid_s, terms, owned, {})
        for host in self._listed - {self._host}:
            levels = {
                caller: level_by_caller[caller]
                for caller, heir in heir_by_caller.items()
                if heir == host and caller in owned
            }
            self._send(host, claim._replace(level_by_caller=levels) if levels else claim)
