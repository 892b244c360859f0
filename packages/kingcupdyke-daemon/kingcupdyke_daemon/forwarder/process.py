"""
kingcupdyke_daemon.forwarder.process
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The process of a forwarding gateway: its parts, its start and its planned stop.
"""

import logging

from anyio import Event, move_on_after, sleep
from anyio.abc import SocketListener, TaskGroup

from kingcupdyke.forwarding.configuration import ClientLimits, Configuration
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.leasepromise import LeasePromises
from kingcupdyke.forwarding.peerstate import GatewayState, PeerTable
from kingcupdyke.forwarding.retrybudget import SharedRetryBudget
from kingcupdyke.lease import LeaseMachine
from kingcupdyke_daemon.forwarder.catalogue import Catalogue
from kingcupdyke_daemon.forwarder.clientserver import ClientServer
from kingcupdyke_daemon.forwarder.dependencies import ForwarderDependencies
from kingcupdyke_daemon.forwarder.dialect import Dialect
from kingcupdyke_daemon.forwarder.handler import ExchangeHandler
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics, MetricsHandler
from kingcupdyke_daemon.forwarder.peergossip import PEERS_KIND, PeerGossip
from kingcupdyke_daemon.forwarder.plannerrunner import (
    LEASE_NAME,
    RENEW_S,
    PlannerRunner,
    read_clock,
)
from kingcupdyke_daemon.forwarder.pool import ConnectionPool
from kingcupdyke_daemon.forwarder.queue import WaitingQueue
from kingcupdyke_daemon.forwarder.reply import ClientRequest, Reply, RequestHandler
from kingcupdyke_daemon.forwarder.settings import ForwarderSettings, SettingsSource
from kingcupdyke_daemon.forwarder.settingsreloader import SettingsReloader
from kingcupdyke_daemon.forwarder.stategauges import StateGauges
from kingcupdyke_daemon.forwarder.storewatcher import StoreWatcher
from kingcupdyke_daemon.logs import LineSampler, log_record
from kingcupdyke_daemon.process import make_incarnation
from kingcupdyke_daemon.records import PeerRecord
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.store import StoreClient

__all__ = ["Forwarder"]

_LOGGER = logging.getLogger(__name__)
#: Seconds between looks at requests that wait.
QUEUE_PERIOD_S = 0.025
#: Seconds between counts of what peers told.
PEERS_PERIOD_S = 0.05
#: Seconds between looks at idle connections and lapsed entries.
TIDY_PERIOD_S = 0.25
#: Seconds between looks at whether the settings have changed.
SETTINGS_PERIOD_S = 1.0
#: Gateways that contend for the planner's lease.
CANDIDATES = 2
#: Seconds for which requests are still taken after a planned stop began, where the grace is long
#: enough: the load balancer turns away after two misses of one a second.
TAKE_S = 2.6
#: Seconds for which they are refused after that, before the process may end.
REFUSE_S = 0.6
#: Parts of the grace after which nothing more is sent to endpoints, and after which what still
#: runs gets its final answer or is cut.
SEND_SHARE = 0.55
GRACE_SHARE = 0.9
#: Seconds for writing those final answers.
LAST_ANSWERS_S = 0.15
#: Seconds that a lease lasts beyond what must lie between the orders of two planners: more than
#: the time after a proof for which orders are given.
LEASE_MARGIN_S = 1.2
#: Seconds after its last renewal for which the lease may go on by the word of peers; a gateway that
#: the holder did not name waits as much longer before it takes the lease.
OUTLIVES_S = 40.0
#: Seconds for giving the lease back.
FAREWELL_S = 0.5


class ReadyHandler(RequestHandler):
    """Answers the load balancer's question whether this gateway takes connections."""

    def __init__(self) -> None:
        self.is_ready = False

    async def handle(self, request: ClientRequest, reply: Reply) -> None:
        await reply.answer(200 if self.is_ready else 503, [], b"")


