"""
kingcupdyke_daemon.sidecar.backend
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Execution of attempts at the sidecar's backends: a model engine or a service.
"""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, aclosing, suppress
from typing import NamedTuple

from anyio import CancelScope, create_task_group, sleep
from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.rule import ServiceClass
from kingcupdyke_wire.answerlimit import WHOLE_ANSWER, RefusedAnswerError, read_whole
from kingcupdyke_wire.completeness import is_json
from kingcupdyke_wire.engine import EngineClient, EngineRun
from kingcupdyke_wire.http import ExchangeError, HttpClient
from kingcupdyke_wire.sidecar_pb2 import RunRequest
from kingcupdyke_wire.sse import EVENT_STREAM

__all__ = ["Backend", "BackendHead", "BackendPart", "EngineBackend", "ServiceBackend"]

#: Seconds without a byte after which a connection to the engine is stalled.
_STALL_TIMEOUT_S = 1.5
#: Longest call to a service in seconds; the deadline of its attempt is shorter.
_SERVICE_TIMEOUT_S = 600.0
#: Maximum number of times that a stalled or truncated stream is resumed.
_MAX_RESUMES = 3
_DONE_EVENT = b"data: [DONE]"
_INCOMPLETE = "the engine's answer is incomplete"


class BackendHead(NamedTuple):
    """The head of a backend's answer."""

    status: int
    content_type: str


class BackendPart(NamedTuple):
    """The next part of a backend's answer."""

    data: bytes


class Backend(ABC):
    """Runs attempts; yields the head, then the parts, and last a failure if one occurred."""

    @abstractmethod
    def run(self, request: RunRequest) -> AsyncIterator[BackendHead | BackendPart | Failure]:
        """Run an attempt once.

        :param request: the attempt as the gateway sent it
        :return: head and parts of the answer; complete only if no failure is among them
        """

    @abstractmethod
    async def cancel(self, request: RunRequest) -> None:
        """Cancel a running attempt."""


class EngineBackend(Backend):
    """Runs attempts at a model engine, and resumes broken streams.

    :param engine: the engine's client
    :param peer: the engine's address, for failures
    """

    def __init__(self, engine: EngineClient, peer: str) -> None:
        self._engine = engine
        self._peer = peer

    async def run(self, request: RunRequest) -> AsyncIterator[BackendHead | BackendPart | Failure]:
        run_request = self._run_stream if request.stream else self._run_unstreamed
        async with aclosing(run_request(request)) as items:
            async for item in items:
                yield item

    async def cancel(self, request: RunRequest) -> None:
        await self._engine.cancel(request.attempt_id)

    def _open(
        self, request: RunRequest, offset: int | None = None, stall_timeout_s: float | None = None
    ) -> AbstractAsyncContextManager[EngineRun]:
        priority = ServiceClass.ALL.index(request.service_class)
        return self._engine.open_run(
            request.path,
            request.body,
            request.attempt_id,
            priority,
            request.adapter,
            offset,
            stall_timeout_s,
        )

    def _fail(self, reason: str, outcome: Outcome = Outcome.UNKNOWN) -> Failure:
        return Failure(outcome, Step.RUN, self._peer, reason)

    async def _run_unstreamed(
        self, request: RunRequest
    ) -> AsyncIterator[BackendHead | BackendPart | Failure]:
        read = await self._read_unstreamed(request)
        if read.is_error():
            yield read.error
            return
        head, body = read.ok
        yield head
        yield BackendPart(body)

    async def _read_unstreamed(
        self, request: RunRequest
    ) -> Result[tuple[BackendHead, bytes], Failure]:
        read: list[Result[tuple[BackendHead, bytes], Failure]] = []
        async with create_task_group() as tasks:
            tasks.start_soon(self._probe, request, tasks.cancel_scope)
            read.append(await self._read_once(request))
            tasks.cancel_scope.cancel()
        if read:
            return read[0]
        await self.cancel(request)
        return Error(self._fail("the engine's connection stalled"))

    async def _read_once(self, request: RunRequest) -> Result[tuple[BackendHead, bytes], Failure]:
        try:
            async with self._open(request) as opened:
                if opened.request_id != request.attempt_id:
                    return Error(self._fail("the engine answered another request"))
                body, is_whole = await _read_json(opened.parts)
        except ExchangeError as error:
            return Error(error.failure)
        except RefusedAnswerError as error:
            return Error(self._fail(str(error)))
        if not is_whole:
            return Error(self._fail(_INCOMPLETE))
        return Ok((BackendHead(opened.status, opened.content_type), body))

    async def _probe(self, request: RunRequest, scope: CancelScope) -> None:
        """Cancel the wait for an answer if the engine has ended or lost the request.

        Reads the request's events from the engine; once they end, waits one more interval.
        """
        while True:
            await sleep(_STALL_TIMEOUT_S)
            with suppress(ExchangeError):
                async with self._open(request, 0, _STALL_TIMEOUT_S) as opened:
                    async for _ in _read_events(opened.parts, 0):
                        continue
                break
        await sleep(_STALL_TIMEOUT_S)
        scope.cancel()

    async def _run_stream(
        self, request: RunRequest
    ) -> AsyncIterator[BackendHead | BackendPart | Failure]:
        events = 0
        head_sent = False
        reason = ""
        for attempt in range(_MAX_RESUMES + 1):
            offset = events if attempt else None
            try:
                async with self._open(request, offset, _STALL_TIMEOUT_S) as opened:
                    if opened.request_id != request.attempt_id:
                        reason = "the engine answered another request"
                        continue
                    if attempt and opened.status != 200:
                        break
                    if not head_sent:
                        head_sent = True
                        yield BackendHead(opened.status, opened.content_type)
                    if not opened.content_type.startswith(EVENT_STREAM):
                        body, is_whole = await _read_json(opened.parts)
                        yield BackendPart(body) if is_whole else self._fail(_INCOMPLETE)
                        return
                    async for index, event in _read_events(opened.parts, events):
                        if index < events:
                            continue
                        if index > events:
                            raise ConnectionError("an event is missing")
                        events += 1
                        yield BackendPart(event)
                        if event.startswith(_DONE_EVENT):
                            return
                reason = "the engine's stream ended early"
            except ExchangeError as error:
                if error.failure.outcome is Outcome.NOT_RUN and not attempt:
                    yield error.failure
                    return
                reason = error.failure.reason
            except RefusedAnswerError as error:
                yield self._fail(str(error))
                return
            except ConnectionError as error:
                reason = f"the engine's stream broke off: {error!r}"
        yield self._fail(reason)


