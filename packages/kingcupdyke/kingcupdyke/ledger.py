"""
kingcupdyke.ledger
~~~~~~~~~~~~~~~~~~

Accelerator memory of one engine: reserved before an order, freed after its confirmed end.
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

#: Ended orders whose ids are remembered, so that a repeat reserves nothing.
MAX_ENDED_ORDERS = 1024


class MemoryLedger:
    """Keeps an upper bound of what an engine uses or may come to use.

    Nothing is reserved before the first inventory. The caller reads one inventory at a time and
    hands it to :meth:`observe` before it asks for the next: a reading may be older than the
    answers that came while it was under way, and only the one after those is believed downwards.

    :param capacity_bytes: accelerator memory; an engine that reports less is believed
    :param margin_bytes: memory that is never given out
    """

    def __init__(self, capacity_bytes: int, margin_bytes: int = 0) -> None:
        self._configured_bytes = capacity_bytes
        self._capacity_bytes = capacity_bytes
        self._margin_bytes = margin_bytes
        self._incarnation = ""
        #: Bytes of what is resident, by kind of thing and name.
        self._held_by_name: dict[tuple[str, str], int] = {}
        #: Bytes in use that have no name, such as a role's working memory.
        self._other_bytes = 0
        #: The part of them that is known to be the role's.
        self._role_bytes = 0
        self._open_by_id: dict[str, OpenOrder] = {}
        #: Names whose memory is counted without a reading that shows them resident now.
        self._doubtful: set[tuple[str, str]] = set()
        self._ended_by_id: OrderedDict[str, Order] = OrderedDict()
        #: Ids in the last reading: the engine does not carry them out again.
        self._known_ids: frozenset[str] = frozenset()
        self._kv_by_request: dict[str, int] = {}
        self._settled: list[str] = []
        #: Count of events; it orders answers against readings.
        self._events = 0
        self._answered_at = 0
        self._asked_at = 0
        self._asked_s = float("-inf")

    @property
    def capacity_bytes(self) -> int:
        """:return: the smaller of the configured and the reported capacity"""
        return self._capacity_bytes

    @property
    def used_bytes(self) -> int:
        """:return: bytes in use or reserved"""
        held_bytes = sum(self._held_by_name.values()) + self._other_bytes
        reserved_bytes = sum(self._reserved(each) for each in self._open_by_id.values())
        return held_bytes + reserved_bytes + sum(self._kv_by_request.values())

    @property
    def free_bytes(self) -> int:
        """:return: bytes that may still be reserved"""
        return max(0, self._capacity_bytes - self._margin_bytes - self.used_bytes)

    @property
    def models(self) -> frozenset[str]:
        """:return: models that are resident, without those that an open order may unload"""
        return self._resident("model")

    @property
    def adapters(self) -> frozenset[str]:
        """:return: adapters that are resident, without those that an open order may unload"""
        return self._resident("adapter")

    @property
    def pending(self) -> tuple[str, ...]:
        """:return: ids of orders that are not settled, the oldest first"""
        return tuple(self._open_by_id)

    @property
    def unseen(self) -> tuple[str, ...]:
        """Ids of adopted orders that no inventory has shown.

        Their sender may be paused and send them at any time later, so they stay reserved. To end
        one, send the engine an order with this id that takes no memory: the engine never carries
        out an id twice. Its answer or the inventories settle it.
        """
        opened = self._open_by_id.items()
        return tuple(name for name, each in opened if each.adopted and not each.state)

    def reserve(
        self, order: Order, now_s: float, lifetime_s: float
    ) -> Result[Reservation, Failure]:
        """Set memory aside for an order before it is sent.

        :param order: the order; a repeat of its id returns the same reservation, and counts as
            sent again until it is answered or unanswered again
        :param now_s: time in seconds of the timer service
        :param lifetime_s: seconds after which the engine drops the order
        :return: the reservation, or a failure when the order does not fit
        """
        opened = self._open_by_id.get(order.order_id)
        known = opened.order if opened else self._ended_by_id.get(order.order_id, order)
        if _get_effect(known) != _get_effect(order):
            return self._refuse(f"order {order.order_id} stands for another order")
        if opened is not None:
            opened.repeat(now_s + lifetime_s)
            return Ok(opened.reservation)
        extra_bytes = self._extra(order)
        checked = self._check_fit(order.order_bytes, extra_bytes)
        if checked.is_error():
            return checked
        reservation = Reservation(order.order_id, order.kind, extra_bytes, now_s + lifetime_s)
        opened = OpenOrder(order, reservation)
        opened.contested = order.order_id in self._known_ids | self._ended_by_id.keys()
        self._open_by_id[order.order_id] = opened
        return Ok(reservation)

    def answered(self, order_id: str, state: str, now_s: float) -> None:
        """Settle an order by the engine's answer.

        :param order_id: the order; an unknown or settled one is ignored
        :param state: "done" or "failed"; anything else leaves the order open
        :param now_s: time in seconds of the timer service
        """
        if order_id not in self._open_by_id or state not in OrderState.ENDED:
            return
        self._events += 1
        self._answered_at = self._events
        opened = self._settle(order_id)
        if state == OrderState.DONE:
            self._apply(opened)

    def unanswered(self, order_id: str, now_s: float) -> None:
        """Note that an order's connection is closed and no answer can come.

        :param order_id: the order; an unknown or settled one is ignored
        :param now_s: time in seconds of the timer service
        """
        opened = self._open_by_id.get(order_id)
        if opened is None or opened.closed:
            return
        self._events += 1
        opened.closed = True
        opened.closed_at = self._events

    def adopt(self, inventory: EngineInventory, intents: Iterable[Intent], now_s: float) -> None:
        """Begin from an engine that an earlier sidecar has given orders to.

        :param inventory: a reading asked for after the takeover was written to the store
        :param intents: what the earlier sidecar recorded; counted as used until settled
        :param now_s: time in seconds of the timer service
        """
        for intent in intents:
            if intent.order_id not in self._open_by_id:
                self._open_by_id[intent.order_id] = OpenOrder.from_intent(intent, now_s)
        self._incarnation = ""
        self.observe(inventory, now_s)

    def observe(self, inventory: EngineInventory, now_s: float) -> None:
        """Take a reading of the engine's inventory.

        More than thought is believed at once; less only when no open order explains it.

        :param inventory: the reading
        :param now_s: time in seconds of the timer service
        """
        self._capacity_bytes = min(self._configured_bytes, inventory.capacity_bytes)
        is_fresh = self._answered_at <= self._asked_at
        if inventory.incarnation != self._incarnation:
            self._begin_incarnation(inventory, is_fresh)
        for opened in self._open_by_id.values():
            opened.observe(inventory, self._asked_at)
        self._settle_closed()
        self._believe_more(inventory, is_fresh)
        if is_fresh and not self._open_by_id:
            self._believe_less(inventory)
        self._known_ids = frozenset(inventory.orders)
        self._asked_at = self._events
        self._asked_s = now_s

    def reserve_kv(self, request_id: str, size_bytes: int) -> Result[None, Failure]:
        """Set memory aside before KV cache is imported.

        :param request_id: the request that it is for; a repeat reserves nothing more
        :param size_bytes: bytes of the KV cache
        :return: a failure when it does not fit
        """
        extra_bytes = size_bytes - self._kv_by_request.get(request_id, 0)
        checked = self._check_fit(size_bytes, extra_bytes)
        if checked.is_error():
            return checked
        if extra_bytes > 0 or request_id not in self._kv_by_request:
            self._kv_by_request[request_id] = size_bytes
        return Ok(None)

    def release_kv(self, request_id: str) -> None:
        """Free the memory of an import.

        :param request_id: a request that the engine has ended, or whose import it has refused; an
            unknown one is ignored
        """
        self._kv_by_request.pop(request_id, None)

    def settled_order_ids(self) -> list[str]:
        """:return: orders settled since the last call, whose intents may be removed"""
        settled = self._settled
        self._settled = []
        return settled

    def _resident(self, kind: str) -> frozenset[str]:
        leaving = {each.name for each in self._open_by_id.values() if is_unload(each.order.kind)}
        names = self._held_by_name.keys() - leaving - self._doubtful
        return frozenset(name for each, name in names if each == kind)

    def _refuse(self, reason: str) -> Result:
        return Error(Failure(Outcome.NOT_RUN, Step.ORDER, self._incarnation, reason))

    def _check_fit(self, size_bytes: int, extra_bytes: int) -> Result[None, Failure]:
        if not self._incarnation:
            return self._refuse("the engine's inventory has not been read")
        if size_bytes < 0:
            return self._refuse(f"{size_bytes} bytes is no size")
        if extra_bytes > self.free_bytes:
            return self._refuse(f"{extra_bytes} bytes do not fit in {self.free_bytes}")
        return Ok(None)

    def _extra(self, order: Order) -> int:
        if is_unload(order.kind):
            return 0
        if order.kind == OrderKind.ROLE:
            return max(0, order.order_bytes - self._role_bytes)
        return order.order_bytes

    def _reserved(self, opened: OpenOrder) -> int:
        """:return: bytes that an open order may take beyond what is counted as resident"""
        is_counted = opened.state == OrderState.DONE and opened.order.kind != OrderKind.ROLE
        return 0 if is_counted else self._extra(opened.order)

    def _begin_incarnation(self, inventory: EngineInventory, is_fresh: bool) -> None:
        self._incarnation = inventory.incarnation
        self._role_bytes = 0
        for opened in self._open_by_id.values():
            opened.state = ""
        if is_fresh:
            # Otherwise the new engine may hold what was answered since the reading.
            self._held_by_name = self._named(inventory)
            self._other_bytes = self._unnamed(inventory)
        self._doubtful = set(self._held_by_name)

    def _believe_more(self, inventory: EngineInventory, is_fresh: bool) -> None:
        named = self._named(inventory)
        if is_fresh:
            self._doubtful = self._held_by_name.keys() - named.keys()
        else:
            self._doubtful |= named.keys() - self._held_by_name.keys()
        for name, size_bytes in named.items():
            self._held_by_name[name] = max(size_bytes, self._held_by_name.get(name, 0))
        begun = [each for each in self._open_by_id.values() if each.has_begun]
        known_bytes = self._other_bytes + sum(self._reserved(each) for each in begun)
        known_bytes += sum(self._kv_by_request.values())
        shown_bytes = self._unnamed(inventory)
        if not is_fresh:
            # What was running in an older reading may have been answered and named since.
            known_bytes += sum(self._held_by_name.values())
            shown_bytes = inventory.used_bytes
        self._other_bytes += max(0, shown_bytes - known_bytes)

    def _believe_less(self, inventory: EngineInventory) -> None:
        self._held_by_name = self._named(inventory)
        self._doubtful.clear()
        self._other_bytes = min(self._other_bytes, self._unnamed(inventory))
        kv_bytes = sum(inventory.kv_bytes.values())
        self._role_bytes = max(0, self._unnamed(inventory) - kv_bytes)

    def _settle_closed(self) -> None:
        for order_id, opened in list(self._open_by_id.items()):
            if opened.is_stranded(self._incarnation):
                self._settle(order_id)
            elif opened.is_over(self._asked_s):
                self._settle(order_id)
                if opened.state == OrderState.DONE:
                    self._apply(opened)

    def _settle(self, order_id: str) -> OpenOrder:
        opened = self._open_by_id.pop(order_id)
        self._ended_by_id[order_id] = opened.order
        if len(self._ended_by_id) > MAX_ENDED_ORDERS:
            self._ended_by_id.popitem(last=False)
        self._settled.append(order_id)
        return opened

    def _apply(self, opened: OpenOrder) -> None:
        order = opened.order
        if order.kind == OrderKind.ROLE:
            # Answers of two role orders may cross, so only a reading lowers the figure.
            extra_bytes = self._extra(order)
            self._other_bytes += extra_bytes
            self._role_bytes += extra_bytes
        elif not is_unload(order.kind):
            self._apply_load(opened)
        elif not opened.contested:
            self._held_by_name.pop(opened.name, None)

    def _apply_load(self, opened: OpenOrder) -> None:
        name = opened.name
        if opened.state != OrderState.DONE:
            # An older version may stay beside the new one until a reading shows that it is gone.
            held_bytes = self._held_by_name.get(name, 0)
            self._held_by_name[name] = held_bytes + opened.order.order_bytes
        if opened.contested:
            self._doubtful.add(name)
        else:
            self._doubtful.discard(name)
        for other in self._open_by_id.values():
            if other.name == name:
                other.contested = True

    @staticmethod
    def _named(inventory: EngineInventory) -> dict[tuple[str, str], int]:
        models = {("model", name): size for name, size in inventory.models.items()}
        return models | {("adapter", name): size for name, size in inventory.adapters.items()}

    @classmethod
    def _unnamed(cls, inventory: EngineInventory) -> int:
        return max(0, inventory.used_bytes - sum(cls._named(inventory).values()))


def _get_effect(order: Order) -> tuple[str, tuple[str, str], int]:
    return order.kind, get_target(order), order.order_bytes
