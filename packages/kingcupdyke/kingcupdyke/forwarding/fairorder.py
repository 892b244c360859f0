"""
kingcupdyke.forwarding.fairorder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Order of waiting requests that shares the capacity between callers.
"""

from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from kingcupdyke.forwarding.callertable import CallerTable
from kingcupdyke.forwarding.quotaspec import QuotaSpec, QuotaUnit
from kingcupdyke.forwarding.workitem import WorkItem

__all__ = ["FairOrder"]

#: Time constant in seconds with which the service that a caller has received is forgotten. A caller
#: that was idle may be served ahead of the others for about as many seconds of its rate.
MEMORY_S = 3.0
#: One of so many requests is served by its objective, whoever sent it, and without advancing the
#: virtual time of its caller: a caller far beyond its rate still gets a quarter of the share of its
#: requests that all callers together get.
OBJECTIVE_INTERVAL = 40
#: Virtual time that comes before all others.
FIRST_S = -1.0
#: Specification for callers of which none has a rate: all of them weigh the same.
EQUAL_WEIGHT = QuotaSpec(1.0, 0.0, QuotaUnit.TOKENS, 1)

#: Sort key of a waiting request: priority, whether it is late, virtual time of its caller,
#: objective, arrival and id.
Rank = tuple[int, bool, float, float, float, str]


class _ReceivedWork(NamedTuple):
    """What a caller has received from the endpoints of a service."""

    #: Virtual time: seconds that the caller needs at its rate to use as much.
    virtual_s: float
    #: Time at which it was as much.
    at_s: float

    def read(self, now_s: float) -> float:
        return self.virtual_s * exp(-max(0.0, now_s - self.at_s) / MEMORY_S)


class FairOrder:
    """Orders waiting requests by priority, then by the service that their callers received lately.

    Each request that is sent advances the virtual time of its caller by its cost divided by the
    caller's rate, and the virtual time decays. The caller with the least is served next, so that
    callers that wait all the time receive service in proportion to their rates. Requests that can
    no longer be on time come after those that can. Without callers, the order of requests with the
    same priority is that of their objectives.
    """

    def __init__(self) -> None:
        self._callers: CallerTable | None = None
        self._default_spec = EQUAL_WEIGHT
        self._received_by_key: dict[tuple[str, str], _ReceivedWork] = {}
        #: Order of the waiting requests by service and model, and the time at which it was made.
        self._line_by_model: dict[tuple[str, str], list[WorkItem]] = {}
        self._ranked_s: float | None = None
        #: Number of requests sent.
        self._sent = 0
        #: Requests that are served next by their objective, at no cost to their callers.
        self._exempt_ids: set[str] = set()

    def configure(self, callers: CallerTable | None) -> None:
        """Replace the callers by those of a new configuration."""
        self._callers = callers
        names = set() if callers is None else callers.callers_by_name.keys() | {""}
        self._received_by_key = {
            key: each for key, each in self._received_by_key.items() if key[1] in names
        }
        self._default_spec = _choose_default(callers)
        self._ranked_s = None

    def sort(self, waiting: Iterable[WorkItem], now_s: float) -> list[WorkItem]:
        """:return: waiting requests, those that are served first at the beginning"""
        items = list(waiting)
        rank_by_id = self._rank_all(items, now_s)
        items.sort(key=lambda each: rank_by_id[each.attempt_id])
        self._line_by_model = {}
        for each in items:
            self._line_by_model.setdefault((each.service, each.model), []).append(each)
        self._ranked_s = now_s
        return items

    def list_ahead(
        self, item: WorkItem, waiting: Iterable[WorkItem], now_s: float
    ) -> list[WorkItem]:
        """:return: the waiting requests for the same model that are served before a request

        :param waiting: all waiting requests
        """
        line = self._line_by_model.get((item.service, item.model), [])
        if self._ranked_s == now_s and item in line:
            return line[: line.index(item)]
        others = [each for each in waiting if each.attempt_id != item.attempt_id]
        same = [each for each in others if (each.service, each.model) == (item.service, item.model)]
        # Without callers, requests for other models don't matter.
        ranked = same if self._callers is None else others
        rank_by_id = self._rank_all([*ranked, item], now_s)
        rank = rank_by_id[item.attempt_id]
        return [each for each in same if rank_by_id[each.attempt_id] < rank]

    def note_change(self) -> None:
        """Record that a request has begun to wait, so that the order may be another."""
        self._ranked_s = None

    def note_decided(self, item: WorkItem) -> None:
        """Record that a request no longer waits."""
        line = self._line_by_model.get((item.service, item.model), [])
        if item in line:
            line.remove(item)

    def note_sent(self, item: WorkItem, now_s: float) -> None:
        """Record that a request is sent to an endpoint."""
        if self._callers is None:
            return
        self._sent += 1
        if item.attempt_id in self._exempt_ids:
            return
        received_s = self._read_virtual(item, now_s) + self._measure_s(item)
        self._received_by_key[item.service, item.caller] = _ReceivedWork(received_s, now_s)

    def _rank_all(self, items: list[WorkItem], now_s: float) -> dict[str, Rank]:
        if self._callers is None:
            return {each.attempt_id: _rank(each, 0.0, now_s) for each in items}
        ranks = {}
        self._exempt_ids = set()
        exempt_services: set[str] = set()
        has_turn = self._sent % OBJECTIVE_INTERVAL == 0
        # A caller's own requests keep their order: each one comes as late as if those before it had
        # been served.
        next_s_by_key: dict[tuple[str, str], float] = {}
        for item in sorted(items, key=lambda each: _rank(each, 0.0, now_s)):
            if has_turn and item.service not in exempt_services:
                exempt_services.add(item.service)
                self._exempt_ids.add(item.attempt_id)
                ranks[item.attempt_id] = _rank(item, FIRST_S, now_s)
                continue
            key = item.service, item.caller
            start_s = next_s_by_key.get(key)
            if start_s is None:
                start_s = self._read_virtual(item, now_s)
            ranks[item.attempt_id] = _rank(item, start_s, now_s)
            next_s_by_key[key] = start_s + self._measure_s(item)
        return ranks

    def _read_virtual(self, item: WorkItem, now_s: float) -> float:
        received = self._received_by_key.get((item.service, item.caller))
        return 0.0 if received is None else received.read(now_s)

    def _measure_s(self, item: WorkItem) -> float:
        """:return: seconds of its caller's rate that a request uses"""
        caller = self._callers.callers_by_name.get(item.caller)
        spec = self._default_spec if caller is None or caller.quota is None else caller.quota
        return spec.measure_tokens(item.prompt_tokens + item.output_tokens) / spec.rate_per_s


def _choose_default(callers: CallerTable | None) -> QuotaSpec:
    """:return: the specification by which callers without a rate are weighted"""
    listed = () if callers is None else callers.callers_by_name.values()
    specs = [each.quota for each in listed if each.quota is not None]
    if not specs:
        return EQUAL_WEIGHT
    # A rate of 1 beside rates of thousands of tokens would leave such a caller without service.
    return sorted(specs, key=lambda each: (each.unit, each.rate_per_s))[len(specs) // 2]


def _rank(item: WorkItem, virtual_s: float, now_s: float) -> Rank:
    is_late = now_s > item.objective_s
    order = item.objective_s, item.arrived_s, item.attempt_id
    return item.priority, is_late, virtual_s, *order
