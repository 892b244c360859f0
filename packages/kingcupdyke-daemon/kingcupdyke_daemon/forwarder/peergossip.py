"""
kingcupdyke_daemon.forwarder.peergossip
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Gateways register in the store and send each other their state in UDP datagrams.
"""

import json
import logging
from collections.abc import Callable, Iterable, Mapping
from ipaddress import IPv4Address
from typing import NamedTuple

from anyio import Event, create_task_group, move_on_after, sleep

from kingcupdyke.error import DECODE_ERRORS
from kingcupdyke.forwarding.peermessage import MessageKind, PeerMessage, read_kind
from kingcupdyke.forwarding.peerschedule import PeerSchedule, PeerScope
from kingcupdyke.forwarding.peerstate import GatewayState, PeerTable
from kingcupdyke.forwarding.storerelay import StoreRelay, list_relay_hosts
from kingcupdyke.timer import TimerService
from kingcupdyke.util import get_int_opt, get_str_opt
from kingcupdyke_daemon.forwarder.datagramsocket import DatagramSocket
from kingcupdyke_daemon.forwarder.settings import SocketAddress
from kingcupdyke_daemon.forwarder.storewatcher import StoreWatcher
from kingcupdyke_daemon.logs import LineSampler
from kingcupdyke_daemon.records import RejectedMessageRecord
from kingcupdyke_daemon.taskerrors import IsolatedTaskGroup, TaskErrors
from kingcupdyke_wire.store import Conflict, StoreClient, StoreObject

__all__ = ["PEERS_KIND", "PeerGossip", "ReceiverMap"]

_LOGGER = logging.getLogger(__name__)
#: Kind of the store's objects by which gateways find each other.
PEERS_KIND = "kingcupdyke-gateways"
#: Interval between messages that relay the store's objects to peers that can't reach the store.
RELAY_INTERVAL_S = 0.3
#: Maximum size of a datagram.
MAX_DATAGRAM_BYTES = 60_000
#: Limit of the lines a second on datagrams that are dropped.
MAX_REJECTION_LINES_PER_S = 1.0
#: Greatest UDP port.
MAX_PORT = 65_535
#: Delay before a failed registration in the store is retried.
REGISTER_RETRY_DELAY_S = 0.5


#: Called with each received message of a class.
ReceiverMap = Mapping[type[PeerMessage], Callable[[PeerMessage], None]]


class _Receiver(NamedTuple):
    """What decodes the messages of one kind, and is called with them."""

    message_class: type[PeerMessage]
    receive: Callable[[PeerMessage], None]


