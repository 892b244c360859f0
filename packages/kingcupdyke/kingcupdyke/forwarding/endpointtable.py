"""
kingcupdyke.forwarding.endpointtable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The endpoints that a gateway knows: their entries, the work at each, and how they behaved lately.
"""

from collections import OrderedDict
from collections.abc import Iterable
from math import inf

from kingcupdyke.forwarding.endpoint import EndpointEntry, Replica
from kingcupdyke.forwarding.metadata import PromptPart
from kingcupdyke.forwarding.peerstate import GatewayState

__all__ = ["EndpointTable", "EndpointState"]

#: Seconds for which an entry that lapsed in an outage of the store is kept: a live endpoint is
#: listed again within about two seconds.
LAPSED_S = 2.0
#: Seconds for which a planner's word on a replica goes before the endpoint's own entry.
PLACEMENT_S = 3.0
#: Seconds after its expected time at which a replica is no longer counted on.
OVERDUE_S = 1.0
#: Seconds without new work after a first failure, doubled by each further one.
SHUN_S = 0.4
#: Most seconds without new work after failures.
SHUN_MOST_S = 3.0
#: Seconds without a byte from an endpoint that works on requests after which it counts as silent.
SILENT_S = 1.3
#: Failed connections in a row from which on an endpoint counts as out of reach.
UNREACHABLE_STRIKES = 2
#: Heads of prompts that are remembered for each endpoint.
MOST_HEADS = 512
#: Weight of the newest result in an endpoint's share of failures.
FAILURE_WEIGHT = 0.15
#: Prompt tokens a second that an endpoint is taken to read until its answers say more.
TOKENS_PER_S = 20_000.0
#: Factor by which the learnt speed may differ from that, and the weight of the newest sample.
SPEED_RANGE = 8.0
SPEED_WEIGHT = 0.1
#: Seconds to a first event that do not depend on the prompt.
FIXED_S = 0.03
#: Prompt tokens below which a first event says little on the speed of reading.
LEAST_TOKENS = 800


class EndpointState:
    """One endpoint and what this gateway knows of it."""

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        #: Unread prompt tokens of this gateway's requests under way, by attempt.
        self.tokens_by_attempt: dict[str, int] = {}
        #: Time of the last byte from it, and time since which requests are under way there.
        self.heard_s = -inf
        self.waits_since_s = inf
        self.peer_requests = 0
        self.peer_tokens = 0
        #: Peers that do not reach it.
        self.peers_without = 0
        self.shunned_until_s = 0.0
        self.strikes = 0
        #: Share of requests that failed lately.
        self.failure_share = 0.0
        #: Prompt tokens a second that it reads, as learnt from its answers.
        self.tokens_per_s = TOKENS_PER_S
        #: Time at which a lapsed entry is given up, or None while it is listed.
        self.lapses_s: float | None = None
        self._heads: OrderedDict[tuple[str, ...], None] = OrderedDict()

    @property
    def requests(self) -> int:
        """:return: requests under way from all gateways"""
        return len(self.tokens_by_attempt) + self.peer_requests

    @property
    def own_tokens(self) -> int:
        """:return: prompt tokens that are still to be read, of this gateway's requests"""
        return sum(self.tokens_by_attempt.values())

    @property
    def unread_tokens(self) -> int:
        """:return: prompt tokens that are still to be read, of all gateways' requests"""
        return self.own_tokens + self.peer_tokens

    def learn_speed(self, tokens: int, seconds: float) -> None:
        """Learn from a first event.

        :param tokens: prompt tokens that were to be read when the request was sent
        :param seconds: until the first event came
        """
        reading_s = seconds - FIXED_S
        if tokens < LEAST_TOKENS or reading_s <= 0:
            return
        sample = min(
            max(tokens / reading_s, TOKENS_PER_S / SPEED_RANGE), TOKENS_PER_S * SPEED_RANGE
        )
        self.tokens_per_s += SPEED_WEIGHT * (sample - self.tokens_per_s)

    def is_reachable(self, now_s: float) -> bool:
        """:return: whether it has answered lately, as far as this gateway knows"""
        return self.strikes < UNREACHABLE_STRIKES and not self.is_silent(now_s)

    def is_silent(self, now_s: float) -> bool:
        """:return: whether requests are under way there and nothing has come for a while"""
        return now_s - max(self.heard_s, self.waits_since_s) > SILENT_S

    def note_sent(self, attempt_id: str, tokens: int, now_s: float) -> None:
        """A request is sent there."""
        if not self.tokens_by_attempt:
            self.waits_since_s = now_s
        self.tokens_by_attempt[attempt_id] = tokens

    def note_left(self, attempt_id: str) -> None:
        """A request is no longer under way there."""
        self.tokens_by_attempt.pop(attempt_id, None)
        if not self.tokens_by_attempt:
            self.waits_since_s = inf

    def count_kept_tokens(self, model: str, parts: tuple[PromptPart, ...]) -> int:
        """:return: tokens at the head of a prompt that were sent there lately"""
        kept = 0
        key: tuple[str, ...] = (model,)
        for part in parts:
            key = (*key, part.part_id)
            if key not in self._heads:
                break
            kept += part.tokens
        return kept

    def remember_parts(self, model: str, parts: tuple[PromptPart, ...]) -> None:
        """Note the parts of a prompt that the endpoint now reads."""
        key: tuple[str, ...] = (model,)
        for part in parts:
            key = (*key, part.part_id)
            self._heads[key] = None
            self._heads.move_to_end(key)
        while len(self._heads) > MOST_HEADS:
            self._heads.popitem(last=False)

    def forget_parts(self) -> None:
        """The endpoint has started anew or dropped a model."""
        self._heads.clear()


