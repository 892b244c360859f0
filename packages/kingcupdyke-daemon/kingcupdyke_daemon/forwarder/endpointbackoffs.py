"""
kingcupdyke_daemon.forwarder.endpointbackoffs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Notices endpoints that request backoff in their answers.
"""

import logging
from enum import StrEnum

from kingcupdyke.forwarding.backofftable import BackoffTable
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

    :param table: the backoff that is known here
    :param timer: the timer service
    """

    def __init__(self, table: BackoffTable, timer: TimerService, metrics: ForwarderMetrics) -> None:
        self._table = table
        self._timer = timer
        self._metrics = metrics

    def note_answer(
        self, endpoint: str, call: EndpointCall, status: int, answer: AnswerMetadata
    ) -> None:
        """Record the backoff that an answer requests, if any.

        :param endpoint: id of the endpoint that was called; the answer may name another one
        """
        if status != STATUS_UNAVAILABLE or answer.retry_after_s is None:
            return
        endpoint = answer.endpoint or endpoint
        is_longer = self._table.note(endpoint, answer.retry_after_s, self._timer.now())
        self._metrics.count_backoff(call)
        if is_longer:
            record = BackoffRecord(endpoint, call, answer.retry_after_s)
            log_record(_LOGGER, "endpoint requests backoff", record)

    def note_call(self, endpoint: str, call: EndpointCall) -> None:
        """Count a call to an endpoint that has requested backoff until later."""
        if self._table.find_delay(endpoint, self._timer.now()):
            self._metrics.count_call_in_backoff(call)
