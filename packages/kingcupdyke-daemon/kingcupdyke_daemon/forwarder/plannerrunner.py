"""
kingcupdyke_daemon.forwarder.plannerrunner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Maintains the planner's lease and, while holding it, sends orders to engines.
"""

import logging
from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime

from anyio import Event, create_task_group, sleep
from anyio.abc import TaskGroup

from kingcupdyke.error import Outcome
from kingcupdyke.forwarding.configuration import Configuration
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.enginestate import EngineState, OrderReply
from kingcupdyke.forwarding.leasepromise import LeasePromises
from kingcupdyke.forwarding.peerstate import GatewayState, PeerTable, Placement
from kingcupdyke.forwarding.planner import PlacementPlanner
from kingcupdyke.forwarding.planround import TimedOrder
from kingcupdyke.lease import LeaseMachine
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.enginerecords import EngineRecord, OrderRecord
from kingcupdyke_daemon.forwarder.dialect import Dialect
from kingcupdyke_daemon.forwarder.enginecalls import EngineCalls
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.forwarder.pinneddemands import PinnedDemands
from kingcupdyke_daemon.forwarder.plannercandidacy import PlannerCandidacy
from kingcupdyke_daemon.forwarder.plannerlease import RENEWAL_INTERVAL_S
from kingcupdyke_daemon.leasemanager import LeaseManager
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.taskerrors import IsolatedTaskGroup, TaskErrors
from kingcupdyke_wire.store import StoreClient

__all__ = ["LEASES_KIND", "PlannerRunner", "read_clock"]

_LOGGER = logging.getLogger(__name__)
#: Kind of the store's objects that hold the planner's lease.
LEASES_KIND = "kingcupdyke-leases"
#: Orders are sent only within this time after the last proof that the lease is held: the remainder
#: of the lease must cover the time that another planner waits before its first order.
MAX_PROOF_AGE_S = 1.0
#: Seconds since the last renewal after which the next one is overdue.
RENEWAL_OVERDUE_S = RENEWAL_INTERVAL_S + 0.3
#: Time without a renewal after which the store counts as unavailable: two renewal intervals plus
#: the time of an answer.
STORE_UNAVAILABLE_AFTER_S = 2 * RENEWAL_INTERVAL_S + 0.2
#: Interval between planning rounds.
PLANNING_INTERVAL_S = 0.05
#: Interval between checks whether the lease must be renewed or read.
LEASE_TICK_INTERVAL_S = 0.1
#: Limit on the part of an answer's body that is logged.
MAX_LOGGED_BYTES = 100


def read_clock() -> float:
    """:return: seconds of a monotonic clock that keeps running while the host is suspended"""
    return clock_gettime(CLOCK_BOOTTIME)


