"""
kingcupdyke_daemon.forwarder.stategauges
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Gauges of the state that a forwarding gateway records, and of the age of its data.
"""

from typing import NamedTuple

from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.peerstate import PeerTable
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.catalogue import Catalogue
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.forwarder.plannerrunner import PlannerRunner
from kingcupdyke_daemon.forwarder.storewatcher import StoreWatcher
from kingcupdyke_daemon.logs import count_dropped

__all__ = ["StateGauges"]


class StateGauges(NamedTuple):
    """The objects whose state the gauges show."""

    catalogue: Catalogue
    gateway_watcher: StoreWatcher
    endpoint_table: EndpointTable
    dispatcher: Dispatcher
    peers: PeerTable
    planner_runner: PlannerRunner
    timer: TimerService

    def add_to(self, metrics: ForwarderMetrics) -> None:
        """Add the gauges to a gateway's metrics."""
        metrics.add_gauge("configuration_version", lambda: {"": self.catalogue.version})
        metrics.add_gauge("belief_age_seconds", self._list_ages, "belief")
        metrics.add_gauge("endpoints", self._count_endpoints, "state")
        metrics.add_gauge("requests_present", self._count_requests, "state")
        metrics.add_gauge("peers", lambda: {"": len(self.peers.live(self.timer.now()))})
        metrics.add_gauge("lease_fence", lambda: {"": self.planner_runner.held_fence})
        metrics.add_gauge(
            "crash_signatures", lambda: {"": len(self.dispatcher.crash_table.signatures)}
        )
        metrics.add_gauge(
            "crashing_requests",
            lambda: {"": self.dispatcher.request_crash_table.count_rejected(self.timer.now())},
        )
        metrics.add_gauge(
            "endpoint_limit", lambda: dict(self.dispatcher.limit_table.list_limited()), "endpoint"
        )
        metrics.add_gauge(
            "endpoint_backoff_seconds",
            lambda: dict(self.endpoint_table.backoff_table.list_delays(self.timer.now())),
            "endpoint",
        )
        metrics.add_gauge(
            "endpoint_window",
            lambda: dict(self.endpoint_table.pace_table.list_windows()),
            "endpoint",
        )
        metrics.add_gauge("log_lines_dropped", lambda: {"": count_dropped()})

    def _list_ages(self) -> dict[str, float]:
        now_s = self.timer.now()
        ages = {
            "configuration": now_s - self.catalogue.configurations.last_answer_s,
            "endpoint_list": now_s - self.catalogue.endpoints.last_answer_s,
            "gateway_list": now_s - self.gateway_watcher.last_answer_s,
        }
        if self.planner_runner.held_fence:
            ages["lease"] = self.planner_runner.proof_age_s
        return ages

    def _count_endpoints(self) -> dict[str, float]:
        states = list(self.endpoint_table.state_by_id.values())
        return {
            "listed": sum(each.lapses_s is None for each in states),
            "lapsed": sum(each.lapses_s is not None for each in states),
            "leaving": sum(each.entry.is_leaving for each in states),
            "out_of_reach": len(self.endpoint_table.list_unreachable(self.timer.now())),
        }

    def _count_requests(self) -> dict[str, float]:
        sent = sum(len(each.tokens_by_attempt) for each in self.endpoint_table.state_by_id.values())
        return {"waiting": self.dispatcher.waiting, "sent": sent}
