"""
kingcupdyke_daemon.forwarder.stategauges
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Gauges of what a forwarding gateway believes, and of how old that is.
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
    """The parts whose beliefs are shown."""

    catalogue: Catalogue
    gateways: StoreWatcher
    board: EndpointTable
    dispatcher: Dispatcher
    peers: PeerTable
    placer: PlannerRunner
    timer: TimerService

    def add_to(self, metrics: ForwarderMetrics) -> None:
        """Add the gauges to a gateway's metrics."""
        metrics.watch("configuration_version", lambda: {"": self.catalogue.version})
        metrics.watch("belief_age_seconds", self._list_ages, "belief")
        metrics.watch("endpoints", self._count_endpoints, "state")
        metrics.watch("requests_present", self._count_requests, "state")
        metrics.watch("peers", lambda: {"": len(self.peers.live(self.timer.now()))})
        metrics.watch("lease_fence", lambda: {"": self.placer.held_fence})
        metrics.watch("log_lines_dropped", lambda: {"": count_dropped()})

    def _list_ages(self) -> dict[str, float]:
        now_s = self.timer.now()
        ages = {
            "configuration": now_s - self.catalogue.configurations.heard_s,
            "endpoint_list": now_s - self.catalogue.endpoints.heard_s,
            "gateway_list": now_s - self.gateways.heard_s,
        }
        if self.placer.held_fence:
            ages["lease"] = self.placer.proof_age_s
        return ages

    def _count_endpoints(self) -> dict[str, float]:
        states = list(self.board.state_by_id.values())
        return {
            "listed": sum(each.lapses_s is None for each in states),
            "lapsed": sum(each.lapses_s is not None for each in states),
            "leaving": sum(each.entry.is_leaving for each in states),
            "out_of_reach": len(self.board.list_unreachable(self.timer.now())),
        }

    def _count_requests(self) -> dict[str, float]:
        sent = sum(len(each.tokens_by_attempt) for each in self.board.state_by_id.values())
        return {"waiting": self.dispatcher.waiting, "sent": sent}
