"""
kingcupdyke_daemon.forwarder.stateexchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a gateway tells its peers of itself, and what it takes from their states.
"""

from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.leasepromise import LeasePromises
from kingcupdyke.forwarding.peerstate import GatewayState, PeerTable
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.catalogue import Catalogue
from kingcupdyke_daemon.forwarder.peergossip import PeerGossip
from kingcupdyke_daemon.forwarder.peerlog import PeerLog
from kingcupdyke_daemon.forwarder.plannercandidacy import PlannerCandidacy
from kingcupdyke_daemon.forwarder.plannerrunner import PlannerRunner, read_clock
from kingcupdyke_daemon.forwarder.queue import WaitingQueue
from kingcupdyke_wire.store import StoreClient

__all__ = ["StateExchange"]

#: Interval between checks which peers no longer send messages.
PEER_UPDATE_INTERVAL_S = 0.1
#: Interval between requests for the promises that prove a lease while the store does not answer.
PROMISE_INTERVAL_S = 0.4


class StateExchange:
    """Composes the state of a gateway, and distributes those of its peers within it.

    :param host: name of this host
    :param incarnation: identifies this start of the process
    :param peer_table: the peers' states
    :param peer_gossip: sends messages to peers
    :param lease_promises: promises of peers that prove the planner's lease
    :param candidacy: knows which gateways contend for the lease
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        store: StoreClient,
        catalogue: Catalogue,
        dispatcher: Dispatcher,
        endpoint_table: EndpointTable,
        queue: WaitingQueue,
        peer_table: PeerTable,
        peer_gossip: PeerGossip,
        planner_runner: PlannerRunner,
        lease_promises: LeasePromises,
        candidacy: PlannerCandidacy,
        timer: TimerService,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._store = store
        self._catalogue = catalogue
        self._dispatcher = dispatcher
        self._endpoint_table = endpoint_table
        self._queue = queue
        self._peer_table = peer_table
        self._peer_gossip = peer_gossip
        self._planner_runner = planner_runner
        self._lease_promises = lease_promises
        self._candidacy = candidacy
        self._timer = timer
        self._peer_log = PeerLog()

    def start(self) -> None:
        """Watch which peers send messages, and ask them for promises when they are needed."""
        self._timer.subscribe("peers", PEER_UPDATE_INTERVAL_S, self._update_peers)
        self._timer.subscribe("promises", PROMISE_INTERVAL_S, self._request_promises)

    def make(self, number: int, is_stopping: bool) -> GatewayState:
        """:return: this gateway's state, for a message to its peers

        :param number: number of the message
        :param is_stopping: whether a planned stop has begun
        """
        now_s = self._timer.now()
        self._lease_promises.note_sent(number, read_clock())
        state = GatewayState(
            host=self._host,
            incarnation=self._incarnation,
            number=number,
            is_stopping=is_stopping,
            version=self._catalogue.version,
            loads=self._dispatcher.list_loads(),
            demands=self._dispatcher.list_demands(now_s),
            unreachable=self._endpoint_table.list_unreachable(now_s),
            fence=self._planner_runner.held_fence,
            lease_promise=self._lease_promises.get_own_promise(read_clock()),
            placements=self._planner_runner.list_placements(),
            unreadable_kinds=tuple(
                each.kind for each in self._peer_gossip.watchers if each.is_store_unreachable
            ),
            wants_promise=self._planner_runner.wants_promises,
            store_era=self._store.era,
            refusing=self._endpoint_table.starts.list_refused(),
        )
        if state.fence:
            self._endpoint_table.apply_placements(state, now_s)
            self._queue.poll(now_s)
        return state

    def receive(self, state: GatewayState) -> None:
        """Take a peer's state into account, which is newer than its last one."""
        self._endpoint_table.apply_peer_state(state)
        now_s = self._timer.now()
        self._endpoint_table.starts.note_peer_report(state.host, state.refusing, now_s)
        if state.fence:
            self._endpoint_table.apply_placements(state, now_s)
        self._planner_runner.note_peer(state)
        is_rival = self._planner_runner.may_have_written
        self._lease_promises.receive(
            state, self._incarnation, is_rival, read_clock(), self._store.era
        )
        if state.wants_promise:
            self._peer_gossip.send_state_to((state.host,))

    def _request_promises(self, now_s: float) -> None:
        if self._planner_runner.wants_promises:
            self._peer_gossip.send_state_to(self._candidacy.list_members())

    def _update_peers(self, now_s: float) -> None:
        """Forget what peers have reported that no longer send messages."""
        hosts = {each.host for each in self._peer_table.live(now_s)}
        self._peer_log.update(hosts)
        self._endpoint_table.retain_peers(hosts)
