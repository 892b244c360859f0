"""
kingcupdyke.ledger
~~~~~~~~~~~~~~~~~~

Ledger of one engine's accelerator memory: reserved before an order, freed after its confirmed end.
"""

from collections import OrderedDict
from collections.abc import Iterable

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.intent import Intent
from kingcupdyke.inventory import EngineInventory, OrderState
from kingcupdyke.placement import Order, OrderKind
from kingcupdyke.reservation import OpenOrder, Reservation, get_target, is_unload

__all__ = ["MemoryLedger"]

#: Ended orders whose ids are kept, to recognise an id that is used again.
MAX_ENDED_ORDERS = 1024


class MemoryLedger:
    """Keeps an upper bound of the memory that an engine uses or may still come to use.

    Nothing can be reserved before the first inventory. The caller requests one inventory at a
    time and passes it to :meth:`observe` before it requests the next. An inventory may be older
    than answers that arrived while it was in flight, so the bound is lowered only by an inventory
    that was requested after the last answer.

    :param capacity_bytes: accelerator memory; a smaller capacity reported by the engine replaces it
    :param margin_bytes: memory that is never reserved
    """

    def __init__(self, capacity_bytes: int, margin_bytes: int = 0) -> None:
        self._configured_bytes = capacity_bytes
        self._capacity_bytes = capacity_bytes
        self._margin_bytes = margin_bytes
        self._incarnation = ""
        #: Bytes of each resident model and adapter, by kind and name.
        self._held_by_name: dict[tuple[str, str], int] = {}
        #: Bytes in use by neither a model nor an adapter, such as a role's working memory.
        self._other_bytes = 0
        #: The part of them that is known to be the role's.
        self._role_bytes = 0
        self._open_by_id: dict[str, OpenOrder] = {}
        #: Names whose memory is counted although no inventory confirms that they are resident now.
        self._unconfirmed: set[tuple[str, str]] = set()
        self._ended_by_id: OrderedDict[str, Order] = OrderedDict()
        #: Order ids in the last inventory; the engine does not execute them again.
        self._executed_ids: frozenset[str] = frozenset()
        self._kv_by_request: dict[str, int] = {}
        self._settled_ids: list[str] = []
        #: Count of answers and closed connections, to compare their order with that of inventories.
        self._event_count = 0
        #: Event count at the last answer.
        self._answered_at = 0
        #: Event count and time at the last inventory; the next one is requested after it.
        self._requested_at = 0
        self._requested_s = float("-inf")

    @property
    def capacity_bytes(self) -> int:
        """:return: the smaller of the configured and the reported capacity"""
        return self._capacity_bytes

    @property
    def used_bytes(self) -> int:
        """:return: bytes in use or reserved"""
        held_bytes = sum(self._held_by_name.values()) + self._other_bytes
        reserved_bytes = sum(self._get_reserved_bytes(each) for each in self._open_by_id.values())
        return held_bytes + reserved_bytes + sum(self._kv_by_request.values())

    @property
    def free_bytes(self) -> int:
        """:return: bytes that may still be reserved"""
        return max(0, self._capacity_bytes - self._margin_bytes - self.used_bytes)

    @property
    def models(self) -> frozenset[str]:
        """:return: resident models, without those that an open order may unload"""
        return self._resident("model")

    @property
    def adapters(self) -> frozenset[str]:
        """:return: resident adapters, without those that an open order may unload"""
        return self._resident("adapter")

    @property
    def pending(self) -> tuple[str, ...]:
        """:return: ids of orders that are not settled, the oldest first"""
        return tuple(self._open_by_id)

    @property
    def unseen_order_ids(self) -> tuple[str, ...]:
        """Ids of adopted orders that no inventory has shown.

        Their sender may be paused and send them at any later time, so they stay reserved. To end
        one, send the engine an order with this id that takes no memory: the engine never executes
        an id twice. The answer to it, or later inventories, settle the order.
        """
        open_orders = self._open_by_id.items()
        return tuple(name for name, each in open_orders if each.adopted and not each.state)

    def reserve(
        self, order: Order, now_s: float, lifetime_s: float
    ) -> Result[Reservation, Failure]:
        """Reserve memory for an order before it is sent.

        :param order: the order; if it is open already, it keeps its reservation and is assumed to
            be sent again, until :meth:`answered` or :meth:`connection_closed` is called again
        :param now_s: time in seconds of the timer service
        :param lifetime_s: seconds after which the engine drops the order
        :return: the reservation, or a failure if the order does not fit or its id belongs to
            another order
        """
        open_order = self._open_by_id.get(order.order_id)
        known_order = (
            open_order.order if open_order else self._ended_by_id.get(order.order_id, order)
        )
        if _get_effect(known_order) != _get_effect(order):
            return self._reject(f"order id {order.order_id} was used for another order")
        if open_order is not None:
            open_order.note_resend(now_s + lifetime_s)
            return Ok(open_order.reservation)
        extra_bytes = self._get_extra_bytes(order)
        checked = self._check_fit(order.order_bytes, extra_bytes)
        if checked.is_error():
            return checked
        reservation = Reservation(order.order_id, order.kind, extra_bytes, now_s + lifetime_s)
        open_order = OpenOrder(order, reservation)
        open_order.is_ambiguous = order.order_id in self._executed_ids | self._ended_by_id.keys()
        self._open_by_id[order.order_id] = open_order
        return Ok(reservation)

    def answered(self, order_id: str, state: str, now_s: float) -> None:
        """Settle an order by the engine's answer.

        :param order_id: the order; an unknown or settled one is ignored
        :param state: "done" or "failed"; with any other state the order stays open
        :param now_s: time in seconds of the timer service
        """
        if order_id not in self._open_by_id or state not in OrderState.ENDED:
            return
        self._event_count += 1
        self._answered_at = self._event_count
        open_order = self._settle(order_id)
        if state == OrderState.DONE:
            self._apply(open_order)

    def connection_closed(self, order_id: str, now_s: float) -> None:
        """Record that an order's connection is closed, so that no answer can arrive.

        :param order_id: the order; an unknown or settled one is ignored
        :param now_s: time in seconds of the timer service
        """
        open_order = self._open_by_id.get(order_id)
        if open_order is None or open_order.closed:
            return
        self._event_count += 1
        open_order.closed = True
        open_order.closed_at = self._event_count

    def adopt(self, inventory: EngineInventory, intents: Iterable[Intent], now_s: float) -> None:
        """Start from an engine that has received orders from an earlier sidecar.

        :param inventory: an inventory requested after the takeover was written to the store
        :param intents: orders recorded by the earlier sidecar; they are reserved until settled
        :param now_s: time in seconds of the timer service
        """
        for intent in intents:
            if intent.order_id not in self._open_by_id:
                self._open_by_id[intent.order_id] = OpenOrder.from_intent(intent, now_s)
        self._incarnation = ""
        self.observe(inventory, now_s)

    def observe(self, inventory: EngineInventory, now_s: float) -> None:
        """Update the ledger from an inventory of the engine.

        Higher usage than recorded is counted immediately. Lower usage is accepted only from an
        inventory requested after the last answer, and only while no order is open.

        :param inventory: the inventory
        :param now_s: time in seconds of the timer service
        """
        self._capacity_bytes = min(self._configured_bytes, inventory.capacity_bytes)
        is_fresh = self._answered_at <= self._requested_at
        if inventory.incarnation != self._incarnation:
            self._begin_incarnation(inventory, is_fresh)
        for open_order in self._open_by_id.values():
            open_order.observe(inventory, self._requested_at)
        self._settle_closed()
        self._increase_usage(inventory, is_fresh)
        if is_fresh and not self._open_by_id:
            self._decrease_usage(inventory)
        self._executed_ids = frozenset(inventory.orders)
        self._requested_at = self._event_count
        self._requested_s = now_s

    def reserve_kv(self, request_id: str, size_bytes: int) -> Result[None, Failure]:
        """Reserve memory before KV cache is imported.

        :param request_id: the request that needs it; a second call reserves only the excess size
        :param size_bytes: bytes of the KV cache
        :return: a failure if it does not fit
        """
        extra_bytes = size_bytes - self._kv_by_request.get(request_id, 0)
        checked = self._check_fit(size_bytes, extra_bytes)
        if checked.is_error():
            return checked
        if extra_bytes > 0 or request_id not in self._kv_by_request:
            self._kv_by_request[request_id] = size_bytes
        return Ok(None)

    def release_kv(self, request_id: str) -> None:
        """Release the memory of an import.

        :param request_id: a request that the engine has ended, or whose import it has rejected; an
            unknown one is ignored
        """
        self._kv_by_request.pop(request_id, None)

    def take_settled_order_ids(self) -> list[str]:
        """:return: orders settled since the last call, whose intents may be removed"""
        settled = self._settled_ids
        self._settled_ids = []
        return settled

    def _resident(self, kind: str) -> frozenset[str]:
        unloading = {each.name for each in self._open_by_id.values() if is_unload(each.order.kind)}
        names = self._held_by_name.keys() - unloading - self._unconfirmed
        return frozenset(name for each, name in names if each == kind)

    def _reject(self, reason: str) -> Result:
        return Error(Failure(Outcome.NOT_RUN, Step.ORDER, self._incarnation, reason))

    def _check_fit(self, size_bytes: int, extra_bytes: int) -> Result[None, Failure]:
        if not self._incarnation:
            return self._reject("the engine's inventory has not been read yet")
        if size_bytes < 0:
            return self._reject(f"negative size of {size_bytes} bytes")
        if extra_bytes > self.free_bytes:
            return self._reject(f"{extra_bytes} bytes do not fit in {self.free_bytes} free bytes")
        return Ok(None)

    def _get_extra_bytes(self, order: Order) -> int:
        if is_unload(order.kind):
            return 0
        if order.kind == OrderKind.ROLE:
            return max(0, order.order_bytes - self._role_bytes)
        return order.order_bytes

    def _get_reserved_bytes(self, open_order: OpenOrder) -> int:
        """:return: bytes that an open order may take beyond what is counted as resident"""
        is_counted = open_order.state == OrderState.DONE and open_order.order.kind != OrderKind.ROLE
        return 0 if is_counted else self._get_extra_bytes(open_order.order)

    def _begin_incarnation(self, inventory: EngineInventory, is_fresh: bool) -> None:
        self._incarnation = inventory.incarnation
        self._role_bytes = 0
        for open_order in self._open_by_id.values():
            open_order.state = ""
        if is_fresh:
            # An older inventory may lack a load that the new incarnation has answered since.
            self._held_by_name = self._get_named_bytes(inventory)
            self._other_bytes = self._get_unnamed_bytes(inventory)
        self._unconfirmed = set(self._held_by_name)

    def _increase_usage(self, inventory: EngineInventory, is_fresh: bool) -> None:
        named = self._get_named_bytes(inventory)
        if is_fresh:
            self._unconfirmed = self._held_by_name.keys() - named.keys()
        else:
            self._unconfirmed |= named.keys() - self._held_by_name.keys()
        for name, size_bytes in named.items():
            self._held_by_name[name] = max(size_bytes, self._held_by_name.get(name, 0))
        begun = [each for each in self._open_by_id.values() if each.has_begun]
        known_bytes = self._other_bytes + sum(self._get_reserved_bytes(each) for each in begun)
        known_bytes += sum(self._kv_by_request.values())
        shown_bytes = self._get_unnamed_bytes(inventory)
        if not is_fresh:
            # Memory without a name in an older inventory may since have been recorded by name.
            known_bytes += sum(self._held_by_name.values())
            shown_bytes = inventory.used_bytes
        self._other_bytes += max(0, shown_bytes - known_bytes)

    def _decrease_usage(self, inventory: EngineInventory) -> None:
        self._held_by_name = self._get_named_bytes(inventory)
        self._unconfirmed.clear()
        self._other_bytes = min(self._other_bytes, self._get_unnamed_bytes(inventory))
        kv_bytes = sum(inventory.kv_bytes.values())
        self._role_bytes = max(0, self._get_unnamed_bytes(inventory) - kv_bytes)

    def _settle_closed(self) -> None:
        for order_id, open_order in list(self._open_by_id.items()):
            if open_order.is_lost_by_restart(self._incarnation):
                self._settle(order_id)
            elif open_order.is_resolved(self._requested_s):
                self._settle(order_id)
                if open_order.state == OrderState.DONE:
                    self._apply(open_order)

    def _settle(self, order_id: str) -> OpenOrder:
        open_order = self._open_by_id.pop(order_id)
        self._ended_by_id[order_id] = open_order.order
        if len(self._ended_by_id) > MAX_ENDED_ORDERS:
            self._ended_by_id.popitem(last=False)
        self._settled_ids.append(order_id)
        return open_order

    def _apply(self, open_order: OpenOrder) -> None:
        order = open_order.order
        if order.kind == OrderKind.ROLE:
            # Answers to two role orders may arrive in any order, so only an inventory lowers this.
            extra_bytes = self._get_extra_bytes(order)
            self._other_bytes += extra_bytes
            self._role_bytes += extra_bytes
        elif not is_unload(order.kind):
            self._apply_load(open_order)
        elif not open_order.is_ambiguous:
            self._held_by_name.pop(open_order.name, None)

    def _apply_load(self, open_order: OpenOrder) -> None:
        name = open_order.name
        if open_order.state != OrderState.DONE:
            # An older version may stay resident beside the new one until an inventory lacks it.
            held_bytes = self._held_by_name.get(name, 0)
            self._held_by_name[name] = held_bytes + open_order.order.order_bytes
        if open_order.is_ambiguous:
            self._unconfirmed.add(name)
        else:
            self._unconfirmed.discard(name)
        for other in self._open_by_id.values():
            if other.name == name:
                other.is_ambiguous = True

    @staticmethod
    def _get_named_bytes(inventory: EngineInventory) -> dict[tuple[str, str], int]:
        models = {("model", name): size for name, size in inventory.models.items()}
        return models | {("adapter", name): size for name, size in inventory.adapters.items()}

    @classmethod
    def _get_unnamed_bytes(cls, inventory: EngineInventory) -> int:
        return max(0, inventory.used_bytes - sum(cls._get_named_bytes(inventory).values()))


def _get_effect(order: Order) -> tuple[str, tuple[str, str], int]:
    return order.kind, get_target(order), order.order_bytes
