"""
kingcupdyke_daemon.forwarder.attemptfailures
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Handles the failed attempts of one client request: what the endpoint table learns of the endpoint,
and what is kept for the final answer.
"""

from contextlib import closing

from h11 import Response

from kingcupdyke.forwarding.endpoint import Replica
from kingcupdyke.forwarding.metadata import AnswerMetadata
from kingcupdyke.forwarding.unfinishedparts import UnfinishedPart
from kingcupdyke.forwarding.workitem import WorkItem
from kingcupdyke_daemon.forwarder.answerrelay import decode_headers, strip_headers
from kingcupdyke_daemon.forwarder.attemptresult import AttemptResult
from kingcupdyke_daemon.forwarder.connection import Progress, TransferError
from kingcupdyke_daemon.forwarder.dependencies import ForwarderDependencies
from kingcupdyke_daemon.forwarder.exchange import STATUS_MISDIRECTED, Exchange
from kingcupdyke_daemon.forwarder.finalanswer import FinalAnswer, KeptAnswer
from kingcupdyke_daemon.forwarder.reply import Reply
from kingcupdyke_wire.completeness import find_truncation

__all__ = ["AttemptFailures"]


class AttemptFailures:
    """Failed attempts of one request.

    :param deps: collaborators shared by all requests
    :param reply: writes the answer to the client
    :param final_answer: keeps a failed answer in case no other endpoint answers
    """

    def __init__(
        self, deps: ForwarderDependencies, reply: Reply, final_answer: FinalAnswer
    ) -> None:
        self._deps = deps
        self._reply = reply
        self._final_answer = final_answer
        #: Account of the failed answer that is kept, or None.
        self._kept_part: UnfinishedPart | None = None
        #: Why the request was not answered by the latest attempt, or at all.
        self.reason = ""

    def close(self) -> None:
        """Release the memory of a failed answer that is kept."""
        if self._kept_part is not None:
            self._kept_part.close()

    def note_transfer_error(self, endpoint: str, error: TransferError) -> AttemptResult:
        """Record that the connection to the endpoint broke or could not be opened."""
        self.reason = f"endpoint {endpoint}: {error.reason}"
        self._deps.endpoint_table.note_failure(endpoint, self._deps.timer.now(), True)
        if error.fault is not None:
            self._deps.metrics.count_faulty_answer(error.fault)
        if error.progress is Progress.NOT_SENT:
            self._deps.endpoint_table.starts.note_refused(
                endpoint, self._deps.timer.now(), error.is_refused
            )
            return AttemptResult.NOT_SENT
        self._check_listening(endpoint)
        return AttemptResult.BROKEN if self._reply.has_begun else AttemptResult.UNKNOWN

    def _check_listening(self, endpoint: str) -> None:
        """Find out whether the process that broke the connection has ended: until its next entry,
        another one may answer in its place.
        """
        deps = self._deps
        state = deps.endpoint_table.state_by_id.get(endpoint)
        if state is not None:
            deps.pool.check_listening(
                endpoint,
                state.entry.address,
                lambda: deps.endpoint_table.starts.note_refused(
                    endpoint, deps.timer.now(), is_gone=True
                ),
            )

    def note_unstamped(self, endpoint: str, head: Response) -> AttemptResult:
        """Record an answer that does not carry the server's stamp."""
        self.reason = f"endpoint {endpoint}: status {head.status_code} without the server's stamp"
        self._deps.endpoint_table.note_failure(endpoint, self._deps.timer.now(), False)
        return AttemptResult.BROKEN if self._reply.has_begun else AttemptResult.UNKNOWN

    def note_other_answer(self, endpoint: str, head: Response) -> AttemptResult:
        """Record an answer that does not continue the stream that was begun."""
        self.reason = f"endpoint {endpoint}: status {head.status_code}, which continues no stream"
        self._deps.endpoint_table.note_failure(endpoint, self._deps.timer.now(), False)
        return AttemptResult.FAILED

    async def handle_not_run(
        self,
        exchange: Exchange,
        item: WorkItem,
        endpoint: str,
        head: Response,
        answer: AnswerMetadata,
    ) -> tuple[AttemptResult, bool]:
        """Record that the endpoint has not run the request.

        :return: how the attempt ended, and whether the connection can be reused
        """
        self.reason = f"endpoint {endpoint}: status {head.status_code}, not run"
        with closing(self._deps.memory.unfinished_parts.open_part(endpoint)) as part:
            is_reusable = await exchange.read_short_body(part) is not None
        now_s = self._deps.timer.now()
        self._deps.endpoint_table.note_rejection(endpoint, now_s)
        is_other = answer.endpoint and answer.endpoint != endpoint
        if head.status_code == STATUS_MISDIRECTED and not is_other and item.model:
            replica = Replica(endpoint, item.model, item.adapter)
            self._deps.endpoint_table.deny_replica(replica, now_s)
        elif head.status_code == STATUS_MISDIRECTED:
            self._deps.endpoint_table.note_failure(endpoint, now_s, True)
        return AttemptResult.NOT_RUN, is_reusable

    async def keep_answer(
        self, exchange: Exchange, endpoint: str, head: Response
    ) -> tuple[AttemptResult, bool]:
        """Keep a failed answer, which is passed on only if no other endpoint answers.

        :return: how the attempt ended, and whether the connection can be reused
        """
        self._deps.endpoint_table.note_failure(endpoint, self._deps.timer.now(), False)
        self.reason = f"endpoint {endpoint}: status {head.status_code}"
        self.close()
        self._kept_part = self._deps.memory.unfinished_parts.open_part(endpoint)
        body = await exchange.read_short_body(self._kept_part)
        if body is None:
            return AttemptResult.FAILED, False
        if self._reply.has_begun:
            return AttemptResult.BROKEN, True
        headers = [each for each in strip_headers(head) if each[0] != b"content-length"]
        if reason := find_truncation(decode_headers(head), body):
            self.reason = f"endpoint {endpoint}: status {head.status_code}, {reason}"
            return AttemptResult.FAILED, False
        self._final_answer.kept = KeptAnswer(head.status_code, headers, body)
        return AttemptResult.FAILED, True
