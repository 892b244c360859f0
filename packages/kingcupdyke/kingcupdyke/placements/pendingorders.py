"""
kingcupdyke.placements.pendingorders
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Orders that were issued and whose outcome is not known yet.
"""

from typing import NamedTuple

from kingcupdyke.placement import EndpointInventory, Order, OrderKind

__all__ = ["PendingOrders", "OrderInFlight"]

#: Seconds after which an order that its endpoint has not shown as pending counts as lost.
LOST_ORDER_S = 5.0
_SEPARATOR = "|"


class OrderInFlight(NamedTuple):
    """An order of this or another planner whose outcome is not known yet."""

    kind: str
    endpoint: str
    model: str
    adapter: str
    #: Bytes of memory that the endpoint does not report as reserved yet.
    unreserved_bytes: int


class Issued(NamedTuple):
    """An order of this planner."""

    order: Order
    issued_s: float
    #: Whether its endpoint has shown it as pending.
    was_pending: bool


class PendingOrders:
    """Creates orders and tracks them until their endpoints show the outcome.

    :param planner: part of each order's id, unique to the run of the planner's process
    """

    def __init__(self, planner: str = "") -> None:
        self._planner = planner
        self._count = 0
        self._issued_by_id: dict[str, Issued] = {}

    def issue(
        self,
        kind: str,
        endpoint: str,
        now_s: float,
        model: str,
        adapter: str = "",
        size: int = 0,
        version: str = "",
    ) -> Order:
        """:return: a new order, which is tracked from now on

        :param version: version of the model that is loaded
        :param size: bytes of memory that it takes; 0 for an unload
        """
        self._count += 1
        parts = (kind, model, adapter, endpoint, self._planner, str(self._count))
        order = Order(_SEPARATOR.join(parts), endpoint, kind, model, adapter, version, "", size)
        self._issued_by_id[order.order_id] = Issued(order, now_s, False)
        return order

    def update(
        self, inventory_by_endpoint: dict[str, EndpointInventory], now_s: float
    ) -> list[OrderInFlight]:
        """Remove the orders that have ended.

        :param now_s: time in seconds
        :return: the orders in flight, including those of other planners that endpoints show
        """
        for order_id, issued in list(self._issued_by_id.items()):
            inventory = inventory_by_endpoint.get(issued.order.endpoint)
            if inventory is None or _has_ended(issued, inventory, now_s):
                del self._issued_by_id[order_id]
            elif order_id in inventory.pending:
                self._issued_by_id[order_id] = issued._replace(was_pending=True)
        own = [_describe(each) for each in self._issued_by_id.values()]
        return own + self._list_foreign(inventory_by_endpoint)

    def _list_foreign(
        self, inventory_by_endpoint: dict[str, EndpointInventory]
    ) -> list[OrderInFlight]:
        pending = [
            (endpoint, order_id.split(_SEPARATOR))
            for endpoint, inventory in inventory_by_endpoint.items()
            for order_id in sorted(inventory.pending)
            if order_id not in self._issued_by_id
        ]
        return [
            OrderInFlight(parts[0], endpoint, parts[1], parts[2], 0)
            for endpoint, parts in pending
            if len(parts) == 6
        ]


def _describe(issued: Issued) -> OrderInFlight:
    order = issued.order
    unreserved_bytes = 0 if issued.was_pending else order.order_bytes
    return OrderInFlight(order.kind, order.endpoint, order.model, order.adapter, unreserved_bytes)


def _has_ended(issued: Issued, inventory: EndpointInventory, now_s: float) -> bool:
    if issued.order.order_id in inventory.pending:
        return False
    if issued.was_pending or now_s - issued.issued_s > LOST_ORDER_S:
        return True
    if issued.order.kind == OrderKind.LOAD:
        return issued.order.model in inventory.models
    if issued.order.kind == OrderKind.UNLOAD:
        return issued.order.model not in inventory.models
    if issued.order.kind == OrderKind.LOAD_ADAPTER:
        return issued.order.adapter in inventory.adapters
    return issued.order.adapter not in inventory.adapters
