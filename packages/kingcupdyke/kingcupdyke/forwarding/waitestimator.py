"""
kingcupdyke.forwarding.waitestimator
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a request that can't be sent now waits, or is rejected as that would take too long.
"""

from math import isfinite
from typing import NamedTuple

from kingcupdyke.forwarding.configuration import EngineSpec
from kingcupdyke.forwarding.decision import Decision, Refuse, Wait
from kingcupdyke.forwarding.endpointcosts import EndpointCosts
from kingcupdyke.forwarding.endpointstate import DEFAULT_TOKENS_PER_S, EndpointState
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.limittable import LimitTable
from kingcupdyke.forwarding.modelwait import estimate_load_s
from kingcupdyke.forwarding.workitem import WorkItem

__all__ = ["MIN_REMAINING_S", "RETRY_AFTER_S", "WaitEstimator", "WaitingRequest"]

#: Expected seconds from a request for a model to the planner's order to load it.
ORDER_DELAY_S = 0.3
#: Seconds after which a rejected caller is asked to retry if there is no better estimate, and at
#: least.
RETRY_AFTER_S = 0.5
MIN_RETRY_AFTER_S = 0.1
#: Minimum seconds until the deadline with which a request is still sent.
MIN_REMAINING_S = 0.03
#: Least limit of an endpoint, in requests a second, by which a wait is estimated.
MIN_LIMIT_PER_S = 0.25


class WaitingRequest(NamedTuple):
    """A request that can't be sent now."""

    item: WorkItem
    #: Requests that wait for the same model and are served before this one.
    ahead: list[WorkItem]
    #: Time by which it must have been sent, else it is rejected.
    latest_send_s: float


class WaitEstimator:
    """Estimates how long requests wait, for each reason to wait.

    :param endpoint_table: the endpoints
    :param limit_table: limits that endpoints name
    :param costs: estimates the wait for full endpoints
    """

    def __init__(
        self, endpoint_table: EndpointTable, limit_table: LimitTable, costs: EndpointCosts
    ) -> None:
        self._endpoint_table = endpoint_table
        self._backoff_table = endpoint_table.backoff_table
        self._limit_table = limit_table
        self._costs = costs

    @property
    def tokens_per_s(self) -> float:
        """:return: average prompt tokens a second that an endpoint reads"""
        rates = [each.tokens_per_s for each in self._endpoint_table.state_by_id.values()]
        return sum(rates) / len(rates) if rates else DEFAULT_TOKENS_PER_S

    def await_replica(
        self,
        waiting: WaitingRequest,
        engine_spec: EngineSpec,
        states: list[EndpointState],
        now_s: float,
    ) -> Decision:
        """Wait for the planner to place the model, or reject if that would take too long."""
        item, table = waiting.item, self._endpoint_table
        wait_s = table.estimate_ready_in_s(item.model, item.adapter, now_s, item.software_version)
        if wait_s is None:
            wait_s = ORDER_DELAY_S + estimate_load_s(table, item, engine_spec, states, now_s)
        peers_tokens = table.peer_waiting_by_model.get(item.model, 0) * item.prompt_tokens
        tokens_before = sum(each.prompt_tokens for each in waiting.ahead)
        wait_s += (tokens_before + peers_tokens) / self.tokens_per_s
        if now_s + max(0.0, wait_s) + MIN_REMAINING_S > waiting.latest_send_s:
            return Refuse("the model is not ready in time", max(MIN_RETRY_AFTER_S, wait_s))
        return Wait("no replica of the model yet")

    def await_permission(
        self, waiting: WaitingRequest, states: list[EndpointState], now_s: float
    ) -> Decision:
        """Wait until the limit of an endpoint permits it, or reject if that takes too long."""
        table = self._limit_table
        delay_s = min(table.find_delay(each.entry, now_s) for each in states)
        rate = sum(table.get_limit(each.entry) or 0.0 for each in states)
        wait_s = delay_s + len(waiting.ahead) / max(rate, MIN_LIMIT_PER_S)
        if now_s + wait_s + MIN_REMAINING_S > waiting.latest_send_s:
            retry_after_s = wait_s if isfinite(wait_s) else RETRY_AFTER_S
            reason = "the endpoints accept no more requests"
            return Refuse(reason, max(MIN_RETRY_AFTER_S, retry_after_s))
        return Wait("the endpoints accept no more requests yet")

    def await_backoff(
        self, waiting: WaitingRequest, states: list[EndpointState], now_s: float
    ) -> Decision:
        """Wait for the end of an endpoint's backoff, or reject if that takes too long."""
        item = waiting.item
        delay_s = min(self._backoff_table.find_delay(each.entry.endpoint, now_s) for each in states)
        if item.model:
            ready_s = self._endpoint_table.estimate_ready_in_s(
                item.model, item.adapter, now_s, item.software_version
            )
            delay_s = delay_s if ready_s is None else min(delay_s, ready_s)
        free_slots = sum(max(0, each.entry.slots - each.requests) for each in states)
        wait_s = delay_s
        if item.model or len(waiting.ahead) >= free_slots:
            wait_s += self._costs.estimate_wait_s(item, waiting.ahead, states)
        if now_s + wait_s + MIN_REMAINING_S > waiting.latest_send_s:
            reason = "the endpoints have requested backoff"
            return Refuse(reason, max(MIN_RETRY_AFTER_S, wait_s))
        return Wait("the endpoints have requested backoff")

    def await_capacity(
        self, waiting: WaitingRequest, states: list[EndpointState], now_s: float
    ) -> Decision:
        """Wait for capacity, or reject if the requests before this one take too long."""
        wait_s = self._costs.estimate_wait_s(waiting.item, waiting.ahead, states)
        if now_s + wait_s > waiting.latest_send_s:
            reason = "the queue is longer than the deadline"
            return Refuse(reason, max(MIN_RETRY_AFTER_S, wait_s))
        return Wait("all endpoints are full")
