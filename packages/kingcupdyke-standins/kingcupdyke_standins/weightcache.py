"""
kingcupdyke_standins.weightcache
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Weight copies that an engine keeps on disk and in host memory, and the load times they give.
"""

from collections import OrderedDict
from typing import NamedTuple

from anyio import current_time, sleep

from kingcupdyke_standins.order import EngineOrder, WeightsSource

__all__ = ["WeightCopyCache", "LoadTimes"]


class LoadTimes(NamedTuple):
    """Duration of a load of one model in seconds, by the source of the weights."""

    store_s: float
    disk_s: float
    memory_s: float


class WeightCopyCache(WeightsSource):
    """The weight copies of one engine; a load uses the fastest source that has the weights.

    :param times_by_model: duration of the loads of each model
    :param size_by_model: size of the weights of each model in bytes
    :param disk_bytes: space for copies on disk
    :param memory_bytes: space for copies in host memory
    """

    def __init__(
        self,
        times_by_model: dict[str, LoadTimes],
        size_by_model: dict[str, int],
        disk_bytes: int,
        memory_bytes: int,
    ) -> None:
        self._times_by_model = times_by_model
        self._size_by_model = size_by_model
        self._disk_bytes = disk_bytes
        self._memory_bytes = memory_bytes
        #: Names of the models with a copy, the least recently used first.
        self.on_disk: OrderedDict[str, None] = OrderedDict()
        self.in_memory: OrderedDict[str, None] = OrderedDict()
        #: Start times of loads from the weight store, in seconds on the event loop's clock.
        self.store_loads_s: list[float] = []

    async def fetch(self, order: EngineOrder, region: str) -> str:
        times = self._times_by_model.get(order.model)
        if times is None:
            return f"the weight store has no model {order.model}"
        if order.model in self.in_memory:
            load_s = times.memory_s
        elif order.model in self.on_disk:
            load_s = times.disk_s
        else:
            load_s = times.store_s
            self.store_loads_s.append(current_time())
        await sleep(load_s)
        self.keep(order.model)
        return ""

    def keep(self, model: str) -> None:
        """Store copies of a loaded model and evict the least recently used ones if needed."""
        self._put(self.on_disk, model, self._disk_bytes)
        self._put(self.in_memory, model, self._memory_bytes)

    def _put(self, cached_models: OrderedDict[str, None], model: str, capacity_bytes: int) -> None:
        cached_models[model] = None
        cached_models.move_to_end(model)
        while sum(self._size_by_model[name] for name in cached_models) > capacity_bytes:
            cached_models.popitem(last=False)
