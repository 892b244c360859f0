"""
kingcupdyke_daemon.forwarder.forwardedrequest
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One request of a client: from its route to its answer, over one endpoint or several.
"""

from enum import StrEnum
from typing import NamedTuple
from uuid import uuid4

from anyio import CancelScope, create_task_group, get_cancelled_exc_class, move_on_after
from h11 import Response

from kingcupdyke.forwarding.configuration import Route, RouteKind
from kingcupdyke.forwarding.dispatcher import Refuse, Wait, WorkItem
from kingcupdyke.forwarding.endpoint import Replica
from kingcupdyke.forwarding.metadata import AnswerMetadata, ForwardMetadata, RequestMetadata
from kingcupdyke_daemon.forwarder.connection import EndpointConnection, Progress, TransferError
from kingcupdyke_daemon.forwarder.dependencies import ForwarderDependencies
from kingcupdyke_daemon.forwarder.dialect import Headers
from kingcupdyke_daemon.forwarder.events import EventBuffer
from kingcupdyke_daemon.forwarder.metrics import RequestTimes
from kingcupdyke_daemon.forwarder.reply import ClientLeftError, ClientRequest, Reply
from kingcupdyke_daemon.forwarder.requestlog import RepeatOutcome, RequestLog
from kingcupdyke_daemon.records import DataAges

__all__ = ["RETRY_AFTER_S", "STATUS_UNAVAILABLE", "ForwardedRequest"]

#: Headers of an endpoint's answer that concern its connection only.
CONNECTION_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade")
)
#: Seconds after which a caller is asked to come back where nothing better is known.
RETRY_AFTER_S = 0.5
#: Seconds for writing a final answer of the gateway's own.
LAST_WORDS_S = 1.0
#: Largest answer of an endpoint that is kept back while another endpoint is tried.
MOST_KEPT_BYTES = 65_536
STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504
STATUS_MISDIRECTED = 421
#: First status of an endpoint's own failures.
STATUS_FAILURE = 500


class _End(StrEnum):
    """How a request ended at one endpoint."""

    DELIVERED = "delivered"
    #: No byte of it was sent there.
    NOT_SENT = "not_sent"
    #: The endpoint says, or it is certain, that the request did not run there.
    NOT_RUN = "not_run"
    #: The endpoint answered that it failed; the answer is kept.
    FAILED = "failed"
    #: It may have run.
    UNKNOWN = "unknown"
    #: Part of the answer was passed on before it broke off.
    BROKEN = "broken"


class _KeptAnswer(NamedTuple):
    """An endpoint's failure, passed on unless another endpoint does better."""

    status: int
    headers: Headers
    body: bytes


