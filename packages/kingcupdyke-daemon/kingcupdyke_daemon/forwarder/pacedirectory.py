"""
kingcupdyke_daemon.forwarder.pacedirectory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells the other gateways of endpoints that start or recover, and logs these.
"""

import logging
from collections.abc import Callable, Collection, Mapping
from math import inf

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
    of them share a small window; all others at the interval for the number of peers. A message
    contains what is new since the one before the last, as one of them may be lost. All hear
    immediately of endpoints that go down, are back, or no longer need a window.

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
        self._for_peers = _Audience()
        self._for_senders = _Audience()
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
        if urgent := table.take_urgent():
            self._post(peers, -inf, now_s, urgent)
        if now_s >= self._for_peers.due_s:
            since_s = self._for_peers.note_message(len(peers), now_s)
            # The senders are among them.
            self._for_senders.note_message(len(peers), now_s)
            self._post(peers, since_s, now_s)
        elif now_s >= self._for_senders.due_s:
            senders = table.list_senders(now_s) & peers.keys()
            self._post(senders, self._for_senders.note_message(len(senders), now_s), now_s)

    def _post(
        self,
        peers: Collection[str],
        since_s: float,
        now_s: float,
        endpoints: Collection[str] | None = None,
    ) -> None:
        reports = self._table.make_reports(since_s, now_s, endpoints)
        if not reports:
            return
        data = PaceMessage(self._host, self._incarnation, reports).encode()
        for peer in peers:
            self._send(peer, data)


class _Audience:
    """Receivers of messages, with the times of the last two messages and of the next one."""

    def __init__(self) -> None:
        self.due_s = 0.0
        self._last_s = -inf
        self._before_last_s = -inf

    def note_message(self, receivers: int, now_s: float) -> float:
        """Record that a message is sent now.

        :param receivers: number of its receivers
        :return: time since which its news are
        """
        since_s = self._before_last_s
        self._before_last_s, self._last_s = self._last_s, now_s
        slowdown = max(1.0, receivers / PEERS_AT_FULL_RATE)
        self.due_s = now_s + MESSAGE_INTERVAL_S * slowdown
        return since_s


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
