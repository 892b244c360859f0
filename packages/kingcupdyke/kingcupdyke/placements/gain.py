"""
kingcupdyke.placements.gain
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The attainment that a replica more brings, or a replica less costs.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["DemandModel"]

#: Worth of a request that is served in its own region instead of another.
LOCAL_WORTH = 0.2


class Attainment(NamedTuple):
    """Requests a second that are served."""

    served: float
    #: Those of them that are served in their own region.
    local: float

    @property
    def worth(self) -> float:
        """:return: requests a second, weighted by where they are served"""
        return self.served + LOCAL_WORTH * self.local


class DemandModel:
    """Worth of replicas under a demand.

    :param demand_by_model: requests a second by model and region
    :param replica_requests_per_s: requests a second that one replica carries
    """

    def __init__(
        self, demand_by_model: Mapping[tuple[str, str], float], replica_requests_per_s: float
    ) -> None:
        self._rate = replica_requests_per_s
        self._demand_by_model: dict[str, dict[str, float]] = {}
        for (model, region), requests_per_s in demand_by_model.items():
            self._demand_by_model.setdefault(model, {})[region] = requests_per_s

    def get_gain(self, model: str, replicas_by_region: Mapping[str, int], region: str) -> float:
        """:return: requests a second that one replica more in ``region`` brings"""
        more = dict(replicas_by_region)
        more[region] = more.get(region, 0) + 1
        return self._serve(model, more).worth - self._serve(model, replicas_by_region).worth

    def get_loss(self, model: str, replicas_by_region: Mapping[str, int], region: str) -> float:
        """:return: requests a second that one replica less in ``region`` costs"""
        less = dict(replicas_by_region)
        less[region] = less.get(region, 0) - 1
        return self._serve(model, replicas_by_region).worth - self._serve(model, less).worth

    def get_share(self, model: str, replicas: int) -> float:
        """:return: requests a second that each of the replicas carries"""
        return sum(self._demand_by_model.get(model, {}).values()) / max(1, replicas)

    def _serve(self, model: str, replicas_by_region: Mapping[str, int]) -> Attainment:
        demand = self._demand_by_model.get(model, {})
        capacity = self._rate * sum(replicas_by_region.values())
        served = min(sum(demand.values()), capacity)
        local = sum(
            min(requests_per_s, self._rate * replicas_by_region.get(region, 0))
            for region, requests_per_s in demand.items()
        )
        return Attainment(served, local)
