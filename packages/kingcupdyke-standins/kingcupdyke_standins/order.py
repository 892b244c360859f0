"""
kingcupdyke_standins.order
~~~~~~~~~~~~~~~~~~~~~~~~~~

Execution of the orders that an engine receives.
"""

import json
from abc import ABC, abstractmethod
from random import Random
from typing import NamedTuple

from anyio import Event, sleep
from anyio.abc import TaskGroup

from kingcupdyke.placement import OrderKind
from kingcupdyke_standins.batch import Batcher
from kingcupdyke_standins.memory import MemoryAccount, Resident
from kingcupdyke_wire.http import HttpClient

__all__ = [
    "EngineOrder",
    "OrderRecord",
    "OrderRunner",
    "OrderSettings",
    "WeightsClient",
    "WeightsSource",
]

#: Duration of a load without a weight store.
LOCAL_LOAD_S = 0.05
#: Duration of the unload of a model or adapter.
UNLOAD_S = 0.005
#: Duration of a role change.
ROLE_CHANGE_S = 0.05
#: Range of the duration of an adapter load up to the saturation point.
ADAPTER_LOAD_RANGE_S = (0.005, 0.015)
#: Timeout of one fetch from the weight store.
FETCH_TIMEOUT_S = 600.0
#: Minimum delay before the retry of a fetch that the weight store's rate limit has rejected.
MIN_RETRY_DELAY_S = 0.01


class EngineOrder(NamedTuple):
    """An order as the engine receives it."""

    order_id: str
    fence: int
    kind: str
    model: str
    adapter: str
    model_version: str
    role: str
    order_bytes: int
    lifetime_s: float

    @classmethod
    def read(cls, data: dict) -> "EngineOrder":
        """:raises KeyError: for a missing field"""
        names = ("order_id", "fence", "kind", "model", "adapter", "model_version", "role")
        return cls(*(data[name] for name in names), data["bytes"], data["lifetime"])


class OrderRecord:
    """State of an order, kept for duplicates of the order."""

    def __init__(self) -> None:
        self.state = "running"
        self.reason = ""
        self._ended = Event()

    def end(self, reason: str) -> None:
        """End the order.

        :param reason: why it failed; the empty string if it succeeded
        """
        self.state = "failed" if reason else "done"
        self.reason = reason
        self._ended.set()

    async def wait_end(self) -> None:
        """Wait until the order has ended."""
        await self._ended.wait()


class OrderSettings(NamedTuple):
    """Settings for the execution of orders."""

    region: str
    #: Saturation point: concurrent adapter loads above which each takes proportionally longer.
    adapter_knee: int
    #: Base URL of the weight store; empty if there is none.
    weights_url: str


class WeightsSource(ABC):
    """Source of an engine's weights."""

    @abstractmethod
    async def fetch(self, order: EngineOrder, region: str) -> str:
        """Return when the weights have been fetched.

        :return: the reason for a failure, or the empty string
        """


class LocalWeights(WeightsSource):
    """Weights with a local copy, which load in a fixed time."""

    async def fetch(self, order: EngineOrder, region: str) -> str:
        await sleep(LOCAL_LOAD_S)
        return ""


class WeightsClient(WeightsSource):
    """Fetches weights from the weight store; retries while its rate limit rejects the fetch.

    :param base_url: scheme, address and port
    """

    def __init__(self, base_url: str) -> None:
        self._http = HttpClient(base_url, FETCH_TIMEOUT_S)

    async def fetch(self, order: EngineOrder, region: str) -> str:
        while True:
            answer = await self._http.request(
                "POST", "/v1/fetches", body=_fetch_body(order, region)
            )
            if answer.is_error():
                return answer.error.reason
            if answer.ok.status == 200:
                return ""
            if answer.ok.status != 429:
                return f"weight store answered {answer.ok.status}"
            wait_s = float(answer.ok.headers.get("retry-after", MIN_RETRY_DELAY_S))
            await sleep(max(MIN_RETRY_DELAY_S, wait_s))


