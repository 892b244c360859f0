"""
kingcupdyke.forwarding.planner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The planner of one term: its engines, its orders, and the placements announced to peers.
"""

from collections.abc import Callable, Mapping, Sequence

from kingcupdyke.forwarding.configuration import EngineSpec
from kingcupdyke.forwarding.endpoint import EndpointReport
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.enginestate import EngineState, OrderReply
from kingcupdyke.forwarding.peerstate import Demand, Placement
from kingcupdyke.forwarding.pinneddemand import PinnedDemand
from kingcupdyke.forwarding.planround import TimedOrder
from kingcupdyke.forwarding.residencyplan import ResidencyPlan
from kingcupdyke.placement import Order, OrderKind

__all__ = ["PlacementPlanner"]

#: Number of peers without access to an endpoint at which this planner stops using it.
MIN_UNREACHABLE_PEERS = 2
#: Seconds for which a placement is announced to peers.
ANNOUNCE_S = 2.0


class PlacementPlanner:
    """Decides on orders and tracks their outcome; the caller sends them.

    :param endpoint_table: the endpoints known to this gateway
    :param on_placement: called when there is a new placement to announce to peers
    """

    def __init__(self, endpoint_table: EndpointTable, on_placement: Callable[[], None]) -> None:
        self._endpoint_table = endpoint_table
        self._on_placement = on_placement
        self._plan_by_service: dict[str, ResidencyPlan] = {}
        self._placements: list[tuple[float, Placement]] = []
        self.engine_by_id: dict[str, EngineState] = {}

    def begin_term(self) -> None:
        """Discard the engines and plans of an earlier term."""
        self.engine_by_id.clear()
        self._plan_by_service.clear()

    def update(
        self, engine_spec_by_service: Mapping[str, EngineSpec], now_s: float
    ) -> list[EngineState]:
        """Update the engines from the endpoint table.

        :return: engines that are new, or whose models or copies of weights have changed
        """
        changed = []
        for endpoint, state in self._endpoint_table.state_by_id.items():
            if state.entry.service not in engine_spec_by_service:
                continue
            engine = self.engine_by_id.get(endpoint)
            is_new = engine is None
            if is_new:
                engine = self.engine_by_id[endpoint] = EngineState(state.entry)
            engine.backoff_s = self._endpoint_table.backoff_table.find_delay(endpoint, now_s)
            if is_new:
                changed.append(engine)
                continue
            if engine.entry.differs(state.entry):
                changed.append(engine)
            engine.observe_entry(state.entry)
            is_reachable_here = state.is_reachable(now_s)
            engine.is_reachable = (
                is_reachable_here and state.peer_reports.unreachable_peers < MIN_UNREACHABLE_PEERS
            )
        for endpoint in self.engine_by_id.keys() - self._endpoint_table.state_by_id.keys():
            del self.engine_by_id[endpoint]
        return changed

    def list_unreported(self, now_s: float) -> list[EngineState]:
        """:return: engines whose report has to be requested now; it counts as requested"""
        return [each for each in self.engine_by_id.values() if each.begin_report_request(now_s)]

    def plan(
        self,
        engine_spec_by_service: Mapping[str, EngineSpec],
        demands: Sequence[Demand],
        tokens_per_s: float,
        now_s: float,
        pinned: Sequence[PinnedDemand] = (),
    ) -> list[TimedOrder]:
        """Decide on the orders of one round; they count as sent.

        :param demands: demand that all gateways report
        :param tokens_per_s: prompt tokens a second that one engine reads
        :param pinned: demand that only engines of one software version can serve
        """
        orders: list[TimedOrder] = []
        for service, engine_spec in engine_spec_by_service.items():
            engines = [each for each in self.engine_by_id.values() if each.entry.service == service]
            for engine in engines:
                resent = engine.get_order_to_resend(now_s)
                if resent is not None:
                    orders.append(TimedOrder(resent, engine.expected_end_s - now_s, "", 0.0))
            plan = self._plan_by_service.setdefault(service, ResidencyPlan(service))
            own_pinned = [each for each in pinned if each.service == service]
            orders += plan.plan(engine_spec, engines, demands, tokens_per_s, now_s, own_pinned)
        for timed in orders:
            self._begin(timed, now_s)
        return orders

    def observe_report(self, engine: EngineState, report: EndpointReport, now_s: float) -> None:
        """Update an engine from its report, unless the engine was removed in the meantime."""
        if self.engine_by_id.get(engine.entry.endpoint) is engine:
            engine.observe_report(report, now_s)

    def answered(
        self, engine: EngineState, timed: TimedOrder, reply: OrderReply, now_s: float
    ) -> None:
        """Process the answer to an order, and announce the placement if it was accepted."""
        engine.answered(reply, now_s)
        if reply not in (OrderReply.ACCEPTED, OrderReply.HOLDS):
            return
        kind = timed.order.kind
        if kind in (OrderKind.LOAD, OrderKind.LOAD_ADAPTER):
            self._announce(timed.order, True, timed.expected_s, now_s)
        elif kind == OrderKind.UNLOAD_ADAPTER:
            self._announce(timed.order, False, 0.0, now_s)

    def list_placements(self, now_s: float) -> tuple[Placement, ...]:
        """:return: placements to announce to peers, with the seconds that remain until ready"""
        self._placements = [each for each in self._placements if now_s - each[0] < ANNOUNCE_S]
        return tuple(
            each._replace(ready_in_s=round(max(0.0, each.ready_in_s - (now_s - announced_s)), 3))
            for announced_s, each in self._placements
        )

    def _begin(self, timed: TimedOrder, now_s: float) -> None:
        order = timed.order
        self.engine_by_id[order.endpoint].begin(order, now_s, timed.expected_s)
        if order.kind != OrderKind.UNLOAD:
            return
        # Announced before the order is executed, so that no more requests for the model are sent.
        self._announce(order, False, 0.0, now_s)
        if timed.successor:
            self._announce(order._replace(model=timed.successor), True, timed.successor_s, now_s)

    def _announce(self, order: Order, is_present: bool, ready_in_s: float, now_s: float) -> None:
        placement = Placement(order.endpoint, order.model, order.adapter, is_present, ready_in_s)
        self._placements.append((now_s, placement))
        self._on_placement()
