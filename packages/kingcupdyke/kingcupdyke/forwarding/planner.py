"""
kingcupdyke.forwarding.planner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The planner of one term: the engines that it gives orders to, its orders, and what peers are told.
"""

from collections.abc import Mapping, Sequence

from kingcupdyke.forwarding.configuration import EngineSpec
from kingcupdyke.forwarding.endpoint import EndpointReport
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.enginestate import EngineState, OrderReply
from kingcupdyke.forwarding.peerstate import Demand, Placement
from kingcupdyke.forwarding.planround import TimedOrder
from kingcupdyke.forwarding.residencyplan import ResidencyPlan
from kingcupdyke.placement import Order, OrderKind

__all__ = ["PlacementPlanner"]

#: Peers that must not reach an endpoint for this planner to do without it.
PEERS_WITHOUT = 2
#: Seconds for which peers are told of a placement.
TELL_S = 2.0


class PlacementPlanner:
    """Decides on orders and keeps track of them; whoever calls it carries them.

    :param board: the endpoints as this gateway knows them
    """

    def __init__(self, board: EndpointTable) -> None:
        self._board = board
        self._plan_by_service: dict[str, ResidencyPlan] = {}
        self._placements: list[tuple[float, Placement]] = []
        self.seat_by_id: dict[str, EngineState] = {}

    def begin_term(self) -> None:
        """Forget what an earlier term knew of the engines."""
        self.seat_by_id.clear()
        self._plan_by_service.clear()

    def update(
        self, engine_by_service: Mapping[str, EngineSpec], now_s: float
    ) -> list[EngineState]:
        """Take what the board says of the engines.

        :return: engines that hold something else than before, or that are new
        """
        changed = []
        for endpoint, state in self._board.state_by_id.items():
            if state.entry.service not in engine_by_service:
                continue
            seat = self.seat_by_id.get(endpoint)
            if seat is None:
                seat = self.seat_by_id[endpoint] = EngineState(state.entry)
                changed.append(seat)
                continue
            if seat.entry.differs(state.entry):
                changed.append(seat)
            seat.observe_entry(state.entry)
            is_reached = state.is_reachable(now_s)
            seat.is_reachable = is_reached and state.peers_without < PEERS_WITHOUT
        for endpoint in self.seat_by_id.keys() - self._board.state_by_id.keys():
            del self.seat_by_id[endpoint]
        return changed

    def list_unreported(self, now_s: float) -> list[EngineState]:
        """:return: engines whose report is to be asked for now; they count as asked"""
        return [each for each in self.seat_by_id.values() if each.wants_report(now_s)]

    def plan(
        self,
        engine_by_service: Mapping[str, EngineSpec],
        demands: Sequence[Demand],
        tokens_per_s: float,
        now_s: float,
    ) -> list[TimedOrder]:
        """Decide on the orders of one round; they count as sent.

        :param demands: demand as told by all gateways
        :param tokens_per_s: prompt tokens a second that one engine reads
        """
        orders: list[TimedOrder] = []
        for service, engine in engine_by_service.items():
            seats = [each for each in self.seat_by_id.values() if each.entry.service == service]
            for seat in seats:
                again = seat.wants_resend(now_s)
                if again is not None:
                    orders.append(TimedOrder(again, seat.due_s - now_s, "", 0.0))
            plan = self._plan_by_service.setdefault(service, ResidencyPlan(service))
            orders += plan.plan(engine, seats, demands, tokens_per_s, now_s)
        for timed in orders:
            self._begin(timed, now_s)
        return orders

    def observe_report(self, seat: EngineState, report: EndpointReport, now_s: float) -> None:
        """Take an engine's report, unless the engine was given up meanwhile."""
        if self.seat_by_id.get(seat.entry.endpoint) is seat:
            seat.observe_report(report, now_s)

    def answered(
        self, seat: EngineState, timed: TimedOrder, reply: OrderReply, now_s: float
    ) -> None:
        """Take the answer to an order."""
        seat.answered(reply, now_s)
        if reply not in (OrderReply.ACCEPTED, OrderReply.HOLDS):
            return
        kind = timed.order.kind
        if kind in (OrderKind.LOAD, OrderKind.LOAD_ADAPTER):
            self._tell(timed.order, True, timed.expected_s, now_s)
        elif kind == OrderKind.UNLOAD_ADAPTER:
            self._tell(timed.order, False, 0.0, now_s)

    def list_placements(self, now_s: float) -> tuple[Placement, ...]:
        """:return: placements of the last moments, as peers are told"""
        self._placements = [each for each in self._placements if now_s - each[0] < TELL_S]
        return tuple(
            each._replace(due_s=round(max(0.0, each.due_s - (now_s - since_s)), 3))
            for since_s, each in self._placements
        )

    def _begin(self, timed: TimedOrder, now_s: float) -> None:
        order = timed.order
        self.seat_by_id[order.endpoint].begin(order, now_s, timed.expected_s)
        if order.kind != OrderKind.UNLOAD:
            return
        # Before the order is carried out, so that nothing is sent there any more.
        self._tell(order, False, 0.0, now_s)
        if timed.successor:
            self._tell(order._replace(model=timed.successor), True, timed.successor_s, now_s)

    def _tell(self, order: Order, is_present: bool, due_s: float, now_s: float) -> None:
        placement = Placement(order.endpoint, order.model, order.adapter, is_present, due_s)
        self._placements.append((now_s, placement))
