"""
kingcupdyke_daemon.forwarder.enginecalls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The planner's calls to engines: orders, and requests for reports.
"""

import logging
from collections.abc import Callable, Iterable
from contextlib import closing

from anyio.abc import TaskGroup
from expression import Error, Ok, Result

from kingcupdyke.error import AnswerFault, Failure, Outcome, Step
from kingcupdyke.forwarding.endpoint import EndpointEntry, EndpointReport
from kingcupdyke.forwarding.unfinishedparts import UnfinishedPart, UnfinishedParts
from kingcupdyke_daemon.enginerecords import FaultyAnswerRecord
from kingcupdyke_daemon.forwarder.dialect import Dialect
from kingcupdyke_daemon.forwarder.endpointbackoffs import EndpointBackoffs, EndpointCall
from kingcupdyke_daemon.forwarder.leavingdirectory import LeavingDirectory
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.logs import LineSampler
from kingcupdyke_wire.answerlimit import ORDER_ANSWER, REPORT, RefusedAnswerError
from kingcupdyke_wire.http import HttpAnswer, HttpClient

__all__ = ["EngineCalls"]

_LOGGER = logging.getLogger(__name__)
#: Timeouts in seconds for the whole answer to an order, and to a request for a report.
ORDER_TIMEOUT_S = 0.4
REPORT_TIMEOUT_S = 0.6
#: Limit of the lines a second on faulty answers.
MAX_FAULT_LINES_PER_S = 1.0
STATUS_OK = 200


class EngineCalls:
    """Sends the planner's calls to engines, and reads their answers within limits.

    :param leaving: is told of engines that say that they are leaving
    :param backoffs: is told of engines that request backoff
    :param unfinished_parts: counts the bytes of answers, and what decoding them takes
    :param now: returns the time in seconds
    """

    def __init__(
        self,
        dialect: Dialect,
        leaving: LeavingDirectory,
        backoffs: EndpointBackoffs,
        unfinished_parts: UnfinishedParts,
        metrics: ForwarderMetrics,
        now: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._leaving = leaving
        self._backoffs = backoffs
        self._unfinished_parts = unfinished_parts
        self._metrics = metrics
        self._fault_log = LineSampler(now, MAX_FAULT_LINES_PER_S)
        #: HTTP clients by endpoint and address.
        self._http_by_key: dict[tuple[str, tuple[str, int]], HttpClient] = {}

    async def send_order(self, entry: EndpointEntry, body: bytes) -> Result[HttpAnswer, Failure]:
        """Send an order.

        :return: the answer with any status, or a failure
        """
        headers = {"content-type": "application/json"}
        headers |= self._dialect.expect_endpoint(entry.endpoint)
        self._backoffs.note_call(entry.endpoint, EndpointCall.ORDER)
        with closing(self._unfinished_parts.open_part(entry.endpoint)) as part:
            answer = await self._get_http(entry).request(
                "POST",
                self._dialect.order_path,
                headers,
                body,
                ORDER_TIMEOUT_S,
                ORDER_ANSWER,
                part.resize,
            )
        return self._note(entry, EndpointCall.ORDER, answer)

    async def request_report(self, entry: EndpointEntry) -> Result[EndpointReport | None, Failure]:
        """Ask an engine for its report.

        :return: the report, None if the engine answers that it gives none, or a failure
        """
        headers = self._dialect.expect_endpoint(entry.endpoint)
        self._backoffs.note_call(entry.endpoint, EndpointCall.REPORT)
        with closing(self._unfinished_parts.open_part(entry.endpoint)) as part:
            answer = await self._get_http(entry).request(
                "GET",
                self._dialect.report_path,
                headers,
                timeout_s=REPORT_TIMEOUT_S,
                limit=REPORT,
                may_hold=part.resize,
            )
            noted = self._note(entry, EndpointCall.REPORT, answer)
            return noted.bind(lambda each: self._read_report(entry.endpoint, each, part))

    def close_unused(self, known: Iterable[tuple[str, tuple[str, int]]], tasks: TaskGroup) -> None:
        """Close the HTTP clients of engines that were removed or have changed their address.

        :param known: endpoint and address of each engine
        :param tasks: task group that closes them in the background
        """
        for key in self._http_by_key.keys() - set(known):
            tasks.start_soon(self._http_by_key.pop(key).aclose)

    def _read_report(
        self, endpoint: str, answer: HttpAnswer, part: UnfinishedPart
    ) -> Result[EndpointReport | None, Failure]:
        if answer.status != STATUS_OK:
            _LOGGER.info("no report from %s: status %d", endpoint, answer.status)
            return Ok(None)
        report = self._decode_report(endpoint, answer.body, part)
        return report.map_error(lambda failure: self._note_fault(endpoint, failure))

    def _decode_report(
        self, endpoint: str, body: bytes, part: UnfinishedPart
    ) -> Result[EndpointReport, Failure]:
        try:
            decoded_bytes = REPORT.check_decoded(body)
        except RefusedAnswerError as error:
            return Error(_make_failure(endpoint, error.fault, str(error)))
        if not part.resize(len(body) + decoded_bytes):
            reason = "decoding the answer uses too much memory"
            return Error(_make_failure(endpoint, AnswerFault.MEMORY, reason))
        report = self._dialect.decode_report(body)
        return report.map_error(
            lambda failure: _make_failure(endpoint, AnswerFault.FORMAT, failure.reason)
        )

    def _note(
        self, entry: EndpointEntry, call: EndpointCall, answer: Result[HttpAnswer, Failure]
    ) -> Result[HttpAnswer, Failure]:
        """Take what an answer says beside its body into account."""
        if answer.is_error():
            return Error(self._note_fault(entry.endpoint, answer.error))
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.ok.headers.items()
        ]
        metadata = self._dialect.read_answer(headers)
        self._leaving.note_answer(entry, metadata)
        self._backoffs.note_answer(entry, call, answer.ok.status, metadata)
        return answer

    def _note_fault(self, endpoint: str, failure: Failure) -> Failure:
        """Count and log an answer that is none.

        :return: the failure
        """
        if failure.fault is not None:
            self._metrics.count_faulty_answer(failure.fault)
            record = FaultyAnswerRecord(endpoint, failure.fault, failure.reason)
            self._fault_log.log(_LOGGER, "faulty answer", record, logging.WARNING)
        return failure

    def _get_http(self, entry: EndpointEntry) -> HttpClient:
        key = (entry.endpoint, entry.address)
        http = self._http_by_key.get(key)
        if http is None:
            address, port = entry.address
            http = HttpClient(
                f"http://{address}:{port}", ORDER_TIMEOUT_S, entry.endpoint, reuse=True
            )
            self._http_by_key[key] = http
        return http


def _make_failure(endpoint: str, fault: AnswerFault, reason: str) -> Failure:
    return Failure(Outcome.UNKNOWN, Step.RUN, endpoint, reason, fault=fault)
