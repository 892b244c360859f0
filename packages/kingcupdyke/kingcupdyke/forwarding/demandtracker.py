"""
kingcupdyke.forwarding.demandtracker
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The demand for models and adapters at one gateway.
"""

from collections import Counter
from collections.abc import Iterable

from kingcupdyke.forwarding.decayingrate import DecayingRate
from kingcupdyke.forwarding.peerstate import Demand
from kingcupdyke.forwarding.pinneddemand import PinnedDemand
from kingcupdyke.forwarding.workitem import WorkItem

__all__ = ["DemandTracker", "count_pinned"]


class DemandTracker:
    """The rate of prompt tokens of each model and adapter."""

    def __init__(self) -> None:
        self._rate_by_model: dict[tuple[str, str], DecayingRate] = {}

    def add(self, item: WorkItem, now_s: float) -> None:
        """Add a request that has arrived."""
        rate = self._rate_by_model.setdefault((item.model, item.adapter), DecayingRate())
        rate.add(max(1, item.prompt_tokens), now_s)

    def list_demands(self, waiting: Iterable[WorkItem], now_s: float) -> tuple[Demand, ...]:
        """:return: the demand for each model and adapter, other than pinned demand

        :param waiting: the waiting requests
        """
        counts = Counter(
            (item.model, item.adapter)
            for item in waiting
            if item.model and item.software_version is None
        )
        demands = []
        for (model, adapter), demand_rate in list(self._rate_by_model.items()):
            rate = demand_rate.read(now_s)
            count = counts[model, adapter]
            if not rate and not count:
                del self._rate_by_model[model, adapter]
            if model and (rate >= 1.0 or count):
                demands.append(Demand(model, adapter, count, round(rate, 1)))
        return tuple(demands)


def count_pinned(waiting: Iterable[WorkItem]) -> tuple[PinnedDemand, ...]:
    """:return: the waiting streams that must continue at one software version"""
    counts = Counter(
        (item.service, item.model, item.adapter, item.software_version)
        for item in waiting
        if item.model and item.software_version is not None
    )
    return tuple(PinnedDemand(*key, count) for key, count in counts.items())
