"""
kingcupdyke_measure.simulationengine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A simulated engine, made of the batch, memory account and order runner of the stand-in engine.
"""

from anyio.abc import TaskGroup

from kingcupdyke.forwarding.endpoint import EndpointEntry, EndpointReport, LoadedModel
from kingcupdyke.forwarding.enginestate import OrderReply
from kingcupdyke.forwarding.workitem import WorkItem
from kingcupdyke.placement import Order, OrderKind
from kingcupdyke_measure.simulationplan import SimulatedModel, SimulationPlan
from kingcupdyke_standins.batch import Batcher, Run, RunRequest, Speed
from kingcupdyke_standins.memory import MemoryAccount, Resident
from kingcupdyke_standins.order import EngineOrder, OrderRunner, OrderSettings
from kingcupdyke_standins.weightcache import LoadTimes, WeightCopyCache

__all__ = ["SERVICE", "SimulatedEngine"]

#: Name of the service to which all simulated engines belong.
SERVICE = "engines"
#: Saturation point: with more adapter loads in flight, each takes proportionally longer.
ADAPTER_SATURATION_LOADS = 48


class SimulatedEngine:
    """An engine that accepts requests and a planner's orders by method calls.

    :param name: its name
    :param plan: the simulation, with the engines' capacity and speed
    :param violations: list to which lines on overcommitted memory and on unloads of models or
        adapters in use are appended
    """

    def __init__(self, name: str, plan: SimulationPlan, violations: list[str]) -> None:
        self.name = name
        self._plan = plan
        self._violations = violations
        self._model_by_name = {each.name: each for each in plan.models}
        load_times = {
            each.name: LoadTimes(each.store_s, each.disk_s, each.memory_s) for each in plan.models
        }
        size_bytes_by_model = {each.name: each.size_bytes for each in plan.models}
        self.weight_cache = WeightCopyCache(
            load_times, size_bytes_by_model, plan.disk_bytes, plan.host_memory_bytes
        )
        self.is_alive = True
        self.accepted_orders = 0
        self._heartbeat = 0
        self._started_ms = 1
        self._order_count = 0
        self._is_busy = False
        self._tasks: TaskGroup | None = None
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        plan = self._plan
        speed = Speed(plan.token_ms, plan.batch_slope_ms, 0.0, plan.slots, plan.prompt_tokens_per_s)
        self._memory = MemoryAccount(plan.memory_bytes, self._violations)
        self._batcher = Batcher(speed)
        settings = OrderSettings("", ADAPTER_SATURATION_LOADS, "")
        self._runner = OrderRunner(
            settings, self._memory, self._batcher, self._violations, self.weight_cache
        )

    def start(self, tasks: TaskGroup) -> None:
        """Start to process the batch, until the task group is cancelled."""
        self._tasks = tasks
        tasks.start_soon(self._batcher.step_forever)

    def add_resident_model(self, model: SimulatedModel) -> bool:
        """Make a model resident without a load, before the simulation starts.

        :return: whether it fits into memory
        """
        if not self._memory.fits(model.size_bytes):
            return False
        self._memory.models_by_name[model.name] = Resident("", model.size_bytes)
        self.weight_cache.keep(model.name)
        return True

    def is_resident(self, model: str, adapter: str) -> bool:
        """Check whether a model is resident.

        :param adapter: adapter that has to be resident too; the empty string checks the model only
        """
        if not self.is_alive or model not in self._memory.models_by_name:
            return False
        return not adapter or _make_adapter_id(model, adapter) in self._memory.adapters_by_name

    def submit(self, item: WorkItem) -> Run | None:
        """Accept a request.

        :return: its run, or None if its model or its adapter is not resident
        """
        if not self.is_resident(item.model, item.adapter):
            return None
        request = RunRequest(
            item.attempt_id,
            item.model,
            item.adapter,
            "",
            max(1, item.output_tokens),
            item.priority,
            False,
        )
        run = Run(request, 0.0, float(item.prompt_tokens))
        self._batcher.submit(run)
        return run

    def cancel(self, attempt_id: str) -> None:
        """Cancel a request; one that is unknown or has ended is ignored."""
        self._batcher.cancel(attempt_id)

    def crash(self) -> None:
        """Stop all requests and orders, and drop the weight copies in host memory, not on disk."""
        self.is_alive = False
        self._batcher.cancel_all()
        self._runner.stop()
        self.weight_cache.in_memory.clear()

    def restart(self) -> None:
        """Start a new incarnation with no resident models."""
        self._start_incarnation()
        self._tasks.start_soon(self._batcher.step_forever)
        self._started_ms += 1
        self._order_count = 0
        self._is_busy = False
        self.is_alive = True

    def make_entry(self) -> EndpointEntry:
        """Make the engine's entry in the list of endpoints, with the next heartbeat."""
        self._heartbeat += 1
        return EndpointEntry(
            endpoint=self.name,
            service=SERVICE,
            address=("", 0),
            data_centre="",
            slots=self._plan.slots,
            is_leaving=False,
            remaining_s=None,
            heartbeat=self._heartbeat,
            started_ms=self._started_ms,
            models=self._list_models(),
            in_memory=frozenset(self.weight_cache.in_memory),
            on_disk=frozenset(self.weight_cache.on_disk),
        )

    def make_report(self) -> EndpointReport:
        """Make the engine's report for a planner."""
        entry = self.make_entry()
        return EndpointReport(
            models=entry.models,
            is_busy=self._is_busy,
            order_count=self._order_count,
            waiting=0,
            running=0,
            pending_adapters=(),
            in_memory=entry.in_memory,
            on_disk=entry.on_disk,
        )

    def accept_order(self, order: Order, expected_count: int) -> OrderReply:
        """Accept an order if none is in progress.

        :param expected_count: number of orders that the planner assumes to be accepted before
        :return: CONFLICT if an order is in progress or the number differs, UNKNOWN after a crash
        """
        if not self.is_alive:
            return OrderReply.UNKNOWN
        if self._is_busy or expected_count != self._order_count:
            return OrderReply.CONFLICT
        self._order_count += 1
        self.accepted_orders += 1
        self._is_busy = True
        self._tasks.start_soon(self._execute_order, order, self._runner)
        return OrderReply.ACCEPTED

    async def _execute_order(self, order: Order, runner: OrderRunner) -> None:
        model = self._model_by_name[order.model]
        is_adapter = bool(order.adapter)
        record = runner.start(
            EngineOrder(
                f"{self._started_ms}-{self._order_count}",
                1,
                order.kind,
                order.model,
                _make_adapter_id(order.model, order.adapter) if is_adapter else "",
                "",
                "",
                model.adapter_bytes if is_adapter else model.size_bytes,
                0.0,
            ),
            self._tasks,
        )
        await record.wait_end()
        if order.kind == OrderKind.UNLOAD:
            self._drop_adapters(order.model)
        if runner is self._runner:
            self._is_busy = False

    def _drop_adapters(self, model: str) -> None:
        adapters = self._memory.adapters_by_name
        for name in [each for each in adapters if each.startswith(f"{model}/")]:
            del adapters[name]

    def _list_models(self) -> tuple[LoadedModel, ...]:
        adapters = [each.split("/") for each in self._memory.adapters_by_name]
        return tuple(
            LoadedModel(name, 1, frozenset(adapter for model, adapter in adapters if model == name))
            for name in self._memory.models_by_name
        )


def _make_adapter_id(model: str, adapter: str) -> str:
    return f"{model}/{adapter}"
