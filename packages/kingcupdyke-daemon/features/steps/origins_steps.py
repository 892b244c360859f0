"""
origins_steps
~~~~~~~~~~~~~

Steps for the origins of streams, at gateways whose messages take 10 ms.
"""

import json
from types import SimpleNamespace

from anyio import create_task_group, current_time, run, sleep
from behave import given, then, when
from process_steps import find_port

from kingcupdyke.forwarding.endpointstarts import EndpointStarts
from kingcupdyke.forwarding.peerstate import GatewayState, PeerTable
from kingcupdyke.forwarding.pinneddemand import PinnedDemand, PinnedDemandMessage
from kingcupdyke.forwarding.streamorigin import OriginMessage, StreamOrigin
from kingcupdyke.timer import ManualTimer
from kingcupdyke_daemon.forwarder.origindirectory import OriginDirectory
from kingcupdyke_daemon.forwarder.peergossip import PeerGossip
from kingcupdyke_daemon.forwarder.pinneddemands import PinnedDemands
from kingcupdyke_daemon.forwarder.settings import SocketAddress
from kingcupdyke_daemon.taskerrors import TaskErrors
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.memorystore import MemoryStoreClient
from kingcupdyke_wire.store import StoreObject

MESSAGE_S = 0.01
ORIGIN = StreamOrigin("r1", "service", "v1", 5.0)
#: Fields of an idle gateway's state after its host, incarnation and number.
NO_STATE = (False, 1, (), (), (), 0, None, ())


class Gateways:
    """Origin directories that are connected by a network without losses."""

    def __init__(self, tasks, hosts):
        self.tasks = tasks
        self.region_by_host = {host: host[0] for host in hosts}
        self.ended = set()
        #: Hosts that have received an origin.
        self.holders = set()
        self.directory_by_host = {host: self.create(host) for host in hosts}

    def create(self, host):
        def list_peers():
            live = self.region_by_host.keys() - self.ended - {host}
            return {each: self.region_by_host[each] for each in sorted(live)}

        def send(peer, message):
            self.tasks.start_soon(self.deliver, peer, message)

        timer = LoopTimer(self.tasks)
        return OriginDirectory(host, timer, lambda: host[0], list_peers, send, EndpointStarts())

    async def deliver(self, host, data):
        await sleep(MESSAGE_S)
        message = OriginMessage.decode(data).ok
        if host not in self.ended:
            if message.origins:
                self.holders.add(host)
            self.directory_by_host[host].receive(message)


class GossipRig:
    """A gateway's gossip over UDP.

    :param store: lists the gateways
    """

    def __init__(self, tasks, host, store):
        self.received = []
        table = PeerTable()
        self.address = SocketAddress("127.0.0.1", find_port())
        self.gossip = PeerGossip(
            host,
            self.address,
            "n1",
            {"n1": "north"},
            store,
            table,
            LoopTimer(tasks),
            TaskErrors(),
            lambda number: GatewayState(host, "i", number, *NO_STATE),
            lambda state: None,
            {OriginMessage: self.received.append},
        )

    def add_peer(self, host, peer):
        fields = peer.address._asdict() | {"data_centre": "n1"}
        self.gossip.put_entry(StoreObject("gateways", host, 1, json.dumps(fields).encode()))


@when("origins: a gateway sends a peer {count:d} messages on origins, and its state in between")
def send_both(context, count):
    async def job():
        async with create_task_group() as tasks:
            store = MemoryStoreClient()
            sender, receiver = (GossipRig(tasks, host, store) for host in ("g1", "g2"))
            sender.add_peer("g2", receiver)
            for each in (sender, receiver):
                tasks.start_soon(each.gossip.run)
            await sleep(0.05)
            for _ in range(count):
                sender.gossip.post("g2", OriginMessage("g1", (ORIGIN,)).encode())
                sender.gossip.send_state_soon()
                await sleep(0)
            await sleep(0.1)
            context.received = len(receiver.received)
            tasks.cancel_scope.cancel()

    context.sent = count
    run(job)


@then("origins: the peer receives them all")
def check_received(context):
    assert context.received == context.sent, context.received


@given('origins: gateways "{hosts}", by region')
def give_gateways(context, hosts):
    context.hosts = hosts.split()
    context.begins_at = ""
    context.ended = "none"


@given('origins: a stream begins at "{host}"')
def begin(context, host):
    context.begins_at = host


@when('origins: the gateways "{hosts}" end')
def end(context, hosts):
    context.ended = hosts


@when('origins: "{asker}" looks for the stream\'s origin')
def look(context, asker):
    async def job():
        async with create_task_group() as tasks:
            gateways = Gateways(tasks, context.hosts)
            if context.begins_at:
                gateways.directory_by_host[context.begins_at].record(ORIGIN)
            await sleep(2 * MESSAGE_S)
            if context.ended == "all that stored it":
                gateways.ended = gateways.holders | {context.begins_at}
                assert asker not in gateways.ended, gateways.ended
            elif context.ended != "none":
                gateways.ended = set(context.ended.split())
            started_s = current_time()
            context.origin = await gateways.directory_by_host[asker].find("r1")
            context.seconds = current_time() - started_s
            tasks.cancel_scope.cancel()

    run(job)


@then("origins: it is found: {found}")
def check_found(context, found):
    if found == "no":
        assert context.origin is None, context.origin
    else:
        assert context.origin._replace(valid_s=5.0, age_s=0.0) == ORIGIN, context.origin


@then("origins: that takes at most {limit:g} s")
def check_seconds(context, limit):
    assert context.seconds <= limit, context.seconds


@when(
    'origins: a stream of "{version}" waits at a gateway while its peer "{planner}" plans and '
    '"{other}" does not'
)
def wait_for_version(context, version, planner, other):
    demand = PinnedDemand("service", "m1", "", version, 1)
    dispatcher = SimpleNamespace(list_pinned_demands=lambda: (demand,))
    peers = PeerTable()
    context.reports = []
    timer = ManualTimer()
    for host, fence in ((planner, 5), (other, 0)):
        state = GatewayState(host, "i", 1, *NO_STATE)
        peers.receive(state._replace(fence=fence), 0.0)
    pinned = PinnedDemands(
        "g1", dispatcher, peers, timer, lambda *each: context.reports.append(each)
    )
    timer.advance(0.15)
    assert pinned.list() == [demand], pinned.list()


@then('origins: the gateway has reported it to "{planner}" only')
def check_reports(context, planner):
    ((host, data),) = context.reports
    assert host == planner, host
    assert PinnedDemandMessage.decode(data).ok.demands[0].software_version == "v1"
