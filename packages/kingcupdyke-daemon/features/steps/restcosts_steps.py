"""
restcosts_steps
~~~~~~~~~~~~~~~

Steps for what gateways cost each other while nothing changes.
"""

import json

from anyio import create_task_group, run, sleep
from behave import then, when
from peermessages_steps import count_calls
from peers_steps import EMPTY, REGIONS
from process_steps import find_port

from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.peerstate import PeerTable
from kingcupdyke.forwarding.quotalimits import QuotaLimits
from kingcupdyke_daemon.forwarder.peerexchanges import PeerExchanges
from kingcupdyke_daemon.forwarder.peergossip import PeerGossip
from kingcupdyke_daemon.forwarder.settings import SocketAddress
from kingcupdyke_daemon.taskerrors import TaskErrors
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.memorystore import MemoryStoreClient
from kingcupdyke_wire.store import StoreObject

#: Time in which all gateways hear each other.
WARM_UP_S = 3.0


class RestingGateway:
    """A gateway's exchanges with its peers, without requests."""

    def __init__(self, tasks, host, data_centre):
        self.host, self.data_centre = host, data_centre
        self.address = SocketAddress("127.0.0.1", find_port())
        self.received = 0
        timer, table, endpoints = LoopTimer(tasks), PeerTable(), EndpointTable()
        exchanges = PeerExchanges(
            host,
            "i",
            Dispatcher(endpoints, data_centre, REGIONS),
            endpoints,
            table,
            timer,
            tasks,
            QuotaLimits(1.1, 5.0),
            lambda: self.gossip,
        )
        self.table, self.timer = table, timer
        self.gossip = PeerGossip(
            host,
            self.address,
            data_centre,
            REGIONS,
            MemoryStoreClient(),
            table,
            timer,
            TaskErrors(),
            lambda number: EMPTY._replace(host=host, number=number),
            self.apply,
            exchanges.receivers,
        )
        tasks.start_soon(self.gossip.run)

    def apply(self, state):
        self.received += 1

    def list(self, other):
        fields = other.address._asdict() | {"data_centre": other.data_centre}
        entry = StoreObject("gateways", other.host, 1, json.dumps(fields).encode())
        self.gossip.put_entry(entry)


@when(
    "restcosts: {count:d} gateways of two regions have nothing to tell each other, for "
    "{seconds:g} s"
)
def rest(context, count, seconds):
    async def job():
        async with create_task_group() as tasks:
            gateways = [
                RestingGateway(tasks, f"g{number}", ("n1", "s1")[number % 2])
                for number in range(count)
            ]
            for here in gateways:
                for other in gateways:
                    here.list(other)
            await sleep(WARM_UP_S)
            context.live = [len(each.table.live(each.timer.now())) for each in gateways]
            before = sum(each.received for each in gateways)
            with count_calls() as calls:
                await sleep(seconds)
            context.received = sum(each.received for each in gateways) - before
            context.calls = calls
            tasks.cancel_scope.cancel()

    run(job)
    context.unit = count * seconds
    assert min(context.live) == count - 1, context.live


@then("restcosts: a gateway receives at most {limit:d} messages a second, and sends as many")
def check_messages(context, limit):
    received, sent = context.received / context.unit, context.calls["sendto"] / context.unit
    assert 0 < received <= limit, received
    assert sent <= limit, sent


@then("restcosts: it decompresses and parses each of them once")
def check_decoded(context):
    calls = context.calls
    assert calls["decompress"] == calls["raw_decode"] == context.received, (calls, context.received)


@then("restcosts: it encodes at most {limit:d} messages a second")
def check_encoded(context, limit):
    encoded = context.calls["pack_message"] / context.unit
    assert encoded <= limit, encoded