class OrderRunner:
    """Executes each order once.

    :param weights: source of the weights; None uses the weight store of the settings, or local
        copies if they name none
    """

    def __init__(
        self,
        settings: OrderSettings,
        memory: MemoryAccount,
        batcher: Batcher,
        violations: list[str],
        weights: WeightsSource | None = None,
    ) -> None:
        self.records_by_id: dict[str, OrderRecord] = {}
        self._settings = settings
        self._memory = memory
        self._batcher = batcher
        self._violations = violations
        self._adapters_in_flight = 0
        self._rng = Random(0)
        url = settings.weights_url
        self._weights = weights or (WeightsClient(url) if url else LocalWeights())

    def start(self, order: EngineOrder, tasks: TaskGroup) -> OrderRecord:
        """Start an order, unless an order of the same id was started before.

        :return: the record of the order that was started first
        """
        record = self.records_by_id.get(order.order_id)
        if record is None:
            record = self.records_by_id[order.order_id] = OrderRecord()
            tasks.start_soon(self._run, order, record)
        return record

    def stop(self) -> None:
        """End all running orders as failed, as on a restart of the engine."""
        for record in self.records_by_id.values():
            if record.state == "running":
                record.end("engine restarted")

    async def _run(self, order: EngineOrder, record: OrderRecord) -> None:
        run_by_kind = {
            OrderKind.LOAD: self._load,
            OrderKind.UNLOAD: self._unload,
            OrderKind.LOAD_ADAPTER: self._load_adapter,
            OrderKind.UNLOAD_ADAPTER: self._unload_adapter,
            OrderKind.ROLE: self._change_role,
        }
        run = run_by_kind.get(order.kind)
        reason = await run(order) if run else f"unknown kind {order.kind}"
        record.end(reason)

    async def _load(self, order: EngineOrder) -> str:
        resident = self._memory.models_by_name.get(order.model)
        if resident is not None and resident.version == order.model_version:
            return ""
        if not self._memory.begin_load(order.order_id, order.order_bytes):
            return "out of memory"
        reason = await self._weights.fetch(order, self._settings.region)
        size_bytes = self._memory.end_load(order.order_id)
        if not reason:
            resident = Resident(order.model_version, size_bytes)
            self._memory.models_by_name[order.model] = resident
        return reason

    async def _unload(self, order: EngineOrder) -> str:
        self._check_unused(order)
        await sleep(UNLOAD_S)
        self._memory.models_by_name.pop(order.model, None)
        return ""

    async def _load_adapter(self, order: EngineOrder) -> str:
        if order.adapter in self._memory.adapters_by_name:
            return ""
        if order.model not in self._memory.models_by_name:
            return f"model {order.model} is not resident"
        if not self._memory.begin_load(order.order_id, order.order_bytes):
            return "out of memory"
        self._adapters_in_flight += 1
        slowdown = max(1.0, self._adapters_in_flight / self._settings.adapter_knee)
        await sleep(self._rng.uniform(*ADAPTER_LOAD_RANGE_S) * slowdown)
        self._adapters_in_flight -= 1
        size_bytes = self._memory.end_load(order.order_id)
        self._memory.adapters_by_name[order.adapter] = size_bytes
        return ""

    async def _unload_adapter(self, order: EngineOrder) -> str:
        self._check_unused(order)
        await sleep(UNLOAD_S)
        self._memory.adapters_by_name.pop(order.adapter, None)
        return ""

    async def _change_role(self, order: EngineOrder) -> str:
        if not self._memory.begin_role(order.order_id, order.order_bytes):
            return "out of memory"
        await sleep(ROLE_CHANGE_S)
        self._memory.end_role(order.order_id, order.role, order.order_bytes)
        return ""

    def _check_unused(self, order: EngineOrder) -> None:
        user_count = self._batcher.count_users(order.model, order.adapter)
        if user_count:
            action = f"{order.kind} {order.model} {order.adapter}".rstrip()
            self._violations.append(
                f"order {order.order_id}: {action} while {user_count} requests use it"
            )


def _fetch_body(order: EngineOrder, region: str) -> bytes:
    fetch = {"model": order.model, "version": order.model_version}
    return json.dumps(fetch | {"bytes": order.order_bytes, "region": region}).encode()
