"""
kingcupdyke.fairness
~~~~~~~~~~~~~~~~~~~~

Weighted fair queueing of requests from several callers.
"""

from bisect import bisect_left, insort
from typing import NamedTuple

from kingcupdyke.request import Request

__all__ = ["FairQueue", "QueueEntry"]

#: Smallest weight of a caller; smaller ones are raised to it.
MIN_WEIGHT = 0.001


class QueueEntry(NamedTuple):
    """A queued request; entries compare by the order in which they are dequeued."""

    #: Virtual finish time, the first sort key.
    virtual_finish: float
    #: Order of arrival, which breaks ties.
    sequence: int
    #: Share of the caller under contention.
    weight: float
    #: Estimated seconds from sending the request to the end of its answer.
    estimate_s: float
    request: Request


class FairQueue:
    """Start-time fair queueing: each request advances its caller's virtual time by 1 / weight."""

    def __init__(self) -> None:
        self._entries: list[QueueEntry] = []
        self._entry_by_id: dict[str, QueueEntry] = {}
        #: Virtual finish time of the last queued request of each caller.
        self._virtual_finish_by_caller: dict[str, float] = {}
        self._count_by_caller: dict[str, int] = {}
        self._virtual_time = 0.0
        self._sequence = 0
        self._total_estimate_s = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entry_by_id

    def make_entry(self, request: Request, estimate_s: float, weight: float) -> QueueEntry:
        """:return: the entry for a request at its position in the queue, without adding it"""
        weight = max(MIN_WEIGHT, weight)
        start = max(self._virtual_time, self._virtual_finish_by_caller.get(request.caller, 0.0))
        self._sequence += 1
        return QueueEntry(start + 1.0 / weight, self._sequence, weight, estimate_s, request)

    @property
    def total_estimate_s(self) -> float:
        """:return: estimated seconds of work of all queued requests"""
        return max(0.0, self._total_estimate_s)

    def rank(self, entry: QueueEntry) -> int:
        """:return: number of queued entries that are dequeued before this one"""
        return bisect_left(self._entries, entry)

    def push(self, entry: QueueEntry) -> None:
        """Add an entry made by :meth:`make_entry`."""
        caller = entry.request.caller
        insort(self._entries, entry)
        self._entry_by_id[entry.request.request_id] = entry
        self._total_estimate_s += entry.estimate_s
        self._virtual_finish_by_caller[caller] = entry.virtual_finish
        self._count_by_caller[caller] = self._count_by_caller.get(caller, 0) + 1

    def pop(self) -> QueueEntry:
        """Remove the entry that is first in the order.

        :return: the entry
        :raises IndexError: when the queue is empty
        """
        entry = self._entries[0]
        self._virtual_time = max(self._virtual_time, entry.virtual_finish)
        self.remove(entry.request.request_id)
        return entry

    def remove(self, request_id: str) -> bool:
        """Remove a request.

        :return: whether it was in the queue
        """
        entry = self._entry_by_id.pop(request_id, None)
        if entry is None:
            return False
        del self._entries[bisect_left(self._entries, entry)]
        self._total_estimate_s -= entry.estimate_s
        caller = entry.request.caller
        self._count_by_caller[caller] -= 1
        if not self._count_by_caller[caller]:
            del self._count_by_caller[caller]
            self._virtual_finish_by_caller.pop(caller, None)
        return True

    def ordered(self) -> list[QueueEntry]:
        """:return: a copy of the entries in the order in which they are dequeued"""
        return list(self._entries)

    def last(self) -> QueueEntry:
        """:return: the entry that is dequeued last"""
        return self._entries[-1]

    def find_victim(self, entry: QueueEntry) -> QueueEntry | None:
        """Find an entry to remove in favour of a new one.

        :return: the last entry of a caller whose queued entries per weight exceed those that the
            caller of ``entry`` would have with it, or None
        """
        own_ratio = (self._count_by_caller.get(entry.request.caller, 0) + 1) / entry.weight
        for other in reversed(self._entries):
            if self._count_by_caller[other.request.caller] / other.weight > own_ratio:
                return other
        return None
