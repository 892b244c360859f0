"""
kingcupdyke_daemon.gateway.planner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The planner of a region, which sends orders to endpoints while it holds a lease.
"""

import logging
from collections.abc import Callable

from anyio import create_task_group, fail_after, sleep

from kingcupdyke.demand import DemandTracker
from kingcupdyke.lease import LeaseMachine
from kingcupdyke.placement import EndpointInventory, Order, PlacementPolicy, PlacementView
from kingcupdyke.rule import RuleSet
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.gateway.cleaner import HolderCleaner
from kingcupdyke_daemon.gateway.directory import EndpointDirectory
from kingcupdyke_daemon.gateway.link import SidecarLink
from kingcupdyke_daemon.leasemanager import LeaseManager
from kingcupdyke_daemon.metrics import DaemonMetrics
from kingcupdyke_daemon.settings import GatewaySettings
from kingcupdyke_wire.calls import CALL_ERRORS
from kingcupdyke_wire.sidecar_pb2 import DescribeReply, OrderRequest
from kingcupdyke_wire.store import StoreClient

__all__ = ["LEASES_KIND", "RegionPlanner"]

_LOGGER = logging.getLogger(__name__)
#: Kind of the store's objects that hold leases.
LEASES_KIND = "leases"
_DESCRIBE_TIMEOUT_S = 1.0
_ORDER_TIMEOUT_S = 2.0


class RegionPlanner:
    """Sends orders to the endpoints of its region while it holds the region's lease.

    :param region: name of the region
    :param lease: state machine of the lease
    :param policy: the placement policy
    :param directory: links to all endpoints
    :param demand: demand for each model and region
    :param store: the platform's store
    :param metrics: counters
    :param timer: the timer service
    :param get_rules: returns the rules in force
    :param is_candidate: returns whether this gateway may contend for the lease
    """

    def __init__(
        self,
        region: str,
        lease: LeaseMachine,
        policy: PlacementPolicy,
        directory: EndpointDirectory,
        demand: DemandTracker,
        store: StoreClient,
        metrics: DaemonMetrics,
        timer: TimerService,
        get_rules: Callable[[], RuleSet],
        is_candidate: Callable[[], bool],
    ) -> None:
        self._region = region
        self._lease_name = f"planner-{region}"
        self._lease_manager = LeaseManager(lease, store, LEASES_KIND, timer.now)
        self._lease = lease
        self._policy = policy
        self._directory = directory
        self._demand = demand
        self._metrics = metrics
        self._timer = timer
        self._get_rules = get_rules
        self._is_candidate = is_candidate
        self._cleaner = HolderCleaner(region, directory, store)

    @property
    def fence(self) -> int | None:
        """Fencing number of the lease, or None while this gateway does not hold it."""
        return self._lease.fence_at(self._timer.now())

    async def plan_forever(self, period_s: float) -> None:
        """Run a planning round each period while the lease is held."""
        while True:
            await sleep(period_s)
            if self.fence is not None:
                await self._plan_round()
                await self._cleaner.clean(self._timer.now())

    async def keep_lease_forever(self, period_s: float) -> None:
        """Acquire and renew the lease, independently of rounds, which may take long."""
        while True:
            if self.fence is not None or self._is_candidate():
                await self._lease_manager.tick()
            await sleep(period_s)

    async def release_lease(self) -> None:
        """Release the lease at a planned stop, so that no gateway waits for its expiry."""
        await self._lease_manager.release()

    async def _plan_round(self) -> None:
        inventory = await self._get_inventories()
        now_s = self._timer.now()
        view = PlacementView(self._get_rules(), inventory, self._demand.rates(now_s))
        local_links = self._get_local_links()
        for order in self._policy.plan(view, now_s):
            link = local_links.get(order.endpoint)
            fence = self.fence
            if link is not None and fence is not None:
                await self._send_order(link, order, fence)

    def _get_local_links(self) -> dict[str, SidecarLink]:
        return {
            name: link
            for name, link in self._directory.links_by_host.items()
            if link.host.region == self._region
        }

    async def _get_inventories(self) -> dict[str, EndpointInventory]:
        """:return: inventory of each endpoint with an engine, requested concurrently"""
        inventory_by_endpoint: dict[str, EndpointInventory] = {}
        async with create_task_group() as tasks:
            for name, link in self._directory.links_by_host.items():
                tasks.start_soon(self._describe_endpoint, name, link, inventory_by_endpoint)
        return inventory_by_endpoint

    async def _describe_endpoint(
        self, name: str, link: SidecarLink, inventory_by_endpoint: dict[str, EndpointInventory]
    ) -> None:
        try:
            with fail_after(_DESCRIBE_TIMEOUT_S):
                reply = await link.describe()
        except CALL_ERRORS as error:
            _LOGGER.debug("Describe to %s failed: %r", name, error)
            return
        if reply.capacity_bytes:
            leaving = reply.handing_over or reply.load.leaving or self._directory.is_leaving(name)
            inventory_by_endpoint[name] = _make_inventory(name, reply, leaving)

    async def _send_order(self, link: SidecarLink, order: Order, fence: int) -> None:
        message = OrderRequest(
            order_id=order.order_id,
            kind=order.kind,
            model=order.model,
            adapter=order.adapter,
            model_version=order.model_version,
            role=order.role,
            bytes=order.order_bytes,
            lease=self._lease_name,
            fence=fence,
        )
        reply = await link.order(message, _ORDER_TIMEOUT_S)
        state = getattr(reply, "state", "unknown")
        self._metrics.count(f"order_{order.kind}_{state}")
        _LOGGER.info(
            "order: step=order peer=%s kind=%s model=%s adapter=%s state=%s reason=%s",
            link.peer,
            order.kind,
            order.model,
            order.adapter,
            state,
            reply.reason,
        )


def _make_inventory(name: str, reply: DescribeReply, leaving: bool) -> EndpointInventory:
    return EndpointInventory(
        name,
        reply.region,
        reply.data_centre,
        reply.capacity_bytes,
        reply.reserved_bytes,
        frozenset(reply.models),
        frozenset(reply.adapters),
        leaving,
        frozenset(reply.pending_orders),
    )


def make_placement_options(settings: GatewaySettings, incarnation: str) -> dict[str, object]:
    """:return: the options of the placement policy that the settings select"""
    common = settings.common
    options: dict[str, object] = {
        # Prefix of order ids, which must differ from those of all earlier planners.
        "planner": f"{common.host}/{incarnation}",
        "region": common.region,
        "store_region": settings.store_region,
        "loads_per_s": settings.loads_per_s,
        "loads_at_once": settings.loads_at_once,
        "adapter_knee": settings.adapter_knee,
    }
    if settings.placement == "greedy":
        options["lean"] = settings.lean
    return options
