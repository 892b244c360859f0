"""
kingcupdyke_daemon.forwarder.peerexchanges
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What gateways tell each other besides their states.
"""

from collections.abc import Callable, Mapping

from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.peerstate import PeerTable
from kingcupdyke.forwarding.pinneddemand import PinnedDemandMessage
from kingcupdyke.forwarding.streamorigin import OriginMessage
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.origindirectory import OriginDirectory
from kingcupdyke_daemon.forwarder.peergossip import PeerGossip, PeerMessage
from kingcupdyke_daemon.forwarder.pinneddemands import PinnedDemands

__all__ = ["PeerExchanges"]


class PeerExchanges:
    """The directories that gateways keep together, each with messages of its own.

    :param host: name of this host
    :param dispatcher: this gateway's waiting requests
    :param peers: the peers' states
    :param timer: the timer service
    :param get_gossip: returns the sender and receiver of the messages
    """

    def __init__(
        self,
        host: str,
        dispatcher: Dispatcher,
        peers: PeerTable,
        timer: TimerService,
        get_gossip: Callable[[], PeerGossip],
    ) -> None:
        def post(peer: str, message: bytes) -> None:
            get_gossip().post(peer, message)

        self.origins = OriginDirectory(
            host,
            timer,
            lambda: get_gossip().region,
            lambda: get_gossip().list_live_regions(),
            post,
        )
        self.pinned_demands = PinnedDemands(host, dispatcher, peers, timer, post)

    @property
    def handlers(self) -> Mapping[type[PeerMessage], Callable[[PeerMessage], None]]:
        """:return: the handlers of received messages by the messages' class"""
        return {
            OriginMessage: self.origins.receive,
            PinnedDemandMessage: self.pinned_demands.receive,
        }
