"""
kingcupdyke.forwarding.peerreports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sums of what the peers report of their requests.
"""

from collections import Counter
from collections.abc import Set
from typing import NamedTuple

from kingcupdyke.forwarding.peerstate import GatewayState

__all__ = ["EndpointReports", "PeerReports"]


class EndpointReports(NamedTuple):
    """What all peers report of one endpoint."""

    #: Number of requests in flight.
    requests: int
    #: Prompt tokens of the requests whose answer has not begun.
    prompt_tokens: int
    #: Number of peers that cannot reach it.
    unreachable_peers: int


class PeerReports:
    """Sums of the peers' latest states, updated with each state that arrives."""

    def __init__(self) -> None:
        self._state_by_host: dict[str, GatewayState] = {}
        self._requests_by_endpoint: Counter[str] = Counter()
        self._tokens_by_endpoint: Counter[str] = Counter()
        self._unreachable_by_endpoint: Counter[str] = Counter()
        #: Number of requests that wait at peers, by model.
        self.waiting_by_model: Counter[str] = Counter()

    def get(self, endpoint: str) -> EndpointReports:
        """:return: what the peers report of an endpoint"""
        return EndpointReports(
            self._requests_by_endpoint[endpoint],
            self._tokens_by_endpoint[endpoint],
            self._unreachable_by_endpoint[endpoint],
        )

    def apply(self, state: GatewayState) -> set[str]:
        """Replace a peer's state by a later one.

        :return: endpoints whose sums may have changed
        """
        known = self._state_by_host.get(state.host)
        if known is not None and _has_same_report(known, state):
            self._state_by_host[state.host] = state
            return set()
        changed = self._drop(state.host)
        self._state_by_host[state.host] = state
        return changed | self._add(state, 1)

    def retain(self, hosts: Set[str]) -> set[str]:
        """Drop the states of all other peers.

        :return: endpoints whose sums may have changed
        """
        changed: set[str] = set()
        for host in self._state_by_host.keys() - hosts:
            changed |= self._drop(host)
        return changed

    def _drop(self, host: str) -> set[str]:
        known = self._state_by_host.pop(host, None)
        return set() if known is None else self._add(known, -1)

    def _add(self, state: GatewayState, sign: int) -> set[str]:
        """Add a state to the sums, or subtract it.

        :param sign: 1 or -1
        """
        for load in state.loads:
            _add(self._requests_by_endpoint, load.endpoint, sign * load.requests)
            _add(self._tokens_by_endpoint, load.endpoint, sign * load.prompt_tokens)
        for endpoint in state.unreachable:
            _add(self._unreachable_by_endpoint, endpoint, sign)
        for demand in state.demands:
            _add(self.waiting_by_model, demand.model, sign * demand.waiting)
        return {each.endpoint for each in state.loads} | set(state.unreachable)


def _has_same_report(known: GatewayState, state: GatewayState) -> bool:
    return (
        known.loads == state.loads
        and known.unreachable == state.unreachable
        and known.demands == state.demands
    )


def _add(counter: Counter[str], key: str, number: int) -> None:
    """Add to a sum, and forget it when it is zero."""
    if not number:
        return
    total = counter[key] + number
    if total:
        counter[key] = total
    else:
        del counter[key]
