"""
kingcupdyke_standins.weightcache
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Copies of weights that an engine keeps on its disk and in host memory, and how long loads take.
"""

from collections import OrderedDict
from typing import NamedTuple

from anyio import current_time, sleep

from kingcupdyke_standins.order import EngineOrder, WeightsSource

__all__ = ["WeightCopyCache", "LoadTimes"]


class LoadTimes(NamedTuple):
    """Seconds that loads of one model take, by where the weights are."""

    store_s: float
    disk_s: float
    memory_s: float


class WeightCopyCache(WeightsSource):
    """The copies of one engine.

    :param times_by_model: how long loads take
    :param size_by_model: bytes of the models' weights
    :param disk_bytes: room for copies on disk
    :param memory_bytes: room for copies in host memory
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
        #: Names of models, the longest unused first.
        self.on_disk: OrderedDict[str, None] = OrderedDict()
        self.in_memory: OrderedDict[str, None] = OrderedDict()
        #: Times at which loads from the weight store began, in seconds.
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
        """Keep copies of a model that was loaded, in place of those unused for longest."""
        self._put(self.on_disk, model, self._disk_bytes)
        self._put(self.in_memory, model, self._memory_bytes)

    def _put(self, shelf: OrderedDict[str, None], model: str, room_bytes: int) -> None:
        shelf[model] = None
        shelf.move_to_end(model)
        while sum(self._size_by_model[name] for name in shelf) > room_bytes:
            shelf.popitem(last=False)
