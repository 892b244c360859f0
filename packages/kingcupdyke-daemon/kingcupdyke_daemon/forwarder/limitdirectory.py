"""
kingcupdyke_daemon.forwarder.limitdirectory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells the other gateways which limits endpoints name, and what was sent to these endpoints.
"""

import logging
from collections.abc import Callable, Collection, Mapping

from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.limitmessage import LimitMessage
from kingcupdyke.forwarding.limittable import LimitTable
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import LimitRecord

__all__ = ["LimitDirectory"]

_LOGGER = logging.getLogger(__name__)
#: Interval between updates of the gateways that share the limits.
UPDATE_INTERVAL_S = 0.1
#: Interval between messages with all limits, as messages may have been lost.
REPEAT_INTERVAL_S = 0.5
#: Number of peers up to which this interval applies; with more it grows in proportion.
PEERS_AT_FULL_RATE = 8


class LimitDirectory:
    """Keeps the limits of endpoints together with the peers.

    :param host: name of this host
    :param incarnation: identifies this start of the process
    :param table: the limits that are known here
    :param endpoint_table: the endpoints
    :param timer: the timer service
    :param list_peers: returns the incarnations of the live peers by host
    :param count_gateways: returns the number of gateways that the store lists
    :param send: sends a message to a peer; it may be lost
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        table: LimitTable,
        endpoint_table: EndpointTable,
        timer: TimerService,
        list_peers: Callable[[], Mapping[str, str]],
        count_gateways: Callable[[], int],
        send: Callable[[str, bytes], None],
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._table = table
        self._endpoint_table = endpoint_table
        self._timer = timer
        self._list_peers = list_peers
        self._count_gateways = count_gateways
        self._send = send
        self._message_number = 0
        self._next_repeat_s = 0.0
        timer.subscribe("limits", UPDATE_INTERVAL_S, self._update)

    def note_answer(self, entry: EndpointEntry, limit_per_s: float | None) -> None:
        """Record the limit that an endpoint has named in an answer, or that it named none."""
        now_s = self._timer.now()
        if self._table.note_answer(entry, limit_per_s, now_s):
            self._log(entry.endpoint, limit_per_s, "")
            self._post(self._list_peers(), now_s)

    def tell_sent(self, entry: EndpointEntry) -> None:
        """Tell the peers that send to an endpoint with a limit that this gateway has sent too."""
        limit_per_s = self._table.get_limit(entry)
        if limit_per_s is not None:
            senders = self._table.list_senders(entry.endpoint, limit_per_s)
            self._post(set(senders) & set(self._list_peers()), self._timer.now())

    def receive(self, message: LimitMessage) -> None:
        """Process a message of a peer."""
        if not self._table.merge(message, self._timer.now()):
            return
        for each in message.reports:
            self._log(each.endpoint, each.limit_per_s, message.sender)

    def _update(self, now_s: float) -> None:
        peers = self._list_peers()
        self._table.set_gateways(self._host, peers, self._count_gateways())
        states = self._endpoint_table.state_by_id.values()
        self._table.drop_expired([each.entry for each in states], now_s)
        if now_s >= self._next_repeat_s:
            slowdown = max(1.0, len(peers) / PEERS_AT_FULL_RATE)
            self._next_repeat_s = now_s + REPEAT_INTERVAL_S * slowdown
            self._post(peers, now_s)

    def _post(self, peers: Collection[str], now_s: float) -> None:
        reports = self._table.make_reports(now_s)
        if not reports:
            return
        self._message_number += 1
        message = LimitMessage(self._host, self._incarnation, self._message_number, reports)
        data = message.encode()
        for peer in peers:
            self._send(peer, data)

    @staticmethod
    def _log(endpoint: str, limit_per_s: float | None, peer: str) -> None:
        limit = -1.0 if limit_per_s is None else limit_per_s
        log_record(_LOGGER, "limit of endpoint changed", LimitRecord(endpoint, limit, peer))
