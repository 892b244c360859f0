"""
kingcupdyke_daemon.gateway.call
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One caller's request from admission to its final answer.
"""

import logging
from collections.abc import Callable
from contextlib import aclosing
from math import ceil
from random import Random
from typing import NamedTuple
from uuid import uuid4

from expression import Error, Ok, Result

from kingcupdyke.answer import AnswerAssembler
from kingcupdyke.budget import RetryBudget
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.request import Request
from kingcupdyke.retry import GiveUp, Retry, RetryPolicy
from kingcupdyke.routing import Choice, Router
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.gateway.admission import AdmissionController
from kingcupdyke_daemon.gateway.directory import EndpointDirectory
from kingcupdyke_daemon.gateway.link import SidecarLink
from kingcupdyke_daemon.gateway.reply import make_rejection
from kingcupdyke_daemon.gateway.sink import CallerSink
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.metrics import DaemonMetrics
from kingcupdyke_daemon.records import RetryRecord
from kingcupdyke_wire.sidecar_pb2 import RunReply, RunRequest

__all__ = ["Call", "CallHandler", "CallDependencies"]

_LOGGER = logging.getLogger(__name__)
#: Largest deadline that the uint32 field of a RunRequest can hold.
_MAX_DEADLINE_MS = (1 << 32) - 1


class Call(NamedTuple):
    """A caller's request with the data that is forwarded to a sidecar."""

    request: Request
    #: Whether the target is a service rather than a model.
    service: bool
    method: str
    path: str
    content_type: str
    body: bytes
    stream: bool
    #: Weight of the caller in the admission queue.
    weight: float


class CallDependencies(NamedTuple):
    """Objects and callbacks that a call handler uses."""

    directory: EndpointDirectory
    router: Router
    admission: AdmissionController
    retry: RetryPolicy
    budget: RetryBudget
    metrics: DaemonMetrics
    timer: TimerService
    rng: Random
    #: Name of this host, for failures that arise in this gateway.
    host: str
    #: Maximum number of concurrent requests per endpoint, over all gateways.
    endpoint_slots: int
    #: Returns the number of gateways that share the endpoints.
    count_gateways: Callable[[], int]


