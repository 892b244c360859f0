"""
kingcupdyke_daemon.forwarder.peerbroadcast
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends facts to all peers so that they have them soon, although messages are lost and peers start.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping

from kingcupdyke.timer import TimerService
from kingcupdyke.util import rank_rendezvous

__all__ = ["PeerBroadcast"]

#: Interval between looks for peers that have started, and for messages that are due.
UPDATE_INTERVAL_S = 0.1
#: Interval between messages with all facts, each to another peer.
REPEAT_INTERVAL_S = 1.0
#: Time after which a new fact is sent again.
RESEND_DELAY_S = 0.2
#: Number of gateways that send a peer all facts when it starts.
NEWCOMER_SENDERS = 3


class PeerBroadcast:
    """Sends new facts to all peers, and all facts to peers that start and to each peer in turn.

    :param name: what the facts are about, unique among the broadcasts
    :param host: name of this host
    :param timer: the timer service
    :param list_peers: returns the incarnations of the live peers by host
    :param send: sends a message to a peer; it may be lost
    :param encode_all: returns messages with all facts at a time in seconds, none if there are none
    """

    def __init__(
        self,
        name: str,
        host: str,
        timer: TimerService,
        list_peers: Callable[[], Mapping[str, str]],
        send: Callable[[str, bytes], None],
        encode_all: Callable[[float], Iterable[bytes]],
    ) -> None:
        self._host = host
        self._list_peers = list_peers
        self._send = send
        self._encode_all = encode_all
        self._incarnation_by_peer: dict[str, str] = {}
        self._repeats = 0
        self._now = timer.now
        #: Messages that are sent again, with the time in seconds of that.
        self._resends: deque[tuple[float, list[bytes]]] = deque()
        timer.subscribe(f"{name} messages", UPDATE_INTERVAL_S, self._update)
        timer.subscribe(f"{name} repeats", REPEAT_INTERVAL_S, self._repeat)

    def post(self, messages: Iterable[bytes], is_resent: bool = True) -> None:
        """Send messages to all peers immediately.

        :param is_resent: whether to send them again after RESEND_DELAY_S; must be False if their
            ages have to be exact
        """
        posted = list(messages)
        self._send_to_all(posted)
        if is_resent:
            self._resends.append((self._now() + RESEND_DELAY_S, posted))

    def _update(self, now_s: float) -> None:
        self._greet_newcomers(now_s)
        while self._resends and self._resends[0][0] <= now_s:
            _, messages = self._resends.popleft()
            self._send_to_all(messages)

    def _send_to_all(self, messages: list[bytes]) -> None:
        peers = list(self._list_peers())
        for data in messages:
            for peer in peers:
                self._send(peer, data)

    def _greet_newcomers(self, now_s: float) -> None:
        """Send all facts to peers that have started, as one of the gateways chosen for that."""
        peers = dict(self._list_peers())
        newcomers = [
            host
            for host, incarnation in peers.items()
            if self._incarnation_by_peer.get(host) != incarnation
        ]
        self._incarnation_by_peer = peers
        for newcomer in newcomers:
            senders = rank_rendezvous(newcomer, {self._host, *peers} - {newcomer})
            if self._host in senders[:NEWCOMER_SENDERS]:
                self._send_all(newcomer, now_s)

    def _repeat(self, now_s: float) -> None:
        """Send all facts to the next peer, as messages may have been lost."""
        peers = sorted(self._list_peers())
        if peers:
            self._repeats += 1
            self._send_all(peers[self._repeats % len(peers)], now_s)

    def _send_all(self, peer: str, now_s: float) -> None:
        for data in self._encode_all(now_s):
            self._send(peer, data)
