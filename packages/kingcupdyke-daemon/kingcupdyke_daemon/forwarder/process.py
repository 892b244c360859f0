"""
kingcupdyke_daemon.forwarder.process
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Composes a forwarding gateway, starts it and performs its planned stop.
"""

import logging
from functools import partial

from anyio import Event, sleep
from anyio.abc import SocketListener, TaskGroup

from kingcupdyke.forwarding.configuration import ClientLimits, Configuration
from kingcupdyke.forwarding.connectionlimit import choose_connection_limit
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.leasepromise import LeasePromises
from kingcupdyke.forwarding.peerstate import PeerTable
from kingcupdyke.forwarding.retrybudget import SharedRetryBudget
from kingcupdyke.forwarding.storechanges import StoreChanges
from kingcupdyke.forwarding.watchinterval import choose_watch_interval
from kingcupdyke_daemon.forwarder.answerbuffer import AnswerMemory
from kingcupdyke_daemon.forwarder.catalogue import Catalogue
from kingcupdyke_daemon.forwarder.dependencies import ForwarderDependencies
from kingcupdyke_daemon.forwarder.dialect import Dialect
from kingcupdyke_daemon.forwarder.endpointbackoffs import EndpointBackoffs
from kingcupdyke_daemon.forwarder.enginecalls import EngineCalls
from kingcupdyke_daemon.forwarder.handler import ForwardingHandler
from kingcupdyke_daemon.forwarder.listeners import Listeners
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.forwarder.peerexchanges import PeerExchanges
from kingcupdyke_daemon.forwarder.peergossip import PEERS_KIND, PeerGossip
from kingcupdyke_daemon.forwarder.plannedstop import (
    ANSWER_GRACE_FRACTION,
    SEND_GRACE_FRACTION,
    PlannedStop,
)
from kingcupdyke_daemon.forwarder.plannercandidacy import PlannerCandidacy
from kingcupdyke_daemon.forwarder.plannerlease import LEASE_MARGIN_S, make_planner_lease
from kingcupdyke_daemon.forwarder.plannerrunner import PlannerRunner
from kingcupdyke_daemon.forwarder.pool import ConnectionPool
from kingcupdyke_daemon.forwarder.processorload import ProcessorLoad
from kingcupdyke_daemon.forwarder.queue import WaitingQueue
from kingcupdyke_daemon.forwarder.settings import ForwarderSettings, SettingsSource
from kingcupdyke_daemon.forwarder.settingsreloader import SettingsReloader
from kingcupdyke_daemon.forwarder.stateexchange import StateExchange
from kingcupdyke_daemon.forwarder.stategauges import StateGauges
from kingcupdyke_daemon.forwarder.storereaders import StoreReaders
from kingcupdyke_daemon.forwarder.storewatcher import StoreWatcher
from kingcupdyke_daemon.forwarder.versionregistrar import VersionRegistrar
from kingcupdyke_daemon.logs import LineSampler
from kingcupdyke_daemon.looptimes import get_loop_times
from kingcupdyke_daemon.process import make_incarnation
from kingcupdyke_daemon.taskerrors import IsolatedTaskGroup, TaskErrors
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.store import StoreClient

__all__ = ["Forwarder"]

_LOGGER = logging.getLogger(__name__)
#: Minimum interval between messages to the planner when requests start to wait.
DEMAND_INTERVAL_S = 0.025
#: Interval between clean-ups of idle connections and expired entries.
CLEANUP_INTERVAL_S = 0.25
#: Interval between checks whether the settings have changed.
SETTINGS_POLL_INTERVAL_S = 1.0


