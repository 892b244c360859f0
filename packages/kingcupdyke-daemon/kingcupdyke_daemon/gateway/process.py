"""
kingcupdyke_daemon.gateway.process
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The gateway process, from its start to its planned stop.
"""

import logging
from collections.abc import Iterable
from random import Random

from anyio import Event, create_task_group, current_time, sleep
from anyio.abc import TaskGroup

from kingcupdyke.budget import RetryBudget
from kingcupdyke.demand import DemandDelta, DemandTracker
from kingcupdyke.drain import DrainMachine, DrainState
from kingcupdyke.forwarding.incomingbodies import IncomingBodies
from kingcupdyke.forwarding.memorybudget import MemoryBudget
from kingcupdyke.lease import LeaseMachine
from kingcupdyke.placements import get_placement
from kingcupdyke.retry import RetryPolicy
from kingcupdyke.routers import get_router
from kingcupdyke.routing import Router
from kingcupdyke.util import rank_rendezvous
from kingcupdyke_daemon.connectionlog import ConnectionLog
from kingcupdyke_daemon.gateway.admin import AdminApp, AdminDependencies
from kingcupdyke_daemon.gateway.admission import AdmissionController
from kingcupdyke_daemon.gateway.app import AppDependencies, GatewayApp
from kingcupdyke_daemon.gateway.bodyreader import BodyReader
from kingcupdyke_daemon.gateway.call import CallDependencies, CallHandler
from kingcupdyke_daemon.gateway.directory import EndpointDirectory
from kingcupdyke_daemon.gateway.planner import RegionPlanner, make_placement_options
from kingcupdyke_daemon.gossip import GossipService, PeerService
from kingcupdyke_daemon.metrics import DaemonMetrics
from kingcupdyke_daemon.process import (
    StatusApp,
    make_incarnation,
    print_addresses,
    watch_signals,
)
from kingcupdyke_daemon.server import HttpServer, open_socket
from kingcupdyke_daemon.settings import GatewaySettings
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.hostlist import HostListClient
from kingcupdyke_wire.peer_pb2 import Demand, News
from kingcupdyke_wire.server import make_server
from kingcupdyke_wire.store import HttpStoreClient, StoreClient

__all__ = ["run_gateway"]

_LOGGER = logging.getLogger(__name__)
_STORE_TIMEOUT_S = 2.0
_DEMAND_WINDOW_S = 10.0
_DEMAND_INTERVAL_S = 1.0
_REFRESH_INTERVAL_S = 0.5
_STOP_POLL_INTERVAL_S = 0.05
#: Number of gateways per region that may hold the planner's lease and receive demand.
_PLANNER_CANDIDATES = 3


