"""
kingcupdyke.demand
~~~~~~~~~~~~~~~~~~

Demand for each model and region, spread between processes as deltas.
"""

from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from kingcupdyke.util import get_float_opt

__all__ = ["DemandDelta", "DemandTracker"]

#: Decayed arrivals below which a key is dropped.
LEAST_ARRIVALS = 0.01


class DemandDelta(NamedTuple):
    """Arrivals since the last delta of the same sender."""

    model: str
    region: str
    arrivals: float


class DemandTracker:
    """Counts arrivals that fade with their age.

    :param window_s: seconds over which demand is averaged; an arrival counts for 1/e after them
    :raises OptionError: when that is not above zero
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = get_float_opt({"window_s": window_s}, "window_s", least=0.001)
        #: Faded arrivals and the time to which they are faded.
        self._faded_by_key: dict[tuple[str, str], tuple[float, float]] = {}
        self._merged_by_key: dict[tuple[str, str], float] = {}
        self._deltas_by_key: dict[tuple[str, str], float] = {}

    def arrived(self, model: str, region: str, now_s: float) -> None:
        """Count a request of a caller in ``region``.

        :param now_s: time in seconds
        """
        key = (model, region)
        self._count(key, 1.0, now_s)
        _add(self._deltas_by_key, key, 1.0)

    def merge(self, deltas: Iterable[DemandDelta], relay: bool = False) -> None:
        """Add what another process counted.

        :param relay: hand the deltas on with the next :meth:`take_deltas`, as the one process
            does that speaks for its data centre
        """
        for model, region, arrivals in deltas:
            _add(self._merged_by_key, (model, region), arrivals)
            if relay:
                _add(self._deltas_by_key, (model, region), arrivals)

    def take_deltas(self) -> list[DemandDelta]:
        """:return: arrivals since the last call, each given once"""
        deltas = [DemandDelta(*key, count) for key, count in self._deltas_by_key.items()]
        self._deltas_by_key = {}
        return deltas

    def rates(self, now_s: float) -> dict[tuple[str, str], float]:
        """:return: requests a second, by model and region"""
        for key, arrivals in self._merged_by_key.items():
            self._count(key, arrivals, now_s)
        self._merged_by_key = {}
        for key in list(self._faded_by_key):
            self._count(key, 0.0, now_s)
            if self._faded_by_key[key][0] < LEAST_ARRIVALS:
                del self._faded_by_key[key]
        return {key: count / self._window_s for key, (count, _) in self._faded_by_key.items()}

    def _count(self, key: tuple[str, str], arrivals: float, now_s: float) -> None:
        count, faded_s = self._faded_by_key.get(key, (0.0, now_s))
        count *= exp(-max(0.0, now_s - faded_s) / self._window_s)
        self._faded_by_key[key] = (count + arrivals, max(now_s, faded_s))


def _add(counts: dict[tuple[str, str], float], key: tuple[str, str], count: float) -> None:
    counts[key] = counts.get(key, 0.0) + count