async def _read_json(parts: AsyncIterator[bytes]) -> tuple[bytes, bool]:
    """:return: a body, and whether it is one JSON value
    :raises RefusedAnswerError: when it is too long, or too large to be decoded
    """
    body = await read_whole(parts)
    WHOLE_ANSWER.check_decoded(body)
    return body, is_json(body)


async def _read_events(
    parts: AsyncIterator[bytes], first_index: int
) -> AsyncIterator[tuple[int, bytes]]:
    """Yield events with their index, read from the ``id`` line of an event if it has one."""
    index = first_index
    async with aclosing(parts) as events:
        async for event in events:
            if event.startswith(b"id: "):
                line, event = event.split(b"\n", 1)
                index = int(line[4:])
            yield index, event
            index += 1


class ServiceBackend(Backend):
    """Runs attempts at plain services.

    :param urls_by_name: base addresses by the service's name
    """

    def __init__(self, urls_by_name: dict[str, str]) -> None:
        self._clients_by_name = {
            name: HttpClient(url, timeout_s=_SERVICE_TIMEOUT_S)
            for name, url in urls_by_name.items()
        }
        self._urls_by_name = urls_by_name

    async def run(self, request: RunRequest) -> AsyncIterator[BackendHead | BackendPart | Failure]:
        headers = {"X-Request-Id": request.attempt_id}
        if request.content_type:
            headers["Content-Type"] = request.content_type
        if request.idempotency_key:
            headers["Idempotency-Key"] = request.idempotency_key
        client = self._clients_by_name[request.target]
        answer = await client.request(request.method, request.path, headers, request.body)
        if answer.is_error():
            yield answer.error
            return
        head = answer.ok
        answer_id = head.headers.get("x-request-id", request.attempt_id)
        if answer_id != request.attempt_id:
            peer = self._urls_by_name[request.target]
            yield Failure(Outcome.UNKNOWN, Step.RUN, peer, "the service answered another request")
            return
        yield BackendHead(head.status, head.headers.get("content-type", ""))
        yield BackendPart(head.body)

    async def cancel(self, request: RunRequest) -> None:
        """Do nothing: a plain service has no way to cancel."""
