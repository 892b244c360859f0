"""
kingcupdyke_daemon.forwarder.plannercandidacy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which gateways contend for the planner's lease, and which may hold it.
"""

from kingcupdyke.forwarding.peerstate import PeerTable
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.catalogue import Catalogue
from kingcupdyke_daemon.forwarder.peergossip import PeerGossip
from kingcupdyke_daemon.forwarder.plannerlease import MAX_UNRENEWED_LEASE_S
from kingcupdyke_wire.store import StoreClient

__all__ = ["PlannerCandidacy"]

#: Number of gateways that contend for the planner's lease.
MAX_CANDIDATES = 2


class PlannerCandidacy:
    """What one gateway knows of the others with regard to the planner's lease.

    :param host: name of this host
    :param peers: the peers' states
    :param gossip: knows the gateways that the store lists
    :param catalogue: knows whether the endpoints have been read
    :param store: tells the store's era
    :param timer: the timer service
    """

    def __init__(
        self,
        host: str,
        peers: PeerTable,
        gossip: PeerGossip,
        catalogue: Catalogue,
        store: StoreClient,
        timer: TimerService,
    ) -> None:
        self._host = host
        self._peers = peers
        self._gossip = gossip
        self._catalogue = catalogue
        self._store = store
        self._now = timer.now
        #: Whether this gateway is stopping and will not take the lease.
        self.is_stopping = False

    def list_members(self) -> tuple[str, ...]:
        """:return: hosts of live gateways that are not stopping, this one included, on whose
        promises the lease is to rely
        """
        hosts = self._peers.list_hosts(False, self._now())
        return tuple(sorted(hosts | {self._host}))

    def list_stopping(self) -> set[str]:
        """:return: hosts of live gateways that are stopping and will not take the lease"""
        return self._peers.list_hosts(True, self._now())

    def list_rivals(self) -> set[str]:
        """:return: hosts that may hold a lease that the store has lost, this one among them while
        it does not know the others
        """
        if not self._gossip.is_listed:
            return {self._host}
        listed = self._gossip.list_hosts()
        return self._peers.list_unaware(listed, self._store.era, self._now(), MAX_UNRENEWED_LEASE_S)

    def is_candidate(self) -> bool:
        """:return: whether this gateway is one of those that contend for the lease"""
        if self.is_stopping or not self._catalogue.endpoints.is_listed:
            return False
        hosts = self._peers.list_hosts(False, self._now())
        return sum(host < self._host for host in hosts) < MAX_CANDIDATES
