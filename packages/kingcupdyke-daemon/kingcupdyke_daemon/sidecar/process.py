"""
kingcupdyke_daemon.sidecar.process
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The sidecar process, from its start to its planned stop.
"""

import logging
from random import Random

from anyio import Event, create_task_group, current_time, sleep
from anyio.abc import TaskGroup

from kingcupdyke.drain import DrainMachine
from kingcupdyke.fence import EndpointGuard
from kingcupdyke.keyworker import KeyWorker
from kingcupdyke.ledger import MemoryLedger
from kingcupdyke.residency import Holder
from kingcupdyke_daemon.connectionlog import ConnectionLog
from kingcupdyke_daemon.gossip import GossipService, PeerService
from kingcupdyke_daemon.metrics import DaemonMetrics
from kingcupdyke_daemon.process import (
    StatusApp,
    make_incarnation,
    print_addresses,
    watch_signals,
)
from kingcupdyke_daemon.server import HttpServer, open_socket
from kingcupdyke_daemon.settings import SidecarSettings
from kingcupdyke_daemon.sidecar.attempts import AttemptDependencies, AttemptManager
from kingcupdyke_daemon.sidecar.backend import EngineBackend, ServiceBackend
from kingcupdyke_daemon.sidecar.health import BackendHealth
from kingcupdyke_daemon.sidecar.keys import IdempotencyKeyManager
from kingcupdyke_daemon.sidecar.orders import OrderManager
from kingcupdyke_daemon.sidecar.ownership import EndpointOwnership
from kingcupdyke_daemon.sidecar.residency import ResidencyPublisher
from kingcupdyke_daemon.sidecar.run import RunTable
from kingcupdyke_daemon.sidecar.service import EndpointState, ServiceDependencies, SidecarService
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.engine import HttpEngineClient
from kingcupdyke_wire.hostlist import HostListClient
from kingcupdyke_wire.server import make_server
from kingcupdyke_wire.sidecar_pb2 import CacheEvent
from kingcupdyke_wire.store import HttpStoreClient

__all__ = ["run_sidecar"]

_LOGGER = logging.getLogger(__name__)
_STORE_TIMEOUT_S = 2.0
_ENGINE_TIMEOUT_S = 5.0
_INVENTORY_INTERVAL_S = 1.0
#: Intervals between reads of the engine's load while requests run, and while none do.
_LOAD_INTERVAL_S = 0.25
_IDLE_LOAD_INTERVAL_S = 1.0
_CACHE_POLL_TIMEOUT_S = 5.0
_SWEEP_INTERVAL_S = 0.5
_STOP_POLL_INTERVAL_S = 0.05
#: After a longer pause of the event loop, another sidecar may own the endpoint.
_MAX_PAUSE_S = 2.0
#: Limit of the open connections for health checks and metrics.
_MAX_STATUS_CONNECTIONS = 128
#: Time that a draining sidecar waits until its last replicas are loaded elsewhere.
_HAND_OVER_TIMEOUT_S = 5.0