class CallHandler:
    """Admits a call, sends it to endpoints with retries, and gives exactly one final answer.

    :param deps: the objects and callbacks that it uses
    """

    def __init__(self, deps: CallDependencies) -> None:
        self._deps = deps

    async def run(self, call: Call, sink: CallerSink) -> str:
        """Run a call and send its answer.

        :param call: the call
        :param sink: receives the answer
        :return: the outcome, for the metrics: ``delivered``, ``not_run``, ``failed`` or ``unknown``
        """
        request = call.request
        admitted = await self._admit(call)
        if admitted.is_error():
            await sink.fail(make_rejection(admitted.error))
            return admitted.error.outcome.value
        waited_s = self._deps.timer.now() - request.arrived_s
        self._deps.metrics.record_queue_wait(request.caller, request.service_class, waited_s)
        try:
            failure = await self._try_endpoints(call, sink)
        finally:
            self._deps.admission.leave(request)
            self._deps.retry.forget(request.request_id)
        if failure is None:
            return "delivered"
        await sink.fail(make_rejection(failure))
        return failure.outcome.value

    async def _admit(self, call: Call) -> Result[None, Failure]:
        deps = self._deps
        request = call.request
        links = deps.directory.links_for(request.target, call.service)
        choice_result = self._choose(call, links, set())
        if choice_result.is_error():
            return choice_result.map(lambda _: None)
        # Only the estimate is used here; each attempt makes its own choice.
        self._refund(request, choice_result.ok)
        slots = max(1, len(links)) * deps.endpoint_slots
        capacity = ceil(slots / max(1, deps.count_gateways()))
        return await deps.admission.enter(
            request, capacity, choice_result.ok.estimate_s, call.weight
        )

    def _choose(
        self, call: Call, links: list[SidecarLink], tried: set[str]
    ) -> Result[Choice, Failure]:
        deps = self._deps
        now_s = deps.timer.now()
        untried = [link for link in links if link.host.host not in tried]
        views = deps.directory.views(call.request, untried, now_s)
        return deps.router.choose(call.request, views, now_s, deps.rng)

    async def _try_endpoints(self, call: Call, sink: CallerSink) -> Failure | None:
        deps = self._deps
        request = call.request
        tried: list[str] = []
        excluded: set[str] = set()
        worst_failure: Failure | None = None
        deps.budget.first_attempt(deps.timer.now())
        while True:
            links = deps.directory.links_for(request.target, call.service)
            choice_result = self._choose(call, links, excluded)
            if choice_result.is_error():
                return _select_worse(worst_failure, choice_result.error)
            choice = choice_result.ok
            tried.append(choice.endpoint)
            link = deps.directory.links_by_host[choice.endpoint]
            failure = await self._attempt(call, link, sink)
            if failure is None:
                return None
            deps.metrics.count(f"attempt_{failure.outcome.value}")
            if failure.step is Step.CONNECT:
                self._refund(request, choice)
            worst_failure = _select_worse(worst_failure, failure)
            if not _is_lost_message(failure):
                excluded.add(choice.endpoint)
            if sink.committed:
                return worst_failure
            now_s = deps.timer.now()
            decision = deps.retry.decide(request, failure, tried, now_s, choice.estimate_s)
            self._log_failed_attempt(request, choice.endpoint, failure, decision)
            if isinstance(decision, GiveUp):
                return worst_failure._replace(retry_after_s=decision.failure.retry_after_s)
            deps.metrics.count("retry")
            sink.reset()

    @staticmethod
    def _log_failed_attempt(
        request: Request, endpoint: str, failure: Failure, decision: GiveUp | Retry
    ) -> None:
        outcome = decision.failure.reason if isinstance(decision, GiveUp) else "repeated"
        record = RetryRecord(
            request.request_id, endpoint, failure.outcome.value, outcome, failure.reason
        )
        log_record(_LOGGER, "request failed at endpoint", record)

    def _refund(self, request: Request, choice: Choice) -> None:
        if choice.crosses_regions:
            self._deps.router.refund(request)

    async def _attempt(self, call: Call, link: SidecarLink, sink: CallerSink) -> Failure | None:
        deps = self._deps
        attempt_id = uuid4().hex
        request = call.request
        message = _encode(call, attempt_id, deps.timer.now())
        assembler = AnswerAssembler(request.request_id, attempt_id, link.host.host)
        name = link.host.host
        deps.directory.loads.dispatched(name, attempt_id)
        ended = False
        try:
            async with aclosing(link.run(message)) as replies:
                async for reply in replies:
                    if isinstance(reply, Failure):
                        ended = True
                        return reply
                    self._record_load(name, reply)
                    result = await self._process_reply(message, reply, assembler, sink)
                    if result.is_error():
                        ended = (
                            reply.WhichOneof("kind") == "refusal" and reply.attempt_id == attempt_id
                        )
                        if not ended:
                            link.replace()
                        return result.error
                    if assembler.complete:
                        ended = True
                        await sink.end()
                        return None
            return Failure(Outcome.UNKNOWN, Step.RELAY, link.peer, "the answer is incomplete")
        finally:
            deps.directory.loads.finished(name, attempt_id)
            if not ended:
                deps.directory.cancel_attempt(link, attempt_id)

    def _record_load(self, name: str, reply: RunReply) -> None:
        if not reply.HasField("load"):
            return
        load = reply.load
        self._deps.directory.record_load(name, load.running, load.waiting, load.token_interval_ms)

    async def _process_reply(
        self, message: RunRequest, reply: RunReply, assembler: AnswerAssembler, sink: CallerSink
    ) -> Result[None, Failure]:
        ids = (reply.request_id, reply.attempt_id)
        kind = reply.WhichOneof("kind")
        if kind == "start":
            status, content_type = reply.start.status, reply.start.content_type
            started = assembler.start(*ids, status, content_type)
            if started.is_ok():
                sink.start(status, content_type, assembler.peer)
            return started
        if kind == "part":
            result = assembler.part(*ids, reply.part.offset, reply.part.data)
            if result.is_error():
                return result.map(lambda _: None)
            if result.ok:
                await sink.part(result.ok)
            return Ok(None)
        if kind == "end":
            return assembler.end(*ids, reply.end.count)
        if ids != (message.request_id, message.attempt_id):
            return Error(
                Failure(Outcome.UNKNOWN, Step.RELAY, "", "the reply belongs to another request")
            )
        if kind == "refusal":
            return Error(_decode_refusal(reply))
        return Ok(None)


def _is_lost_message(failure: Failure) -> bool:
    """:return: whether the request did not reach a connected endpoint, which may be tried again"""
    return failure.outcome is Outcome.NOT_RUN and failure.step is Step.RELAY


def _encode(call: Call, attempt_id: str, now_s: float) -> RunRequest:
    request = call.request
    remaining_ms = max(1, min(_MAX_DEADLINE_MS, int((request.deadline_s - now_s) * 1000)))
    return RunRequest(
        request_id=request.request_id,
        attempt_id=attempt_id,
        caller=request.caller,
        service_class=request.service_class,
        target=request.target,
        adapter=request.adapter,
        method=call.method,
        path=call.path,
        body=call.body,
        deadline_ms=remaining_ms,
        idempotency_key=request.idempotency_key,
        idempotent=request.idempotent,
        stream=call.stream,
        prefixes=request.prefixes,
        content_type=call.content_type,
    )


def _decode_refusal(reply: RunReply) -> Failure:
    refusal = reply.refusal
    retry_after_s = refusal.retry_after_ms / 1000 or None
    return Failure(
        Outcome(refusal.outcome), Step(refusal.step), refusal.peer, refusal.reason, retry_after_s
    )


#: Outcomes by increasing uncertainty about whether the request has run.
_RANK_BY_OUTCOME = {Outcome.NOT_RUN: 0, Outcome.FAILED: 1, Outcome.UNKNOWN: 2}


def _select_worse(before: Failure | None, failure: Failure) -> Failure:
    """:return: the failure to report for a request with both: "not run" only if neither ran"""
    if before is None:
        return failure
    return max(before, failure, key=lambda each: _RANK_BY_OUTCOME[each.outcome])
