"""
kingcupdyke_daemon.forwarder.pinneddemands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports to the planner which models streams wait for at one software version.
"""

from collections.abc import Callable

from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.peerstate import PeerTable
from kingcupdyke.forwarding.pinneddemand import (
    PinnedDemand,
    PinnedDemandMessage,
    PinnedDemandTable,
)
from kingcupdyke.timer import TimerService

__all__ = ["PinnedDemands"]

#: Interval between reports while streams wait.
REPORT_INTERVAL_S = 0.1


class PinnedDemands:
    """Sends this gateway's pinned demand to the planner and receives that of its peers.

    :param host: name of this host
    :param dispatcher: this gateway's waiting requests
    :param peers: the peers' states, which name the planner
    :param timer: the timer service
    :param send: sends a message to a peer; it may be lost
    """

    def __init__(
        self,
        host: str,
        dispatcher: Dispatcher,
        peers: PeerTable,
        timer: TimerService,
        send: Callable[[str, bytes], None],
    ) -> None:
        self._host = host
        self._dispatcher = dispatcher
        self._peers = peers
        self._timer = timer
        self._send = send
        self._table = PinnedDemandTable()
        timer.subscribe("pinned demand", REPORT_INTERVAL_S, self._report)

    def receive(self, message: PinnedDemandMessage) -> None:
        """Process the report of a peer."""
        self._table.put(message, self._timer.now())

    def list(self) -> list[PinnedDemand]:
        """:return: the pinned demand at this gateway and at its peers"""
        own = self._dispatcher.list_pinned_demands()
        return [*own, *self._table.list(self._timer.now())]

    def _report(self, now_s: float) -> None:
        demands = self._dispatcher.list_pinned_demands()
        if not demands:
            return
        message = PinnedDemandMessage(self._host, demands).encode()
        for peer in self._peers.live(now_s):
            if peer.fence:
                self._send(peer.host, message)