class GatewayProcess:
    """Creates and connects the components of a gateway.

    :param settings: the checked settings
    :param tasks: the task group that runs all background tasks
    """

    def __init__(self, settings: GatewaySettings, tasks: TaskGroup) -> None:
        common = settings.common
        self._settings = settings
        self._tasks = tasks
        self._timer = LoopTimer(tasks)
        self._rng = Random()
        self._incarnation = make_incarnation()
        self._stop = Event()
        self._store = HttpStoreClient(common.store_url, _STORE_TIMEOUT_S)
        self._gossip = GossipService(
            common,
            self._incarnation,
            self._store,
            HostListClient(common.hosts_url),
            tasks,
            self._timer,
            self._rng,
        )
        self._metrics = DaemonMetrics(common.host, "gateway")
        self._bodies = IncomingBodies(MemoryBudget(settings.most_held_bytes))
        self._drain = DrainMachine(common.host, common.farewell_s)
        self._demand = DemandTracker(_DEMAND_WINDOW_S)
        self._directory = EndpointDirectory(common, self._gossip.membership, tasks, self._timer)
        self._admission = AdmissionController(
            settings.most_waiting, self._timer, settings.admission == "deadline"
        )
        self._router = self._make_router()
        self._planner = self._make_planner(self._store)
        self._gossip.on_host_list = self._directory.refresh
        self._gossip.on_demand = self._merge_demand

    async def run(self) -> int:
        """Run until a planned stop has ended.

        :return: the exit status
        """
        common = self._settings.common
        listener = open_socket(common.address, self._settings.port)
        peer_listener = open_socket(common.address, self._settings.peer_port)
        peers = make_server([PeerService(self._gossip)])
        await peers.start(sock=peer_listener)
        http = self._make_server()
        http_stopped = Event()
        self._tasks.start_soon(_serve, http, listener, http_stopped)
        self._start_loops()
        print_addresses(listening=listener, peers=peer_listener)
        await self._stop.wait()
        await self._drain_requests()
        http.stop()
        await http_stopped.wait()
        peers.close()
        self._gossip.close()
        self._directory.close()
        self._tasks.cancel_scope.cancel()
        return 0

    def _begin_stop(self) -> None:
        self._stop.set()

    async def _drain_requests(self) -> None:
        """Reject new requests, notify peers, release the lease, and finish running requests."""
        _LOGGER.info("leaving: step=admit host=%s", self._settings.common.host)
        self._drain.stop(current_time())
        self._tasks.start_soon(self._gossip.announce_leaving, self._drain)
        if self._planner is not None:
            await self._planner.release_lease()
        # The load balancer needs time to notice that this process is no longer ready.
        await sleep(self._settings.common.farewell_s)
        while not self._drain.may_exit(current_time()):
            await sleep(_STOP_POLL_INTERVAL_S)
        _LOGGER.info("left: step=admit host=%s", self._settings.common.host)

    def _make_router(self) -> Router:
        settings = self._settings
        if settings.router != "cost":
            return get_router(settings.router)
        return get_router(
            "cost",
            home_region=settings.common.region,
            home_data_centre=settings.common.data_centre,
            affinity=settings.affinity,
            two_choices=settings.two_choices,
            region_link_bytes_per_s=float(settings.region_link_bytes_per_s),
            lean=settings.lean,
        )

    def _make_planner(self, store: StoreClient) -> RegionPlanner | None:
        settings = self._settings
        if settings.placement == "none":
            return None
        region = settings.common.region
        lease = LeaseMachine(
            f"planner-{region}",
            f"{settings.common.host}/{self._incarnation}",
            settings.lease_s,
            settings.lease_s / 3,
        )
        return RegionPlanner(
            region,
            lease,
            get_placement(
                settings.placement, **make_placement_options(settings, self._incarnation)
            ),
            self._directory,
            self._demand,
            store,
            self._metrics,
            self._timer,
            lambda: self._gossip.replica.rule_set,
            lambda: settings.common.host in self._get_planner_candidates(),
        )

    def _make_app(self) -> GatewayApp:
        settings = self._settings
        common = settings.common
        budget = RetryBudget(settings.retry_share)
        call_handler = CallHandler(
            CallDependencies(
                self._directory,
                self._router,
                self._admission,
                RetryPolicy(budget),
                budget,
                self._metrics,
                self._timer,
                self._rng,
                common.host,
                settings.endpoint_slots,
                lambda: len(self._gossip.membership.routable("gateway")),
            )
        )
        admin = AdminApp(
            AdminDependencies(
                common.host,
                common.region,
                common.data_centre,
                self._incarnation,
                settings.operator_digest,
                self._directory,
                self._admission,
                self._router,
                self._planner,
                self._drain,
                self._metrics,
                self._timer,
                lambda: self._gossip.replica.rule_set,
                lambda: self._gossip.replica.version,
                self._begin_stop,
            )
        )
        return GatewayApp(
            AppDependencies(
                call_handler,
                StatusApp(self._is_ready),
                admin,
                self._drain,
                self._demand,
                self._metrics,
                self._timer,
                lambda: self._gossip.replica.rule_set,
                lambda: self._gossip.replica.version > 0,
                common.host,
                common.region,
                BodyReader(self._bodies, settings.most_body_bytes, common.host, self._timer),
            )
        )

    def _make_server(self) -> HttpServer:
        return HttpServer(
            self._make_app(),
            self._settings.most_connections,
            lambda: self._bodies.free_connection(self._timer.now()),
            ConnectionLog(self._metrics, self._timer.now).note_closed,
        )

    def _is_ready(self) -> bool:
        return self._drain.state is DrainState.RUNNING and self._gossip.replica.version > 0

    def _start_loops(self) -> None:
        tasks = self._tasks
        tasks.start_soon(watch_signals, self._begin_stop)
        tasks.start_soon(self._gossip.run)
        self._timer.subscribe("refresh", _REFRESH_INTERVAL_S, self._update_config_version)
        tasks.start_soon(self._send_demand_forever)
        if self._planner is not None:
            tasks.start_soon(self._planner.keep_lease_forever, self._settings.lease_s / 6)
            tasks.start_soon(self._planner.plan_forever, self._settings.plan_s)

    def _update_config_version(self, now_s: float) -> None:
        self._directory.config_version = self._gossip.replica.version

    def _merge_demand(self, demand: Iterable[Demand]) -> None:
        self._demand.merge(DemandDelta(each.model, each.region, each.requests) for each in demand)

    async def _send_demand_forever(self) -> None:
        """Send the demand seen here to the gateways that may hold a planner's lease."""
        local_host = self._settings.common.host
        while True:
            await sleep(_DEMAND_INTERVAL_S)
            deltas = self._demand.take_deltas()
            if not deltas:
                continue
            demand = [Demand(model=m, region=r, requests=n) for m, r, n in deltas]
            update = News(version=self._gossip.replica.version, demand=demand)
            for name in self._get_planner_candidates():
                if name != local_host:
                    await self._gossip.send(name, update)

    def _get_planner_candidates(self) -> list[str]:
        membership = self._gossip.membership
        hosts_by_region: dict[str, list[str]] = {}
        for host in membership.routable("gateway"):
            hosts_by_region.setdefault(host.region, []).append(host.host)
        return [
            name
            for region, names in hosts_by_region.items()
            for name in rank_rendezvous(f"planner/{region}", names)[:_PLANNER_CANDIDATES]
        ]


async def _serve(http: HttpServer, listener: object, http_stopped: Event) -> None:
    await http.serve([listener])
    http_stopped.set()


async def run_gateway(settings: GatewaySettings) -> int:
    """:return: the exit status of ``kingcupdyked gateway``"""
    async with create_task_group() as tasks:
        return await GatewayProcess(settings, tasks).run()
    return 0
