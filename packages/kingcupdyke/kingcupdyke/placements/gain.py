"""
kingcupdyke.placements.gain
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The attainment that is gained by one more replica, or lost by one less.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["DemandModel"]

#: Additional weight of a request that is served in its own region.
LOCAL_WEIGHT = 0.2


class Attainment(NamedTuple):
    """Requests a second that are served, in all and in their own region."""

    served: float
    #: Requests a second that are served in their own region.
    local: float

    @property
    def weighted_rate(self) -> float:
        """:return: requests a second, with a higher weight for those served in their own region"""
        return self.served + LOCAL_WEIGHT * self.local


class DemandModel:
    """Attainment of replicas for a given demand.

    :param demand_by_model: requests a second by model and region
    :param replica_requests_per_s: requests a second that one replica can serve
    """

    def __init__(
        self, demand_by_model: Mapping[tuple[str, str], float], replica_requests_per_s: float
    ) -> None:
        self._replica_rate = replica_requests_per_s
        self._demand_by_model: dict[str, dict[str, float]] = {}
        for (model, region), requests_per_s in demand_by_model.items():
            self._demand_by_model.setdefault(model, {})[region] = requests_per_s

    def get_gain(self, model: str, replicas_by_region: Mapping[str, int], region: str) -> float:
        """:return: weighted requests a second that one more replica in ``region`` gains"""
        more = dict(replicas_by_region)
        more[region] = more.get(region, 0) + 1
        return (
            self._serve(model, more).weighted_rate
            - self._serve(model, replicas_by_region).weighted_rate
        )

    def get_loss(self, model: str, replicas_by_region: Mapping[str, int], region: str) -> float:
        """:return: weighted requests a second that one replica less in ``region`` loses"""
        less = dict(replicas_by_region)
        less[region] = less.get(region, 0) - 1
        return (
            self._serve(model, replicas_by_region).weighted_rate
            - self._serve(model, less).weighted_rate
        )

    def get_share(self, model: str, replicas: int) -> float:
        """:return: requests a second for each of the replicas"""
        return sum(self._demand_by_model.get(model, {}).values()) / max(1, replicas)

    def _serve(self, model: str, replicas_by_region: Mapping[str, int]) -> Attainment:
        demand = self._demand_by_model.get(model, {})
        capacity = self._replica_rate * sum(replicas_by_region.values())
        served = min(sum(demand.values()), capacity)
        local = sum(
            min(requests_per_s, self._replica_rate * replicas_by_region.get(region, 0))
            for region, requests_per_s in demand.items()
        )
        return Attainment(served, local)
