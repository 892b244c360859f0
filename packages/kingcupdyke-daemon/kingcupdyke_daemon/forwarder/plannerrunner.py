"""
kingcupdyke_daemon.forwarder.plannerrunner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the planner's lease and, while it is held, gives engines their orders.
"""

import logging
from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime

from anyio import create_task_group, sleep
from anyio.abc import TaskGroup

from kingcupdyke.error import Outcome
from kingcupdyke.forwarding.configuration import Configuration
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.enginestate import EngineState, OrderReply
from kingcupdyke.forwarding.leasepromise import LeasePromises
from kingcupdyke.forwarding.peerstate import PeerTable, Placement
from kingcupdyke.forwarding.planner import PlacementPlanner
from kingcupdyke.forwarding.planround import TimedOrder
from kingcupdyke.lease import LeaseMachine
from kingcupdyke_daemon.forwarder.dialect import Dialect
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.leasemanager import LeaseManager
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import EngineRecord, OrderRecord
from kingcupdyke_wire.http import HttpClient
from kingcupdyke_wire.store import StoreClient

__all__ = ["LEASE_NAME", "LEASES_KIND", "PlannerRunner", "read_clock"]

_LOGGER = logging.getLogger(__name__)
#: Kind and name of the lease's object.
LEASES_KIND = "kingcupdyke-leases"
LEASE_NAME = "planner"
#: Seconds after a proof of the lease for which orders are given: what is left of the lease must
#: outlast the time that a rival waits.
ORDERS_S = 1.0
#: Seconds between renewals of the lease, and between looks at it by those who do not hold it.
RENEW_S = 0.8
#: Seconds without a renewal after which the store counts as away: two periods and an answer.
AWAY_S = 2 * RENEW_S + 0.2
#: Seconds between planning rounds.
ROUND_S = 0.05
#: Seconds between looks at whether the lease is due.
TICK_S = 0.1
#: Seconds for the answer to an order, and to a question for a report.
ORDER_S = 0.4
REPORT_S = 0.6
#: Longest part of an answer that is logged.
QUOTED_BYTES = 100


def read_clock() -> float:
    """:return: seconds of a clock that goes on while the host is suspended"""
    return clock_gettime(CLOCK_BOOTTIME)


