"""
peers_steps
~~~~~~~~~~~

Steps for the messages between many gateways.
"""

import json
import socket
from random import Random
from types import SimpleNamespace
from zlib import compress

from anyio import create_task_group, current_time, fail_after, run, sleep
from behave import then, when
from forwarder_rig import ForwarderRig
from planning_steps import PLANNING_S, EngineDialect, LeavingEngine, make_item, make_planner_runner
from process_steps import capture, find_port

from kingcupdyke.forwarding.enginestate import OrderReply
from kingcupdyke.forwarding.peerreports import PeerReports
from kingcupdyke.forwarding.peerstate import GatewayState, PeerTable
from kingcupdyke.forwarding.storerelay import RelayedObject, StoreRelay
from kingcupdyke_daemon.forwarder.peergossip import PEERS_KIND, PeerGossip
from kingcupdyke_daemon.forwarder.settings import SocketAddress
from kingcupdyke_daemon.taskerrors import TaskErrors
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.memorystore import MemoryStoreClient
from kingcupdyke_wire.store import StoreObject

EMPTY = GatewayState("", "i", 1, False, 1, (), (), (), 0, None, ())
REGIONS = {"n1": "north", "s1": "south"}
#: Longest time until the receiver has heard the sender first: one interval of 68 gateways and 1 s.
MAX_UNHEARD_S = 3.6


class GossipPeer:
    """A gateway's messages to its peers over UDP, with the times of those that it receives."""

    def __init__(self, tasks, host, data_centre):
        self.host, self.data_centre = host, data_centre
        self.table = PeerTable()
        self.store = MemoryStoreClient()
        self.received_s = []
        self.gone = 0
        self.timer = LoopTimer(tasks)
        self.address = SocketAddress("127.0.0.1", find_port())
        self.unreadable_kinds = ()
        #: Called with each state.
        self.apply = lambda state: None
        self.gossip = PeerGossip(
            host,
            self.address,
            data_centre,
            REGIONS,
            self.store,
            self.table,
            self.timer,
            TaskErrors(),
            lambda number: EMPTY._replace(
                host=host, number=number, unreadable_kinds=self.unreadable_kinds
            ),
            self.on_state,
            {},
        )
        tasks.start_soon(self.gossip.run)

    def on_state(self, state):
        self.apply(state)
        self.received_s.append(current_time())

    def list(self, host, address, data_centre):
        fields = address._asdict() | {"data_centre": data_centre}
        self.gossip.put_entry(StoreObject("gateways", host, 1, json.dumps(fields).encode()))

    def watch_peer(self, host):
        """Count the times at which a peer that was heard is taken for gone."""
        is_live = False

        def look(now_s):
            nonlocal is_live
            self.gone += is_live and not self.table.is_live(host, now_s)
            is_live = self.table.is_live(host, now_s)

        self.timer.subscribe("watch", 0.02, look)


def open_pair(tasks, gateways):
    """:return: two gateways of different regions; the other peers that they know don't answer"""
    pair = GossipPeer(tasks, "g1", "n1"), GossipPeer(tasks, "g2", "s1")
    for here, other in (pair, pair[::-1]):
        here.list(other.host, other.address, other.data_centre)
        for number in range(gateways - 2):
            here.list(f"x{number}", SocketAddress("127.0.0.1", 9), here.data_centre)
    return pair


@when("peers: one of {gateways:d} gateways sends its state soon")
def send_soon(context, gateways):
    async def job():
        async with create_task_group() as tasks:
            sender, receiver = open_pair(tasks, gateways)
            await sleep(0.5)
            receiver.received_s.clear()
            since_s = current_time()
            sender.gossip.send_state_soon()
            await sleep(0.3)
            context.ages = [each - since_s for each in receiver.received_s]
            tasks.cancel_scope.cancel()

    run(job)


@then("peers: a peer in another region receives it within {limit_s:g} s")
def check_received(context, limit_s):
    assert context.ages and context.ages[0] < limit_s, context.ages


@when("peers: one of {gateways:d} gateways runs for {for_s:g} s after it was first heard")
def run_for(context, gateways, for_s):
    async def job():
        async with create_task_group() as tasks:
            _, receiver = open_pair(tasks, gateways)
            receiver.watch_peer("g1")
            # The first message is lost if the receiver's socket is opened after it is sent.
            with fail_after(MAX_UNHEARD_S):
                while not receiver.received_s:
                    await sleep(0.02)
            await sleep(for_s)
            context.heard, context.gone = len(receiver.received_s), receiver.gone
            tasks.cancel_scope.cancel()

    run(job)


@then("peers: a peer in another region never takes it for gone")
def check_never_gone(context):
    assert context.heard >= 2, context.heard
    assert context.gone == 0, context.gone


