"""
kingcupdyke.forwarding.peerschedule
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides when a gateway sends its state to which peers.
"""

from collections.abc import Iterable, Mapping, Set
from enum import Enum

__all__ = ["PeerSchedule", "PeerScope"]

#: Intervals between messages to peers of the local region, and to peers of other regions, where
#: traffic is paid for.
LOCAL_INTERVAL_S = 0.1
REMOTE_INTERVAL_S = 0.3
#: Number of peers up to which these intervals apply. With more peers the intervals grow in
#: proportion, so that the rate of messages that a gateway receives stays about the same.
PEERS_AT_FULL_RATE = 8
#: Minimum interval between messages that are sent before they are due, as a share of the interval
#: between messages to local peers.
URGENT_INTERVAL_SHARE = 0.25


class PeerScope(Enum):
    """Where a peer is, which determines how often it is sent the state."""

    LOCAL = "local"
    REMOTE = "remote"


class PeerSchedule:
    """The times at which the peers of one gateway are sent its state.

    What waits is told to planners at once, and to local peers, which send to the same endpoints; a
    change that all must know is told to all. All else is sent at intervals.
    """

    def __init__(self) -> None:
        self._due_s_by_scope = dict.fromkeys(PeerScope, 0.0)
        self._urgent_from_s = 0.0
        self._is_urgent = False
        self._is_demand_urgent = False
        self._asked_hosts: set[str] = set()

    @staticmethod
    def get_interval_s(scope: PeerScope, peers: int) -> float:
        """:return: seconds between messages to the peers of a scope

        :param peers: number of peers in all regions
        """
        interval_s = LOCAL_INTERVAL_S if scope is PeerScope.LOCAL else REMOTE_INTERVAL_S
        return interval_s * max(1.0, peers / PEERS_AT_FULL_RATE)

    def make_urgent(self, is_demand: bool) -> None:
        """Let the state be sent as soon as possible.

        :param is_demand: whether only planners and local peers must know it
        """
        if is_demand:
            self._is_demand_urgent = True
        else:
            self._is_urgent = True

    def ask(self, hosts: Iterable[str]) -> None:
        """Let the state be sent to these hosts immediately, whatever the interval."""
        self._asked_hosts.update(hosts)

    def get_wait_s(self, now_s: float) -> float:
        """:return: seconds until peers are due, or 0 if some are due now"""
        if self._asked_hosts:
            return 0.0
        due_s = list(self._due_s_by_scope.values())
        if self._is_urgent or self._is_demand_urgent:
            due_s.append(self._urgent_from_s)
        return max(0.0, min(due_s) - now_s)

    def take_due(
        self, scope_by_host: Mapping[str, PeerScope], planners: Set[str], now_s: float
    ) -> list[str]:
        """Return the peers that are due, and determine when they are due next.

        :param planners: hosts of the peers that hold the planner's lease
        """
        scopes = {scope for scope, due_s in self._due_s_by_scope.items() if now_s >= due_s}
        urgent_hosts: Set[str] = self._asked_hosts
        self._asked_hosts = set()
        if now_s >= self._urgent_from_s:
            if self._is_urgent:
                scopes = set(PeerScope)
            if self._is_demand_urgent:
                scopes.add(PeerScope.LOCAL)
                urgent_hosts = urgent_hosts | planners
            self._note_urgent(len(scope_by_host), now_s)
        for scope in scopes:
            self._due_s_by_scope[scope] = now_s + self.get_interval_s(scope, len(scope_by_host))
        return [
            host for host, scope in scope_by_host.items() if scope in scopes or host in urgent_hosts
        ]

    def _note_urgent(self, peers: int, now_s: float) -> None:
        if self._is_urgent or self._is_demand_urgent:
            interval_s = self.get_interval_s(PeerScope.LOCAL, peers)
            self._urgent_from_s = now_s + URGENT_INTERVAL_SHARE * interval_s
        self._is_urgent = self._is_demand_urgent = False
