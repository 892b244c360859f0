"""
kingcupdyke.reservation
~~~~~~~~~~~~~~~~~~~~~~~

Memory that one order may take at an engine, until its end is known.
"""

from typing import NamedTuple

from kingcupdyke.intent import Intent
from kingcupdyke.inventory import EngineInventory, OrderState
from kingcupdyke.placement import Order, OrderKind

__all__ = ["OpenOrder", "Reservation", "get_target", "is_unload"]


class Reservation(NamedTuple):
    """Memory set aside for an order."""

    order_id: str
    kind: str
    #: Bytes set aside when the order was reserved.
    reserved_bytes: int
    #: Time after which the engine drops the order, in seconds of the timer service.
    expires_s: float


class OpenOrder:
    """An order whose end is not known yet.

    :param order: the order
    :param reservation: what was set aside for it
    :param adopted: whether an earlier sidecar recorded it, which may be paused and still send it
    """

    def __init__(self, order: Order, reservation: Reservation, adopted: bool = False) -> None:
        self.order = order
        self.reservation = reservation
        self.adopted = adopted
        #: Time after which no sending of it can arrive, in seconds of the timer service.
        self.expires_s = reservation.expires_s
        #: Whether its connection is closed, so that no answer can come.
        self.closed = adopted
        #: Last state that an inventory showed, or the empty string.
        self.state = ""
        #: An incarnation of the engine after which the order can no longer arrive.
        self.bound_incarnation = ""
        #: Count of events at which the connection was closed.
        self.closed_at = 0
        #: Whether it may have been sent more than once.
        self.is_repeated = False
        #: Whether the engine's "done" need not say what is resident now: the id is a repeat or was
        #: used for another order, or an order for the same name ended meanwhile.
        self.contested = adopted

    @classmethod
    def from_intent(cls, intent: Intent, now_s: float) -> "OpenOrder":
        """:return: the order of an earlier sidecar, whose lifetime runs from now at the earliest"""
        order = Order(
            intent.order_id,
            "",
            intent.kind,
            intent.model,
            intent.adapter,
            order_bytes=intent.order_bytes,
        )
        expires_s = now_s + intent.lifetime_s
        size_bytes = 0 if is_unload(intent.kind) else intent.order_bytes
        reservation = Reservation(intent.order_id, intent.kind, size_bytes, expires_s)
        return cls(order, reservation, adopted=True)

    @property
    def name(self) -> tuple[str, str]:
        """:return: the kind of thing and its name that the order is about"""
        return get_target(self.order)

    def repeat(self, expires_s: float) -> None:
        """Note that it may be sent once more.

        :param expires_s: time after which the engine drops the repeat
        """
        self.expires_s = max(self.expires_s, expires_s)
        self.bound_incarnation = ""
        self.closed = False
        self.is_repeated = True

    @property
    def has_begun(self) -> bool:
        """:return: whether memory that an inventory shows may be this order's"""
        return self.state in (OrderState.RUNNING, OrderState.DONE)

    def observe(self, inventory: EngineInventory, asked_at: int) -> None:
        """Take over what an inventory shows of the order.

        :param asked_at: count of events when the inventory was asked for
        """
        state = inventory.orders.get(self.order.order_id, "")
        if state:
            self.state = state
        if not self.bound_incarnation and self._has_left(state, asked_at):
            self.bound_incarnation = inventory.incarnation

    def _has_left(self, state: str, asked_at: int) -> bool:
        """:return: whether each sending of it was to the engine of the reading or an earlier one"""
        if state and not self.is_repeated:
            return True
        return self.closed and self.closed_at <= asked_at and not self.adopted

    def is_stranded(self, incarnation: str) -> bool:
        """:return: whether the engine that it was sent to is gone"""
        return self.bound_incarnation not in ("", incarnation)

    def is_over(self, asked_s: float) -> bool:
        """Tell whether an inventory shows the order's outcome for good.

        :param asked_s: a time before the inventory was asked for
        """
        if not self.closed or asked_s < self.expires_s:
            return False
        if self.state:
            return self.state in OrderState.ENDED
        return not self.adopted


def get_target(order: Order) -> tuple[str, str]:
    """:return: the kind of thing and its name that an order is about"""
    if order.kind in (OrderKind.LOAD_ADAPTER, OrderKind.UNLOAD_ADAPTER):
        return "adapter", order.adapter
    if order.kind == OrderKind.ROLE:
        return "role", ""
    return "model", order.model


def is_unload(kind: str) -> bool:
    """:return: whether an order of this kind frees memory"""
    return kind in (OrderKind.UNLOAD, OrderKind.UNLOAD_ADAPTER)