class EndpointTable:
    """Endpoints by id, from the list, from peers and from this gateway's own requests."""

    def __init__(self) -> None:
        self.state_by_id: dict[str, EndpointState] = {}
        #: Requests that wait at peers, by model.
        self.peer_waiting_by_model: dict[str, int] = {}
        self._word_by_replica: dict[Replica, tuple[bool, float, float]] = {}
        self._fence = 0

    def replace_all(
        self, entries: Iterable[EndpointEntry], now_s: float, after_outage: bool
    ) -> None:
        """Take a whole list.

        :param after_outage: whether the store was away, so that entries may have lapsed
        """
        listed = {each.endpoint for each in entries}
        for entry in entries:
            self.put(entry)
        for endpoint in [each for each in self.state_by_id if each not in listed]:
            self.remove(endpoint, now_s, after_outage)

    def put(self, entry: EndpointEntry) -> None:
        """Take a new or changed entry."""
        state = self.state_by_id.get(entry.endpoint)
        if state is None:
            self.state_by_id[entry.endpoint] = EndpointState(entry)
            return
        if entry.started_ms < state.entry.started_ms:
            return
        if entry.started_ms > state.entry.started_ms:
            state.forget_parts()
            state.strikes = 0
            state.shunned_until_s = 0.0
        state.entry = entry
        state.lapses_s = None

    def remove(self, endpoint: str, now_s: float, after_outage: bool) -> None:
        """An entry is no longer listed."""
        state = self.state_by_id.get(endpoint)
        if state is None:
            return
        if not after_outage:
            del self.state_by_id[endpoint]
        elif state.lapses_s is None:
            state.lapses_s = now_s + LAPSED_S

    def drop_lapsed(self, now_s: float) -> None:
        """Give up entries that did not come back after an outage."""
        for endpoint, state in list(self.state_by_id.items()):
            if state.lapses_s is not None and now_s >= state.lapses_s:
                del self.state_by_id[endpoint]
        for replica, (_, _, until_s) in list(self._word_by_replica.items()):
            if now_s >= until_s:
                del self._word_by_replica[replica]

    def hear_peers(self, peers: list[GatewayState], now_s: float) -> None:
        """Take the loads and placements that live peers tell."""
        for state in self.state_by_id.values():
            state.peer_requests = 0
            state.peer_tokens = 0
            state.peers_without = 0
        self.peer_waiting_by_model.clear()
        for peer in peers:
            for demand in peer.demands:
                known = self.peer_waiting_by_model.get(demand.model, 0)
                self.peer_waiting_by_model[demand.model] = known + demand.waiting
            for endpoint in peer.unreachable:
                if endpoint in self.state_by_id:
                    self.state_by_id[endpoint].peers_without += 1
            for load in peer.loads:
                state = self.state_by_id.get(load.endpoint)
                if state is not None:
                    state.peer_requests += load.requests
                    state.peer_tokens += load.prompt_tokens

    def hear_placements(self, planner: GatewayState, now_s: float) -> None:
        """Take the planner's word on replicas; an older planner's is ignored."""
        if planner.fence < self._fence:
            return
        self._fence = planner.fence
        for each in planner.placements:
            replica = Replica(each.endpoint, each.model, each.adapter)
            word = (each.is_present, now_s + each.due_s, now_s + each.due_s + PLACEMENT_S)
            self._word_by_replica[replica] = word

    def list_unreachable(self, now_s: float) -> tuple[str, ...]:
        """:return: endpoints that this gateway does not reach"""
        states = self.state_by_id.items()
        return tuple(name for name, state in states if not state.is_reachable(now_s))

    def list_ready(self, service: str) -> list[EndpointState]:
        """:return: endpoints of a service that take new work"""
        return [
            state
            for state in self.state_by_id.values()
            if state.entry.service == service and not state.entry.is_leaving
        ]

    def has_replica(self, replica: Replica, now_s: float) -> bool:
        """:return: whether a model, or an adapter of it, is ready at an endpoint"""
        word = self._word_by_replica.get(replica)
        if word is not None:
            is_present, due_s, until_s = word
            if not is_present:
                return False
            if due_s <= now_s < until_s and replica.adapter:
                return True
        state = self.state_by_id.get(replica.endpoint)
        if state is None:
            return False
        for held in state.entry.models:
            if held.name == replica.model:
                return not replica.adapter or replica.adapter in held.adapters
        return False

    def due_s(self, model: str, adapter: str, now_s: float) -> float | None:
        """:return: seconds until an ordered replica is there, or None where none is ordered"""
        due = [
            due_s - now_s
            for replica, (is_present, due_s, _) in self._word_by_replica.items()
            if is_present
            and replica.model == model
            and replica.adapter in ("", adapter)
            and self._is_usable(replica.endpoint, now_s)
        ]
        coming = [each for each in due if each > -OVERDUE_S]
        return max(0.0, min(coming)) if coming else None

    def _is_usable(self, endpoint: str, now_s: float) -> bool:
        state = self.state_by_id.get(endpoint)
        return state is not None and not state.entry.is_leaving and state.is_reachable(now_s)

    def deny_replica(self, replica: Replica, now_s: float) -> None:
        """An endpoint has refused a request as it does not hold the replica."""
        until_s = now_s + PLACEMENT_S
        self._word_by_replica[replica] = (False, now_s, until_s)

    def note_failure(self, endpoint: str, now_s: float, is_unreachable: bool) -> None:
        """A request failed at an endpoint.

        :param is_unreachable: whether the connection failed, so that it is left alone for a while
        """
        state = self.state_by_id.get(endpoint)
        if state is None:
            return
        state.failure_share += FAILURE_WEIGHT * (1.0 - state.failure_share)
        if is_unreachable:
            state.shunned_until_s = now_s + min(SHUN_S * 2**state.strikes, SHUN_MOST_S)
            state.strikes = min(state.strikes + 1, 8)

    def note_success(self, endpoint: str) -> None:
        """A request was answered well."""
        state = self.state_by_id.get(endpoint)
        if state is not None:
            state.failure_share -= FAILURE_WEIGHT * state.failure_share
            state.strikes = 0
            state.shunned_until_s = 0.0
