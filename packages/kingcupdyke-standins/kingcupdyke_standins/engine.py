"""
kingcupdyke_standins.engine
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in of a model engine: its HTTP calls, and the state that a restart discards.
"""

from typing import NamedTuple

from anyio import create_task_group, current_time, move_on_after, sleep
from anyio.abc import TaskGroup

from kingcupdyke_standins.answer import get_max_tokens, read_prompt
from kingcupdyke_standins.asgi import HttpRequest, Reply, StandinApp
from kingcupdyke_standins.batch import Batcher, Run, RunRequest, Speed
from kingcupdyke_standins.kv import KvExportCache
from kingcupdyke_standins.memory import MemoryAccount, Resident
from kingcupdyke_standins.order import EngineOrder, OrderRunner, OrderSettings
from kingcupdyke_standins.prefixcache import PrefixCache, hash_prefixes
from kingcupdyke_standins.protocol import StandinProtocol
from kingcupdyke_standins.relay import AnswerRelay

__all__ = ["EngineApp", "EngineOptions"]

#: Interval of checks for cache events that have become visible.
CACHE_POLL_INTERVAL_S = 0.01
CHAT_PATH = ("v1", "chat", "completions")
COMPLETION_PATH = ("v1", "completions")


class EngineOptions(NamedTuple):
    """Configuration of an engine."""

    name: str
    capacity_bytes: int
    checks_fence: bool
    #: Sizes in bytes of the models that are resident from the start, by name.
    models_by_name: dict[str, int]
    speed: Speed
    orders: OrderSettings
    #: Capacity of the prefix cache in prompt blocks.
    cache_blocks: int
    #: Seconds by which the load report lags behind the load.
    load_lag_s: float


