"""
kingcupdyke.forwarding.enginestate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a planner knows of one model engine that it gives orders to.
"""

from enum import StrEnum

from kingcupdyke.forwarding.endpoint import EndpointEntry, EndpointReport, LoadedModel
from kingcupdyke.placement import Order, OrderKind

__all__ = ["OrderReply", "EngineState"]

#: Seconds after which an order without an answer is sent again.
RESEND_S = 0.1
#: Seconds beyond an order's expected end after which the endpoint's report is asked for.
OVERDUE_S = 0.5
#: Seconds for which an ordered adapter may be on its way.
COMING_S = 0.3
#: Seconds between two questions for a report.
REPORT_PAUSE_S = 0.3
#: Seconds between looks at an engine that carries out an order, to notice when it is lost.
LOOK_S = 1.0


class OrderReply(StrEnum):
    """How an endpoint answered an order."""

    #: The order is being carried out.
    ACCEPTED = "accepted"
    #: What was ordered already holds.
    HOLDS = "holds"
    #: Another order is under way, or other orders came before.
    CONFLICT = "conflict"
    #: A planner with a higher fencing number has given orders.
    FENCED = "fenced"
    #: The endpoint will not carry it out.
    REFUSED = "refused"
    #: No answer came: it may have been carried out, or may be later.
    UNKNOWN = "unknown"