class PlannerRunner:
    """Runs the placement planner while this gateway holds the planner's lease.

    :param host: name of this host, which orders contain
    :param lease: state machine of the lease; its times are those of :func:`read_clock`
    :param calls: sends orders to engines, and asks them for their reports
    :param lease_promises: promises of peers, which prove that the lease is still held while the
        store does not answer
    :param candidacy: knows which gateways contend for the lease, and which may hold it
    :param timer: the timer service
    :param errors: logs and counts errors in one call or one round
    :param on_placement: called when there is a new placement to send to peers
    """

    def __init__(
        self,
        host: str,
        lease: LeaseMachine,
        store: StoreClient,
        dialect: Dialect,
        endpoint_table: EndpointTable,
        dispatcher: Dispatcher,
        peers: PeerTable,
        pinned_demands: PinnedDemands,
        calls: EngineCalls,
        lease_promises: LeasePromises,
        candidacy: PlannerCandidacy,
        get_configuration: Callable[[], Configuration | None],
        timer: TimerService,
        metrics: ForwarderMetrics,
        errors: TaskErrors,
        on_placement: Callable[[], None],
    ) -> None:
        self._host = host
        self._lease = lease
        self._lease_manager = LeaseManager(lease, store, LEASES_KIND, read_clock)
        self._dialect = dialect
        self._endpoint_table = endpoint_table
        self._dispatcher = dispatcher
        self._peers = peers
        self._pinned_demands = pinned_demands
        self._calls = calls
        self._lease_promises = lease_promises
        self._candidacy = candidacy
        self._get_configuration = get_configuration
        self._timer = timer
        self._now = timer.now
        self._lease_due = Event()
        self._metrics = metrics
        self._errors = errors
        self._term = 0
        #: Set while the lease is held, as of the last check; no rounds are run otherwise.
        self._held = Event()
        self._planner = PlacementPlanner(endpoint_table, on_placement)

    @property
    def held_fence(self) -> int:
        """:return: the fencing number of the lease while it is held, or 0"""
        self._lease_manager.note_era()
        return self._lease.fence_at(read_clock()) or 0

    @property
    def proof_age_s(self) -> float:
        """:return: seconds since the last proof that the lease is held"""
        return self._lease.proof_age_s(read_clock())

    @property
    def is_store_unavailable(self) -> bool:
        """:return: whether this gateway holds the lease and more than one renewal has failed"""
        return (
            bool(self.held_fence)
            and self._lease.written_age_s(read_clock()) > STORE_UNAVAILABLE_AFTER_S
        )

    @property
    def wants_promises(self) -> bool:
        """:return: whether the lease is held and its renewal in the store is overdue, so that it
        has to be proved by the promises of peers
        """
        age_s = self._lease.written_age_s(read_clock())
        return bool(self.held_fence) and age_s > RENEWAL_OVERDUE_S

    @property
    def may_have_written(self) -> bool:
        """:return: whether this gateway holds the lease, or may have taken it"""
        return self._lease.may_have_written

    @property
    def fence(self) -> int:
        """:return: the fencing number with which orders may be sent now, or 0"""
        self._lease_manager.note_era()
        now_s = read_clock()
        fence = self._lease.fence_at(now_s)
        if fence is not None:
            hosts = self._lease.proof_hosts - self._candidacy.list_stopping()
            proof_s = self._lease_promises.proof_s(fence, hosts)
            if proof_s is not None:
                self._lease.record_proof(proof_s)
        if fence is None or not self._lease.may_use(now_s):
            return 0
        return fence if self._lease.proof_age_s(now_s) < MAX_PROOF_AGE_S else 0

    def note_peer(self, state: GatewayState) -> None:
        """Take the store's era and the fencing number into account that a peer has reported."""
        self._lease.note_peer_era(state.store_era)
        self._lease.note_fence(state.fence)

    def list_placements(self) -> tuple[Placement, ...]:
        """:return: recent placements, to be sent to peers"""
        return self._planner.list_placements(self._now())

    async def run(self) -> None:
        """Contend for the lease and plan until cancelled."""
        async with create_task_group() as group:
            tasks = IsolatedTaskGroup(group, self._errors)
            tasks.keep_running(self._maintain_lease)
            while True:
                await self._held.wait()
                await sleep(PLANNING_INTERVAL_S)
                if self.fence:
                    with self._errors.contain("planning round"):
                        self._plan_round(tasks)

    async def release_lease(self) -> None:
        """Release the lease at a planned stop."""
        await self._lease_manager.release()

    async def _maintain_lease(self) -> None:
        self._timer.subscribe("lease", LEASE_TICK_INTERVAL_S, lambda _: self._lease_due.set())
        while True:
            await self._lease_due.wait()
            self._lease_due = Event()
            held = self._lease.fence_at(read_clock()) is not None
            if held or self._candidacy.is_candidate():
                self._lease.may_take = self._lease_promises.may_take(read_clock())
                self._lease.members = self._candidacy.list_members()
                self._lease.is_era_shared = not self._candidacy.list_rivals()
                await self._lease_manager.tick()
            self._check_new_term()

    def _check_new_term(self) -> None:
        fence = self._lease.fence_at(read_clock())
        if fence is None:
            if self._held.is_set():
                self._held = Event()
            return
        self._held.set()
        if fence == self._term:
            return
        self._term = fence
        self._planner.begin_term()
        _LOGGER.warning("took the planner's lease with fence %d", fence)

    def _plan_round(self, tasks: TaskGroup) -> None:
        configuration = self._get_configuration()
        if configuration is None:
            return
        now_s = self._now()
        engine_spec_by_service = {
            name: spec.engine
            for name, spec in configuration.services_by_name.items()
            if spec.engine is not None
        }
        for engine in self._planner.update(engine_spec_by_service, now_s):
            _log_engine(engine.entry)
        entries = [each.entry for each in self._planner.engine_by_id.values()]
        self._calls.close_unused([(each.endpoint, each.address) for each in entries], tasks)
        for engine in self._planner.list_unreported(now_s):
            tasks.start_soon(self._update_report, engine)
        demands = list(self._dispatcher.list_demands(now_s))
        for peer in self._peers.live(now_s):
            demands += peer.demands
        tokens_per_s = self._dispatcher.tokens_per_s
        pinned = self._pinned_demands.list()
        for timed in self._planner.plan(
            engine_spec_by_service, demands, tokens_per_s, now_s, pinned
        ):
            engine = self._planner.engine_by_id[timed.order.endpoint]
            tasks.start_soon(self._send_order, engine, timed)

    async def _send_order(self, engine: EngineState, timed: TimedOrder) -> None:
        reply = OrderReply.UNKNOWN
        try:
            reply = await self._request_order(engine, timed)
        finally:
            self._planner.answered(engine, timed, reply, self._now())

    async def _request_order(self, engine: EngineState, timed: TimedOrder) -> OrderReply:
        order = timed.order
        fence = self.fence
        if not fence:
            return OrderReply.REFUSED
        held, expected_count = _list_held(engine), engine.expected_count
        body = self._dialect.encode_order(order, expected_count, self._host, fence)
        answer = await self._calls.send_order(engine.entry, body)
        reply, reason = OrderReply.UNKNOWN, ""
        if answer.is_ok():
            reply = self._dialect.read_order_reply(answer.ok.status)
            reason = answer.ok.body[:MAX_LOGGED_BYTES].decode("utf-8", "replace")
        else:
            reason = answer.error.reason
            if answer.error.outcome is Outcome.NOT_RUN:
                reply = OrderReply.REFUSED
            elif answer.error.fault is not None:
                reply = OrderReply.FAULTY
        record = OrderRecord(
            order=order.order_id,
            kind=order.kind,
            model=order.model,
            adapter=order.adapter,
            endpoint=order.endpoint,
            order_count=expected_count,
            fence=fence,
            outcome=reply.value,
            reason=reason,
            expected_ms=round(timed.expected_s * 1000),
            held=held,
        )
        log_record(_LOGGER, "order answered", record)
        self._metrics.count_order(order.kind, reply.value)
        return reply

    async def _update_report(self, engine: EngineState) -> None:
        try:
            report = await self._calls.request_report(engine.entry)
        except Exception:
            engine.report_failed(self._now())
            raise
        if report.is_error():
            endpoint, failure = engine.entry.endpoint, report.error
            _LOGGER.info("no report from %s: %s", endpoint, failure.reason)
            self._endpoint_table.note_failure(endpoint, self._now(), True)
            engine.report_failed(self._now(), failure.fault is not None)
        elif report.ok is not None:
            self._planner.observe_report(engine, report.ok, self._now())


def _list_held(engine: EngineState) -> tuple[str, ...]:
    """:return: models and adapters that an engine is taken to hold"""
    adapters = (f"{model}/{name}" for model, name in engine.list_adapters())
    return (*sorted(engine.models_by_name), *sorted(adapters))


def _log_engine(entry: EndpointEntry) -> None:
    record = EngineRecord(
        entry.endpoint,
        tuple(sorted(each.name for each in entry.models)),
        tuple(sorted(entry.in_memory)),
        tuple(sorted(entry.on_disk)),
        entry.heartbeat,
    )
    log_record(_LOGGER, "engine changed", record)
