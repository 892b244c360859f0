"""
kingcupdyke_measure.simulationengine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An engine of a play: the stand-in's batch, memory and orders behind the calls of a planner.
"""

from anyio.abc import TaskGroup

from kingcupdyke.forwarding.dispatcher import WorkItem
from kingcupdyke.forwarding.endpoint import EndpointEntry, EndpointReport, LoadedModel
from kingcupdyke.forwarding.enginestate import OrderReply
from kingcupdyke.placement import Order, OrderKind
from kingcupdyke_measure.simulationplan import PlayModel, PlayPlan
from kingcupdyke_standins.batch import Batcher, Run, RunRequest, Speed
from kingcupdyke_standins.memory import MemoryAccount, Resident
from kingcupdyke_standins.order import EngineOrder, OrderRunner, OrderSettings
from kingcupdyke_standins.weightcache import LoadTimes, WeightCopyCache

__all__ = ["SERVICE", "PlayEngine"]

SERVICE = "engines"
#: Adapter loads in flight beyond which each takes longer.
ADAPTER_KNEE = 48


class PlayEngine:
    """One engine.

    :param name: its name
    :param plan: what it is like
    :param violations: takes a line for each overcommit
    """

    def __init__(self, name: str, plan: PlayPlan, violations: list[str]) -> None:
        self.name = name
        self._plan = plan
        self._violations = violations
        self._spec_by_name = {each.name: each for each in plan.models}
        times = {
            each.name: LoadTimes(each.store_s, each.disk_s, each.memory_s) for each in plan.models
        }
        sizes = {each.name: each.size_bytes for each in plan.models}
        self.copies = WeightCopyCache(times, sizes, plan.disk_bytes, plan.host_memory_bytes)
        self.is_alive = True
        self.orders = 0
        self._heartbeat = 0
        self._born_ms = 1
        self._order_count = 0
        self._is_busy = False
        self._tasks: TaskGroup | None = None
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        plan = self._plan
        speed = Speed(plan.token_ms, plan.batch_slope_ms, 0.0, plan.slots, plan.prompt_tokens_per_s)
        self._memory = MemoryAccount(plan.memory_bytes, self._violations)
        self._batcher = Batcher(speed)
        settings = OrderSettings("", ADAPTER_KNEE, "")
        self._runner = OrderRunner(
            settings, self._memory, self._batcher, self._violations, self.copies
        )

    def start(self, tasks: TaskGroup) -> None:
        """Run the batch until cancelled."""
        self._tasks = tasks
        tasks.start_soon(self._batcher.step_forever)

    def hold(self, model: PlayModel) -> bool:
        """Hold a model from the start.

        :return: whether it fits
        """
        if not self._memory.fits(model.size_bytes):
            return False
        self._memory.models_by_name[model.name] = Resident("", model.size_bytes)
        self.copies.keep(model.name)
        return True

    def holds(self, model: str, adapter: str) -> bool:
        """:return: whether a model, and an adapter of it, is resident"""
        if not self.is_alive or model not in self._memory.models_by_name:
            return False
        return not adapter or _join(model, adapter) in self._memory.adapters_by_name

    def submit(self, item: WorkItem) -> Run | None:
        """:return: the request's run, or None where the engine does not hold its model"""
        if not self.holds(item.model, item.adapter):
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
        """The caller has left."""
        self._batcher.cancel(attempt_id)

    def crash(self) -> None:
        """Lose all that runs and all that is resident; copies on disk stay."""
        self.is_alive = False
        self._batcher.cancel_all()
        self._runner.stop()
        self.copies.in_memory.clear()

    def restart(self) -> None:
        """Start anew with nothing resident."""
        self._begin_incarnation()
        self._tasks.start_soon(self._batcher.step_forever)
        self._born_ms += 1
        self._order_count = 0
        self._is_busy = False
        self.is_alive = True

    def describe(self) -> EndpointEntry:
        """:return: its entry in the list of endpoints"""
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
            started_ms=self._born_ms,
            models=self._list_models(),
            in_memory=frozenset(self.copies.in_memory),
            on_disk=frozenset(self.copies.on_disk),
        )

    def report(self) -> EndpointReport:
        """:return: its report on its state"""
        entry = self.describe()
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

    def order(self, order: Order, expected_count: int) -> OrderReply:
        """Take an order, one at a time.

        :param expected_count: orders that it is to have accepted before
        """
        if not self.is_alive:
            return OrderReply.UNKNOWN
        if self._is_busy or expected_count != self._order_count:
            return OrderReply.CONFLICT
        self._order_count += 1
        self.orders += 1
        self._is_busy = True
        self._tasks.start_soon(self._carry_out, order, self._runner)
        return OrderReply.ACCEPTED

    async def _carry_out(self, order: Order, runner: OrderRunner) -> None:
        spec = self._spec_by_name[order.model]
        is_adapter = bool(order.adapter)
        record = runner.start(
            EngineOrder(
                f"{self._born_ms}-{self._order_count}",
                1,
                order.kind,
                order.model,
                _join(order.model, order.adapter) if is_adapter else "",
                "",
                "",
                spec.adapter_bytes if is_adapter else spec.size_bytes,
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


def _join(model: str, adapter: str) -> str:
    return f"{model}/{adapter}"