class _Incarnation:
    """State of an engine from one start to the next."""

    def __init__(self, number: int, options: EngineOptions, violations: list[str]) -> None:
        self.name = f"{options.name}-{number}"
        #: Highest fencing number of the orders received.
        self.fence = 0
        self.memory = MemoryAccount(options.capacity_bytes, violations)
        self.cache = PrefixCache(options.cache_blocks)
        self.batcher = Batcher(options.speed)
        self.orders = OrderRunner(options.orders, self.memory, self.batcher, violations)
        self.kv = KvExportCache(self.memory, violations)
        self.tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Run the batcher until :meth:`stop`."""
        async with create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.batcher.step_forever)
            tasks.start_soon(self.batcher.report_forever)

    def stop(self) -> None:
        """Cancel all requests, end all orders as failed and stop the batcher."""
        self.batcher.cancel_all()
        self.orders.stop()
        self.tasks.cancel_scope.cancel()


class EngineApp(StandinApp):
    """A model engine.

    :param options: its configuration
    """

    def __init__(self, options: EngineOptions) -> None:
        super().__init__("engine")
        self._options = options
        self._start_count = 1
        #: Orders with a stale fencing number that were executed, as the engine does not check it.
        self._stale_orders: list[str] = []
        self._state = _Incarnation(1, options, self.violations)
        for name, size_bytes in options.models_by_name.items():
            self._state.memory.models_by_name[name] = Resident("", size_bytes)
        self._relay = AnswerRelay(self.faults)
        self._tasks: TaskGroup | None = None

    async def begin(self, tasks: TaskGroup) -> None:
        self._tasks = tasks
        tasks.start_soon(self._state.run)

    def report(self) -> dict[str, list]:
        return super().report() | {"old_fences": self._stale_orders}

    async def apply_faults(self) -> None:
        if self.faults.take_action("freeze"):
            StandinProtocol.freeze_all()
        if self.faults.take_action("restart"):
            self._restart()

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        match request.method, request.path:
            case "POST", path if path in (CHAT_PATH, COMPLETION_PATH):
                return await self._handle_completion(request, reply)
            case "GET", ("v1", "requests", request_id):
                return await self._resume(request, reply, request_id)
            case "DELETE", ("v1", "requests", request_id):
                self._state.batcher.cancel(request_id)
                return await reply.send_response(200)
            case "GET", ("v1", "models"):
                return await self._list_models(reply)
            case method, ("admin", *_):
                return await self._handle_admin(method, request, reply)
        return await reply.send_response(404)

    async def _handle_admin(self, method: str, request: HttpRequest, reply: Reply) -> None:
        match method, request.path[1:]:
            case "POST", ("orders",):
                return await self._handle_order(request, reply)
            case "GET", ("inventory",):
                return await reply.json(200, self._build_inventory())
            case "GET", ("load",):
                return await reply.json(200, self._build_load())
            case "GET", ("cache-events",):
                return await self._answer_cache_events(request, reply)
            case "POST", ("kv", "export"):
                return await self._export_kv(request, reply)
            case "POST", ("kv", "import"):
                return await self._import_kv(request, reply)
        return await reply.send_response(404)

    async def _handle_completion(self, request: HttpRequest, reply: Reply) -> None:
        body = request.data()
        run_request = _read_run_request(request, body)
        if not self._is_resident(run_request):
            return await _answer_not_found(reply, run_request.request_id, "not resident")
        run = Run(run_request, self._first_token_s(run_request))
        self._state.batcher.submit(run)
        if body.get("stream"):
            return await self._relay.send_stream(run, reply)
        return await self._relay.send_answer(run, reply)

    def _is_resident(self, run_request: RunRequest) -> bool:
        memory = self._state.memory
        if run_request.model not in memory.models_by_name:
            return False
        return not run_request.adapter or run_request.adapter in memory.adapters_by_name

    def _first_token_s(self, run_request: RunRequest) -> float:
        """:return: seconds to the first token; cached blocks or an imported KV cache reduce them"""
        prefixes = hash_prefixes(run_request.model, run_request.adapter, run_request.prompt)
        hits = self._state.cache.touch(prefixes, current_time())
        if self._state.kv.take(run_request):
            return 0.0
        share = 1 - hits / len(prefixes) if prefixes else 1.0
        return self._options.speed.first_token_ms * share / 1000

    async def _resume(self, request: HttpRequest, reply: Reply, request_id: str) -> None:
        run = self._state.batcher.find(request_id)
        if run is None:
            return await _answer_not_found(reply, request_id, "unknown request")
        return await self._relay.send_stream(run, reply, int(request.query.get("offset", 0)))

    async def _list_models(self, reply: Reply) -> None:
        names = list(self._state.memory.models_by_name)
        data = [{"id": name, "object": "model"} for name in names]
        await reply.json(200, {"object": "list", "data": data})

    async def _handle_order(self, request: HttpRequest, reply: Reply) -> None:
        if self.faults.take("lose_orders"):
            return await reply.wait_disconnect()
        order = EngineOrder.read(request.data())
        delay_s = self.faults.seconds("delay_orders_ms")
        await sleep(delay_s)
        if delay_s > order.lifetime_s:
            return await reply.drop()
        state = self._state
        if self._is_fenced_off(order):
            return await reply.json(409, {"fence": state.fence})
        record = state.orders.start(order, state.tasks)
        await record.wait_end()
        await sleep(self.faults.seconds("late_answers_ms"))
        return await reply.json(200, {"state": record.state, "reason": record.reason})

    def _is_fenced_off(self, order: EngineOrder) -> bool:
        """Record the fencing number of an order.

        :return: whether the order must be rejected, as its fencing number is stale
        """
        state = self._state
        if order.fence >= state.fence:
            state.fence = order.fence
            return False
        if not self._options.checks_fence:
            self._stale_orders.append(f"order {order.order_id}: {order.fence} after {state.fence}")
        return self._options.checks_fence

    def _build_inventory(self) -> dict:
        state, memory = self._state, self._state.memory
        return {
            "incarnation": state.name,
            "role": memory.role,
            "fence": state.fence,
            "capacity_bytes": memory.capacity_bytes,
            "used_bytes": memory.used_bytes,
            "models": {name: each.size_bytes for name, each in memory.models_by_name.items()},
            "adapters": memory.adapters_by_name,
            "kv_bytes": memory.kv_by_request,
            "orders": {key: each.state for key, each in state.orders.records_by_id.items()},
        }

    def _build_load(self) -> dict:
        lag_s = self._options.load_lag_s + self.faults.seconds("load_lag_ms")
        now_s = current_time()
        report = self._state.batcher.report_at(now_s - lag_s)
        return {
            "running": report.running,
            "waiting": report.waiting,
            "token_interval_ms": report.token_interval_ms,
            "age": now_s - report.created_s,
        }

    async def _answer_cache_events(self, request: HttpRequest, reply: Reply) -> None:
        state = self._state
        position = int(request.query["position"])
        records = []
        with move_on_after(float(request.query["timeout"])):
            while not records:
                published_s = current_time() - self.faults.seconds("cache_lag_ms")
                gap_every = self.faults.value("cache_gap_every")
                records = state.cache.events_after(position, published_s, gap_every)
                await sleep(0 if records else CACHE_POLL_INTERVAL_S)
        events = [
            {"sequence": each.sequence, "stored": each.stored, "prefix": each.prefix}
            for each in records
        ]
        await reply.json(200, {"incarnation": state.name, "events": events})

    async def _export_kv(self, request: HttpRequest, reply: Reply) -> None:
        if self.faults.take("fail_kv"):
            return await reply.send_response(503)
        run = self._state.batcher.find(request.data()["request_id"])
        if run is None:
            return await reply.send_response(404)
        return await reply.json(200, self._state.kv.export(run.request))

    async def _import_kv(self, request: HttpRequest, reply: Reply) -> None:
        if self.faults.take("fail_kv"):
            return await reply.send_response(503)
        is_stored = self._state.kv.put(request.data())
        return await reply.send_response(200 if is_stored else 507)

    def _restart(self) -> None:
        self._state.stop()
        StandinProtocol.abort_all()
        self._start_count += 1
        self._state = _Incarnation(self._start_count, self._options, self.violations)
        self._tasks.start_soon(self._state.run)


async def _answer_not_found(reply: Reply, request_id: str, reason: str) -> None:
    await reply.json(404, {"error": {"message": reason}}, {"x-request-id": request_id})


def _read_run_request(request: HttpRequest, body: dict) -> RunRequest:
    return RunRequest(
        request.headers.get("x-request-id", ""),
        body["model"],
        request.headers.get("x-adapter", ""),
        read_prompt(body),
        get_max_tokens(body),
        int(request.headers.get("x-priority", 0)),
        request.path == CHAT_PATH,
    )
