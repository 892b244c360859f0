"""
kingcupdyke.forwarding.enginestate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A planner's record of one model engine: its models, adapters and open order.
"""

from enum import StrEnum

from kingcupdyke.forwarding.endpoint import EndpointEntry, EndpointReport, LoadedModel
from kingcupdyke.placement import Order, OrderKind

__all__ = ["OrderReply", "EngineState"]

#: Seconds after a missing answer until the order is sent again.
RESEND_INTERVAL_S = 0.1
#: Seconds after an order's expected end until the endpoint's report is requested.
REPORT_OVERDUE_S = 0.5
#: Seconds for which an ordered adapter counts as pending.
ADAPTER_PENDING_S = 0.3
#: Seconds between two requests for a report.
REPORT_INTERVAL_S = 0.3
#: Doublings of these two intervals at most, one for each faulty answer in a row.
MAX_DOUBLINGS = 3
#: Seconds between polls of an engine that executes an order, to detect that it is lost.
POLL_INTERVAL_S = 1.0


class OrderReply(StrEnum):
    """An endpoint's answer to an order."""

    #: The order is being executed.
    ACCEPTED = "accepted"
    #: The endpoint is already in the ordered state.
    HOLDS = "holds"
    #: Another order is in progress, or the expected number of orders does not match.
    CONFLICT = "conflict"
    #: A planner with a higher fencing number has given orders.
    FENCED = "fenced"
    #: The endpoint does not execute it.
    REFUSED = "refused"
    #: No answer came: the order may have been executed, or may be executed later.
    UNKNOWN = "unknown"
    #: The same, as what came is no answer.
    FAULTY = "faulty"


