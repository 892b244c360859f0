"""
kingcupdyke_daemon.forwarder.forwardedrequest
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Forwards one client request, from its route to its answer, to one or more endpoints.
"""

from collections.abc import AsyncIterator
from functools import partial

from anyio import CancelScope, create_task_group, get_cancelled_exc_class, move_on_after
from h11 import Response

from kingcupdyke.forwarding.callertable import Caller
from kingcupdyke.forwarding.configuration import Configuration, Route, RouteKind
from kingcupdyke.forwarding.decision import Refuse, Wait
from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.metadata import ForwardMetadata, RequestMetadata
from kingcupdyke_daemon.forwarder.answerobserver import AnswerObserver
from kingcupdyke_daemon.forwarder.answerrelay import AnswerRelay
from kingcupdyke_daemon.forwarder.attemptfailures import AttemptFailures
from kingcupdyke_daemon.forwarder.attempthistory import AttemptHistory
from kingcupdyke_daemon.forwarder.attemptresult import AttemptResult
from kingcupdyke_daemon.forwarder.connection import (
    EndpointConnection,
    Progress,
    TransferError,
)
from kingcupdyke_daemon.forwarder.crashwatch import CrashWatch
from kingcupdyke_daemon.forwarder.dependencies import ForwarderDependencies
from kingcupdyke_daemon.forwarder.dialect import LAST_EVENT_ID
from kingcupdyke_daemon.forwarder.endpointbackoffs import EndpointCall
from kingcupdyke_daemon.forwarder.exchange import STATUS_MISDIRECTED, Exchange
from kingcupdyke_daemon.forwarder.finalanswer import STATUS_TOO_MANY, FinalAnswer
from kingcupdyke_daemon.forwarder.metrics import RequestTimes
from kingcupdyke_daemon.forwarder.pausemeter import PauseMeter
from kingcupdyke_daemon.forwarder.quotacharge import QuotaCharge, describe_denial
from kingcupdyke_daemon.forwarder.reply import ClientDisconnectedError, ClientRequest, Reply
from kingcupdyke_daemon.forwarder.requestlog import RequestLog, RetryOutcome, SentTo
from kingcupdyke_daemon.forwarder.streamcontinuation import StreamContinuation
from kingcupdyke_daemon.forwarder.workitems import make_work_item
from kingcupdyke_daemon.records import DataAges

__all__ = ["RETRY_AFTER_S", "ForwardedRequest"]

#: Default of the Retry-After header of a rejection.
RETRY_AFTER_S = 0.5
#: Timeout for writing a final answer that the gateway gives itself.
FINAL_ANSWER_TIMEOUT_S = 1.0
METHOD_HEAD = b"HEAD"
#: Lowest status that is treated as a failure of the endpoint.
STATUS_FAILURE = 500


