"""
kingcupdyke_daemon.forwarder.endpointbackoffs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Notices endpoints that request backoff in their answers.
"""

import logging
from enum import StrEnum

from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.metadata import AnswerMetadata
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import BackoffRecord

__all__ = ["EndpointBackoffs", "EndpointCall"]

_LOGGER = logging.getLogger(__name__)
#: Status of answers whose Retry-After is a request for backoff. That of a 429 is about the request
#: that it rejects (RFC 6585, section 4): the endpoint accepts others.
STATUS_UNAVAILABLE = 503


class EndpointCall(StrEnum):
    """What a gateway sends to an endpoint."""

    REQUEST = "request"
    ORDER = "order"
    REPORT = "report"


class EndpointBackoffs:
    """Records the backoff that endpoints request, and counts the calls that do not keep it.

    :param endpoint_table: the endpoints, with the backoff that is known here
    :param timer: the timer service
    """

    def __init__(
        self, endpoint_table: EndpointTable, timer: TimerService, metrics: ForwarderMetrics
    ) -> None:
        self._endpoint_table = endpoint_table
        self._table = endpoint_table.backoff_table
        self._timer = timer
        self._metrics = metrics

    def note_answer(
        self, entry: EndpointEntry, call: EndpointCall, status: int, answer: AnswerMetadata
    ) -> None:
        """Record the backoff that an answer requests, if any.

        :param entry: the entry of the endpoint that was called, from before the call
        """
        if status != STATUS_UNAVAILABLE or answer.retry_after_s is None:
            return
        endpoint = answer.endpoint or entry.endpoint
        if endpoint != entry.endpoint and not self._is_listed(endpoint, entry.address):
            return
        is_longer = self._table.note(endpoint, answer.retry_after_s, self._timer.now())
        self._metrics.count_backoff(call)
        if is_longer:
            record = BackoffRecord(endpoint, call, answer.retry_after_s)
            log_record(_LOGGER, "endpoint requests backoff", record)

    def _is_listed(self, endpoint: str, address: tuple[str, int]) -> bool:
        """:return: whether an endpoint is listed at the address that has answered"""
        state = self._endpoint_table.state_by_id.get(endpoint)
        return state is not None and state.entry.address == address

    def note_call(self, endpoint: str, call: EndpointCall) -> None:
        """Count a call to an endpoint that has requested backoff until later."""
        if self._table.find_delay(endpoint, self._timer.now()):
            self._metrics.count_call_in_backoff(call)
