"""
kingcupdyke_wire.engine
~~~~~~~~~~~~~~~~~~~~~~~

Client of a model engine: orders, state, streams and KV cache.
"""

import json
from abc import ABC, abstractmethod
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import NamedTuple
from urllib.parse import quote, urlencode

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.inventory import EngineInventory
from kingcupdyke_wire.answerlimit import (
    CACHE_EVENTS,
    KV_CACHE,
    ORDER_ANSWER,
    REPORT,
    AnswerLimit,
)
from kingcupdyke_wire.decode import decode, make_failure
from kingcupdyke_wire.http import ExchangeError, HttpAnswer, HttpClient
from kingcupdyke_wire.sse import EVENT_STREAM, EventTooLongError, split_events

__all__ = [
    "OLD_FENCE",
    "CacheEvent",
    "CacheEventBatch",
    "EngineClient",
    "EngineInventory",
    "EngineLoad",
    "EngineRun",
    "HttpEngineClient",
    "KvCache",
    "OrderAnswer",
]

#: Reason of the "not run" failure of an order whose fencing number is too low.
OLD_FENCE = "old fence"

JSON_HEADERS = {"content-type": "application/json"}
STATUS_OK = 200
STATUS_CONFLICT = 409


class OrderAnswer(NamedTuple):
    """How an order ended."""

    #: "done" or "failed".
    state: str
    reason: str


class EngineLoad(NamedTuple):
    """The load of an engine according to its last report."""

    running: int
    waiting: int
    token_interval_ms: float
    #: Age of the report in seconds.
    age_s: float


class CacheEvent(NamedTuple):
    """A prefix block was stored in the cache, or evicted from it."""

    #: Increases by one with each event; a gap means that events were lost.
    sequence: int
    stored: bool
    #: Hash of the prompt prefix that ends with the block.
    prefix: str


class CacheEventBatch(NamedTuple):
    """Cache events after a position."""

    #: Incarnation of the engine; the cache is empty at the start of a new one.
    incarnation: str
    events: list[CacheEvent]


class KvCache(NamedTuple):
    """The KV cache of a request, as one engine exports and another imports it."""

    request_id: str
    kv: bytes
    #: Memory that the cache needs in an engine.
    kv_bytes: int


class EngineRun(NamedTuple):
    """The answer to a request, read while it arrives."""

    status: int
    content_type: str
    #: Id of the request that the answer names; the empty string if it names none.
    request_id: str
    #: Complete SSE events, each with its final blank line, or parts of a body of another
    #: type; raises :class:`kingcupdyke_wire.http.ExchangeError`.
    parts: AsyncIterator[bytes]


class EngineClient(ABC):
    """The operations of an engine that a sidecar uses."""

    @abstractmethod
    async def order(
        self,
        order_id: str,
        fence: int,
        kind: str,
        model: str,
        adapter: str,
        model_version: str,
        role: str,
        order_bytes: int,
        lifetime_s: float,
    ) -> Result[OrderAnswer, Failure]:
        """Send an order and wait for its result.

        :param order_id: id of the order; the engine executes it once, also if it is sent again
        :param fence: fencing number; some engines ignore it
        :param kind: a value of :class:`kingcupdyke.placement.OrderKind`
        :param order_bytes: memory that the order needs
        :param lifetime_s: seconds after which the engine drops the order if it has not started
        :return: the result, a "not run" failure with the reason ``OLD_FENCE``, or an "unknown"
            failure if no answer arrived
        """

    @abstractmethod
    async def inventory(self) -> Result[EngineInventory, Failure]:
        """:return: the current contents of the engine's memory"""

    @abstractmethod
    async def load(self) -> Result[EngineLoad, Failure]:
        """:return: the load, which may be stale"""

    @abstractmethod
    async def cache_events(
        self, position: int, timeout_s: float
    ) -> Result[CacheEventBatch, Failure]:
        """Wait for cache events after a sequence number.

        :param timeout_s: seconds to wait; without an event, the batch is empty
        """

    @abstractmethod
    async def cancel(self, request_id: str) -> Result[None, Failure]:
        """Cancel a request; an unknown id is not a failure."""

    @abstractmethod
    def open_run(
        self,
        path: str,
        body: bytes,
        request_id: str,
        priority: int,
        adapter: str,
        offset: int | None = None,
        idle_timeout_s: float | None = None,
    ) -> AbstractAsyncContextManager[EngineRun]:
        """Run a request, or resume the stream of a running request.

        Leaving the context early closes the connection; the engine continues until the request
        is cancelled.

        :param path: path of the request in the OpenAI API
        :param priority: 0 is the most urgent
        :param adapter: name of the adapter, or the empty string
        :param offset: index of the first event when resuming; None to run the request
        :param idle_timeout_s: seconds until the answer begins, and between its bytes; None for the
            client's default
        :raises kingcupdyke_wire.http.ExchangeError: when the exchange fails
        """

    @abstractmethod
    async def kv_export(self, request_id: str) -> Result[KvCache, Failure]:
        """:return: the KV cache of a request, for another engine"""

    @abstractmethod
    async def kv_import(self, cache: KvCache) -> Result[None, Failure]:
        """Import a KV cache; fails as "not run" if the engine lacks the memory for it."""

    @abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""