class ForwardedRequest:
    """A request in progress.

    :param deps: collaborators shared by all requests
    :param gateway_count: number of gateways that share the retry budget
    :param configuration: the configuration in force
    :param ages: ages of the data that decisions are based on
    :param route: route of the request
    :param caller: who has sent the request, or None if that is not known
    :param metadata: metadata from the request's headers
    :param reply: writes the answer to the client
    """

    def __init__(
        self,
        deps: ForwarderDependencies,
        gateway_count: int,
        configuration: Configuration,
        ages: DataAges,
        route: Route,
        caller: Caller | None,
        request: ClientRequest,
        metadata: RequestMetadata,
        reply: Reply,
    ) -> None:
        self._deps = deps
        self._route = route
        self._request = request
        self._metadata = metadata
        self._reply = reply
        self._has_callers = configuration.callers is not None
        self._item = make_work_item(request, metadata, route, caller, self._has_callers)
        self._deadline_s = self._item.deadline_s
        reply.attempt_id = self._item.attempt_id
        self._request_log = RequestLog(
            deps, self._item, route.name, configuration.version, ages, metadata.resumes
        )
        self._observer = AnswerObserver(deps, self._request_log)
        #: Cancels the attempts at the deadline, or when the process ends.
        self.scope = CancelScope(deadline=self._deadline_s)
        self._is_given_up = False
        self._history = AttemptHistory(deps, route, gateway_count)
        #: Whether the request was sent to an endpoint whose attempt has not ended.
        self._is_in_flight = False
        self._charge = QuotaCharge(deps.quotas, deps.metrics, caller, metadata)
        self._final_answer = FinalAnswer(reply, deps.dialect, metadata.attempt_id)
        self._failures = AttemptFailures(deps, reply, self._final_answer)
        self._sent_to: list[SentTo] = []
        self._queued_s = 0.0
        self._first_s: float | None = None
        self._pauses = PauseMeter()
        #: Time at which the end of the answer was known, or None before.
        self._decided_s: float | None = None
        self._status = 0
        self._unread_tokens = 0
        #: Exchange of the current attempt, once it has begun.
        self._exchange: Exchange | None = None
        self._watch: CrashWatch | None = None
        is_stream = route.kind is RouteKind.STREAMING
        self._answer = AnswerRelay(
            reply, deps.memory, is_stream, route.is_resumable, self._pin_version
        )
        self._continuation = StreamContinuation(deps, route, metadata, request.headers)

    @property
    def _may_have_run(self) -> bool:
        return self._history.has_run or self._is_in_flight

    async def run(self) -> None:
        """Try endpoints until one answers; ``scope`` cancels this at the deadline."""
        self._deps.budget.count_request(self._item.service, self._deps.timer.now())
        try:
            await self._run_attempts()
        except get_cancelled_exc_class():
            if not self.scope.cancel_called:
                self._log_end("left")
            raise
        finally:
            self._failures.close()
            self._charge.settle(self._may_have_run)

    async def finish(self) -> None:
        """Send a final answer if none was sent, and log how the request ended."""
        if not self._reply.is_complete and not self._is_given_up:
            await self._give_up("the deadline passed")
        self._log_end("answered" if self._reply.is_complete else "cut")

    def _log_end(self, outcome: str) -> None:
        arrived_s = self._request.arrived_s
        first_s = None if self._first_s is None else self._first_s - arrived_s
        now_s = self._deps.timer.now()
        total_s, limit_s = now_s - arrived_s, self._deadline_s - arrived_s
        times = RequestTimes(
            total_s,
            self._request.unread_s,
            first_s,
            self._queued_s,
            self._pauses.longest_s,
            now_s - (self._decided_s or now_s),
            max(0.0, total_s - limit_s),
        )
        end = self._answer.describe_end()
        self._request_log.log_end(
            outcome, self._status, self._failures.reason, tuple(self._sent_to), end, times, limit_s
        )

    async def _run_attempts(self) -> None:
        if self._continuation.is_continued:
            origin = await self._continuation.find_origin(self._item.service)
            if origin.is_error():
                await self._give_up(origin.error.reason)
                return
            self._item = self._item._replace(
                service=origin.ok.service, software_version=origin.ok.software_version
            )
        denied = await self._charge.acquire()
        if denied is not None:
            if denied.is_known:
                self._final_answer.rejection_status = STATUS_TOO_MANY
            rejection = Refuse(describe_denial(denied), denied.retry_after_s)
            self._request_log.log_rejection(rejection)
            await self._give_up(*rejection)
            return
        while True:
            since_s = self._deps.timer.now()
            decision = self._deps.queue.submit(self._item, self._history.excluded)
            if isinstance(decision, Wait):
                self._request_log.log_wait(decision, self._deps.dispatcher.waiting)
                decision = await self._deps.queue.wait(self._item.attempt_id)
            self._queued_s += self._deps.timer.now() - since_s
            if isinstance(decision, Refuse):
                self._request_log.log_rejection(decision)
                self._continuation.note_refused(decision.reason)
                await self._give_up(decision.reason, decision.retry_after_s)
                return
            state = self._deps.endpoint_table.state_by_id.get(decision.endpoint)
            self._request_log.log_send(decision, state, len(self._sent_to))
            software_version = "" if state is None else state.entry.software_version
            self._sent_to.append(SentTo(decision.endpoint, software_version))
            result = await self._try_endpoint(decision.endpoint)
            if result is AttemptResult.DELIVERED:
                self._decided_s = self._deps.timer.now()
                self._note_duration()
                # The endpoint is free, even if a slow client has not read all of its answer.
                await self._answer.end()
                return
            self._is_in_flight = False
            self._history.note_end(decision.endpoint, result)
            outcome = self._history.decide_retry(
                self._item.service, result, self._answer.can_be_continued
            )
            self._request_log.log_failure(decision.endpoint, result, outcome, self._failures.reason)
            if outcome is not RetryOutcome.RETRIED:
                backoff_s = self._deps.dispatcher.find_backoff_s(self._item, self._deps.timer.now())
                await self._give_up(self._failures.reason, max(RETRY_AFTER_S, backoff_s))
                return
            if self._continuation.has_begun:
                proof = await self._continuation.prove()
                if proof.is_error():
                    await self._give_up(proof.error.reason)
                    return

    def _note_duration(self) -> None:
        """Record how long the answer took from when it was asked for, without waits before."""
        request = self._request
        waited_s = request.unread_s + self._queued_s
        seconds = self._deps.timer.now() - request.arrived_s - waited_s
        self._deps.dispatcher.durations.note(self._route.name, seconds)

    async def _give_up(self, reason: str, retry_after_s: float = RETRY_AFTER_S) -> None:
        """Send the final answer of a request that no endpoint has answered."""
        self._is_given_up = True
        self._failures.reason = reason
        self._decided_s = self._deps.timer.now()
        is_late = self._decided_s >= self._deadline_s
        # The request's deadline must not cut off the final answer.
        with move_on_after(FINAL_ANSWER_TIMEOUT_S, shield=True):
            status = await self._final_answer.send(
                reason, retry_after_s, self._may_have_run, is_late
            )
            self._status = self._status if status is None else status

    async def _try_endpoint(self, endpoint: str) -> AttemptResult:
        deps = self._deps
        state = deps.endpoint_table.state_by_id.get(endpoint)
        if state is None or not deps.endpoint_table.may_send(state, deps.timer.now()):
            # The endpoint accepts nothing since it was chosen, which counted the request there.
            deps.dispatcher.cancel(self._item.attempt_id, endpoint)
            return AttemptResult.NOT_SENT
        self._unread_tokens = state.unread_tokens
        self._watch = CrashWatch(deps.crashes, deps.timer, state.entry, self._item)
        deps.limits.tell_sent(state.entry)
        deps.backoffs.note_call(endpoint, EndpointCall.REQUEST)
        sent_s = deps.timer.now()
        connection: EndpointConnection | None = None
        is_reusable = False
        disconnect: ClientDisconnectedError | None = None
        result: AttemptResult | None = None
        try:
            connection = await deps.pool.acquire(
                endpoint,
                state.entry.address,
                not self._history.is_retryable,
                self._metadata.attempt_id,
            )
            if not deps.endpoint_table.may_send(state, deps.timer.now()):
                self._failures.reason = f"endpoint {endpoint} is leaving or has requested backoff"
                return AttemptResult.NOT_SENT
            if not self._continuation.may_send(state.entry, self._sent_to[-1].software_version):
                self._failures.reason = f"endpoint {endpoint} runs other software by now"
                return AttemptResult.NOT_SENT
            async with create_task_group() as tasks:
                try:
                    result, is_reusable = await self._forward(
                        tasks, connection, state.entry, sent_s
                    )
                except TransferError as error:
                    self._watch.note_lost()
                    result = self._failures.note_transfer_error(endpoint, error)
                except ClientDisconnectedError as error:
                    disconnect = error
                tasks.cancel_scope.cancel()
            if disconnect is not None:
                raise disconnect
        except TransferError as error:
            result = self._failures.note_transfer_error(endpoint, error)
        finally:
            with CancelScope(shield=True):
                if connection is not None and not is_reusable:
                    await self._close(connection, state.entry, result is None)
            now_s = deps.timer.now()
            is_answered = result is AttemptResult.DELIVERED
            service = self._item.service
            deps.dispatcher.ended(
                self._item.attempt_id, endpoint, service, now_s - sent_s, now_s, is_answered
            )
            deps.queue.poll(now_s)
        if is_reusable:
            deps.pool.release(endpoint, connection)
        return result

    async def _close(
        self, connection: EndpointConnection, entry: EndpointEntry, is_cancelled: bool
    ) -> None:
        """Close the connection of an attempt; the answer to one that was cancelled may be on its
        way, and say something of the endpoint.
        """
        exchange, self._exchange = self._exchange, None
        if not is_cancelled or exchange is None or exchange.progress is not Progress.SENT:
            await connection.aclose()
            return
        read = partial(exchange.read_head, partial(self._observer.note_any, entry))
        self._deps.pool.close_after(connection, read)

    async def _forward(
        self, tasks: object, connection: EndpointConnection, entry: EndpointEntry, sent_s: float
    ) -> tuple[AttemptResult, bool]:
        """:return: how the attempt ended, and whether the connection can be reused
        :raises TransferError: when the connection breaks
        """
        deps = self._deps
        endpoint = entry.endpoint
        remaining_s = self._deadline_s - deps.timer.now()
        item = self._item
        metadata = ForwardMetadata(
            endpoint, remaining_s, item.priority, item.caller, self._has_callers
        )
        headers = deps.dialect.write_request(self._request.headers, metadata)
        if self._route.is_resumable and self._answer.last_event_id:
            headers = [each for each in headers if each[0] != LAST_EVENT_ID]
            headers.append((LAST_EVENT_ID, self._answer.last_event_id))
        body = self._request.body
        if body or any(name == b"transfer-encoding" for name, _ in self._request.headers):
            headers.append((b"content-length", str(len(body)).encode()))
        elif any(name == b"content-length" for name, _ in self._request.headers):
            headers.append((b"content-length", b"0"))
        method, target = self._request.method, self._request.target
        self._is_in_flight = True
        exchange = Exchange(connection, deps.dialect, self._metadata.attempt_id)
        self._exchange = exchange
        exchange.send(tasks, method, target, headers, body)
        head = await exchange.read_head(partial(self._observer.note_any, entry))
        self._record_activity(endpoint)
        answer = deps.dialect.read_answer(list(head.headers))
        self._observer.note_own(entry, answer)
        if answer.is_not_run or head.status_code == STATUS_MISDIRECTED:
            return await self._failures.handle_not_run(exchange, self._item, endpoint, head, answer)
        if not answer.is_stamped:
            return self._failures.note_unstamped(endpoint, head), False
        self._watch.note_head()
        if head.status_code >= STATUS_FAILURE:
            return await self._failures.keep_answer(exchange, endpoint, head)
        if self._reply.has_begun and not self._answer.is_continuation(head):
            return self._failures.note_other_answer(endpoint, head), False
        result = await self._relay(exchange, entry, head, sent_s)
        deps.endpoint_table.note_success(endpoint)
        self._watch.note_sound()
        return result, True

    async def _relay(
        self, exchange: Exchange, entry: EndpointEntry, head: Response, sent_s: float
    ) -> AttemptResult:
        if not self._reply.has_begun:
            self._status = head.status_code
        await self._answer.relay(
            entry.endpoint,
            head,
            self._read_parts(exchange, entry.endpoint, sent_s),
            partial(self._is_running, entry),
            self._request.method != METHOD_HEAD,
        )
        return AttemptResult.DELIVERED

    async def _is_running(self, entry: EndpointEntry) -> bool:
        """:return: whether a process still listens at an endpoint's address"""
        is_running = await self._deps.pool.is_listening(entry.endpoint, entry.address)
        if not is_running:
            starts = self._deps.endpoint_table.starts
            starts.note_refused(entry.endpoint, self._deps.timer.now(), is_gone=True)
        return is_running

    async def _read_parts(
        self, exchange: Exchange, endpoint: str, sent_s: float
    ) -> AsyncIterator[bytes]:
        """Yield the body of an answer, and record the endpoint's activity."""
        has_first = False
        async for data in exchange.read_body():
            self._pauses.note_read(self._deps.timer.now())
            self._record_activity(endpoint, False)
            self._watch.note_data()
            if not has_first:
                has_first = True
                self._first_s = self._first_s or self._deps.timer.now()
                self._record_first_event(endpoint, sent_s)
            yield data
            self._pauses.note_passed_on(self._answer.has_event, self._deps.timer.now())
            self._record_activity(endpoint)

    def _pin_version(self) -> None:
        """Keep the stream at the software version whose first event is passed on now."""
        if not self._route.is_resumable:
            return
        version = self._sent_to[-1].software_version
        version = self._continuation.begin(self._item.service, version)
        self._item = self._item._replace(software_version=version)

    def _record_activity(self, endpoint: str, is_reading: bool = True) -> None:
        state = self._deps.endpoint_table.state_by_id.get(endpoint)
        if state is not None:
            state.note_active(self._item.attempt_id, is_reading, self._deps.timer.now())

    def _record_first_event(self, endpoint: str, sent_s: float) -> None:
        deps = self._deps
        if self._route.kind is not RouteKind.STREAMING:
            return
        # The client has received the first event: from now on only the deadline applies.
        self._item = self._item._replace(first_by_s=self._deadline_s)
        now_s = deps.timer.now()
        deps.dispatcher.began(
            self._item.attempt_id, endpoint, now_s - sent_s, self._unread_tokens, now_s
        )
        deps.queue.poll(now_s)
