"""
kingcupdyke.demand
~~~~~~~~~~~~~~~~~~

Demand for each model and region, exchanged between processes as deltas.
"""

from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from kingcupdyke.util import get_float_opt

__all__ = ["DemandDelta", "DemandTracker"]

#: Decayed number of arrivals below which a model and region is dropped.
MIN_DECAYED_ARRIVALS = 0.01


class DemandDelta(NamedTuple):
    """Requests that arrived since the last delta of the same sender."""

    model: str
    region: str
    arrivals: float


class DemandTracker:
    """Counts the requests that arrive, with exponential decay.

    :param window_s: time constant in seconds; after it, an arrival still counts for 1/e
    :raises OptionError: when ``window_s`` is below 0.001
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = get_float_opt({"window_s": window_s}, "window_s", least=0.001)
        #: Decayed number of arrivals, and the time in seconds up to which it is decayed.
        self._decayed_by_key: dict[tuple[str, str], tuple[float, float]] = {}
        #: Arrivals counted by other processes, not yet added to the decayed numbers.
        self._unmerged_by_key: dict[tuple[str, str], float] = {}
        #: Arrivals since the last call of :meth:`take_deltas`.
        self._unsent_by_key: dict[tuple[str, str], float] = {}

    def arrived(self, model: str, region: str, now_s: float) -> None:
        """Count a request that arrived from a caller in ``region``.

        :param now_s: time in seconds
        """
        key = (model, region)
        self._add_decayed(key, 1.0, now_s)
        _add(self._unsent_by_key, key, 1.0)

    def merge(self, deltas: Iterable[DemandDelta], relay: bool = False) -> None:
        """Add the arrivals that another process counted.

        :param relay: whether the next :meth:`take_deltas` also returns these deltas; set in the one
            process that relays for its data centre
        """
        for model, region, arrivals in deltas:
            _add(self._unmerged_by_key, (model, region), arrivals)
            if relay:
                _add(self._unsent_by_key, (model, region), arrivals)

    def take_deltas(self) -> list[DemandDelta]:
        """:return: arrivals since the last call; each arrival is returned once"""
        deltas = [DemandDelta(*key, count) for key, count in self._unsent_by_key.items()]
        self._unsent_by_key = {}
        return deltas

    def rates(self, now_s: float) -> dict[tuple[str, str], float]:
        """:return: average requests per second, by model and region"""
        for key, arrivals in self._unmerged_by_key.items():
            self._add_decayed(key, arrivals, now_s)
        self._unmerged_by_key = {}
        for key in list(self._decayed_by_key):
            self._add_decayed(key, 0.0, now_s)
            if self._decayed_by_key[key][0] < MIN_DECAYED_ARRIVALS:
                del self._decayed_by_key[key]
        return {key: count / self._window_s for key, (count, _) in self._decayed_by_key.items()}

    def _add_decayed(self, key: tuple[str, str], arrivals: float, now_s: float) -> None:
        count, decayed_s = self._decayed_by_key.get(key, (0.0, now_s))
        count *= exp(-max(0.0, now_s - decayed_s) / self._window_s)
        self._decayed_by_key[key] = (count + arrivals, max(now_s, decayed_s))


def _add(counts: dict[tuple[str, str], float], key: tuple[str, str], count: float) -> None:
    counts[key] = counts.get(key, 0.0) + count
