"""
kingcupdyke_daemon.forwarder.peergossip
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Gateways find each other in the store and tell each other their state by datagrams.
"""

import json
import logging
from collections.abc import Callable

from anyio import Event, create_task_group, create_udp_socket, move_on_after, sleep
from anyio.abc import UDPSocket

from kingcupdyke.error import OptionError
from kingcupdyke.forwarding.peerstate import GatewayState, PeerTable
from kingcupdyke.forwarding.storerelay import StoreRelay, list_relay_hosts
from kingcupdyke.timer import TimerService
from kingcupdyke.util import get_int_opt, get_str_opt
from kingcupdyke_daemon.forwarder.settings import SocketAddress
from kingcupdyke_daemon.forwarder.storewatcher import StoreWatcher
from kingcupdyke_wire.store import Conflict, StoreClient, StoreObject

__all__ = ["PEERS_KIND", "PeerGossip"]

_LOGGER = logging.getLogger(__name__)
#: Kind of the objects by which gateways find each other.
PEERS_KIND = "kingcupdyke-gateways"
#: Seconds between messages to peers of the own region, and to those beyond a paid link.
PERIOD_S = 0.1
FAR_PERIOD_S = 0.3
#: Peers up to which these periods hold; with more of them messages are as much rarer, so that the
#: messages that a gateway takes stay about the same in number.
PEERS_AT_FULL_RATE = 8
#: Seconds between messages that pass on what the store says.
RELAY_PERIOD_S = 0.3
#: Most bytes of a datagram.
MOST_DATAGRAM_BYTES = 60_000
#: Seconds between attempts to enter oneself in the store.
ENTER_RETRY_S = 0.5