class EngineState:
    """One engine: what it holds, and the order that is open there.

    Each order names the number of orders that the engine is expected to have accepted, so of
    several orders with the same number at most one takes effect. An order without an answer is
    therefore sent again with its number until the engine's count has moved on; until then nothing
    else is ordered there. Memory is judged only by a reading that was taken with no order open.

    :param entry: the engine's entry in the list
    """

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        #: Whether this gateway reaches it.
        self.is_reachable = True
        #: Whether a report was read since this planner's term began or the engine started.
        self.is_known = False
        #: Orders that the engine has accepted since its start; reports say it.
        self.order_count = 0
        self.models_by_name = _by_name(entry.models)
        #: Names of adapters that were ordered and not yet reported, with their models.
        self.ordered_adapters: set[tuple[str, str]] = set()
        self._ordered_s: dict[tuple[str, str], float] = {}
        self.open_order: Order | None = None
        self.is_call_open = False
        self.is_busy = False
        self.due_s = 0.0
        self._resend_s = 0.0
        self._report_s = 0.0
        self._wants_report = True
        #: Whether the last question for a report had no answer.
        self._is_mute = False

    @property
    def takes_orders(self) -> bool:
        """:return: whether a new order may be given"""
        is_idle = self.open_order is None and not self.is_call_open and not self.is_busy
        return is_idle and self.is_known and not self.entry.is_leaving

    @property
    def coming_model(self) -> str:
        """:return: the model that an open order loads, or the empty string"""
        if self.open_order is not None and self.open_order.kind == OrderKind.LOAD:
            return self.open_order.model
        return ""

    @property
    def leaving_model(self) -> str:
        """:return: the model that an open order unloads, or the empty string"""
        if self.open_order is not None and self.open_order.kind == OrderKind.UNLOAD:
            return self.open_order.model
        return ""

    def has_adapter(self, model: str, adapter: str) -> bool:
        """:return: whether an adapter is there or ordered"""
        held = self.models_by_name.get(model)
        is_held = held is not None and adapter in held.adapters
        return is_held or (model, adapter) in self.ordered_adapters

    def list_adapters(self) -> set[tuple[str, str]]:
        """:return: adapters that are there or ordered, with their models"""
        held = {
            (model.name, name) for model in self.models_by_name.values() for name in model.adapters
        }
        return held | self.ordered_adapters

    def count_coming(self, now_s: float) -> int:
        """:return: adapters that may still be on their way"""
        times = [self._ordered_s.get(key, now_s) for key in self.ordered_adapters]
        return sum(now_s - ordered_s < COMING_S for ordered_s in times)

    def observe_entry(self, entry: EndpointEntry) -> None:
        """Take the engine's entry from the list."""
        known = self.entry
        if (entry.started_ms, entry.heartbeat) <= (known.started_ms, known.heartbeat):
            return
        self.entry = entry
        if entry.started_ms > known.started_ms:
            self._restart()
        elif not self.is_call_open:
            self._take_models(entry.models)

    def observe_report(self, report: EndpointReport, now_s: float) -> None:
        """Take the engine's report."""
        self._is_mute = False
        if report.order_count < self.order_count and self.is_known:
            # The report is some moments old: ask again.
            self._wants_report = True
            return
        self.is_known = True
        self.is_busy = report.is_busy
        self._wants_report = report.is_busy
        has_moved = report.order_count > self.order_count
        self.order_count = report.order_count
        if report.is_busy:
            return
        self.models_by_name = _by_name(report.models)
        # An entry from before the report may still come: what was ordered counts until it is shown.
        self.ordered_adapters |= set(report.pending_adapters)
        self._drop_adapters()
        if self.open_order is not None and (has_moved or self._is_settled()):
            self.open_order = None

    def wants_report(self, now_s: float) -> bool:
        """:return: whether the engine's report is to be asked for now; it counts as asked"""
        is_open = self.open_order is not None and not self.is_call_open
        is_under_way = is_open and now_s <= self.due_s and not self._resend_s
        is_overdue = is_open and now_s > self.due_s + OVERDUE_S
        is_wanted = self._wants_report or not self.is_known or is_overdue or is_under_way
        if not is_wanted or self.is_call_open or now_s < self._report_s:
            return False
        is_answering = is_under_way and not self._is_mute
        self._report_s = now_s + (LOOK_S if is_answering else REPORT_PAUSE_S)
        return True

    def report_failed(self, now_s: float) -> None:
        """The engine did not answer a question for its report: it is asked again soon."""
        self._is_mute = True
        self._wants_report = True
        self._report_s = min(self._report_s, now_s + REPORT_PAUSE_S)

    def begin(self, order: Order, now_s: float, expected_s: float) -> None:
        """An order is sent; further ones wait for its answer.

        :param expected_s: seconds that it is expected to take
        """
        self.open_order = order
        self.is_call_open = True
        self.due_s = now_s + expected_s
        self._report_s = now_s + LOOK_S

    def wants_resend(self, now_s: float) -> Order | None:
        """:return: the open order if it is to be sent again, as no answer came"""
        is_silent = self._resend_s and now_s >= self._resend_s
        if self.open_order is None or self.is_call_open or not is_silent:
            return None
        return self.open_order

    def answered(self, reply: OrderReply, now_s: float) -> None:
        """Take the answer to the order that was sent last."""
        self.is_call_open = False
        self._resend_s = 0.0
        order = self.open_order
        if order is None:
            return
        if reply is OrderReply.UNKNOWN:
            self._resend_s = now_s + RESEND_S
            return
        if reply is OrderReply.ACCEPTED:
            self._accept(order, now_s)
        elif reply is OrderReply.HOLDS:
            self._accept(order, now_s)
            self.open_order = None
            self._wants_report = True
        else:
            self._wants_report = True
            self.is_known = False
            self.open_order = None if reply is not OrderReply.CONFLICT else order

    def _accept(self, order: Order, now_s: float) -> None:
        self.order_count += 1
        key = (order.model, order.adapter)
        if order.kind == OrderKind.LOAD_ADAPTER:
            self.ordered_adapters.add(key)
            self._ordered_s[key] = now_s
            self.open_order = None
        elif order.kind == OrderKind.UNLOAD_ADAPTER:
            self.ordered_adapters.discard(key)
            held = self.models_by_name.get(order.model)
            if held is not None:
                adapters = held.adapters - {order.adapter}
                self.models_by_name[order.model] = held._replace(adapters=adapters)
            self.open_order = None

    def _take_models(self, models: tuple[LoadedModel, ...]) -> None:
        """Take what an entry says that the engine holds, unless an order is still open."""
        listed = _by_name(models)
        order = self.open_order
        if order is not None and not self._is_done(order, listed):
            return
        self.models_by_name = listed
        # Only what is now counted as held needs no longer be counted as ordered.
        self.ordered_adapters -= self._held_adapters(listed)
        self._drop_adapters()
        if order is not None:
            self.open_order = None
            self.is_busy = False

    def _drop_adapters(self) -> None:
        """Forget ordered adapters whose model is gone: they went with it."""
        self.ordered_adapters = {
            key for key in self.ordered_adapters if key[0] in self.models_by_name
        }
        self._ordered_s = {
            key: ordered_s
            for key, ordered_s in self._ordered_s.items()
            if key in self.ordered_adapters
        }

    def _is_done(self, order: Order, listed: dict[str, LoadedModel]) -> bool:
        """:return: whether an entry shows that an order for a model was carried out"""
        if self._resend_s or order.kind not in (OrderKind.LOAD, OrderKind.UNLOAD):
            return False
        return (order.model in listed) == (order.kind == OrderKind.LOAD)

    def _is_settled(self) -> bool:
        order = self.open_order
        if order is None or self.is_call_open:
            return False
        if order.kind == OrderKind.LOAD:
            return order.model in self.models_by_name
        if order.kind == OrderKind.UNLOAD:
            return order.model not in self.models_by_name
        return not self._resend_s

    def _restart(self) -> None:
        self.is_known = False
        self.is_busy = False
        self.order_count = 0
        self.models_by_name = _by_name(self.entry.models)
        self.ordered_adapters.clear()
        self.open_order = None
        self._resend_s = 0.0

    @staticmethod
    def _held_adapters(models_by_name: dict[str, LoadedModel]) -> set[tuple[str, str]]:
        return {(model.name, name) for model in models_by_name.values() for name in model.adapters}


def _by_name(models: tuple[LoadedModel, ...]) -> dict[str, LoadedModel]:
    return {each.name: each for each in models}