class HttpEngineClient(EngineClient):
    """HTTP client of an engine.

    :param base_url: scheme, address and port
    :param timeout_s: timeout in seconds of calls other than :meth:`open_run`
    :param run_timeout_s: seconds until the answer to a request begins, and between its parts
    """

    def __init__(self, base_url: str, timeout_s: float, run_timeout_s: float = 60.0) -> None:
        self._http = HttpClient(
            base_url, timeout_s, step=Step.ORDER, reuse=True, limit=ORDER_ANSWER
        )
        self._run_http = HttpClient(base_url, run_timeout_s, step=Step.RUN)
        self._timeout_s = timeout_s

    async def order(
        self,
        order_id: str,
        fence: int,
        kind: str,
        model: str,
        adapter: str,
        model_version: str,
        role: str,
        order_bytes: int,
        lifetime_s: float,
    ) -> Result[OrderAnswer, Failure]:
        order = {"order_id": order_id, "fence": fence, "kind": kind, "model": model}
        order |= {"adapter": adapter, "model_version": model_version, "role": role}
        order |= {"bytes": order_bytes, "lifetime": lifetime_s}
        timeout_s = max(self._timeout_s, lifetime_s)
        answer = await self._post("/admin/orders", order, timeout_s)
        return answer.bind(self._read_order)

    async def inventory(self) -> Result[EngineInventory, Failure]:
        answer = await self._http.request("GET", "/admin/inventory", limit=REPORT)
        return answer.bind(lambda each: self._decode(each, lambda d: EngineInventory(**d), REPORT))

    async def load(self) -> Result[EngineLoad, Failure]:
        answer = await self._http.request("GET", "/admin/load", limit=REPORT)
        return answer.bind(lambda each: self._decode(each, _read_load, REPORT))

    async def cache_events(
        self, position: int, timeout_s: float
    ) -> Result[CacheEventBatch, Failure]:
        path = "/admin/cache-events?" + urlencode({"position": position, "timeout": timeout_s})
        timeout_s += self._timeout_s
        answer = await self._http.request("GET", path, timeout_s=timeout_s, limit=CACHE_EVENTS)
        return answer.bind(lambda each: self._decode(each, _read_cache_events, CACHE_EVENTS))

    async def cancel(self, request_id: str) -> Result[None, Failure]:
        answer = await self._http.request("DELETE", f"/v1/requests/{quote(request_id, safe='')}")
        return answer.bind(self._check)

    @asynccontextmanager
    async def open_run(
        self,
        path: str,
        body: bytes,
        request_id: str,
        priority: int,
        adapter: str,
        offset: int | None = None,
        idle_timeout_s: float | None = None,
    ) -> AsyncIterator[EngineRun]:
        headers = {"x-request-id": request_id, "x-priority": str(priority)}
        if adapter:
            headers["x-adapter"] = adapter
        method = "POST"
        if offset is not None:
            method, body = "GET", b""
            path = f"/v1/requests/{quote(request_id, safe='')}?offset={offset}"
        headers = JSON_HEADERS | headers
        async with self._run_http.stream(method, path, headers, body, idle_timeout_s) as stream:
            content_type = stream.headers.get("content-type", "")
            parts = stream.parts
            if content_type.startswith(EVENT_STREAM):
                parts = self._split_events(parts)
            yield EngineRun(
                stream.status, content_type, stream.headers.get("x-request-id", ""), parts
            )

    async def _split_events(self, parts: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        """Yield the events of a stream.

        :raises kingcupdyke_wire.http.ExchangeError: when the exchange fails or an event is too long
        """
        try:
            async for event in split_events(parts):
                yield event
        except EventTooLongError as error:
            failure = Failure(Outcome.UNKNOWN, Step.RUN, self._run_http.peer, str(error))
            raise ExchangeError(failure) from error

    async def kv_export(self, request_id: str) -> Result[KvCache, Failure]:
        content = {"request_id": request_id}
        answer = await self._post("/admin/kv/export", content, limit=KV_CACHE)
        return answer.bind(
            lambda each: self._decode(each, lambda d: _read_kv(request_id, d), KV_CACHE)
        )

    async def kv_import(self, cache: KvCache) -> Result[None, Failure]:
        content = {"request_id": cache.request_id, "kv": b64encode(cache.kv).decode()}
        answer = await self._post("/admin/kv/import", content | {"bytes": cache.kv_bytes})
        return answer.bind(self._check)

    async def aclose(self) -> None:
        await self._http.aclose()
        await self._run_http.aclose()

    async def _post(
        self,
        path: str,
        content: dict,
        timeout_s: float | None = None,
        limit: AnswerLimit = ORDER_ANSWER,
    ) -> Result[HttpAnswer, Failure]:
        body = json.dumps(content).encode()
        return await self._http.request("POST", path, JSON_HEADERS, body, timeout_s, limit)

    def _decode(self, answer: HttpAnswer, read, limit: AnswerLimit = ORDER_ANSWER) -> Result:
        return decode(answer, Step.ORDER, self._http.peer, read, limit)

    def _read_order(self, answer: HttpAnswer) -> Result[OrderAnswer, Failure]:
        if answer.status == STATUS_CONFLICT:
            return Error(Failure(Outcome.NOT_RUN, Step.ORDER, self._http.peer, OLD_FENCE))
        return self._decode(answer, lambda d: OrderAnswer(d["state"], d["reason"]))

    def _check(self, answer: HttpAnswer) -> Result[None, Failure]:
        if answer.status != STATUS_OK:
            return Error(make_failure(answer, Step.ORDER, self._http.peer))
        return Ok(None)


def _read_load(data: dict) -> EngineLoad:
    return EngineLoad(data["running"], data["waiting"], data["token_interval_ms"], data["age"])


def _read_cache_events(data: dict) -> CacheEventBatch:
    return CacheEventBatch(data["incarnation"], [CacheEvent(**each) for each in data["events"]])


def _read_kv(request_id: str, data: dict) -> KvCache:
    return KvCache(request_id, b64decode(data["kv"]), data["bytes"])
