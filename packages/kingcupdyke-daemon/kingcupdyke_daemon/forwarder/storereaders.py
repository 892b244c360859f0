"""
kingcupdyke_daemon.forwarder.storereaders
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lets a few gateways of each region read the store for the others.
"""

import logging

from kingcupdyke.forwarding.peerstate import PeerTable
from kingcupdyke.forwarding.storechanges import StoreChanges, choose_readers
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.peergossip import MAX_DATAGRAM_BYTES, PeerGossip
from kingcupdyke_daemon.forwarder.storewatcher import StoreWatcher

__all__ = ["StoreReaders"]

_LOGGER = logging.getLogger(__name__)
#: Interval between choices of the readers, and between messages of a reader without changes.
UPDATE_INTERVAL_S = 0.5


class StoreReaders:
    """Decides whether this gateway reads the store itself, and passes changes on if it does.

    A gateway that is not a reader asks the store itself when it misses changes, or hears nothing.

    :param host: name of this host
    :param gossip: sends messages to peers, and knows their regions
    :param peers: the peers' states
    :param watchers: watchers of the kinds that are read for others
    :param timer: the timer service
    """

    def __init__(
        self,
        host: str,
        gossip: PeerGossip,
        peers: PeerTable,
        watchers: tuple[StoreWatcher, ...],
        timer: TimerService,
    ) -> None:
        self._host = host
        self._gossip = gossip
        self._peers = peers
        self._timer = timer
        self._watcher_by_kind = {each.kind: each for each in watchers}
        for watcher in watchers:
            watcher.on_read = self._pass_on
        timer.subscribe("store readers", UPDATE_INTERVAL_S, self._update)

    def receive(self, message: StoreChanges) -> None:
        """Process a message of a peer."""
        watcher = self._watcher_by_kind.get(message.kind)
        if watcher is not None and watcher.is_following:
            watcher.apply_changes(message)

    def _update(self, now_s: float) -> None:
        """Choose the readers, and tell the others that this gateway is one."""
        regions = self._gossip.list_live_regions()
        local = [
            each
            for each in self._peers.live(now_s)
            if regions.get(each.host) == self._gossip.region
        ]
        for kind, watcher in self._watcher_by_kind.items():
            watcher.follow(self._host not in choose_readers(kind, self._host, local))
            if watcher.is_listed and not watcher.is_store_unreachable:
                self._pass_on(watcher.make_changes())

    def _pass_on(self, changes: StoreChanges) -> None:
        """Send changes to the gateways of this region, if this one reads for them."""
        if self._watcher_by_kind[changes.kind].is_following:
            return
        data = changes._replace(sender=self._host).encode()
        if len(data) > MAX_DATAGRAM_BYTES:
            count = len(changes.changes)
            _LOGGER.warning("%d changes of %s are too long for a message", count, changes.kind)
            return
        for host in self._gossip.list_local_hosts():
            self._gossip.post(host, data)