class Forwarder:
    """A forwarding gateway.

    :param settings: its settings
    :param source: where changed settings come from
    :param dialect: how the platform spells things
    :param store: the platform's store
    :param tasks: carries its tasks
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        source: SettingsSource,
        dialect: Dialect,
        store: StoreClient,
        tasks: TaskGroup,
    ) -> None:
        self._keeper = SettingsReloader(settings, source, self._apply_settings)
        self._dialect = dialect
        self._tasks = tasks
        self._incarnation = make_incarnation()
        self._is_stopping = False
        self._timer = LoopTimer(tasks)
        self._board = EndpointTable()
        self._dispatcher = Dispatcher(
            self._board, settings.data_centre, settings.region_by_data_centre
        )
        self._queue = WaitingQueue(self._dispatcher, self._timer)
        self._pool = ConnectionPool(dialect, self._timer)
        self._budget = SharedRetryBudget(
            settings.repeat_share, settings.repeat_allowance, settings.repeat_window_s
        )
        self._metrics = ForwarderMetrics(settings.host)
        self._exchanges = ExchangeHandler(
            ForwarderDependencies(
                dialect,
                self._dispatcher,
                self._board,
                self._queue,
                self._pool,
                self._budget,
                self._timer,
                self._metrics,
                LineSampler(self._timer.now),
            ),
            lambda: self._catalogue.get_ages(),
        )
        self._ready = ReadyHandler()
        self._front_server = ClientServer(self._exchanges, self._get_limits, self._timer.now)
        self._ready_server = ClientServer(self._ready, ClientLimits, self._timer.now)
        self._metrics_server = ClientServer(
            MetricsHandler(self._metrics), ClientLimits, self._timer.now
        )
        self._peer_table = PeerTable()
        self._heard_hosts: set[str] = set()
        self._peers = PeerGossip(
            settings.host,
            settings.peer,
            settings.data_centre,
            settings.region_by_data_centre,
            store,
            self._peer_table,
            self._timer,
            self._describe,
            self._hear_peer,
        )
        self._support = LeasePromises(settings.host, settings.lease_s + LEASE_MARGIN_S)
        self._placer = self._make_placer(store)
        self._catalogue = Catalogue(
            dialect, store, self._board, self._timer, self._take_configuration, self._note_change
        )
        self._gateways = StoreWatcher(
            store,
            PEERS_KIND,
            self._timer,
            self._peers.take_all,
            self._peers.take,
            self._peers.remove,
        )
        self._peers.followers = (
            self._catalogue.configurations,
            self._catalogue.endpoints,
            self._gateways,
        )
        StateGauges(
            self._catalogue,
            self._gateways,
            self._board,
            self._dispatcher,
            self._peer_table,
            self._placer,
            self._timer,
        ).add_to(self._metrics)
        self._metrics.watch("ready", lambda: {"": int(self._ready.is_ready)})

    async def run(self, stop: Event) -> None:
        """Serve until a planned stop has ended.

        :param stop: set when a planned stop begins
        """
        try:
            await self._serve(stop)
        finally:
            self._metrics.close()

    def reload(self) -> None:
        """Read the settings again."""
        self._keeper.reload()

    @property
    def _settings(self) -> ForwarderSettings:
        return self._keeper.settings

    async def _serve(self, stop: Event) -> None:
        settings = self._settings
        ready = await self._ready_server.listen(settings.ready)
        front = await self._front_server.listen(settings.front)
        if settings.metrics is not None:
            listener = await self._metrics_server.listen(settings.metrics)
            self._tasks.start_soon(self._metrics_server.serve, listener, self._tasks)
        self._tasks.start_soon(self._ready_server.serve, ready, self._tasks)
        self._tasks.start_soon(self._front_server.serve, front, self._tasks)
        for follower in self._peers.followers:
            self._tasks.start_soon(follower.follow_forever)
        self._tasks.start_soon(self._peers.run)
        self._tasks.start_soon(self._peers.enter)
        self._tasks.start_soon(self._placer.run)
        self._tasks.start_soon(self._forward_demand)
        self._timer.subscribe("queue", QUEUE_PERIOD_S, self._queue.poll)
        self._timer.subscribe("peers", PEERS_PERIOD_S, self._count_peers)
        self._timer.subscribe("tidy", TIDY_PERIOD_S, self._tidy)
        self._timer.subscribe("settings", SETTINGS_PERIOD_S, self._keeper.check)
        _LOGGER.warning("started as %s", settings.host)
        await stop.wait()
        await self._stop(front)

    async def _stop(self, front: SocketListener) -> None:
        _LOGGER.warning("stopping")
        began_s = self._timer.now()
        self._is_stopping = True
        self._dispatcher.send_by_s = began_s + self._settings.grace_s * SEND_SHARE
        self._ready.is_ready = False
        self._front_server.is_stopping = True
        self._peers.changed.set()
        end_s = began_s + self._settings.grace_s * GRACE_SHARE
        handed_over = Event()
        self._tasks.start_soon(self._hand_over, end_s, handed_over)
        take_s = min(TAKE_S, self._settings.grace_s * GRACE_SHARE - REFUSE_S)
        await sleep(max(0.0, began_s + take_s - self._timer.now()))
        self._exchanges.is_refusing = True
        await self._front_server.close_idle()
        await sleep(REFUSE_S)
        await front.aclose()
        await self._front_server.close_idle()
        while self._front_server.busy and self._timer.now() < end_s:
            await sleep(QUEUE_PERIOD_S)
        await handed_over.wait()
        if self._front_server.busy:
            self._exchanges.end_all()
            await sleep(LAST_ANSWERS_S)
        _LOGGER.warning("stopped with %d requests under way", self._front_server.busy)

    async def _hand_over(self, end_s: float, handed_over: Event) -> None:
        """Give the planner's lease back; while the store is away nobody could take it, so that
        this gateway goes on planning until the store is back or the process must end.
        """
        while self._placer.is_store_away and self._timer.now() < end_s:
            await sleep(TIDY_PERIOD_S)
        with move_on_after(FAREWELL_S):
            await self._placer.give_back()
        handed_over.set()

    def _apply_settings(self, settings: ForwarderSettings) -> None:
        self._dispatcher.region_by_data_centre = settings.region_by_data_centre
        self._peers.region_by_data_centre = settings.region_by_data_centre
        self._budget.configure(
            settings.repeat_share, settings.repeat_allowance, settings.repeat_window_s
        )

    def _make_placer(self, store: StoreClient) -> PlannerRunner:
        settings = self._settings
        lease = LeaseMachine(
            LEASE_NAME,
            f"{settings.host}/{self._incarnation}",
            settings.lease_s + LEASE_MARGIN_S,
            RENEW_S,
            outlives_outage=False,
            earlier_owners=f"{settings.host}/",
            host=settings.host,
            outlives_s=OUTLIVES_S,
        )
        return PlannerRunner(
            settings.host,
            lease,
            settings.lease_s,
            store,
            self._dialect,
            self._board,
            self._dispatcher,
            self._peer_table,
            self._support,
            self._list_members,
            self._list_stopping,
            self._is_candidate,
            lambda: self._exchanges.configuration,
            self._timer.now,
            self._metrics,
        )

    def _get_limits(self) -> ClientLimits:
        configuration = self._exchanges.configuration
        return ClientLimits() if configuration is None else configuration.limits

    def _list_members(self) -> tuple[str, ...]:
        """:return: hosts of live gateways that may contend for the lease, this one included"""
        live = self._peer_table.live(self._timer.now())
        hosts = {each.host for each in live if not each.is_stopping}
        return tuple(sorted(hosts | {self._settings.host}))

    def _list_stopping(self) -> set[str]:
        """:return: hosts of gateways that will not contend for the lease any more"""
        live = self._peer_table.live(self._timer.now())
        return {each.host for each in live if each.is_stopping}

    def _is_candidate(self) -> bool:
        if self._is_stopping or not self._catalogue.endpoints.is_listed:
            return False
        live = self._peer_table.live(self._timer.now())
        hosts = sorted(each.host for each in live if not each.is_stopping)
        return sum(host < self._settings.host for host in hosts) < CANDIDATES

    def _take_configuration(self, configuration: Configuration) -> None:
        self._exchanges.configuration = configuration
        self._dispatcher.configure(configuration.services_by_name)

    def _note_change(self, now_s: float) -> None:
        self._queue.poll(now_s)
        self._note_ready()

    def _note_ready(self) -> None:
        is_known = self._catalogue.is_known
        if is_known and not self._ready.is_ready and not self._is_stopping:
            self._ready.is_ready = True
            _LOGGER.warning("ready")

    def _tidy(self, now_s: float) -> None:
        self._board.drop_lapsed(now_s)
        self._exchanges.gateways = self._peers.hosts
        confirmed_s = now_s - self._catalogue.configurations.heard_s
        self._exchanges.is_confirmed = confirmed_s < 4 * self._settings.apply_s
        self._tasks.start_soon(self._pool.close_expired)
        self._note_ready()

    async def _forward_demand(self) -> None:
        """Tell the planner at once when a request begins to wait."""
        while True:
            await self._queue.demand_changed.wait()
            self._queue.demand_changed = Event()
            self._peers.changed.set()
            await sleep(QUEUE_PERIOD_S)

    def _describe(self, number: int) -> GatewayState:
        now_s = self._timer.now()
        self._support.note_sent(number, read_clock())
        state = GatewayState(
            host=self._settings.host,
            incarnation=self._incarnation,
            number=number,
            is_stopping=self._is_stopping,
            version=self._catalogue.version,
            loads=self._dispatcher.list_loads(),
            demands=self._dispatcher.list_demands(now_s),
            unreachable=self._board.list_unreachable(now_s),
            fence=self._placer.held_fence,
            support=self._support.get_given(read_clock()),
            placements=self._placer.list_placements(),
            cut_off=tuple(each.kind for each in self._peers.followers if each.is_cut_off),
        )
        if state.fence:
            self._board.hear_placements(state, now_s)
            self._queue.poll(now_s)
        return state

    def _hear_peer(self, state: GatewayState) -> None:
        now_s = self._timer.now()
        if state.fence:
            self._board.hear_placements(state, now_s)
        is_rival = self._placer.may_have_written
        self._support.hear(state, self._incarnation, is_rival, read_clock())

    def _count_peers(self, now_s: float) -> None:
        """Take what peers told since the last time, many messages at once."""
        live = self._peer_table.live(now_s)
        self._log_peers({each.host for each in live})
        self._board.hear_peers(live, now_s)
        self._queue.poll(now_s)

    def _log_peers(self, hosts: set[str]) -> None:
        for host in sorted(hosts ^ self._heard_hosts):
            state = "heard" if host in hosts else "silent"
            log_record(_LOGGER, "peer changed", PeerRecord(host, state, len(hosts)))
        self._heard_hosts = hosts
