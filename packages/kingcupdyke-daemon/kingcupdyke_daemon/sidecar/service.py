"""
kingcupdyke_daemon.sidecar.service
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The gRPC service of a sidecar for gateways, planners and operators.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from anyio import current_time
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from kingcupdyke.error import Failure
from kingcupdyke_daemon.operator import is_operator
from kingcupdyke_daemon.settings import SidecarSettings
from kingcupdyke_daemon.sidecar.attempts import AttemptManager
from kingcupdyke_daemon.sidecar.check import find_order_problem
from kingcupdyke_daemon.sidecar.health import BackendHealth
from kingcupdyke_daemon.sidecar.orders import OrderManager
from kingcupdyke_daemon.sidecar.run import RunTable
from kingcupdyke_wire.engine import EngineLoad
from kingcupdyke_wire.sidecar_grpc import SidecarBase
from kingcupdyke_wire.sidecar_pb2 import (
    BeatReply,
    BeatRequest,
    CacheEvent,
    CancelReply,
    CancelRequest,
    DescribeReply,
    DescribeRequest,
    DrainReply,
    DrainRequest,
    End,
    Holdings,
    KeepAlive,
    Load,
    OrderReply,
    OrderRequest,
    Part,
    Refusal,
    RunReply,
    RunRequest,
    Start,
)

__all__ = ["EndpointState", "ServiceDependencies", "SidecarService"]

#: Maximum number of cache events kept for gateways that have not received them.
_MAX_CACHE_EVENTS = 4096
#: Maximum number of cache events in one heartbeat.
_MAX_EVENTS_PER_HEARTBEAT = 512


class EndpointState:
    """The state of its endpoint that a sidecar reports.

    :param settings: settings of the sidecar
    :param incarnation: this start of the sidecar
    :param table: the running and recent attempts
    :param orders: manager of the engine's orders, or None without an engine
    :param health: which backends accept connections
    :param get_version: returns the version of the configuration in force
    :param is_leaving: returns whether gateways must send no new requests
    """

    def __init__(
        self,
        settings: SidecarSettings,
        incarnation: str,
        table: RunTable,
        orders: OrderManager | None,
        health: BackendHealth,
        get_version: Callable[[], int],
        is_leaving: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._table = table
        self._orders = orders
        self._health = health
        self._get_version = get_version
        self._is_leaving = is_leaving
        self._last_holdings: tuple[frozenset[str], frozenset[str], list[str]] | None = None
        self._holdings_version = 0
        self.incarnation = incarnation
        #: Whether models are being handed over; new requests are still accepted then.
        self.handing_over = False
        self.engine_load: EngineLoad | None = None
        self.cache_incarnation = ""
        self.cache_events: deque[CacheEvent] = deque(maxlen=_MAX_CACHE_EVENTS)

    def make_load(self) -> Load:
        """:return: the current load; requests that wait in the engine do not count as running"""
        load = self.engine_load
        waiting = min(load.waiting, self._table.running) if load else 0
        return Load(
            running=self._table.running - waiting,
            waiting=waiting,
            token_interval_ms=load.token_interval_ms if load else 0.0,
            leaving=self._is_leaving(),
            incarnation=self.incarnation,
        )

    def make_heartbeat_reply(self, request: BeatRequest, after_sequence: int) -> BeatReply:
        """:return: the answer to a heartbeat, with cache events after a sequence number"""
        return BeatReply(
            sequence=request.sequence,
            load=self.make_load(),
            config_version=self._get_version(),
            holdings=self._make_holdings(request.holdings_version),
            cache_events=self._list_events(after_sequence),
            cache_incarnation=self.cache_incarnation,
        )

    def _make_holdings(self, known_version: int) -> Holdings | None:
        orders = self._orders if self._health.has_engine else None
        models = orders.models if orders else frozenset()
        adapters = orders.adapters if orders else frozenset()
        holdings_now = (models, adapters, self._health.services)
        if holdings_now != self._last_holdings:
            self._last_holdings = holdings_now
            self._holdings_version += 1
        if known_version == self._holdings_version:
            return None
        return Holdings(
            version=self._holdings_version,
            models=sorted(holdings_now[0]),
            adapters=sorted(holdings_now[1]),
            services=holdings_now[2],
        )

    def _list_events(self, after_sequence: int) -> list[CacheEvent]:
        events = []
        for event in reversed(self.cache_events):
            if event.sequence <= after_sequence:
                break
            events.append(event)
        events.reverse()
        return events[:_MAX_EVENTS_PER_HEARTBEAT]

    def describe(self, fence: int) -> DescribeReply:
        """:return: the full state of the endpoint, for planners and operators"""
        common = self._settings.common
        orders = self._orders if self._health.has_engine else None
        inventory = orders.inventory if orders else None
        return DescribeReply(
            endpoint=self._settings.endpoint,
            host=common.host,
            region=common.region,
            data_centre=common.data_centre,
            incarnation=self.incarnation,
            fence=fence,
            capacity_bytes=orders.capacity_bytes if orders and orders.ready else 0,
            reserved_bytes=orders.reserved_bytes if orders else 0,
            models=sorted(orders.models) if orders else [],
            adapters=sorted(orders.adapters) if orders else [],
            services=self._health.services,
            load=self.make_load(),
            config_version=self._get_version(),
            role=inventory.role if inventory else "",
            pending_orders=orders.pending if orders else (),
            handing_over=self.handing_over,
            engine_incarnation=inventory.incarnation if inventory else "",
        )


class ServiceDependencies(NamedTuple):
    """Objects and callbacks that the service uses."""

    state: EndpointState
    attempts: AttemptManager
    table: RunTable
    orders: OrderManager | None
    get_fence: Callable[[], int]
    begin_stop: Callable[[], None]
    operator_digest: str


class SidecarService(SidecarBase):
    """Answers gateways, planners and operators.

    :param deps: the objects and callbacks that it uses
    """

    def __init__(self, deps: ServiceDependencies) -> None:
        self._deps = deps

    async def Run(self, stream: Stream[RunRequest, RunReply]) -> None:  # noqa: N802
        request = await stream.recv_message()
        if request is None:
            return
        run = self._deps.attempts.accept(request)
        if isinstance(run, Failure):
            await stream.send_message(self._make_refusal(request, run))
            return
        run.attached += 1
        try:
            await self._relay(run, request.resume_offset, stream)
        finally:
            run.attached -= 1
            run.detached_s = current_time()

    async def Cancel(self, stream: Stream[CancelRequest, CancelReply]) -> None:  # noqa: N802
        request = await stream.recv_message()
        if request is not None:
            self._deps.table.cancel(request.attempt_id)
            await stream.send_message(CancelReply())

    async def Order(self, stream: Stream[OrderRequest, OrderReply]) -> None:  # noqa: N802
        request = await stream.recv_message()
        if request is None:
            return
        problem = find_order_problem(request)
        if self._deps.orders is None:
            problem = "this endpoint has no engine"
        if problem:
            reply = OrderReply(state="refused", reason=problem)
        else:
            submitted = self._deps.orders.submit(request)
            reason = submitted.error.reason if submitted.is_error() else ""
            reply = OrderReply(
                state="refused" if submitted.is_error() else "pending", reason=reason
            )
        await stream.send_message(reply)

    async def Beat(self, stream: Stream[BeatRequest, BeatReply]) -> None:  # noqa: N802
        after_sequence = 0
        incarnation = ""
        while (request := await stream.recv_message()) is not None:
            state = self._deps.state
            if state.cache_incarnation != incarnation:
                incarnation = state.cache_incarnation
                after_sequence = 0
            reply = state.make_heartbeat_reply(request, after_sequence)
            if reply.cache_events:
                after_sequence = reply.cache_events[-1].sequence
            await stream.send_message(reply)

    async def Describe(self, stream: Stream[DescribeRequest, DescribeReply]) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(self._deps.state.describe(self._deps.get_fence()))

    async def Drain(self, stream: Stream[DrainRequest, DrainReply]) -> None:  # noqa: N802
        request = await stream.recv_message()
        if request is None:
            return
        if not is_operator(self._deps.operator_digest, request.token.encode()):
            raise GRPCError(Status.PERMISSION_DENIED, "an operator's token is needed")
        self._deps.begin_stop()
        await stream.send_message(DrainReply(in_flight=self._deps.table.running))

    async def _relay(self, run: Run, offset: int, stream: Stream[RunRequest, RunReply]) -> None:
        head_sent = False
        while True:
            if run.head is not None and not head_sent:
                head_sent = True
                head = Start(
                    status=run.head.status,
                    content_type=run.head.content_type,
                    replayed=run.replayed,
                )
                await stream.send_message(self._make_reply(run.request, start=head))
            for index, data in run.buffer.parts_from(offset):
                await stream.send_message(
                    self._make_reply(run.request, part=Part(offset=index, data=data))
                )
                offset = index + 1
            if run.done and offset == run.buffer.next_offset:
                break
            await self._wait_for_change(run, offset, head_sent, stream)
        if run.failure is not None:
            await stream.send_message(self._make_refusal(run.request, run.failure))
        else:
            end = End(count=run.buffer.next_offset)
            await stream.send_message(self._make_reply(run.request, end=end))
        run.delivered = True

    async def _wait_for_change(
        self, run: Run, offset: int, head_sent: bool, stream: Stream[RunRequest, RunReply]
    ) -> None:
        if run.done or run.buffer.next_offset > offset or (run.head and not head_sent):
            return
        keep_alives = run.keep_alives
        await run.wait()
        if run.keep_alives > keep_alives:
            await stream.send_message(self._make_reply(run.request, keep_alive=KeepAlive()))

    def _make_reply(self, request: RunRequest, **kind: object) -> RunReply:
        load = None if "part" in kind else self._deps.state.make_load()
        return RunReply(
            request_id=request.request_id, attempt_id=request.attempt_id, load=load, **kind
        )

    def _make_refusal(self, request: RunRequest, failure: Failure) -> RunReply:
        refusal = Refusal(
            outcome=failure.outcome.value,
            step=failure.step.value,
            peer=failure.peer,
            reason=failure.reason,
            retry_after_ms=int((failure.retry_after_s or 0.0) * 1000),
        )
        return self._make_reply(request, refusal=refusal)
