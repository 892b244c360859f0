"""
kingcupdyke_daemon.forwarder.requestlog
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Logs and counts the decisions on one request.
"""

import logging
from enum import StrEnum
from typing import NamedTuple

from kingcupdyke.forwarding.decision import Refuse, Send, Wait
from kingcupdyke.forwarding.endpointstate import EndpointState
from kingcupdyke.forwarding.workitem import WorkItem
from kingcupdyke_daemon.forwarder.answerrelay import AnswerEnd
from kingcupdyke_daemon.forwarder.dependencies import ForwarderDependencies
from kingcupdyke_daemon.forwarder.metrics import RequestTimes
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import (
    DataAges,
    RequestRecord,
    RetryRecord,
    SendRecord,
    WaitRecord,
)

__all__ = ["RetryOutcome", "RequestLog", "SentTo"]

_LOGGER = logging.getLogger(__name__)
#: Lowest status of a failure. The log lines of failures are never sampled.
STATUS_FAILURE = 400


class RetryOutcome(StrEnum):
    """Whether a request that failed at an endpoint is retried."""

    RETRIED = "repeated"
    NOT_RETRYABLE = "not repeatable"
    NO_BUDGET = "no budget"


class SentTo(NamedTuple):
    """An endpoint that a request was sent to."""

    endpoint: str
    #: Version of the endpoint's software, or empty if its entry is gone.
    software_version: str


class RequestLog:
    """Writes one log line for each decision on a request.

    :param route: name of the request's route
    :param version: version of the configuration in force when the request arrived
    :param ages: ages of the data that decisions are based on, when the request arrived
    :param resumes: id of the attempt whose stream the request continues, or empty
    """

    def __init__(
        self,
        deps: ForwarderDependencies,
        item: WorkItem,
        route: str,
        version: int,
        ages: DataAges,
        resumes: str,
    ) -> None:
        self._metrics = deps.metrics
        self._sampler = deps.sampler
        self._item = item
        self._route = route
        self._version = version
        self._ages = ages
        self._resumes = resumes
        #: Limit of requests a second that the endpoint named in its last answer, or None.
        self.limit_per_s: float | None = None
        #: Endpoints that have said in an answer that they are leaving.
        self.leaving: list[str] = []

    def log_wait(self, decision: Wait, waiting: int) -> None:
        """Log that the request starts to wait.

        :param waiting: number of requests waiting at this gateway
        """
        self._metrics.count_decision(self._route, "wait", decision.reason)
        item = self._item
        record = WaitRecord(
            item.attempt_id,
            item.model,
            item.adapter,
            decision.reason,
            waiting,
            self._ages.list_ms,
        )
        self._sampler.log(_LOGGER, "request waits", record)

    def log_rejection(self, decision: Refuse) -> None:
        """Count that the request is rejected; :meth:`log_end` logs the reason."""
        self._metrics.count_decision(self._route, "refuse", decision.reason)

    def log_send(self, decision: Send, state: EndpointState | None, sends_before: int) -> None:
        """Log that the request is sent to an endpoint."""
        self._metrics.count_decision(self._route, "send")
        record = SendRecord(
            request=self._item.attempt_id,
            endpoint=decision.endpoint,
            software_version="" if state is None else state.entry.software_version,
            sends_before=sends_before,
            choices=decision.choices,
            cost_ms=round(decision.cost_s * 1000),
            endpoint_requests=0 if state is None else state.requests,
            endpoint_tokens=0 if state is None else state.unread_tokens,
            list_age_ms=self._ages.list_ms,
        )
        self._sampler.log(_LOGGER, "request sent", record)

    def log_failure(
        self, endpoint: str, attempt_result: str, outcome: RetryOutcome, reason: str
    ) -> None:
        """Log that the request failed at an endpoint."""
        record = RetryRecord(self._item.attempt_id, endpoint, attempt_result, outcome, reason)
        log_record(_LOGGER, "request failed at endpoint", record)

    def log_end(
        self,
        outcome: str,
        status: int,
        reason: str,
        sends: tuple[SentTo, ...],
        end: AnswerEnd,
        times: RequestTimes,
        limit_s: float,
    ) -> None:
        """Log how the request ended.

        :param sends: endpoints that the request was sent to, in order
        :param end: how the last answer of an endpoint ended
        :param limit_s: seconds from its arrival to its deadline
        """
        self._metrics.record_request(self._route, outcome, status, times)
        if self._item.caller:
            self._metrics.count_caller_request(self._item.caller, outcome, status)
        self._metrics.count_answer(self._route, end.framing, end.partial_bytes > 0)
        first_s = times.first_s
        pause_s = times.longest_pause_s
        record = RequestRecord(
            request=self._item.attempt_id,
            route=self._route,
            version=self._version,
            version_age_ms=self._ages.version_ms,
            list_age_ms=self._ages.list_ms,
            model=self._item.model,
            adapter=self._item.adapter,
            parts=self._item.part_ids,
            fingerprint=self._item.fingerprint,
            resumes=self._resumes,
            endpoints=tuple(each.endpoint for each in sends),
            software_versions=tuple(each.software_version for each in sends),
            status=status,
            outcome=outcome,
            reason=reason,
            queued_ms=round(times.queued_s * 1000),
            first_ms=-1 if first_s is None else round(first_s * 1000),
            total_ms=round(times.total_s * 1000),
            limit_ms=round(limit_s * 1000),
            framing=end.framing,
            events=end.events,
            partial_bytes=end.partial_bytes,
            limit_per_s=-1.0 if self.limit_per_s is None else self.limit_per_s,
            leaving=tuple(self.leaving),
            caller=self._item.caller,
            longest_pause_ms=-1 if pause_s is None else round(pause_s * 1000),
            unread_ms=round(times.unread_s * 1000),
            writing_ms=round(times.writing_s * 1000),
        )
        if outcome == "answered" and status < STATUS_FAILURE:
            self._sampler.log(_LOGGER, "request ended", record)
        else:
            log_record(_LOGGER, "request ended", record)
