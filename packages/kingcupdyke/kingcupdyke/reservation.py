"""
kingcupdyke.reservation
~~~~~~~~~~~~~~~~~~~~~~~

Memory reserved for an order to an engine until the order's outcome is known.
"""

from typing import NamedTuple

from kingcupdyke.intent import Intent
from kingcupdyke.inventory import EngineInventory, OrderState
from kingcupdyke.placement import Order, OrderKind

__all__ = ["OpenOrder", "Reservation", "get_target", "is_unload"]


class Reservation(NamedTuple):
    """Memory reserved for an order."""

    order_id: str
    kind: str
    #: Bytes that were reserved for the order.
    reserved_bytes: int
    #: Time after which the engine drops the order on arrival, in seconds of the timer service.
    expires_s: float


class OpenOrder:
    """An order whose outcome is not known yet.

    :param order: the order
    :param reservation: the memory reserved for it
    :param adopted: whether an earlier sidecar recorded it; that sidecar may be paused and send the
        order later
    """

    def __init__(self, order: Order, reservation: Reservation, adopted: bool = False) -> None:
        self.order = order
        self.reservation = reservation
        self.adopted = adopted
        #: Time after which no message with it can arrive, in seconds of the timer service.
        self.expires_s = reservation.expires_s
        #: Whether its connection is closed, so that no answer can arrive.
        self.closed = adopted
        #: Last state shown by an inventory, or the empty string.
        self.state = ""
        #: Incarnation of the engine after which the order can no longer arrive, or the empty
        #: string while that is unknown.
        self.last_incarnation = ""
        #: Event count of the ledger when the connection was closed.
        self.closed_at = 0
        #: Whether it may have been sent more than once.
        self.is_resent = False
        #: Whether the engine's answer "done" may not describe the current state of its memory: the
        #: id was sent before or belonged to another order, or another order for the same name
        #: ended in the meantime.
        self.is_ambiguous = adopted

    @classmethod
    def from_intent(cls, intent: Intent, now_s: float) -> "OpenOrder":
        """:return: an order of an earlier sidecar, which is assumed not to expire before its full
        lifetime from now
        """
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
        """:return: kind and name of the order's target"""
        return get_target(self.order)

    def note_resend(self, expires_s: float) -> None:
        """Record that the order may be sent again.

        :param expires_s: time at which the engine drops the new message
        """
        self.expires_s = max(self.expires_s, expires_s)
        self.last_incarnation = ""
        self.closed = False
        self.is_resent = True

    @property
    def has_begun(self) -> bool:
        """:return: whether an inventory has shown the order as started, so it may use memory"""
        return self.state in (OrderState.RUNNING, OrderState.DONE)

    def observe(self, inventory: EngineInventory, requested_at: int) -> None:
        """Update the order from an inventory.

        :param requested_at: event count of the ledger when the inventory was requested
        """
        state = inventory.orders.get(self.order.order_id, "")
        if state:
            self.state = state
        if not self.last_incarnation and self._is_bound(state, requested_at):
            self.last_incarnation = inventory.incarnation

    def _is_bound(self, state: str, requested_at: int) -> bool:
        """:return: whether no message with it went to a later incarnation than the inventory's"""
        if state and not self.is_resent:
            return True
        return self.closed and self.closed_at <= requested_at and not self.adopted

    def is_lost_by_restart(self, incarnation: str) -> bool:
        """:return: whether the incarnation to which the order was sent has ended"""
        return self.last_incarnation not in ("", incarnation)

    def is_resolved(self, requested_s: float) -> bool:
        """Check whether the last inventory shows the order's final outcome.

        :param requested_s: a time before the inventory was requested
        """
        if not self.closed or requested_s < self.expires_s:
            return False
        if self.state:
            return self.state in OrderState.ENDED
        return not self.adopted


def get_target(order: Order) -> tuple[str, str]:
    """:return: kind and name of an order's target"""
    if order.kind in (OrderKind.LOAD_ADAPTER, OrderKind.UNLOAD_ADAPTER):
        return "adapter", order.adapter
    if order.kind == OrderKind.ROLE:
        return "role", ""
    return "model", order.model


def is_unload(kind: str) -> bool:
    """:return: whether an order of this kind frees memory"""
    return kind in (OrderKind.UNLOAD, OrderKind.UNLOAD_ADAPTER)