NESTED = b"[" * 100_000 + b"]" * 100_000


def make_datagram(text):
    if text == "plain":
        return b"plain"
    data = {"nested": NESTED, "digits": b"9" * 5000}.get(text, text.encode())
    return bytes([GatewayState.message_kind]) + compress(data, wbits=-15)


@when('peers: a gateway gets the datagram "{text}", and then a message of its peer')
def send_datagram(context, text):
    async def job():
        async with create_task_group() as tasks:
            sender, receiver = open_pair(tasks, 2)
            with fail_after(MAX_UNHEARD_S):
                while not receiver.received_s:
                    await sleep(0.02)
            receiver.apply = PeerReports().apply
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as out:
                out.sendto(make_datagram(text), tuple(receiver.address))
            await sleep(0.1)
            receiver.received_s.clear()
            sender.gossip.send_state_soon()
            await sleep(0.2)
            context.received = len(receiver.received_s)
            tasks.cancel_scope.cancel()

    run(job)


@when('peers: the list of gateways has the entry "{text}", and a message is sent to all')
def list_odd_entry(context, text):
    async def job():
        async with create_task_group() as tasks:
            sender, receiver = open_pair(tasks, 2)
            value = {"nested": NESTED, "nothing": b""}.get(text, text.encode())
            entry = StoreObject("gateways", "odd", 1, value)
            sender.gossip.replace_entries([entry], False)
            sender.list(receiver.host, receiver.address, receiver.data_centre)
            sender.gossip.put_entry(entry)
            await sleep(0.2)
            receiver.received_s.clear()
            sender.gossip.send_state_soon()
            await sleep(0.2)
            context.received = len(receiver.received_s)
            tasks.cancel_scope.cancel()

    run(job)


@then("peers: it has received that message")
@then("peers: the other gateway has received it")
def check_message(context):
    assert context.received


class AcceptingDialect(EngineDialect):
    def read_order_reply(self, status):
        return OrderReply.ACCEPTED


@when("peers: an engine accepts the planner's order")
def accept_order(context):
    engine = LeavingEngine("none")
    context.placements = []

    async def job():
        async with create_task_group() as tasks:
            rig = ForwarderRig(tasks, [])
            await rig.serve_endpoint(engine)
            runner = make_planner_runner(
                rig, AcceptingDialect(), lambda: context.placements.append(engine.list_orders())
            )
            rig.dispatcher.submit(make_item("m1"), frozenset(), current_time())
            tasks.start_soon(runner.run)
            await sleep(PLANNING_S)
            rig.metrics.close()
            tasks.cancel_scope.cancel()

    run(job)


@then("peers: the placement is sent to peers once")
def check_placement(context):
    assert [len(orders) for orders in context.placements] == [1], context.placements


@when(
    "peers: the store's objects are too many for a datagram while a peer can't read them, for "
    "{for_s:g} s"
)
def relay_many(context, for_s):
    rng = Random(1)
    objects = tuple(RelayedObject(f"n{n}", n, rng.randbytes(100).hex()) for n in range(1000))
    watcher = SimpleNamespace(
        kind="kind",
        is_store_unreachable=False,
        is_listed=True,
        make_relay=lambda: StoreRelay("kind", 1, objects),
    )

    async def job():
        async with create_task_group() as tasks:
            sender, receiver = open_pair(tasks, 2)
            receiver.unreadable_kinds = ("kind",)
            sender.gossip.watchers = (watcher,)
            await sleep(for_s)
            tasks.cancel_scope.cancel()

    capture(context, job)


@then("peers: the log says once that they are not sent")
def check_logged(context):
    found = [each for each in context.log_records if "is not sent" in each]
    assert len(found) == 1, context.log_records


@when("peers: the store loses a gateway's entry, which it sees in {case}")
def lose_entry(context, case):
    async def job():
        async with create_task_group() as tasks:
            peer = GossipPeer(tasks, "g1", "n1")
            tasks.start_soon(peer.gossip.keep_registered)
            await sleep(0.1)
            found = (await peer.store.get(PEERS_KIND, "g1")).ok
            await peer.store.delete(PEERS_KIND, "g1", found.version)
            if case == "the list":
                peer.gossip.replace_entries([], True)
            else:
                peer.gossip.remove_entry("g1", False)
            await sleep(0.2)
            context.found = (await peer.store.get(PEERS_KIND, "g1")).ok, found
            tasks.cancel_scope.cancel()

    run(job)


@then("peers: the entry is there again within 0.2 s")
def check_registered(context):
    again, before = context.found
    assert again is not None and again.value == before.value, context.found
