"""
kingcupdyke.fairness
~~~~~~~~~~~~~~~~~~~~

Weighted fair queueing of the requests of several callers.
"""

from bisect import bisect_left, insort
from typing import NamedTuple

from kingcupdyke.request import Request

__all__ = ["FairQueue", "Waiting"]

#: Least weight of a caller.
LEAST_WEIGHT = 0.001


class Waiting(NamedTuple):
    """A request in the queue; entries sort by their turn."""

    #: Virtual finish time.
    tag: float
    sequence: int
    weight: float
    estimate_s: float
    request: Request


class FairQueue:
    """Start-time fair queueing: each caller advances by 1 / weight a request."""

    def __init__(self) -> None:
        self._entries: list[Waiting] = []
        self._entry_by_id: dict[str, Waiting] = {}
        #: Virtual finish of the last request of each caller that waits.
        self._tag_by_caller: dict[str, float] = {}
        self._count_by_caller: dict[str, int] = {}
        self._virtual = 0.0
        self._sequence = 0
        self._total_estimate_s = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entry_by_id

    def make_entry(self, request: Request, estimate_s: float, weight: float) -> Waiting:
        """:return: an entry with the turn that the request would get, not yet in the queue"""
        weight = max(LEAST_WEIGHT, weight)
        start = max(self._virtual, self._tag_by_caller.get(request.caller, 0.0))
        self._sequence += 1
        return Waiting(start + 1.0 / weight, self._sequence, weight, estimate_s, request)

    @property
    def total_estimate_s(self) -> float:
        """:return: seconds of work that waits"""
        return max(0.0, self._total_estimate_s)

    def rank(self, entry: Waiting) -> int:
        """:return: how many entries go before this one"""
        return bisect_left(self._entries, entry)

    def push(self, entry: Waiting) -> None:
        """Add an entry made by :meth:`make_entry`."""
        caller = entry.request.caller
        insort(self._entries, entry)
        self._entry_by_id[entry.request.request_id] = entry
        self._total_estimate_s += entry.estimate_s
        self._tag_by_caller[caller] = entry.tag
        self._count_by_caller[caller] = self._count_by_caller.get(caller, 0) + 1

    def pop(self) -> Waiting:
        """:return: the entry whose turn it is, taken out

        :raises IndexError: when the queue is empty
        """
        entry = self._entries[0]
        self._virtual = max(self._virtual, entry.tag)
        self.remove(entry.request.request_id)
        return entry

    def remove(self, request_id: str) -> bool:
        """:return: whether the request was in the queue; it is taken out"""
        entry = self._entry_by_id.pop(request_id, None)
        if entry is None:
            return False
        del self._entries[bisect_left(self._entries, entry)]
        self._total_estimate_s -= entry.estimate_s
        caller = entry.request.caller
        self._count_by_caller[caller] -= 1
        if not self._count_by_caller[caller]:
            del self._count_by_caller[caller]
            self._tag_by_caller.pop(caller, None)
        return True

    def ordered(self) -> list[Waiting]:
        """:return: the entries in their turn, as a copy"""
        return list(self._entries)

    def last(self) -> Waiting:
        """:return: the entry whose turn is last"""
        return self._entries[-1]

    def find_greedier(self, entry: Waiting) -> Waiting | None:
        """:return: the last entry of a caller that holds more places for its weight than the
        caller of ``entry`` would with it, or None
        """
        own = (self._count_by_caller.get(entry.request.caller, 0) + 1) / entry.weight
        for other in reversed(self._entries):
            if self._count_by_caller[other.request.caller] / other.weight > own:
                return other
        return None
