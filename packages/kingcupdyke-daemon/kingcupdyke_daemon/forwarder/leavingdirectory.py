"""
kingcupdyke_daemon.forwarder.leavingdirectory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Notices endpoints that say in their answers that they are leaving, and tells the other gateways.
"""

import logging
from collections.abc import Callable, Iterator, Mapping, Sequence

from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.leavingmessage import LeavingMessage, LeavingReport
from kingcupdyke.forwarding.leavingtable import LeavingProcess
from kingcupdyke.forwarding.metadata import AnswerMetadata
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.peerbroadcast import PeerBroadcast
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import LeavingRecord

__all__ = ["LeavingDirectory"]

_LOGGER = logging.getLogger(__name__)
#: Limit of reports in one message, so that it fits in a datagram.
MAX_MESSAGE_REPORTS = 500


class LeavingDirectory:
    """Records endpoints that are leaving here and at peers.

    :param host: name of this host
    :param endpoint_table: the endpoints
    :param timer: the timer service
    :param list_peers: returns the incarnations of the live peers by host
    :param send: sends a message to a peer; it may be lost
    """

    def __init__(
        self,
        host: str,
        endpoint_table: EndpointTable,
        timer: TimerService,
        list_peers: Callable[[], Mapping[str, str]],
        send: Callable[[str, bytes], None],
    ) -> None:
        self._host = host
        self._endpoint_table = endpoint_table
        self._timer = timer
        self._broadcast = PeerBroadcast("leaving", host, timer, list_peers, send, self._encode_all)

    def note_answer(self, entry: EndpointEntry, answer: AnswerMetadata) -> None:
        """Record that an endpoint is leaving if it says so in an answer.

        :param entry: the entry of the endpoint that was called, from before the call
        """
        if not answer.is_leaving:
            return
        process = LeavingProcess(entry.endpoint, entry.started_ms)
        if answer.endpoint not in ("", entry.endpoint):
            other = self._endpoint_table.state_by_id.get(answer.endpoint)
            if other is None:
                return
            process = LeavingProcess(answer.endpoint, other.entry.started_ms)
        if self._endpoint_table.note_leaving(process):
            _log(process, "")
            self._broadcast.post(self._encode((LeavingReport(*process, 0.0),)))

    def receive(self, message: LeavingMessage) -> None:
        """Process a message of a peer."""
        for process in self._endpoint_table.merge_leaving(message.reports, self._timer.now()):
            _log(process, message.sender)

    def _encode_all(self, now_s: float) -> Iterator[bytes]:
        return self._encode(self._endpoint_table.leaving_table.make_reports(now_s))

    def _encode(self, reports: Sequence[LeavingReport]) -> Iterator[bytes]:
        for start in range(0, len(reports), MAX_MESSAGE_REPORTS):
            part = tuple(reports[start : start + MAX_MESSAGE_REPORTS])
            yield LeavingMessage(self._host, part).encode()


def _log(process: LeavingProcess, peer: str) -> None:
    record = LeavingRecord(process.endpoint, process.started_ms, peer)
    log_record(_LOGGER, "endpoint is leaving", record)