class SidecarProcess:
    """Creates and connects the components of a sidecar.

    :param settings: the checked settings
    :param tasks: the task group that runs all background tasks
    """

    def __init__(self, settings: SidecarSettings, tasks: TaskGroup) -> None:
        common = settings.common
        self._settings = settings
        self._tasks = tasks
        self._timer = LoopTimer(tasks)
        self._metrics = DaemonMetrics(common.host, "sidecar")
        self._incarnation = make_incarnation()
        self._stop = Event()
        self._handed_over = False
        store = HttpStoreClient(common.store_url, _STORE_TIMEOUT_S)
        hosts = HostListClient(common.hosts_url)
        self._gossip = GossipService(
            common, self._incarnation, store, hosts, tasks, self._timer, Random()
        )
        self._drain = DrainMachine(common.host, common.farewell_s)
        self._table = RunTable(tasks, settings.tick_s, settings.resume_s)
        self._keys = IdempotencyKeyManager(
            KeyWorker(settings.key_buckets, settings.key_retention_s, rng=Random()),
            store,
            settings.endpoint,
            self._incarnation,
            tasks,
            self._timer,
        )
        self._health = BackendHealth(settings.engine_url, settings.services_by_name)
        self._engine: HttpEngineClient | None = None
        self._orders: OrderManager | None = None
        self._ownership: EndpointOwnership | None = None
        self._publisher: ResidencyPublisher | None = None
        if settings.engine_url:
            self._make_engine(store)
        guard = self._ownership.guard if self._ownership else EndpointGuard(self._incarnation)
        self._attempts = AttemptManager(self._make_attempt_dependencies(guard), tasks)
        self._state = EndpointState(
            settings,
            self._incarnation,
            self._table,
            self._orders,
            self._health,
            lambda: self._gossip.replica.version,
            lambda: self._handed_over or guard.superseded,
        )

    async def run(self) -> int:
        """Run until a planned stop has ended.

        :return: the exit status
        """
        settings = self._settings
        listener = open_socket(settings.common.address, settings.port)
        http_listener = open_socket(settings.common.address, settings.http_port)
        service = SidecarService(self._make_service_dependencies())
        server = make_server([service, PeerService(self._gossip)])
        await server.start(sock=listener)
        http_server = HttpServer(
            StatusApp(lambda: not self._handed_over),
            _MAX_STATUS_CONNECTIONS,
            note_closed=ConnectionLog(self._metrics, self._timer.now).note_closed,
        )
        self._tasks.start_soon(http_server.serve, [http_listener])
        self._start_loops()
        print_addresses(listening=listener, http=http_listener)
        await self._stop.wait()
        await self._drain_requests()
        http_server.stop()
        server.close()
        self._gossip.close()
        self._tasks.cancel_scope.cancel()
        return 0

    def _begin_stop(self) -> None:
        self._stop.set()

    async def _drain_requests(self) -> None:
        """Hand over the models, reject new requests, and finish running requests."""
        _LOGGER.info("leaving: step=admit host=%s", self._settings.common.host)
        await self._hand_over()
        self._handed_over = True
        self._drain.stop(current_time())
        self._tasks.start_soon(self._gossip.announce_leaving, self._drain)
        while not self._drain.may_exit(current_time()) or self._has_unfinished():
            await sleep(_STOP_POLL_INTERVAL_S)
        await sleep(self._settings.common.beat_s)
        _LOGGER.info("left: step=admit host=%s", self._settings.common.host)

    def _has_unfinished(self) -> bool:
        """:return: whether any answer is not yet relayed or not yet recorded"""
        runs = self._table.runs_by_attempt.values()
        return bool(self._keys.unsettled) or not all(run.delivered for run in runs)

    async def _hand_over(self) -> None:
        """Wait until planners have loaded this endpoint's last replicas elsewhere, or a timeout."""
        if self._orders is None or not self._orders.ready:
            return
        self._state.handing_over = True
        under_replicated_models = await self._publisher.hand_over(
            self._orders.models, _HAND_OVER_TIMEOUT_S
        )
        if under_replicated_models:
            _LOGGER.warning(
                "left without hand-over: step=order models=%s", ",".join(under_replicated_models)
            )

    def _get_leaving_hosts(self) -> frozenset[str]:
        membership = self._gossip.membership
        return frozenset(
            each.host for each in membership.known() if membership.is_leaving(each.host)
        )

    def _get_min_holders(self, model: str) -> int:
        rule = self._gossip.replica.rule_set.models_by_name.get(model)
        return rule.replicas if rule else 0

    def _make_holder(self) -> Holder:
        common = self._settings.common
        incarnation = self._orders.inventory.incarnation
        return Holder(incarnation, common.host, common.data_centre, common.region)

    def _make_engine(self, store: HttpStoreClient) -> None:
        settings = self._settings
        self._engine = HttpEngineClient(settings.engine_url, _ENGINE_TIMEOUT_S)
        self._ownership = EndpointOwnership(
            settings.endpoint, self._incarnation, settings.checks_fence, store, self._engine
        )
        self._publisher = ResidencyPublisher(
            store,
            settings.endpoint,
            self._make_holder,
            self._get_min_holders,
            self._get_leaving_hosts,
        )
        self._orders = OrderManager(
            self._ownership,
            MemoryLedger(1 << 62),
            self._engine,
            self._publisher,
            self._drain,
            settings.checks_fence,
            settings.order_lifetime_s,
            settings.adapter_loads,
            self._tasks,
            self._timer,
            lambda name: self._attempts.in_use[name],
        )

    def _make_attempt_dependencies(self, guard: EndpointGuard) -> AttemptDependencies:
        settings = self._settings
        engine = EngineBackend(self._engine, settings.engine_url) if self._engine else None
        return AttemptDependencies(
            self._table,
            self._keys,
            self._orders,
            engine,
            ServiceBackend(settings.services_by_name),
            self._health,
            frozenset(settings.services_by_name),
            self._drain,
            guard,
            settings.most_in_flight,
            self._incarnation,
            settings.common.host,
            lambda: self._gossip.replica.rule_set,
            self._metrics,
        )

    def _make_service_dependencies(self) -> ServiceDependencies:
        return ServiceDependencies(
            self._state,
            self._attempts,
            self._table,
            self._orders,
            lambda: self._ownership.fence if self._ownership else 0,
            self._begin_stop,
            self._settings.operator_digest,
        )

    def _start_loops(self) -> None:
        tasks = self._tasks
        tasks.start_soon(watch_signals, self._begin_stop)
        tasks.start_soon(self._gossip.run)
        tasks.start_soon(self._table.flush_forever)
        tasks.start_soon(self._health.probe_forever)
        self._timer.subscribe("sweep", _SWEEP_INTERVAL_S, self._table.sweep)
        keep_alive_s = self._settings.common.beat_s / 2
        self._timer.subscribe("keep alive", keep_alive_s, self._table.keep_alive)
        if self._orders is not None:
            tasks.start_soon(self._start_orders)
            tasks.start_soon(self._read_load_forever)
            tasks.start_soon(self._read_cache_forever)
            tasks.start_soon(self._watch_pauses)

    async def _start_orders(self) -> None:
        self._tasks.start_soon(self._orders.observe_forever, _INVENTORY_INTERVAL_S)
        await self._orders.start()

    async def _read_load_forever(self) -> None:
        while True:
            read = await self._engine.load()
            self._health.record_result("", None if read.is_ok() else read.error)
            if read.is_ok():
                self._state.engine_load = read.ok
            await sleep(_LOAD_INTERVAL_S if self._table.running else _IDLE_LOAD_INTERVAL_S)

    async def _read_cache_forever(self) -> None:
        position = 0
        while True:
            read = await self._engine.cache_events(position, _CACHE_POLL_TIMEOUT_S)
            if read.is_error():
                await sleep(_LOAD_INTERVAL_S)
                continue
            batch = read.ok
            if batch.incarnation != self._state.cache_incarnation:
                self._state.cache_events.clear()
                self._state.cache_incarnation = batch.incarnation
                position = 0
            for event in batch.events:
                position = max(position, event.sequence)
                self._state.cache_events.append(CacheEvent(**event._asdict()))

    async def _watch_pauses(self) -> None:
        """After a pause of this process, check in the store whether it was superseded."""
        previous_s = current_time()
        while True:
            await sleep(_SWEEP_INTERVAL_S)
            now_s = current_time()
            if now_s - previous_s > _MAX_PAUSE_S:
                await self._ownership.check_superseded()
            previous_s = now_s


async def run_sidecar(settings: SidecarSettings) -> int:
    """:return: the exit status of ``kingcupdyked sidecar``"""
    async with create_task_group() as tasks:
        return await SidecarProcess(settings, tasks).run()
    return 0
