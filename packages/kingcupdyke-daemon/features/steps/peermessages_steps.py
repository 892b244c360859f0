"""
peermessages_steps
~~~~~~~~~~~~~~~~~~

Steps for the decoding of messages between gateways.
"""

import socket
import sys
from collections import Counter
from contextlib import contextmanager

from anyio import create_task_group, run, sleep
from behave import then, when
from peers_steps import EMPTY, REGIONS
from process_steps import capture, find_port

from kingcupdyke.forwarding.crashreport import CrashMessage
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.leavingmessage import LeavingMessage
from kingcupdyke.forwarding.limitmessage import LimitMessage
from kingcupdyke.forwarding.pacemessage import PaceMessage
from kingcupdyke.forwarding.peermessage import MessageKind
from kingcupdyke.forwarding.peerstate import PeerTable
from kingcupdyke.forwarding.pinneddemand import PinnedDemandMessage
from kingcupdyke.forwarding.quotalimits import QuotaLimits
from kingcupdyke.forwarding.quotamessage import QuotaAsk, QuotaClaim, QuotaGrant, QuotaVote
from kingcupdyke.forwarding.storechanges import StoreChanges
from kingcupdyke.forwarding.storerelay import StoreRelay
from kingcupdyke.forwarding.streamorigin import OriginMessage
from kingcupdyke_daemon.forwarder.peerexchanges import PeerExchanges
from kingcupdyke_daemon.forwarder.peergossip import PeerGossip
from kingcupdyke_daemon.forwarder.settings import SocketAddress
from kingcupdyke_daemon.taskerrors import TaskErrors
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.memorystore import MemoryStoreClient

MESSAGES = {
    type(each).__name__: each
    for each in (
        EMPTY._replace(host="g2"),
        StoreRelay("kind", 1, ()),
        StoreChanges("g2", "kind", 1, 1, False, ()),
        OriginMessage("g2"),
        PinnedDemandMessage("g2", ()),
        CrashMessage("g2", (), ()),
        LimitMessage("g2", "i", 1, ()),
        LeavingMessage("g2", ()),
        QuotaAsk("c", "g2", "i", 1, 0, (), 0.0, 0.0, 0.0),
        QuotaGrant("c", "i", 1, (), 0.0, 0.0),
        QuotaClaim("g2", "i", 1.0, 1.0, {}, frozenset(), {}),
        QuotaVote("g2", "i", 1.0, ()),
        PaceMessage("g2", "i", ()),
    )
}


@contextmanager
def count_calls():
    """Count the calls of functions by name in this thread."""
    calls = Counter()

    def note(frame, event, argument):
        if event == "call":
            calls[frame.f_code.co_name] += 1
        elif event == "c_call":
            calls[argument.__name__] += 1

    sys.setprofile(note)
    try:
        yield calls
    finally:
        sys.setprofile(None)


class Receiver:
    """A gateway that receives messages of all kinds, and notes their classes."""

    def __init__(self, tasks):
        self.received = []
        self.rejected = Counter()
        self.address = SocketAddress("127.0.0.1", find_port())
        timer, table, endpoints = LoopTimer(tasks), PeerTable(), EndpointTable()
        dispatcher = Dispatcher(endpoints, "n1", REGIONS)
        exchanges = PeerExchanges(
            "g1",
            "i",
            dispatcher,
            endpoints,
            table,
            timer,
            tasks,
            QuotaLimits(1.1, 5.0),
            lambda: self.gossip,
        )
        classes = (StoreChanges, *exchanges.receivers)
        self.gossip = PeerGossip(
            "g1",
            self.address,
            "n1",
            REGIONS,
            MemoryStoreClient(),
            table,
            timer,
            TaskErrors(),
            lambda number: EMPTY._replace(host="g1", number=number),
            self.note,
            dict.fromkeys(classes, self.note),
            lambda reason: self.rejected.update((reason,)),
        )
        watcher = type("Watcher", (), {"kind": "kind", "apply_relay": staticmethod(self.note)})
        watcher.is_store_unreachable = True
        self.gossip.watchers = (watcher,)
        tasks.start_soon(self.gossip.run)

    def note(self, message):
        self.received.append(type(message).__name__)

    async def get(self, datagrams):
        """Let the gateway receive datagrams.

        :return: the calls of functions meanwhile, by name
        """
        await sleep(0.05)
        with count_calls() as calls, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as out:
            for each in datagrams:
                out.sendto(each, tuple(self.address))
            await sleep(0.1)
        return calls


def receive(context, datagrams):
    async def job():
        async with create_task_group() as tasks:
            context.receiver = Receiver(tasks)
            context.calls = await context.receiver.get(datagrams)
            tasks.cancel_scope.cancel()

    capture(context, job)


@when('peermessages: a gateway receives a message of the kind "{kind}"')
def receive_kind(context, kind):
    context.kind = kind
    receive(context, [MESSAGES[kind].encode()])


@then("peermessages: it has been decompressed 1 time, parsed 1 time and processed")
def check_once(context):
    calls = context.calls
    assert (calls["decompress"], calls["raw_decode"]) == (1, 1), calls
    assert context.receiver.received == [context.kind], context.receiver.received


@then("peermessages: a forwarding gateway has a receiver for each kind")
def check_kinds(context):
    async def job():
        async with create_task_group() as tasks:
            context.receiver = Receiver(tasks)
            calls = await context.receiver.get([each.encode() for each in MESSAGES.values()])
            assert calls["decompress"] == len(MessageKind), calls
            tasks.cancel_scope.cancel()

    run(job)
    assert {each.message_kind for each in MESSAGES.values()} == set(MessageKind)
    assert sorted(context.receiver.received) == sorted(MESSAGES), context.receiver.received
    assert not context.receiver.rejected


@when('peermessages: a gateway receives {count:d} datagrams "{data}"')
@when('peermessages: a gateway receives {count:d} datagrams ""')
def receive_datagrams(context, count, data=""):
    receive(context, [bytes.fromhex(data)] * count)


@then(
    'peermessages: {count:d} are counted as "{reason}", decompressed {decompressed:d} times and '
    "logged once"
)
def check_rejected(context, count, reason, decompressed):
    assert context.receiver.rejected == {reason: count}, context.receiver.rejected
    assert context.calls["decompress"] == decompressed, context.calls
    assert not context.receiver.received
    lines = [each for each in context.log_records if "message of a peer rejected" in each]
    assert len(lines) == 1, context.log_records
