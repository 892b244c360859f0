"""
kingcupdyke_daemon.forwarder.peerexchanges
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What gateways tell each other besides their states.
"""

from collections.abc import Callable

from anyio.abc import TaskGroup

from kingcupdyke.forwarding.crashreport import CrashMessage
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.leavingmessage import LeavingMessage
from kingcupdyke.forwarding.limitmessage import LimitMessage
from kingcupdyke.forwarding.pacemessage import PaceMessage
from kingcupdyke.forwarding.peerstate import PeerTable
from kingcupdyke.forwarding.pinneddemand import PinnedDemandMessage
from kingcupdyke.forwarding.quotalimits import QuotaLimits
from kingcupdyke.forwarding.quotamessage import QuotaAsk, QuotaClaim, QuotaGrant, QuotaVote
from kingcupdyke.forwarding.streamorigin import OriginMessage
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.crashdirectory import CrashDirectory
from kingcupdyke_daemon.forwarder.leavingdirectory import LeavingDirectory
from kingcupdyke_daemon.forwarder.limitdirectory import LimitDirectory
from kingcupdyke_daemon.forwarder.origindirectory import OriginDirectory
from kingcupdyke_daemon.forwarder.pacedirectory import PaceDirectory
from kingcupdyke_daemon.forwarder.peergossip import PeerGossip, ReceiverMap
from kingcupdyke_daemon.forwarder.pinneddemands import PinnedDemands
from kingcupdyke_daemon.forwarder.quotadirectory import QuotaDirectory, QuotaMembers

__all__ = ["PeerExchanges"]


class PeerExchanges:
    """The directories that gateways keep together, each with messages of its own.

    :param host: name of this host
    :param incarnation: identifies this start of the process
    :param dispatcher: this gateway's waiting requests, and the crashes and limits that it knows
    :param endpoint_table: the endpoints
    :param peers: the peers' states
    :param timer: the timer service
    :param tasks: task group of the checks whether endpoints have crashed
    :param quota_limits: permitted excess over the quotas of callers
    :param get_gossip: returns the sender and receiver of the messages
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        dispatcher: Dispatcher,
        endpoint_table: EndpointTable,
        peers: PeerTable,
        timer: TimerService,
        tasks: TaskGroup,
        quota_limits: QuotaLimits,
        get_gossip: Callable[[], PeerGossip],
    ) -> None:
        def post(peer: str, message: bytes) -> None:
            get_gossip().post(peer, message)

        self.origins = OriginDirectory(
            host,
            timer,
            lambda: get_gossip().region,
            lambda: get_gossip().list_live_regions(),
            post,
            endpoint_table.starts,
        )
        self.pinned_demands = PinnedDemands(host, dispatcher, peers, timer, post)

        def list_incarnations() -> dict[str, str]:
            return {each.host: each.incarnation for each in peers.live(timer.now())}

        self.limits = LimitDirectory(
            host,
            incarnation,
            dispatcher.limit_table,
            endpoint_table,
            timer,
            list_incarnations,
            lambda: get_gossip().gateway_count,
            post,
        )
        self.pace = PaceDirectory(
            host,
            incarnation,
            endpoint_table.pace_table,
            timer,
            list_incarnations,
            lambda: get_gossip().gateway_count,
            post,
        )
        self.leaving = LeavingDirectory(host, endpoint_table, timer, list_incarnations, post)
        self.crashes = CrashDirectory(
            host,
            dispatcher.crash_table,
            dispatcher.request_crash_table,
            endpoint_table,
            timer,
            tasks,
            list_incarnations,
            post,
        )
        #: Whether this gateway is stopping and gives its quotas to others.
        self.is_stopping = False

        def get_members() -> QuotaMembers:
            gossip = get_gossip()
            candidates = peers.list_hosts(False, timer.now())
            candidates |= set() if self.is_stopping else {host}
            return QuotaMembers(
                gossip.list_hosts() | {host} if gossip.is_listed else (), candidates
            )

        self.quotas = QuotaDirectory(host, incarnation, quota_limits, timer, get_members, post)

    @property
    def receivers(self) -> ReceiverMap:
        """:return: what is called with received messages, by the messages' class"""
        return {
            OriginMessage: self.origins.receive,
            PinnedDemandMessage: self.pinned_demands.receive,
            CrashMessage: self.crashes.receive,
            LimitMessage: self.limits.receive,
            LeavingMessage: self.leaving.receive,
            QuotaClaim: self.quotas.receive,
            QuotaVote: self.quotas.receive,
            QuotaAsk: self.quotas.receive,
            QuotaGrant: self.quotas.receive,
            PaceMessage: self.pace.receive,
        }
