"""
kingcupdyke_daemon.forwarder.storereaders
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lets a few gateways of each region read the store for the others.
"""

import logging
from collections.abc import Callable

from kingcupdyke.forwarding.peerstate import GatewayState, PeerTable
from kingcupdyke.forwarding.storechanges import (
    StoreChanges,
    choose_primary_readers,
    choose_readers,
)
from kingcupdyke.forwarding.watchinterval import choose_watch_timeout
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.peergossip import MAX_DATAGRAM_BYTES, PeerGossip
from kingcupdyke_daemon.forwarder.storewatcher import StoreWatcher

__all__ = ["StoreReaders"]

_LOGGER = logging.getLogger(__name__)
#: Interval between choices of the readers, and between messages of a reader without changes.
UPDATE_INTERVAL_S = 0.5
#: Interval between checks whether changes were missed that peers know.
CHECK_INTERVAL_S = 0.1


class StoreReaders:
    """Decides whether this gateway reads the store itself, and passes changes on if it does.

    A gateway that is not a reader asks the store itself when it misses changes, or hears nothing.
    Kinds that all gateways read have readers too: these tell the others which change they know.

    :param host: name of this host
    :param gossip: sends messages to peers, and knows their regions
    :param peers: the peers' states
    :param followed: watchers of the kinds that are read for others
    :param others: watchers of the kinds that each gateway reads itself
    :param timer: the timer service
    :param get_apply_s: returns the seconds within which a change has to be in force
    """

    def __init__(
        self,
        host: str,
        gossip: PeerGossip,
        peers: PeerTable,
        followed: tuple[StoreWatcher, ...],
        others: tuple[StoreWatcher, ...],
        timer: TimerService,
        get_apply_s: Callable[[], float],
    ) -> None:
        self._host = host
        self._gossip = gossip
        self._peers = peers
        self._timer = timer
        self._get_apply_s = get_apply_s
        self._watcher_by_kind = {each.kind: each for each in (*followed, *others)}
        self._followed_kinds = {each.kind for each in followed}
        #: Kinds that this gateway reads for others, or whose changes it names to them.
        self._read_kinds = set(self._watcher_by_kind)
        for watcher in followed:
            watcher.on_read = self._pass_on
        for watcher in others:
            watcher.on_read = lambda changes: self._pass_on(changes._replace(changes=()))
        for watcher in self._watcher_by_kind.values():
            watcher.set_watch_timeout(choose_watch_timeout(True, get_apply_s()))
        timer.subscribe("store readers", UPDATE_INTERVAL_S, self._update)
        timer.subscribe("missed changes", CHECK_INTERVAL_S, self._check_missed)

    def receive(self, message: StoreChanges) -> None:
        """Process a message of a peer."""
        watcher = self._watcher_by_kind.get(message.kind)
        if watcher is None:
            return
        if watcher.is_following:
            watcher.apply_changes(message)
        watcher.note_known(message.last_change)

    def _update(self, now_s: float) -> None:
        """Choose the readers, and tell the others that this gateway is one."""
        regions = self._gossip.list_live_regions()
        local = [
            each
            for each in self._peers.live(now_s)
            if regions.get(each.host) == self._gossip.region
        ]
        for watcher in self._watcher_by_kind.values():
            self._choose_role(watcher, local)
            if watcher.is_listed and not watcher.is_store_unreachable:
                self._pass_on(watcher.make_changes())

    def _choose_role(self, watcher: StoreWatcher, local: list[GatewayState]) -> None:
        """:param local: states of the live peers of this region"""
        kind = watcher.kind
        is_reader = self._host in choose_readers(kind, self._host, local)
        if is_reader:
            self._read_kinds.add(kind)
        else:
            self._read_kinds.discard(kind)
        if kind in self._followed_kinds:
            watcher.follow(not is_reader)
        is_primary = self._host in choose_primary_readers(kind, self._host, local)
        watcher.set_watch_timeout(choose_watch_timeout(is_primary, self._get_apply_s()))

    def _check_missed(self, now_s: float) -> None:
        for watcher in self._watcher_by_kind.values():
            watcher.check_missed(now_s)

    def _pass_on(self, changes: StoreChanges) -> None:
        """Send changes to the gateways of this region, if this one reads for them."""
        if changes.kind not in self._read_kinds:
            return
        data = changes._replace(sender=self._host).encode()
        if len(data) > MAX_DATAGRAM_BYTES:
            count = len(changes.changes)
            _LOGGER.warning("%d changes of %s are too long for a message", count, changes.kind)
            return
        for host in self._gossip.list_local_hosts():
            self._gossip.post(host, data)
