"""
kingcupdyke_daemon.forwarder.pacedirectory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells the other gateways of endpoints that start or recover, and logs these.
"""

import logging
from collections.abc import Callable, Collection, Mapping

from kingcupdyke.forwarding.pacemessage import PaceMessage
from kingcupdyke.forwarding.pacetable import PaceEvent, PaceTable
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import PaceRecord

__all__ = ["PaceDirectory"]

_LOGGER = logging.getLogger(__name__)
#: Interval between updates of the windows.
UPDATE_INTERVAL_S = 0.1
#: Interval between messages while an endpoint starts or recovers.
MESSAGE_INTERVAL_S = 0.25
#: Number of receivers up to which this interval applies; with more it grows in proportion.
PEERS_AT_FULL_RATE = 8


class PaceDirectory:
    """Keeps the windows of endpoints that start or recover together with the peers.

    The gateways that send to such an endpoint hear of it at the interval for their number, as few
    of them share a small window; all others at the interval for the number of peers.

    :param host: name of this host
    :param incarnation: identifies this start of the process
    :param table: the windows that are known here
    :param timer: the timer service
    :param list_peers: returns the incarnations of the live peers by host
    :param count_gateways: returns the number of gateways that the store lists
    :param send: sends a message to a peer; it may be lost
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        table: PaceTable,
        timer: TimerService,
        list_peers: Callable[[], Mapping[str, str]],
        count_gateways: Callable[[], int],
        send: Callable[[str, bytes], None],
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._table = table
        self._timer = timer
        self._list_peers = list_peers
        self._count_gateways = count_gateways
        self._send = send
        self._next_sender_s = 0.0
        self._next_peer_s = 0.0
        timer.subscribe("pace", UPDATE_INTERVAL_S, self._update)

    def receive(self, message: PaceMessage) -> None:
        """Process a message of a peer."""
        self._table.merge(message, self._timer.now())

    def _update(self, now_s: float) -> None:
        table = self._table
        peers = self._list_peers()
        table.set_gateways(self._host, peers, self._count_gateways())
        if not table.is_active:
            return
        table.update(now_s)
        for event in table.take_events():
            _log(event)
        is_urgent = table.take_urgent()
        if is_urgent or now_s >= self._next_peer_s:
            self._next_peer_s = now_s + _get_interval_s(len(peers))
            self._post(peers, now_s)
        elif now_s >= self._next_sender_s:
            senders = table.list_senders(now_s) & peers.keys()
            self._next_sender_s = now_s + _get_interval_s(len(senders))
            self._post(senders, now_s)

    def _post(self, peers: Collection[str], now_s: float) -> None:
        reports = self._table.make_reports(now_s)
        if not reports:
            return
        data = PaceMessage(self._host, self._incarnation, reports).encode()
        for peer in peers:
            self._send(peer, data)


def _get_interval_s(receivers: int) -> float:
    return MESSAGE_INTERVAL_S * max(1.0, receivers / PEERS_AT_FULL_RATE)


def _log(event: PaceEvent) -> None:
    text = "pace of endpoint begins" if event.is_begin else "pace of endpoint ends"
    record = PaceRecord(
        event.endpoint,
        event.reason,
        round(event.window, 1),
        event.successes,
        event.failures,
        round(event.end_window, 1) if event.end_window < float("inf") else -1.0,
        round(event.seconds * 1000),
    )
    log_record(_LOGGER, text, record)