class Forwarder:
    """A forwarding gateway.

    :param settings: the settings at the start
    :param source: provides changed settings
    :param dialect: header names, formats and paths of the platform
    :param store: the platform's store
    :param tasks: task group of the gateway's background tasks
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        source: SettingsSource,
        dialect: Dialect,
        store: StoreClient,
        tasks: TaskGroup,
    ) -> None:
        self._settings_reloader = SettingsReloader(settings, source, self._apply_settings)
        self._dialect = dialect
        self._store = store
        self._metrics = ForwarderMetrics(settings.host)
        store.on_faulty_answer = self._metrics.count_faulty_answer
        self._errors = TaskErrors(self._metrics.count_task_error)
        self._tasks = tasks = IsolatedTaskGroup(tasks, self._errors)
        self._incarnation = make_incarnation()
        self._is_stopping = False
        self._timer = LoopTimer(tasks, self._errors)
        self._endpoint_table = EndpointTable()
        self._dispatcher = Dispatcher(
            self._endpoint_table, settings.data_centre, settings.region_by_data_centre
        )
        self._queue = WaitingQueue(self._dispatcher, self._timer)
        self._pool = ConnectionPool(self._timer, tasks)
        self._retry_budget = SharedRetryBudget(
            settings.repeat_share, settings.repeat_allowance, settings.repeat_window_s
        )
        self._backoffs = EndpointBackoffs(self._endpoint_table, self._timer, self._metrics)
        self._peer_table = PeerTable()
        self._exchanges = PeerExchanges(
            settings.host,
            self._incarnation,
            self._dispatcher,
            self._endpoint_table,
            self._peer_table,
            self._timer,
            tasks,
            settings.quota_limits,
            lambda: self._peer_gossip,
        )
        self._versions = VersionRegistrar(
            self._dispatcher.version_register,
            store,
            self._timer,
            tasks,
            self._queue.poll,
            lambda: bool(self._planner_runner.held_fence),
        )
        self._memory = AnswerMemory(settings.memory_bytes, self._metrics, settings.max_event_bytes)
        self._request_handler = ForwardingHandler(
            ForwarderDependencies(
                dialect,
                self._dispatcher,
                self._endpoint_table,
                self._queue,
                self._pool,
                self._retry_budget,
                self._timer,
                self._metrics,
                LineSampler(self._timer.now),
                self._exchanges.origins,
                self._exchanges.crashes,
                self._exchanges.limits,
                self._exchanges.leaving,
                self._backoffs,
                self._versions,
                self._exchanges.quotas,
                self._memory,
            ),
            lambda: self._catalogue.get_ages(),
        )
        self._listeners = Listeners(
            self._request_handler,
            self._metrics,
            self._get_limits,
            self._get_max_connections,
            self._timer.now,
            self._memory,
            self._errors,
        )
        self._ready = self._listeners.ready
        ProcessorLoad(get_loop_times(), self._timer, self._metrics)
        self._peer_gossip = PeerGossip(
            settings.host,
            settings.peer,
            settings.data_centre,
            settings.region_by_data_centre,
            store,
            self._peer_table,
            self._timer,
            self._errors,
            lambda number: self._states.make(number, self._is_stopping),
            lambda state: self._states.receive(state),
            {
                StoreChanges: lambda each: self._store_readers.receive(each),
                **self._exchanges.receivers,
            },
            self._metrics.count_rejected_message,
        )
        self._lease_promises = LeasePromises(settings.host, settings.lease_s + LEASE_MARGIN_S)
        self._catalogue = Catalogue(
            dialect,
            store,
            self._endpoint_table,
            self._timer,
            self._errors,
            self._apply_configuration,
            self._on_catalogue_change,
            self._get_watch_interval_s,
        )
        self._candidacy = PlannerCandidacy(
            settings.host,
            self._peer_table,
            self._peer_gossip,
            self._catalogue,
            store,
            self._timer,
        )
        self._planner_runner = self._make_planner_runner(store)
        self._states = StateExchange(
            settings.host,
            self._incarnation,
            store,
            self._catalogue,
            self._dispatcher,
            self._endpoint_table,
            self._queue,
            self._peer_table,
            self._peer_gossip,
            self._planner_runner,
            self._lease_promises,
            self._candidacy,
            self._timer,
        )
        self._catalogue.configurations.on_recovery = self._versions.recheck
        self._gateway_watcher = StoreWatcher(
            store,
            PEERS_KIND,
            self._timer,
            self._peer_gossip.replace_entries,
            self._peer_gossip.put_entry,
            self._peer_gossip.remove_entry,
            self._get_watch_interval_s,
        )
        self._peer_gossip.watchers = (
            self._catalogue.configurations,
            self._catalogue.endpoints,
            self._gateway_watcher,
        )
        self._store_readers = StoreReaders(
            settings.host,
            self._peer_gossip,
            self._peer_table,
            (self._catalogue.endpoints, self._gateway_watcher),
            (self._catalogue.configurations,),
            self._timer,
            lambda: self._settings.apply_s,
        )
        for watcher in self._peer_gossip.watchers:
            watcher.on_call_end = partial(self._metrics.count_watch, watcher.kind)
        StateGauges(
            self._catalogue,
            self._gateway_watcher,
            self._endpoint_table,
            self._dispatcher,
            self._peer_table,
            self._planner_runner,
            self._timer,
        ).add_to(self._metrics)
        self._metrics.add_gauge("quota_used", self._exchanges.quotas.list_used, "caller")
        self._metrics.add_gauge("ready", lambda: {"": int(self._ready.is_ready)})

    async def run(self, stop: Event) -> None:
        """Serve until a planned stop is complete.

        :param stop: is set to begin a planned stop
        """
        try:
            await self._serve(stop)
        finally:
            self._metrics.close()

    def reload(self) -> None:
        """Read the settings again."""
        with self._errors.contain("reload"):
            self._settings_reloader.reload()

    @property
    def _settings(self) -> ForwarderSettings:
        return self._settings_reloader.settings

    async def _serve(self, stop: Event) -> None:
        settings = self._settings
        client_listener = await self._listeners.start(settings, self._tasks)
        for watcher in self._peer_gossip.watchers:
            self._tasks.keep_running(watcher.watch_forever)
        self._tasks.keep_running(self._peer_gossip.run)
        self._tasks.keep_running(self._peer_gossip.keep_registered)
        self._tasks.keep_running(self._planner_runner.run)
        self._tasks.keep_running(self._notify_demand)
        self._states.start()
        self._timer.subscribe("tidy", CLEANUP_INTERVAL_S, self._clean_up)
        self._timer.subscribe("settings", SETTINGS_POLL_INTERVAL_S, self._settings_reloader.check)
        _LOGGER.warning("started as %s", settings.host)
        await stop.wait()
        await self._stop(client_listener)

    async def _stop(self, client_listener: SocketListener) -> None:
        _LOGGER.warning("stopping")
        started_s = self._timer.now()
        self._is_stopping = self._exchanges.is_stopping = self._candidacy.is_stopping = True
        grace_s = self._settings.grace_s
        self._dispatcher.send_by_s = started_s + grace_s * SEND_GRACE_FRACTION
        self._dispatcher.end_by_s = started_s + grace_s * ANSWER_GRACE_FRACTION
        self._ready.is_ready = False
        self._peer_gossip.send_state_soon()
        planned_stop = PlannedStop(
            self._listeners.clients,
            self._request_handler,
            self._planner_runner,
            self._timer,
            self._tasks,
        )
        await planned_stop.run(client_listener, grace_s)
        self._pool.close_all()

    def _apply_settings(self, settings: ForwarderSettings) -> None:
        self._dispatcher.region_by_data_centre = settings.region_by_data_centre
        self._peer_gossip.region_by_data_centre = settings.region_by_data_centre
        self._memory.configure(settings.memory_bytes)
        self._retry_budget.configure(
            settings.repeat_share, settings.repeat_allowance, settings.repeat_window_s
        )

    def _make_planner_runner(self, store: StoreClient) -> PlannerRunner:
        settings = self._settings
        lease = make_planner_lease(settings.host, self._incarnation, settings.lease_s)
        return PlannerRunner(
            settings.host,
            lease,
            store,
            self._dialect,
            self._endpoint_table,
            self._dispatcher,
            self._peer_table,
            self._exchanges.pinned_demands,
            EngineCalls(
                self._dialect,
                self._exchanges.leaving,
                self._backoffs,
                self._memory.unfinished_parts,
                self._metrics,
                self._timer.now,
            ),
            self._lease_promises,
            self._candidacy,
            lambda: self._request_handler.configuration,
            self._timer,
            self._metrics,
            self._errors,
            self._peer_gossip.send_state_soon,
        )

    def _get_limits(self) -> ClientLimits:
        configuration = self._request_handler.configuration
        return ClientLimits() if configuration is None else configuration.limits

    def _get_max_connections(self) -> int:
        return choose_connection_limit(self._settings.memory_bytes, self._settings.max_fds)

    def _get_watch_interval_s(self) -> float:
        return choose_watch_interval(self._peer_gossip.gateway_count)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._request_handler.configuration = configuration
        self._exchanges.quotas.configure(configuration.callers)
        self._dispatcher.configure(configuration.services_by_name, configuration.callers)
        self._dispatcher.durations.retain({each.name for each in configuration.routes})
        self._versions.configure(configuration)

    def _on_catalogue_change(self, now_s: float) -> None:
        self._queue.poll(now_s)
        self._update_ready()

    def _update_ready(self) -> None:
        is_loaded = self._catalogue.is_loaded
        if is_loaded and not self._ready.is_ready and not self._is_stopping:
            self._ready.is_ready = True
            _LOGGER.warning("ready")

    def _clean_up(self, now_s: float) -> None:
        self._endpoint_table.drop_expired(now_s)
        self._request_handler.gateway_count = self._peer_gossip.gateway_count
        confirmed_s = now_s - self._catalogue.configurations.last_answer_s
        self._request_handler.is_configuration_fresh = confirmed_s < 4 * self._settings.apply_s
        self._pool.close_expired()
        self._update_ready()

    async def _notify_demand(self) -> None:
        """Notify the planner immediately when a request starts to wait."""
        while True:
            await self._queue.demand_changed.wait()
            self._queue.demand_changed = Event()
            self._peer_gossip.send_state_soon(is_demand=True)
            await sleep(DEMAND_INTERVAL_S)