class PlannerRunner:
    """The planner's shell.

    :param host: name of this host; orders bear it
    :param lease: decides on the lease; its times are those of :func:`read_clock`
    :param orders_wait_s: seconds from taking a lease that another host gave back to the first order
    :param support: promises of peers, by which orders go on while the store does not answer
    :param list_members: gives the hosts whose promises the lease is to rely on
    :param list_stopping: gives the hosts that will not take the lease any more
    :param is_candidate: tells whether this gateway is among the few that contend for the lease
    """

    def __init__(
        self,
        host: str,
        lease: LeaseMachine,
        orders_wait_s: float,
        store: StoreClient,
        dialect: Dialect,
        board: EndpointTable,
        dispatcher: Dispatcher,
        peers: PeerTable,
        support: LeasePromises,
        list_members: Callable[[], tuple[str, ...]],
        list_stopping: Callable[[], set[str]],
        is_candidate: Callable[[], bool],
        get_configuration: Callable[[], Configuration | None],
        now: Callable[[], float],
        metrics: ForwarderMetrics,
    ) -> None:
        self._host = host
        self._lease = lease
        self._orders_wait_s = orders_wait_s
        self._keeper = LeaseManager(lease, store, LEASES_KIND, LEASE_NAME, read_clock)
        self._dialect = dialect
        self._board = board
        self._dispatcher = dispatcher
        self._peers = peers
        self._support = support
        self._list_members = list_members
        self._list_stopping = list_stopping
        self._is_candidate = is_candidate
        self._get_configuration = get_configuration
        self._now = now
        self._metrics = metrics
        self._term = 0
        self._orders_from_s = 0.0
        self._planner = PlacementPlanner(board)
        #: Clients by endpoint and its address.
        self._http_by_key: dict[tuple[str, tuple[str, int]], HttpClient] = {}

    @property
    def held_fence(self) -> int:
        """:return: the fencing number of the lease while it is held, or 0"""
        return self._lease.fence_at(read_clock()) or 0

    @property
    def proof_age_s(self) -> float:
        """:return: seconds since the lease was last proved to be held"""
        return self._lease.proof_age_s(read_clock())

    @property
    def is_store_away(self) -> bool:
        """:return: whether the store has missed more than one renewal of a lease that is held"""
        return bool(self.held_fence) and self._lease.written_age_s(read_clock()) > AWAY_S

    @property
    def may_have_written(self) -> bool:
        """:return: whether this gateway holds the lease, or may have taken it"""
        return self._lease.may_have_written

    @property
    def fence(self) -> int:
        """:return: the fencing number with which orders may be given now, or 0"""
        now_s = read_clock()
        fence = self._lease.fence_at(now_s)
        if fence is not None:
            hosts = self._lease.proof_hosts - self._list_stopping()
            proof_s = self._support.proof_s(fence, hosts)
            if proof_s is not None:
                self._lease.prove(proof_s)
        if fence is None or now_s < self._orders_from_s:
            return 0
        return fence if self._lease.proof_age_s(now_s) < ORDERS_S else 0

    def list_placements(self) -> tuple[Placement, ...]:
        """:return: placements of the last moments, as peers are told"""
        return self._planner.list_placements(self._now())

    async def run(self) -> None:
        """Contend for the lease and plan until cancelled."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._keep_lease)
            while True:
                await sleep(ROUND_S)
                if self.fence:
                    self._plan_round(tasks)

    async def give_back(self) -> None:
        """Give the lease back at a planned stop."""
        await self._keeper.release()

    async def _keep_lease(self) -> None:
        while True:
            await sleep(TICK_S)
            held = self._lease.fence_at(read_clock()) is not None
            if not held and not self._is_candidate():
                continue
            self._lease.may_take = self._support.may_take(read_clock())
            self._lease.members = self._list_members()
            await self._keeper.tick()
            self._note_term()

    def _note_term(self) -> None:
        fence = self._lease.fence_at(read_clock())
        if fence is None or fence == self._term:
            return
        self._term = fence
        if self._keeper.was_given_back:
            # Its last holder may have given orders until just now.
            self._orders_from_s = read_clock() + self._orders_wait_s
        self._planner.begin_term()
        _LOGGER.warning("took the planner's lease with fence %d", fence)

    def _plan_round(self, tasks: TaskGroup) -> None:
        configuration = self._get_configuration()
        if configuration is None:
            return
        now_s = self._now()
        engine_by_service = {
            name: spec.engine
            for name, spec in configuration.services_by_name.items()
            if spec.engine is not None
        }
        for seat in self._planner.update(engine_by_service, now_s):
            _log_engine(seat.entry)
        self._close_unused(tasks)
        for seat in self._planner.list_unreported(now_s):
            tasks.start_soon(self._ask_report, seat)
        demands = list(self._dispatcher.list_demands(now_s))
        for peer in self._peers.live(now_s):
            demands += peer.demands
        tokens_per_s = self._dispatcher.tokens_per_s
        for timed in self._planner.plan(engine_by_service, demands, tokens_per_s, now_s):
            seat = self._planner.seat_by_id[timed.order.endpoint]
            tasks.start_soon(self._give_order, seat, timed)

    def _close_unused(self, tasks: TaskGroup) -> None:
        """Close the clients of engines that are gone or have another address now."""
        seats = self._planner.seat_by_id.values()
        known = {(each.entry.endpoint, each.entry.address) for each in seats}
        for key in self._http_by_key.keys() - known:
            tasks.start_soon(self._http_by_key.pop(key).aclose)

    async def _give_order(self, seat: EngineState, timed: TimedOrder) -> None:
        order = timed.order
        fence = self.fence
        if not fence:
            self._planner.answered(seat, timed, OrderReply.REFUSED, self._now())
            return
        body = self._dialect.encode_order(order, seat.order_count, self._host, fence)
        headers = {"content-type": "application/json"}
        headers |= self._dialect.expect_endpoint(order.endpoint)
        http = self._get_http(seat)
        answer = await http.request("POST", self._dialect.order_path, headers, body, ORDER_S)
        reply, reason = OrderReply.UNKNOWN, ""
        if answer.is_ok():
            reply = self._dialect.read_order_reply(answer.ok.status)
            reason = answer.ok.body[:QUOTED_BYTES].decode("utf-8", "replace")
        else:
            reason = answer.error.reason
            if answer.error.outcome is Outcome.NOT_RUN:
                reply = OrderReply.REFUSED
        record = OrderRecord(
            order=order.order_id,
            kind=order.kind,
            model=order.model,
            adapter=order.adapter,
            endpoint=order.endpoint,
            order_count=seat.order_count,
            fence=fence,
            outcome=reply.value,
            reason=reason,
            expected_ms=round(timed.expected_s * 1000),
        )
        log_record(_LOGGER, "order answered", record)
        self._metrics.count_order(order.kind, reply.value)
        self._planner.answered(seat, timed, reply, self._now())

    async def _ask_report(self, seat: EngineState) -> None:
        endpoint = seat.entry.endpoint
        headers = self._dialect.expect_endpoint(endpoint)
        path = self._dialect.report_path
        answer = await self._get_http(seat).request("GET", path, headers, timeout_s=REPORT_S)
        if answer.is_error():
            _LOGGER.info("no report of %s: %s", endpoint, answer.error.reason)
            self._board.note_failure(endpoint, self._now(), True)
            seat.report_failed(self._now())
            return
        if answer.ok.status != 200:
            _LOGGER.info("no report of %s: status %d", endpoint, answer.ok.status)
            return
        report = self._dialect.decode_report(answer.ok.body)
        if report.is_error():
            _LOGGER.warning("the report of %s is unreadable: %s", endpoint, report.error.reason)
            return
        self._planner.observe_report(seat, report.ok, self._now())

    def _get_http(self, seat: EngineState) -> HttpClient:
        key = (seat.entry.endpoint, seat.entry.address)
        http = self._http_by_key.get(key)
        if http is None:
            address, port = seat.entry.address
            http = HttpClient(f"http://{address}:{port}", ORDER_S, seat.entry.endpoint, reuse=True)
            self._http_by_key[key] = http
        return http


def _log_engine(entry: EndpointEntry) -> None:
    record = EngineRecord(
        entry.endpoint,
        tuple(sorted(each.name for each in entry.models)),
        tuple(sorted(entry.in_memory)),
        tuple(sorted(entry.on_disk)),
        entry.heartbeat,
    )
    log_record(_LOGGER, "engine changed", record)