class PeerGossip:
    """Sends this gateway's state to its peers and takes theirs.

    :param host: name of this host
    :param address: where this gateway takes messages
    :param data_centre: where this host stands
    :param region_by_data_centre: the region of each data centre
    :param store: the platform's store
    :param table: the peers' states
    :param timer: the timer service
    :param describe: gives this gateway's state with a message's number
    :param heard: called after each newer state
    """

    def __init__(
        self,
        host: str,
        address: SocketAddress,
        data_centre: str,
        region_by_data_centre: dict[str, str],
        store: StoreClient,
        table: PeerTable,
        timer: TimerService,
        describe: Callable[[int], GatewayState],
        heard: Callable[[GatewayState], None],
    ) -> None:
        self._host = host
        self._address = address
        self._data_centre = data_centre
        self.region_by_data_centre = region_by_data_centre
        self._store = store
        self._table = table
        self._timer = timer
        self._describe = describe
        self._heard = heard
        self._address_by_host: dict[str, SocketAddress] = {}
        self._data_centre_by_host: dict[str, str] = {}
        self._far_due_s = 0.0
        self._number = 0
        self._relay_due_s = 0.0
        #: What is passed on to peers that don't reach the store, and taken from those that do.
        self.followers: tuple[StoreWatcher, ...] = ()
        #: Set to send at once; over paid links to planners only.
        self.changed = Event()

    @property
    def hosts(self) -> int:
        """:return: gateways that the store lists, this one included"""
        return len(self._address_by_host.keys() | {self._host})

    def list_hosts(self) -> set[str]:
        """:return: hosts of the other gateways that the store lists"""
        return set(self._address_by_host)

    def take_all(self, objects: list[StoreObject], after_outage: bool) -> None:
        """Take the whole list of gateways."""
        self._address_by_host.clear()
        for each in objects:
            self.take(each)

    def take(self, entry: StoreObject) -> None:
        """Take a gateway's entry."""
        if entry.name == self._host:
            return
        try:
            fields = json.loads(entry.value)
            address = SocketAddress(get_str_opt(fields, "address"), get_int_opt(fields, "port"))
            data_centre = get_str_opt(fields, "data_centre")
        except (ValueError, AttributeError, OptionError) as error:
            _LOGGER.warning("the entry of gateway %s is unreadable: %s", entry.name, error)
            return
        self._address_by_host[entry.name] = address
        self._data_centre_by_host[entry.name] = data_centre

    def remove(self, name: str, after_outage: bool) -> None:
        """A gateway's entry is gone."""
        self._address_by_host.pop(name, None)
        self._data_centre_by_host.pop(name, None)

    def _is_far(self, host: str) -> bool:
        regions = self.region_by_data_centre
        other = self._data_centre_by_host.get(host, "")
        return regions.get(other) != regions.get(self._data_centre)

    async def enter(self) -> None:
        """Enter this gateway in the store."""
        fields = self._address._asdict() | {"data_centre": self._data_centre}
        value = json.dumps(fields, separators=(",", ":")).encode()
        version = 0
        while True:
            written = await self._store.put(PEERS_KIND, self._host, value, version)
            if written.is_error():
                _LOGGER.warning("entering this gateway failed: %s", written.error.reason)
                await sleep(ENTER_RETRY_S)
            elif isinstance(written.ok, Conflict):
                current = written.ok.current
                if current is not None and current.value == value:
                    return
                version = current.version if current is not None else 0
            else:
                return

    async def run(self) -> None:
        """Send and take messages until cancelled."""
        address, port = self._address
        socket = await create_udp_socket(local_host=address, local_port=port)
        async with socket as udp, create_task_group() as tasks:
            tasks.start_soon(self._receive, udp)
            tasks.start_soon(self._send, udp)

    async def _receive(self, udp: UDPSocket) -> None:
        async for data, _ in udp:
            state = GatewayState.decode(data)
            if state.is_error():
                self._take_relay(data)
            elif self._table.hear(state.ok, self._timer.now()):
                self._heard(state.ok)

    def _take_relay(self, data: bytes) -> None:
        relay = StoreRelay.decode(data)
        if relay.is_error():
            _LOGGER.warning("a peer's message is unreadable: %s", relay.error.reason)
            return
        for follower in self.followers:
            if follower.kind == relay.ok.kind:
                follower.take_relay(relay.ok)

    async def _send(self, udp: UDPSocket) -> None:
        while True:
            self._number += 1
            data = self._describe(self._number).encode()
            is_urgent = self.changed.is_set()
            self.changed = Event()
            now_s = self._timer.now()
            is_far_due = now_s >= self._far_due_s
            if is_far_due:
                self._far_due_s = now_s + FAR_PERIOD_S * self._slowdown
            planners = {each.host for each in self._table.live(now_s) if each.fence}
            for host, address in list(self._address_by_host.items()):
                is_asked = is_urgent and host in planners
                if is_far_due or is_asked or not self._is_far(host):
                    await self._send_to(udp, data, address)
            if now_s >= self._relay_due_s:
                self._relay_due_s = now_s + RELAY_PERIOD_S
                await self._send_relays(udp)
            with move_on_after(PERIOD_S * self._slowdown):
                await self.changed.wait()

    async def _send_relays(self, udp: UDPSocket) -> None:
        peers = self._table.live(self._timer.now())
        for follower in self.followers:
            if follower.is_cut_off or not follower.is_listed:
                continue
            hosts = list_relay_hosts(follower.kind, self._host, peers)
            data = follower.make_relay().encode() if hosts else b""
            for host in hosts:
                address = self._address_by_host.get(host)
                if address is not None and len(data) <= MOST_DATAGRAM_BYTES:
                    await self._send_to(udp, data, address)

    @property
    def _slowdown(self) -> float:
        return max(1.0, len(self._address_by_host) / PEERS_AT_FULL_RATE)

    async def _send_to(self, udp: UDPSocket, data: bytes, address: SocketAddress) -> None:
        try:
            await udp.sendto(data, *address)
        except OSError as error:
            _LOGGER.debug("a message to a peer was not sent: %r", error)