class EngineState:
    """One engine: its models and adapters, and its open order.

    Each order contains the number of orders that the engine is expected to have accepted, so at
    most one of several orders with the same number takes effect. An order without an answer is
    therefore sent again with the same number until the engine's count has increased, and no other
    order is sent there until then.

    What the engine holds is what its last report shows, and what the orders accepted since then
    have changed. An entry may be older than both, so it only shows that the open order has been
    executed, or that a new report is needed.

    :param entry: the engine's entry in the list
    """

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        #: Whether this gateway can reach it.
        self.is_reachable = True
        #: Seconds for which it has requested backoff from this gateway.
        self.backoff_s = 0.0
        #: Whether a report was received since the term began, the engine started, or an order was
        #: rejected.
        self.has_report = False
        #: Number of orders that the engine has accepted since its start, updated by reports.
        self.order_count = 0
        self.models_by_name = _by_name(entry.models)
        #: Whether the models are those of a report, and not of the first entries.
        self._has_reported_models = False
        #: Adapters that were known when the last entry came.
        self._adapters_at_entry: set[tuple[str, str]] = set()
        #: Adapters that were ordered and not yet reported, as model and name.
        self.ordered_adapters: set[tuple[str, str]] = set()
        self._ordered_s_by_adapter: dict[tuple[str, str], float] = {}
        self.open_order: Order | None = None
        #: Number of orders that the engine must have accepted before the open order: the number
        #: that was known, with the models, when the order was decided on.
        self.expected_count = 0
        self.is_call_in_flight = False
        #: Whether the engine has rejected the open order, as another one was in progress or had
        #: been accepted.
        self._has_conflict = False
        self.is_busy = False
        self.expected_end_s = 0.0
        self._next_resend_s = 0.0
        self._next_report_s = 0.0
        self._needs_report = True
        #: Whether the last request for a report failed.
        self._has_report_failed = False
        #: Numbers of faulty answers in a row to requests for a report, and to orders.
        self._faulty_reports = 0
        self._faulty_order_answers = 0

    @property
    def is_backing_off(self) -> bool:
        """:return: whether it may not be called now"""
        return self.backoff_s > 0.0

    @property
    def accepts_orders(self) -> bool:
        """:return: whether a new order may be sent"""
        if self.is_backing_off:
            return False
        is_idle = self.open_order is None and not self.is_call_in_flight and not self.is_busy
        return is_idle and self.has_report and not self.entry.is_leaving

    @property
    def loading_model(self) -> str:
        """:return: the model that an open order loads, or the empty string"""
        if self.open_order is not None and self.open_order.kind == OrderKind.LOAD:
            return self.open_order.model
        return ""

    @property
    def unloading_model(self) -> str:
        """:return: the model that an open order unloads, or the empty string"""
        if self.open_order is not None and self.open_order.kind == OrderKind.UNLOAD:
            return self.open_order.model
        return ""

    def has_adapter(self, model: str, adapter: str) -> bool:
        """:return: whether an adapter is loaded or ordered"""
        held = self.models_by_name.get(model)
        is_held = held is not None and adapter in held.adapters
        return is_held or (model, adapter) in self.ordered_adapters

    def list_adapters(self) -> set[tuple[str, str]]:
        """:return: adapters that are loaded or ordered, as model and name"""
        return _list_adapters(self.models_by_name) | self.ordered_adapters

    def count_pending_adapters(self, now_s: float) -> int:
        """:return: number of ordered adapters whose load may still be pending"""
        times = [self._ordered_s_by_adapter.get(key, now_s) for key in self.ordered_adapters]
        return sum(now_s - ordered_s < ADAPTER_PENDING_S for ordered_s in times)

    def observe_entry(self, entry: EndpointEntry) -> None:
        """Update from the engine's entry in the list, unless that is older than the known entry.

        The entry may still be older than the last report and the last order.
        """
        known = self.entry
        if entry.is_leaving and entry.started_ms == known.started_ms:
            # An answer may have said so, with the entry as before.
            self.entry = known = known._replace(is_leaving=True)
        if (entry.started_ms, entry.heartbeat) <= (known.started_ms, known.heartbeat):
            return
        self.entry = entry
        if entry.started_ms > known.started_ms:
            self._restart()
        elif not self._has_reported_models:
            self.models_by_name = _by_name(entry.models)
        elif not self.is_call_in_flight:
            self._compare_with_entry(_by_name(entry.models))
        self._adapters_at_entry = self.list_adapters()

    def observe_report(self, report: EndpointReport, now_s: float) -> None:
        """Update from the engine's report, unless it is of an earlier process of the engine."""
        self._has_report_failed = False
        self._faulty_reports = 0
        if report.started_ms and report.started_ms < self.entry.started_ms:
            self._needs_report = True
            return
        if report.started_ms > self.entry.started_ms:
            self._restart_before_entry(report)
        if report.order_count < self.order_count and self.has_report:
            # The state in the report is older than the last accepted order: request a new report.
            self._needs_report = True
            return
        self.has_report = True
        self.is_busy = report.is_busy
        self._needs_report = report.is_busy
        has_advanced = report.order_count > self.order_count
        self.order_count = report.order_count
        if report.is_busy:
            return
        self.models_by_name = _by_name(report.models)
        self._has_reported_models = True
        self.ordered_adapters = set(report.pending_adapters)
        self._drop_adapters()
        is_over = has_advanced or self._has_conflict or self._is_settled()
        if self.open_order is not None and is_over:
            self.open_order = None

    def begin_report_request(self, now_s: float) -> bool:
        """:return: whether to request the engine's report now; if so, it counts as requested"""
        is_open = self.open_order is not None and not self.is_call_in_flight
        is_in_progress = is_open and now_s <= self.expected_end_s and not self._next_resend_s
        is_overdue = is_open and now_s > self.expected_end_s + REPORT_OVERDUE_S
        is_needed = self._needs_report or not self.has_report or is_overdue or is_in_progress
        may_call = not self.is_call_in_flight and not self.is_backing_off
        if not is_needed or not may_call or now_s < self._next_report_s:
            return False
        is_answering = is_in_progress and not self._has_report_failed
        self._next_report_s = now_s + (POLL_INTERVAL_S if is_answering else REPORT_INTERVAL_S)
        return True

    def report_failed(self, now_s: float, is_faulty: bool = False) -> None:
        """Record that a request for the report failed; it is repeated after REPORT_INTERVAL_S.

        :param is_faulty: whether the engine has sent bytes that are no report; the time until the
            next request grows with each such answer
        """
        self._has_report_failed = True
        self._needs_report = True
        if not is_faulty:
            self._next_report_s = min(self._next_report_s, now_s + REPORT_INTERVAL_S)
            return
        self._faulty_reports = min(self._faulty_reports + 1, MAX_DOUBLINGS)
        self._next_report_s = now_s + REPORT_INTERVAL_S * 2**self._faulty_reports

    def begin(self, order: Order, now_s: float, expected_s: float) -> None:
        """Record that an order is sent; no other one is sent before its answer.

        :param expected_s: expected duration of the order in seconds
        """
        if order != self.open_order:
            self.expected_count = self.order_count
        self.open_order = order
        self._has_conflict = False
        self.is_call_in_flight = True
        self.expected_end_s = now_s + expected_s
        self._next_report_s = now_s + POLL_INTERVAL_S

    def get_order_to_resend(self, now_s: float) -> Order | None:
        """:return: the open order if it has to be sent again as no answer came, else None"""
        is_resend_due = self._next_resend_s and now_s >= self._next_resend_s
        if self.open_order is None or self.is_call_in_flight or not is_resend_due:
            return None
        if self.is_backing_off:
            return None
        return self.open_order

    def answered(self, reply: OrderReply, now_s: float) -> None:
        """Process the answer to the order that was sent last."""
        self.is_call_in_flight = False
        self._next_resend_s = 0.0
        order = self.open_order
        if order is None:
            return
        if reply is OrderReply.FAULTY:
            self._faulty_order_answers = min(self._faulty_order_answers + 1, MAX_DOUBLINGS)
            # A report may show the order in the meantime.
            self._needs_report = True
        else:
            self._faulty_order_answers = 0
        if reply in (OrderReply.UNKNOWN, OrderReply.FAULTY):
            self._next_resend_s = now_s + RESEND_INTERVAL_S * 2**self._faulty_order_answers
            return
        is_unload = order.kind == OrderKind.UNLOAD_ADAPTER
        if reply is OrderReply.ACCEPTED or (reply is OrderReply.HOLDS and is_unload):
            self._accept(order, now_s)
        else:
            self._needs_report = True
            self.has_report = False
            self._has_conflict = reply is OrderReply.CONFLICT
            if not self._has_conflict:
                self.open_order = None

    def _accept(self, order: Order, now_s: float) -> None:
        # A report may have counted the order already.
        self.order_count = max(self.order_count, self.expected_count + 1)
        key = (order.model, order.adapter)
        if order.kind == OrderKind.LOAD_ADAPTER:
            self.ordered_adapters.add(key)
            self._ordered_s_by_adapter[key] = now_s
            self.open_order = None
        elif order.kind == OrderKind.UNLOAD_ADAPTER:
            self.ordered_adapters.discard(key)
            held = self.models_by_name.get(order.model)
            if held is not None:
                adapters = held.adapters - {order.adapter}
                self.models_by_name[order.model] = held._replace(adapters=adapters)
            self.open_order = None

    def _compare_with_entry(self, listed: dict[str, LoadedModel]) -> None:
        """Complete the open order if an entry shows its effect; request a report if an entry
        differs from what is known.
        """
        order = self.open_order
        if order is None:
            lacking = self._adapters_at_entry & self.list_adapters() - _list_adapters(listed)
            if lacking or listed.keys() != self.models_by_name.keys():
                self._needs_report = True
        elif self._is_done(order, listed):
            self._complete(order)

    def _complete(self, order: Order) -> None:
        """Record that the engine has executed the open order for a model."""
        if order.kind == OrderKind.LOAD:
            loaded = LoadedModel(order.model, 0, frozenset())
            self.models_by_name.setdefault(order.model, loaded)
        else:
            self.models_by_name.pop(order.model, None)
            self._drop_adapters()
        self.open_order = None
        self.is_busy = False

    def _drop_adapters(self) -> None:
        """Remove ordered adapters whose model was unloaded, as they were unloaded with it."""
        self.ordered_adapters = {
            key for key in self.ordered_adapters if key[0] in self.models_by_name
        }
        self._ordered_s_by_adapter = {
            key: ordered_s
            for key, ordered_s in self._ordered_s_by_adapter.items()
            if key in self.ordered_adapters
        }

    def _is_done(self, order: Order, listed: dict[str, LoadedModel]) -> bool:
        """:return: whether an entry shows that the open order for a model was executed"""
        if self._next_resend_s or order.kind not in (OrderKind.LOAD, OrderKind.UNLOAD):
            return False
        return (order.model in listed) == (order.kind == OrderKind.LOAD)

    def _is_settled(self) -> bool:
        order = self.open_order
        if order is None or self.is_call_in_flight:
            return False
        if order.kind == OrderKind.LOAD:
            return order.model in self.models_by_name
        if order.kind == OrderKind.UNLOAD:
            return order.model not in self.models_by_name
        return not self._next_resend_s

    def _restart_before_entry(self, report: EndpointReport) -> None:
        """Discard what is known, as the report shows a later start than the entry."""
        self.entry = self.entry._replace(
            started_ms=report.started_ms, heartbeat=-1, is_leaving=False
        )
        self._restart()
        self.models_by_name = _by_name(report.models)

    def _restart(self) -> None:
        self.has_report = False
        self.is_busy = False
        self.order_count = 0
        self.models_by_name = _by_name(self.entry.models)
        self._has_reported_models = False
        self.ordered_adapters.clear()
        self.open_order = None
        self._next_resend_s = 0.0
        self._faulty_reports = self._faulty_order_answers = 0
        self._next_report_s = 0.0


def _list_adapters(models_by_name: dict[str, LoadedModel]) -> set[tuple[str, str]]:
    """:return: adapters of models, as model and name"""
    return {(model.name, name) for model in models_by_name.values() for name in model.adapters}


def _by_name(models: tuple[LoadedModel, ...]) -> dict[str, LoadedModel]:
    return {each.name: each for each in models}
