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
from kingcupdyke_daemon.gateway.directory import EndpointDirectory
from kingcupdyke_daemon.gateway.limits import AdmissionController
from kingcupdyke_daemon.gateway.link import SidecarLink
from kingcupdyke_daemon.gateway.reply import reject
from kingcupdyke_daemon.gateway.sink import CallerSink
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.metrics import DaemonMetrics
from kingcupdyke_daemon.records import RepeatRecord
from kingcupdyke_wire.sidecar_pb2 import RunReply, RunRequest

__all__ = ["Call", "CallHandler", "CallDependencies"]

_LOGGER = logging.getLogger(__name__)
#: Milliseconds that fit the message's field.
_MOST_DEADLINE_MS = (1 << 32) - 1


class Call(NamedTuple):
    """A request of a caller with what is sent on."""

    request: Request
    #: Whether the target is a plain service.
    service: bool
    method: str
    path: str
    content_type: str
    body: bytes
    stream: bool
    #: Share of the caller.
    weight: float


class CallDependencies(NamedTuple):
    """The parts of the gateway that a call goes through."""

    directory: EndpointDirectory
    router: Router
    admission: AdmissionController
    retry: RetryPolicy
    budget: RetryBudget
    metrics: DaemonMetrics
    timer: TimerService
    rng: Random
    #: Name of this host, for failures that arise here.
    host: str
    #: Requests at one endpoint at once, over all gateways.
    endpoint_slots: int
    #: Tells how many gateways share the endpoints.
    count_gateways: Callable[[], int]