class PeerGossip:
    """Sends this gateway's state to its peers and receives theirs.

    :param host: name of this host
    :param address: UDP address on which this gateway receives messages
    :param data_centre: data centre of this host
    :param region_by_data_centre: the region of each data centre
    :param store: the platform's store
    :param table: the peers' states
    :param timer: the timer service
    :param errors: logs and counts errors in one message, which leave the others in force
    :param make_state: returns this gateway's state for a message with the given number
    :param on_state: called with each received state that is newer than the last of its sender
    :param receivers: called with each received message of another class
    :param count_rejected: called with the reason for each datagram that is dropped
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
        errors: TaskErrors,
        make_state: Callable[[int], GatewayState],
        on_state: Callable[[GatewayState], None],
        receivers: ReceiverMap,
        count_rejected: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._host = host
        self._address = address
        self._data_centre = data_centre
        self.region_by_data_centre = region_by_data_centre
        self._store = store
        self._table = table
        self._timer = timer
        self._errors = errors
        self._make_state = make_state
        self._on_state = on_state
        own: ReceiverMap = {GatewayState: self._receive_state, StoreRelay: self._receive_relay}
        self._receiver_by_kind: dict[MessageKind, _Receiver] = {
            message_class.message_kind: _Receiver(message_class, receive)
            for message_class, receive in (own | dict(receivers)).items()
        }
        self._count_rejected = count_rejected
        self._rejection_log = LineSampler(timer.now, MAX_REJECTION_LINES_PER_S)
        #: The open socket, or None before :meth:`run` and after it.
        self._datagrams: DatagramSocket | None = None
        self._address_by_host: dict[str, SocketAddress] = {}
        self._data_centre_by_host: dict[str, str] = {}
        self._schedule = PeerSchedule()
        self._rescheduled = Event()
        self._message_number = 0
        #: Set while this gateway's entry may be missing from the store.
        self._unregistered = Event()
        self._unregistered.set()
        self._next_relay_s = 0.0
        #: Watchers whose objects are relayed to peers that can't reach the store, and are received
        #: from peers while this gateway can't reach it.
        self.watchers: tuple[StoreWatcher, ...] = ()
        #: Kinds whose relay does not fit into a datagram.
        self._oversized_kinds: set[str] = set()

    @property
    def gateway_count(self) -> int:
        """:return: number of gateways that the store lists, this one included"""
        return len(self._address_by_host.keys() | {self._host})

    @property
    def is_listed(self) -> bool:
        """:return: whether the store's list of gateways is known"""
        return any(each.kind == PEERS_KIND and each.is_listed for each in self.watchers)

    def list_hosts(self) -> set[str]:
        """:return: hosts of the other gateways that the store lists"""
        return set(self._address_by_host)

    def replace_entries(self, objects: list[StoreObject], after_outage: bool) -> None:
        """Replace all entries by the list from the store."""
        self._address_by_host.clear()
        for each in objects:
            self.put_entry(each)
        if not any(each.name == self._host for each in objects):
            # The store has lost the entry, or the list was read before it was written.
            self._unregistered.set()

    def put_entry(self, entry: StoreObject) -> None:
        """Apply the entry of one gateway."""
        if entry.name == self._host:
            return
        try:
            fields = json.loads(entry.value)
            address = _read_address(fields)
            data_centre = get_str_opt(fields, "data_centre")
        except DECODE_ERRORS as error:
            _LOGGER.warning("the entry of gateway %s can't be decoded: %r", entry.name, error)
            return
        self._address_by_host[entry.name] = address
        self._data_centre_by_host[entry.name] = data_centre

    def remove_entry(self, name: str, after_outage: bool) -> None:
        """Remove the entry of a gateway."""
        if name == self._host:
            self._unregistered.set()
        self._address_by_host.pop(name, None)
        self._data_centre_by_host.pop(name, None)

    @property
    def region(self) -> str:
        """:return: region of this host"""
        return self.region_by_data_centre.get(self._data_centre, "")

    def list_live_regions(self) -> dict[str, str]:
        """:return: regions of the peers that are live and listed, by host"""
        live = {each.host for each in self._table.live(self._timer.now())}
        return {
            host: self.region_by_data_centre.get(data_centre, "")
            for host, data_centre in self._data_centre_by_host.items()
            if host in live
        }

    def list_local_hosts(self) -> list[str]:
        """:return: hosts of the other gateways of this region that the store lists"""
        return [host for host in self._address_by_host if self._get_scope(host) is PeerScope.LOCAL]

    def post(self, host: str, message: bytes) -> None:
        """Send a message to a peer immediately; it may be lost."""
        address = self._address_by_host.get(host)
        if address is not None and self._datagrams is not None:
            self._datagrams.send(message, address)

    def send_state_soon(self, is_demand: bool = False) -> None:
        """Send the state to all peers without waiting until they are due.

        :param is_demand: whether only planners and local peers must know it
        """
        self._schedule.make_urgent(is_demand)
        self._rescheduled.set()

    def send_state_to(self, hosts: Iterable[str]) -> None:
        """Send the state to these peers immediately."""
        self._schedule.ask(hosts)
        self._rescheduled.set()

    def _get_scope(self, host: str) -> PeerScope:
        data_centre = self._data_centre_by_host.get(host, "")
        is_local = self.region_by_data_centre.get(data_centre, "") == self.region
        return PeerScope.LOCAL if is_local else PeerScope.REMOTE

    async def keep_registered(self) -> None:
        """Register this gateway in the store, and again whenever its entry is missing."""
        while True:
            await self._unregistered.wait()
            self._unregistered = Event()
            await self._register()

    async def _register(self) -> None:
        """Register this gateway in the store, with retries until this succeeds."""
        fields = self._address._asdict() | {"data_centre": self._data_centre}
        value = json.dumps(fields, separators=(",", ":")).encode()
        version = 0
        while True:
            written = await self._store.put(PEERS_KIND, self._host, value, version)
            if written.is_error():
                _LOGGER.warning(
                    "registering this gateway in the store failed: %s", written.error.reason
                )
                await sleep(REGISTER_RETRY_DELAY_S)
            elif isinstance(written.ok, Conflict):
                current = written.ok.current
                if current is not None and current.value == value:
                    return
                version = current.version if current is not None else 0
            else:
                return

    async def run(self) -> None:
        """Send and receive messages until cancelled."""
        datagrams = self._datagrams = await DatagramSocket.bind(self._address)
        try:
            with datagrams.reading(self._apply_all):
                async with create_task_group() as tasks:
                    IsolatedTaskGroup(tasks, self._errors).keep_running(self._send, datagrams)
        finally:
            self._datagrams = None
            datagrams.close()

    def _apply_all(self, received: list[bytes]) -> None:
        for data in received:
            try:
                self._apply(data)
            except Exception as error:
                self._errors.note("peer message", error)

    def _apply(self, data: bytes) -> None:
        """Decode a datagram as a message of the kind that it names, and process it."""
        receiver = self._receiver_by_kind.get(read_kind(data))
        if receiver is None:
            self._reject(data, "unknown kind", "")
            return
        message = receiver.message_class.decode(data)
        if message.is_error():
            self._reject(data, "invalid", message.error.reason)
        else:
            receiver.receive(message.ok)

    def _reject(self, data: bytes, reason: str, detail: str) -> None:
        """Count a datagram that is dropped, and log it at a limited rate."""
        self._count_rejected(reason)
        record = RejectedMessageRecord(reason, data[0] if data else -1, len(data), detail)
        self._rejection_log.log(_LOGGER, "message of a peer rejected", record, logging.WARNING)

    def _receive_state(self, state: GatewayState) -> None:
        if self._table.receive(state, self._timer.now()):
            self._on_state(state)

    def _receive_relay(self, relay: StoreRelay) -> None:
        for watcher in self.watchers:
            if watcher.kind == relay.kind:
                watcher.apply_relay(relay)

    async def _send(self, datagrams: DatagramSocket) -> None:
        while True:
            now_s = self._timer.now()
            self._rescheduled = Event()
            if not self._schedule.get_wait_s(now_s):
                self._send_state(datagrams, now_s)
            if now_s >= self._next_relay_s:
                self._next_relay_s = now_s + RELAY_INTERVAL_S
                self._send_relays(datagrams)
            now_s = self._timer.now()
            wait_s = min(self._schedule.get_wait_s(now_s), self._next_relay_s - now_s)
            with move_on_after(wait_s):
                await self._rescheduled.wait()

    def _send_state(self, datagrams: DatagramSocket, now_s: float) -> None:
        planners = {each.host for each in self._table.live(now_s) if each.fence}
        scope_by_host = {host: self._get_scope(host) for host in self._address_by_host}
        hosts = self._schedule.take_due(scope_by_host, planners, now_s)
        self._message_number += 1
        state = self._make_state(self._message_number)
        data_by_scope = {}
        for scope in {scope_by_host[host] for host in hosts if host in scope_by_host}:
            interval_s = self._schedule.get_interval_s(scope, len(scope_by_host))
            data_by_scope[scope] = state._replace(interval_s=interval_s).encode()
        for host in hosts:
            address = self._address_by_host.get(host)
            if address is not None:
                datagrams.send(data_by_scope[scope_by_host[host]], address)

    def _send_relays(self, datagrams: DatagramSocket) -> None:
        peers = self._table.live(self._timer.now())
        for watcher in self.watchers:
            if watcher.is_store_unreachable or not watcher.is_listed:
                continue
            hosts = list_relay_hosts(watcher.kind, self._host, peers)
            if not hosts:
                continue
            data = watcher.make_relay().encode()
            if self._is_oversized(watcher.kind, len(data)):
                continue
            for host in hosts:
                address = self._address_by_host.get(host)
                if address is not None:
                    datagrams.send(data, address)

    def _is_oversized(self, kind: str, size: int) -> bool:
        """:return: whether a relay is too large to be sent; logged when this changes"""
        is_oversized = size > MAX_DATAGRAM_BYTES
        if is_oversized and kind not in self._oversized_kinds:
            self._oversized_kinds.add(kind)
            _LOGGER.warning("the relay of %s has %d bytes and is not sent", kind, size)
        elif not is_oversized:
            self._oversized_kinds.discard(kind)
        return is_oversized


def _read_address(fields: dict) -> SocketAddress:
    """:return: the UDP address in a gateway's entry
    :raises ValueError: when it is none, or another of :data:`DECODE_ERRORS`
    """
    address, port = get_str_opt(fields, "address"), get_int_opt(fields, "port", least=1)
    if port > MAX_PORT:
        raise ValueError(f"port: more than {MAX_PORT}")
    return SocketAddress(str(IPv4Address(address)), port)