class ForwardedRequest:
    """A request under way."""

    def __init__(
        self,
        parts: ForwarderDependencies,
        gateways: int,
        version: int,
        ages: DataAges,
        route: Route,
        request: ClientRequest,
        terms: RequestMetadata,
        reply: Reply,
    ) -> None:
        self._parts = parts
        self._gateways = gateways
        self._route = route
        self._request = request
        self._terms = terms
        self._reply = reply
        patience_s = route.timeout_s if terms.patience_s is None else terms.patience_s
        self._deadline_s = request.arrived_s + min(patience_s, route.timeout_s)
        self._item = WorkItem(
            attempt_id=terms.attempt_id or uuid4().hex,
            service=route.choose_service(terms.attempt_id),
            model=terms.model,
            adapter=terms.adapter,
            parts=terms.parts,
            prompt_tokens=terms.prompt_tokens,
            output_tokens=terms.output_tokens,
            priority=route.priority,
            arrived_s=request.arrived_s,
            objective_s=request.arrived_s + route.objective_s,
            first_by_s=request.arrived_s + route.first_patience_s,
            deadline_s=self._deadline_s,
        )
        self._log = RequestLog(parts, self._item, route.name, version, ages)
        #: Ends the attempts at the deadline, or when the process ends.
        self.scope = CancelScope(deadline=self._deadline_s)
        self._is_given_up = False
        self._excluded: set[str] = set()
        #: Endpoints at which the request ran or may have run, without the present one.
        self._runs = 0
        #: Whether it was sent to an endpoint that has not answered yet.
        self._is_in_flight = False
        self._kept: _KeptAnswer | None = None
        self._reason = ""
        self._sent_to: list[str] = []
        self._queued_s = 0.0
        self._first_s: float | None = None
        self._status = 0
        self._unread_tokens = 0
        self._events = EventBuffer() if route.is_resumable else None

    @property
    def _may_repeat(self) -> bool:
        return self._route.is_repeatable or self._route.is_resumable

    async def run(self) -> None:
        """Try endpoints until one answers; the scope ends it at the request's deadline."""
        self._parts.budget.count_request(self._item.service, self._parts.timer.now())
        try:
            await self._run_attempts()
        except get_cancelled_exc_class():
            if not self.scope.cancel_called:
                self._log_end("left")
            raise

    async def finish(self) -> None:
        """Send the final answer where none was sent, and log how the request ended."""
        if not self._reply.is_whole and not self._is_given_up:
            await self._give_up("the deadline passed")
        self._log_end("answered" if self._reply.is_whole else "cut")

    def _log_end(self, outcome: str) -> None:
        arrived_s = self._request.arrived_s
        first_s = None if self._first_s is None else self._first_s - arrived_s
        times = RequestTimes(self._parts.timer.now() - arrived_s, first_s, self._queued_s)
        limit_s = self._deadline_s - arrived_s
        self._log.ended(outcome, self._status, self._reason, tuple(self._sent_to), times, limit_s)

    async def _run_attempts(self) -> None:
        while True:
            since_s = self._parts.timer.now()
            decision = self._parts.queue.submit(self._item, frozenset(self._excluded))
            if isinstance(decision, Wait):
                self._log.waits(decision, self._parts.dispatcher.waiting)
                decision = await self._parts.queue.wait(self._item.attempt_id)
            self._queued_s += self._parts.timer.now() - since_s
            if isinstance(decision, Refuse):
                self._log.refused(decision)
                await self._give_up(decision.reason, decision.retry_after_s)
                return
            state = self._parts.board.state_by_id.get(decision.endpoint)
            self._log.sent(decision, state, len(self._sent_to))
            self._sent_to.append(decision.endpoint)
            end = await self._try_endpoint(decision.endpoint)
            if end is _End.DELIVERED:
                return
            self._excluded.add(decision.endpoint)
            self._is_in_flight = False
            if self._events is not None:
                self._events.drop_partial()
            if end not in (_End.NOT_RUN, _End.NOT_SENT):
                self._runs += 1
            outcome = self._try_again(end)
            self._log.ended_at(decision.endpoint, end, outcome, self._reason)
            if outcome is not RepeatOutcome.REPEATED:
                await self._give_up(self._reason)
                return

    def _try_again(self, end: _End) -> RepeatOutcome:
        if end is _End.NOT_SENT:
            return RepeatOutcome.REPEATED
        if end is not _End.NOT_RUN:
            if not self._may_repeat or self._runs >= self._route.max_attempts:
                return RepeatOutcome.NOT_REPEATABLE
            if end is _End.BROKEN and self._events is None:
                return RepeatOutcome.NOT_REPEATABLE
        now_s = self._parts.timer.now()
        is_granted = self._parts.budget.take(self._item.service, self._gateways, now_s)
        self._parts.metrics.count_repeat(self._item.service, is_granted)
        return RepeatOutcome.REPEATED if is_granted else RepeatOutcome.NO_BUDGET

    async def _give_up(self, reason: str, retry_after_s: float = RETRY_AFTER_S) -> None:
        """Send the final answer of a request that no endpoint answers."""
        self._is_given_up = True
        self._reason = reason
        # The deadline must not cut a refusal off.
        with move_on_after(LAST_WORDS_S, shield=True):
            await self._refuse(reason, retry_after_s)

    async def _refuse(self, reason: str, retry_after_s: float) -> None:
        reply = self._reply
        if reply.has_begun:
            return
        if self._kept is not None:
            self._status = self._kept.status
            await reply.answer(self._kept.status, self._kept.headers, self._kept.body)
            return
        write_refusal = self._parts.dialect.write_refusal
        attempt_id = self._terms.attempt_id
        if not self._runs and not self._is_in_flight:
            headers = write_refusal(attempt_id, retry_after_s)
            self._status = STATUS_UNAVAILABLE
            await reply.refuse(self._status, reason, headers)
            return
        is_late = self._parts.timer.now() >= self._deadline_s
        self._status = STATUS_TIMEOUT if is_late else STATUS_BAD_GATEWAY
        await reply.refuse(self._status, reason, write_refusal(attempt_id, None))

    async def _try_endpoint(self, endpoint: str) -> _End:
        parts = self._parts
        state = parts.board.state_by_id.get(endpoint)
        if state is None:
            return _End.NOT_SENT
        address = state.entry.address
        self._unread_tokens = state.unread_tokens
        sent_s = parts.timer.now()
        connection: EndpointConnection | None = None
        is_sound = False
        left: ClientLeftError | None = None
        try:
            connection = await parts.pool.take(endpoint, address, not self._may_repeat)
            async with create_task_group() as tasks:
                try:
                    end, is_sound = await self._forward(tasks, connection, endpoint, sent_s)
                except TransferError as error:
                    end = self._explain(endpoint, error)
                except ClientLeftError as error:
                    left = error
                tasks.cancel_scope.cancel()
            if left is not None:
                raise left
        except TransferError as error:
            end = self._explain(endpoint, error)
        finally:
            with CancelScope(shield=True):
                if connection is not None and not is_sound:
                    await connection.aclose()
            seconds = parts.timer.now() - sent_s
            parts.dispatcher.ended(self._item.attempt_id, endpoint, self._item.service, seconds)
            parts.queue.poll(parts.timer.now())
        if is_sound:
            await parts.pool.give_back(endpoint, connection)
        return end

    def _explain(self, endpoint: str, error: TransferError) -> _End:
        self._reason = f"endpoint {endpoint}: {error.reason}"
        self._parts.board.note_failure(endpoint, self._parts.timer.now(), True)
        if error.progress is Progress.NOT_SENT:
            return _End.NOT_SENT
        return _End.BROKEN if self._reply.has_begun else _End.UNKNOWN

    async def _forward(
        self, tasks: object, connection: EndpointConnection, endpoint: str, sent_s: float
    ) -> tuple[_End, bool]:
        """:return: how it ended, and whether the connection can be used further
        :raises TransferError: when the connection breaks
        """
        parts = self._parts
        left_s = self._deadline_s - parts.timer.now()
        terms = ForwardMetadata(endpoint, left_s, self._route.priority)
        headers = parts.dialect.write_request(self._request.headers, terms)
        if self._events is not None and self._events.last_id:
            headers = [each for each in headers if each[0] != b"last-event-id"]
            headers.append((b"last-event-id", self._events.last_id))
        body = self._request.body
        if body or any(name == b"transfer-encoding" for name, _ in self._request.headers):
            headers.append((b"content-length", str(len(body)).encode()))
        elif any(name == b"content-length" for name, _ in self._request.headers):
            headers.append((b"content-length", b"0"))
        method, target = self._request.method, self._request.target
        self._is_in_flight = True
        connection.send(tasks, method, target, headers, body, self._terms.attempt_id)
        head = await connection.read_head()
        self._hear(endpoint)
        answer = parts.dialect.read_answer(list(head.headers))
        if answer.is_not_run or head.status_code == STATUS_MISDIRECTED:
            return await self._read_not_run(connection, endpoint, head, answer)
        if not answer.is_stamped:
            self._reason = f"endpoint {endpoint}: status {head.status_code} without its mark"
            parts.board.note_failure(endpoint, parts.timer.now(), False)
            return _End.UNKNOWN if not self._reply.has_begun else _End.BROKEN, False
        if head.status_code >= STATUS_FAILURE:
            return await self._keep_failure(connection, endpoint, head)
        if self._reply.has_begun and head.status_code != self._status:
            self._reason = f"endpoint {endpoint}: status {head.status_code} on resuming"
            return _End.BROKEN, False
        end = await self._relay(connection, endpoint, head, sent_s)
        parts.board.note_success(endpoint)
        return end, True

    async def _read_not_run(
        self,
        connection: EndpointConnection,
        endpoint: str,
        head: Response,
        answer: AnswerMetadata,
    ) -> tuple[_End, bool]:
        self._reason = f"endpoint {endpoint}: status {head.status_code}, not run"
        async for _ in connection.read_body():
            pass
        now_s = self._parts.timer.now()
        is_other = answer.endpoint and answer.endpoint != endpoint
        if head.status_code == STATUS_MISDIRECTED and not is_other and self._item.model:
            replica = Replica(endpoint, self._item.model, self._item.adapter)
            self._parts.board.deny_replica(replica, now_s)
        elif head.status_code == STATUS_MISDIRECTED:
            self._parts.board.note_failure(endpoint, now_s, True)
        return _End.NOT_RUN, True

    async def _keep_failure(
        self, connection: EndpointConnection, endpoint: str, head: Response
    ) -> tuple[_End, bool]:
        """Keep an endpoint's failure back while another endpoint may do better."""
        self._parts.board.note_failure(endpoint, self._parts.timer.now(), False)
        self._reason = f"endpoint {endpoint}: status {head.status_code}"
        body = b""
        async for data in connection.read_body():
            body += data
            if len(body) > MOST_KEPT_BYTES:
                return _End.FAILED, False
        if self._reply.has_begun:
            return _End.BROKEN, True
        headers = [each for each in _strip(head) if each[0] != b"content-length"]
        self._kept = _KeptAnswer(head.status_code, headers, body)
        return _End.FAILED, True

    async def _relay(
        self, connection: EndpointConnection, endpoint: str, head: Response, sent_s: float
    ) -> _End:
        reply = self._reply
        has_first = False
        if not reply.has_begun:
            self._status = head.status_code
            await reply.begin(head.status_code, _strip(head))
        async for data in connection.read_body():
            self._hear(endpoint)
            if not has_first:
                has_first = True
                self._first_s = self._first_s or self._parts.timer.now()
                self._note_first(endpoint, sent_s)
            if self._events is not None:
                data = self._events.feed(data)
            if data:
                await reply.write(data)
        if self._events is not None and (rest := self._events.take_rest()):
            await reply.write(rest)
        await reply.end()
        return _End.DELIVERED

    def _hear(self, endpoint: str) -> None:
        state = self._parts.board.state_by_id.get(endpoint)
        if state is not None:
            state.heard_s = self._parts.timer.now()

    def _note_first(self, endpoint: str, sent_s: float) -> None:
        parts = self._parts
        if self._route.kind is not RouteKind.STREAMING:
            return
        # The client has its first event: from now on only the deadline counts.
        self._item = self._item._replace(first_by_s=self._deadline_s)
        seconds = parts.timer.now() - sent_s
        parts.dispatcher.began(self._item.attempt_id, endpoint, seconds, self._unread_tokens)
        parts.queue.poll(parts.timer.now())


def _strip(head: Response) -> Headers:
    return [each for each in head.headers if each[0] not in CONNECTION_HEADERS]