class CallHandler:
    """Admits a call, tries it, and gives its caller exactly one final answer.

    :param parts: what the call goes through
    """

    def __init__(self, parts: CallDependencies) -> None:
        self._parts = parts

    async def run(self, call: Call, sink: CallerSink) -> str:
        """Answer a call.

        :param call: the call
        :param sink: where the answer goes
        :return: the outcome, for the metrics: ``delivered``, ``not_run``, ``failed`` or ``unknown``
        """
        request = call.request
        admitted = await self._admit(call)
        if admitted.is_error():
            await sink.fail(reject(admitted.error))
            return admitted.error.outcome.value
        waited_s = self._parts.timer.now() - request.arrived_s
        self._parts.metrics.record_queued(request.caller, request.service_class, waited_s)
        try:
            failure = await self._try(call, sink)
        finally:
            self._parts.admission.leave(request)
            self._parts.retry.forget(request.request_id)
        if failure is None:
            return "delivered"
        await sink.fail(reject(failure))
        return failure.outcome.value

    async def _admit(self, call: Call) -> Result[None, Failure]:
        parts = self._parts
        request = call.request
        links = parts.directory.links_for(request.target, call.service)
        chosen = self._choose(call, links, set())
        if chosen.is_error():
            return chosen.map(lambda _: None)
        # Only the estimate counts here; each attempt chooses anew.
        self._refund(request, chosen.ok)
        slots = max(1, len(links)) * parts.endpoint_slots
        capacity = ceil(slots / max(1, parts.count_gateways()))
        return await parts.admission.enter(request, capacity, chosen.ok.estimate_s, call.weight)

    def _choose(
        self, call: Call, links: list[SidecarLink], tried: set[str]
    ) -> Result[Choice, Failure]:
        parts = self._parts
        now_s = parts.timer.now()
        fresh = [link for link in links if link.host.host not in tried]
        views = parts.directory.views(call.request, fresh, now_s)
        return parts.router.choose(call.request, views, now_s, parts.rng)

    async def _try(self, call: Call, sink: CallerSink) -> Failure | None:
        parts = self._parts
        request = call.request
        tried: list[str] = []
        excluded: set[str] = set()
        outcome: Failure | None = None
        parts.budget.first_attempt(parts.timer.now())
        while True:
            links = parts.directory.links_for(request.target, call.service)
            chosen = self._choose(call, links, excluded)
            if chosen.is_error():
                return _worse(outcome, chosen.error)
            choice = chosen.ok
            tried.append(choice.endpoint)
            link = parts.directory.links_by_host[choice.endpoint]
            failure = await self._attempt(call, link, sink)
            if failure is None:
                return None
            parts.metrics.count(f"attempt_{failure.outcome.value}")
            if failure.step is Step.CONNECT:
                self._refund(request, choice)
            outcome = _worse(outcome, failure)
            if not _is_lost_message(failure):
                excluded.add(choice.endpoint)
            if sink.committed:
                return outcome
            now_s = parts.timer.now()
            decision = parts.retry.decide(request, failure, tried, now_s, choice.estimate_s)
            self._log_failed(request, choice.endpoint, failure, decision)
            if isinstance(decision, GiveUp):
                return outcome._replace(retry_after_s=decision.failure.retry_after_s)
            parts.metrics.count("retry")
            sink.reset()

    @staticmethod
    def _log_failed(
        request: Request, endpoint: str, failure: Failure, decision: GiveUp | Retry
    ) -> None:
        outcome = decision.failure.reason if isinstance(decision, GiveUp) else "repeated"
        record = RepeatRecord(
            request.request_id, endpoint, failure.outcome.value, outcome, failure.reason
        )
        log_record(_LOGGER, "request failed at endpoint", record)

    def _refund(self, request: Request, choice: Choice) -> None:
        if choice.crosses_regions:
            self._parts.router.refund(request)

    async def _attempt(self, call: Call, link: SidecarLink, sink: CallerSink) -> Failure | None:
        parts = self._parts
        attempt_id = uuid4().hex
        request = call.request
        message = _encode(call, attempt_id, parts.timer.now())
        assembler = AnswerAssembler(request.request_id, attempt_id, link.host.host)
        name = link.host.host
        parts.directory.loads.dispatched(name, attempt_id)
        ended = False
        try:
            async with aclosing(link.run(message)) as replies:
                async for reply in replies:
                    if isinstance(reply, Failure):
                        ended = True
                        return reply
                    self._hear_load(name, reply)
                    taken = await self._take(message, reply, assembler, sink)
                    if taken.is_error():
                        ended = (
                            reply.WhichOneof("kind") == "refusal" and reply.attempt_id == attempt_id
                        )
                        if not ended:
                            link.replace()
                        return taken.error
                    if assembler.complete:
                        ended = True
                        await sink.end()
                        return None
            return Failure(Outcome.UNKNOWN, Step.RELAY, link.peer, "the answer is not whole")
        finally:
            parts.directory.loads.finished(name, attempt_id)
            if not ended:
                parts.directory.cancel_attempt(link, attempt_id)

    def _hear_load(self, name: str, reply: RunReply) -> None:
        if not reply.HasField("load"):
            return
        load = reply.load
        self._parts.directory.hear_load(name, load.running, load.waiting, load.token_interval_ms)

    async def _take(
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
            taken = assembler.part(*ids, reply.part.offset, reply.part.data)
            if taken.is_error():
                return taken.map(lambda _: None)
            if taken.ok:
                await sink.part(taken.ok)
            return Ok(None)
        if kind == "end":
            return assembler.end(*ids, reply.end.count)
        if ids != (message.request_id, message.attempt_id):
            return Error(Failure(Outcome.UNKNOWN, Step.RELAY, "", "reply to another request"))
        if kind == "refusal":
            return Error(_decode_refusal(reply))
        return Ok(None)


def _is_lost_message(failure: Failure) -> bool:
    """:return: whether only the message was lost, so that the same endpoint may be tried again"""
    return failure.outcome is Outcome.NOT_RUN and failure.step is Step.RELAY


def _encode(call: Call, attempt_id: str, now_s: float) -> RunRequest:
    request = call.request
    left_ms = max(1, min(_MOST_DEADLINE_MS, int((request.deadline_s - now_s) * 1000)))
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
        deadline_ms=left_ms,
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


#: How much an outcome claims to know, the least last.
_RANK_BY_OUTCOME = {Outcome.NOT_RUN: 0, Outcome.FAILED: 1, Outcome.UNKNOWN: 2}


def _worse(before: Failure | None, failure: Failure) -> Failure:
    """:return: the failure of a request that had both: "not run" only when neither ran"""
    if before is None:
        return failure
    return max(before, failure, key=lambda each: _RANK_BY_OUTCOME[each.outcome])
