"""
kingcupdyke_daemon.sidecar.orders
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Execution of orders at the engine, within its memory and under fencing numbers.
"""

import logging
import time
from collections.abc import Callable
from uuid import uuid4

from anyio import CapacityLimiter, Event, sleep
from anyio.abc import TaskGroup
from expression import Error, Ok, Result

from kingcupdyke.drain import DrainMachine
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.fence import FenceGuard
from kingcupdyke.intent import Intent, may_send
from kingcupdyke.inventory import EngineInventory, OrderState
from kingcupdyke.ledger import MemoryLedger
from kingcupdyke.placement import Order, OrderKind
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.sidecar.ownership import EndpointOwnership
from kingcupdyke_daemon.sidecar.residency import ResidencyPublisher
from kingcupdyke_wire.engine import EngineClient
from kingcupdyke_wire.sidecar_pb2 import OrderRequest

__all__ = ["OrderManager"]

_LOGGER = logging.getLogger(__name__)
#: Interval between checks whether a model's last request has ended before its unload.
_UNLOAD_POLL_INTERVAL_S = 0.05


class OrderManager:
    """Executes orders: reserves memory, records the intent, sends the order and settles it.

    :param ownership: this sidecar's ownership of the endpoint
    :param ledger: ledger of the engine's memory
    :param engine: the engine
    :param publisher: publishes in the store which models this endpoint holds
    :param drain: the planned stop of this sidecar
    :param checks_fence: whether the engine rejects old fencing numbers
    :param lifetime_s: seconds after which the engine drops an order
    :param adapter_loads: maximum number of concurrent adapter loads, planned and on demand
    :param tasks: the task group that runs the orders
    :param timer: the timer service
    :param in_use: returns the number of requests in progress at a model or adapter
    """

    def __init__(
        self,
        ownership: EndpointOwnership,
        ledger: MemoryLedger,
        engine: EngineClient,
        publisher: ResidencyPublisher,
        drain: DrainMachine,
        checks_fence: bool,
        lifetime_s: float,
        adapter_loads: int,
        tasks: TaskGroup,
        timer: TimerService,
        in_use: Callable[[str], int],
    ) -> None:
        self._ownership = ownership
        self._ledger = ledger
        self._engine = engine
        self._publisher = publisher
        self._drain = drain
        self._checks_fence = checks_fence
        self._lifetime_s = lifetime_s
        self._tasks = tasks
        self._timer = timer
        self._in_use = in_use
        self._fences = FenceGuard()
        self._intents_by_id: dict[str, Intent] = {}
        self._unloading: set[str] = set()
        self._loading_by_adapter: dict[str, Event] = {}
        self._adapter_limiter = CapacityLimiter(adapter_loads)
        self._last_used_s_by_adapter: dict[str, float] = {}
        self.inventory: EngineInventory | None = None
        #: Whether the takeover of the endpoint is complete, so that orders may be sent.
        self.ready = False

    @property
    def models(self) -> frozenset[str]:
        """Models that accept requests."""
        return self._ledger.models - self._unloading

    @property
    def adapters(self) -> frozenset[str]:
        """Adapters that are resident."""
        return self._ledger.adapters

    @property
    def pending(self) -> tuple[str, ...]:
        """Ids of orders that are not settled."""
        return self._ledger.pending

    @property
    def reserved_bytes(self) -> int:
        """Memory of the engine that is in use or reserved."""
        return self._ledger.used_bytes

    @property
    def capacity_bytes(self) -> int:
        """Memory of the engine."""
        return self._ledger.capacity_bytes

    async def start(self) -> None:
        """Take over the endpoint; until then requests run and orders are refused."""
        inventory, intents = await self._ownership.take_over()
        self._intents_by_id = {each.order_id: each for each in intents}
        self._ledger.adopt(inventory, intents, self._timer.now())
        self.inventory = inventory
        self.ready = True
        for model in inventory.models:
            await self._publisher.add(model)

    async def observe_forever(self, period_s: float) -> None:
        """Read the engine's inventory periodically."""
        while True:
            read = await self._engine.inventory()
            if read.is_ok():
                await self._observe(read.ok)
            await sleep(period_s)

    def submit(self, message: OrderRequest) -> Result[None, Failure]:
        """Check a planner's order and execute it in a separate task.

        :param message: the order with its lease and fencing number
        :return: nothing when it started, or why it is refused
        """
        checked = self._check_order(message)
        if checked.is_error():
            return checked
        order = Order(
            message.order_id,
            "",
            message.kind,
            message.model,
            message.adapter,
            message.model_version,
            message.role,
            message.bytes,
        )
        if order.order_id in self._ledger.pending:
            return Ok(None)
        if order.kind != OrderKind.UNLOAD:
            reserved = self._ledger.reserve(order, self._timer.now(), self._lifetime_s)
            if reserved.is_error():
                return reserved.map(lambda _: None)
        held = self._drain.hold(order.order_id)
        if held.is_error():
            self._ledger.answered(order.order_id, OrderState.FAILED, self._timer.now())
            return held
        self._tasks.start_soon(self._execute, order)
        return Ok(None)

    async def ensure_adapter(
        self, model: str, adapter: str, size_bytes: int
    ) -> Result[None, Failure]:
        """Load an adapter if it is not resident, evicting unused ones if necessary.

        :return: nothing once it is resident, or a failure "not run"
        """
        self._last_used_s_by_adapter[adapter] = self._timer.now()
        while adapter not in self._ledger.adapters:
            loading = self._loading_by_adapter.get(adapter)
            if loading is not None:
                await loading.wait()
                continue
            self._loading_by_adapter[adapter] = Event()
            try:
                async with self._adapter_limiter:
                    loaded = await self._load_adapter(model, adapter, size_bytes)
            finally:
                self._loading_by_adapter.pop(adapter).set()
            if loaded.is_error():
                return loaded
        return Ok(None)

    def _check_order(self, message: OrderRequest) -> Result[None, Failure]:
        if not self.ready:
            return Error(self._make_failure("the endpoint is not taken over yet"))
        checked = self._ownership.guard.check(Step.ORDER)
        if checked.is_error():
            return checked
        return self._fences.accept(message.lease, message.fence)

    def _make_failure(self, reason: str) -> Failure:
        return Failure(Outcome.NOT_RUN, Step.ORDER, self._ownership.endpoint, reason, 1.0)

    async def _observe(self, inventory: EngineInventory) -> None:
        previous = self.inventory
        self.inventory = inventory
        self._ledger.observe(inventory, self._timer.now())
        self._forget_settled()
        if not self.ready:
            return
        if previous is not None and previous.incarnation != inventory.incarnation:
            _LOGGER.warning("engine restarted: step=order incarnation=%s", inventory.incarnation)
            await self._ownership.raise_fence()
            for model in previous.models.keys() - inventory.models.keys():
                self._tasks.start_soon(self._publisher.drop, model, previous.incarnation)
        for order_id in self._ledger.unseen_order_ids:
            await self._invalidate_unseen(order_id)

    async def _execute(self, order: Order) -> None:
        try:
            if order.kind == OrderKind.UNLOAD:
                await self._unload(order)
                return
            if order.kind == OrderKind.LOAD_ADAPTER:
                async with self._adapter_limiter:
                    await self._send(order)
                return
            is_done = await self._send(order)
            if is_done and order.kind == OrderKind.LOAD:
                await self._publisher.add(order.model)
        finally:
            self._drain.release(order.order_id)

    async def _unload(self, order: Order) -> None:
        removed = await self._publisher.remove(order.model)
        if removed.is_error():
            _LOGGER.info("unload refused: step=order reason=%s", removed.error.reason)
            return
        self._unloading.add(order.model)
        try:
            while self._in_use(order.model):
                await sleep(_UNLOAD_POLL_INTERVAL_S)
            reserved = self._ledger.reserve(order, self._timer.now(), self._lifetime_s)
            if reserved.is_error() or not await self._send(order):
                await self._restore_holder(order.model)
        finally:
            self._unloading.discard(order.model)

    async def _restore_holder(self, model: str) -> None:
        """Record again that this endpoint holds a model, after its unload failed."""
        if model in self._ledger.models:
            await self._publisher.add(model)

    async def _send(self, order: Order) -> bool:
        """Record the intent of a reserved order, send it and settle it.

        :return: whether the engine confirmed it
        """
        if not await self._record_intent(order):
            self._ledger.answered(order.order_id, OrderState.FAILED, self._timer.now())
            return False
        answer = await self._engine.order(
            order.order_id,
            self._ownership.fence,
            order.kind,
            order.model,
            order.adapter,
            order.model_version,
            order.role,
            order.order_bytes,
            self._lifetime_s,
        )
        now_s = self._timer.now()
        if answer.is_ok():
            self._ledger.answered(order.order_id, answer.ok.state, now_s)
        elif answer.error.outcome is Outcome.NOT_RUN:
            self._ledger.answered(order.order_id, OrderState.FAILED, now_s)
            await self._ownership.check_superseded()
        else:
            self._ledger.connection_closed(order.order_id, now_s)
        self._forget_settled()
        return answer.is_ok() and answer.ok.state == OrderState.DONE

    async def _record_intent(self, order: Order) -> bool:
        """:return: whether the order may be sent now"""
        intent = Intent(
            order.order_id,
            order.kind,
            order.model,
            order.adapter,
            order.order_bytes,
            self._ownership.fence,
            time.time(),
            self._lifetime_s,
        )
        self._intents_by_id[order.order_id] = intent
        recorded = await self._ownership.record(self._intents_by_id.values())
        if recorded.is_error() and not self._may_send_unrecorded(recorded.error):
            return False
        return may_send(intent, time.time())

    def _may_send_unrecorded(self, failure: Failure) -> bool:
        """:return: whether the engine's fence check suffices while the store is unavailable"""
        return (
            self._checks_fence
            and failure.step is not Step.ORDER
            and self._ownership.guard.check(Step.ORDER).is_ok()
        )

    async def _load_adapter(
        self, model: str, adapter: str, size_bytes: int
    ) -> Result[None, Failure]:
        if adapter in self._ledger.adapters:
            return Ok(None)
        if not self.ready:
            return Error(self._make_failure("the endpoint is not taken over yet"))
        order = Order(
            f"adapter-{uuid4().hex}",
            "",
            OrderKind.LOAD_ADAPTER,
            model,
            adapter,
            order_bytes=size_bytes,
        )
        reserved = self._ledger.reserve(order, self._timer.now(), self._lifetime_s)
        while reserved.is_error() and await self._evict_adapter():
            reserved = self._ledger.reserve(order, self._timer.now(), self._lifetime_s)
        if reserved.is_error():
            return reserved.map(lambda _: None)
        if await self._send(order):
            return Ok(None)
        return Error(self._make_failure(f"adapter {adapter} could not be loaded"))

    async def _evict_adapter(self) -> bool:
        """:return: whether the least recently used idle adapter, if any, was unloaded"""
        idle = [name for name in self._ledger.adapters if not self._in_use(name)]
        if not idle:
            return False
        least_recent = min(idle, key=lambda name: self._last_used_s_by_adapter.get(name, 0.0))
        order = Order(f"evict-{uuid4().hex}", "", OrderKind.UNLOAD_ADAPTER, "", least_recent)
        self._ledger.reserve(order, self._timer.now(), self._lifetime_s)
        return await self._send(order)

    async def _invalidate_unseen(self, order_id: str) -> None:
        """Invalidate an earlier sidecar's order, which it may still send.

        An order without effect uses the id, so that the engine ignores the earlier order.
        """
        answer = await self._engine.order(
            order_id,
            self._ownership.fence,
            OrderKind.UNLOAD_ADAPTER,
            "",
            "no-such-adapter",
            "",
            "",
            0,
            self._lifetime_s,
        )
        if answer.is_ok():
            self._ledger.answered(order_id, answer.ok.state, self._timer.now())
        self._forget_settled()

    def _forget_settled(self) -> None:
        for order_id in self._ledger.take_settled_order_ids():
            self._intents_by_id.pop(order_id, None)
