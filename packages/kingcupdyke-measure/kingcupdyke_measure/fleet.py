"""
kingcupdyke_measure.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~

A fleet of forwarding gateways as processes, with a store and endpoints.
"""

import json
import signal
import socket
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from http.client import HTTPConnection, HTTPException
from os import getpid
from subprocess import DEVNULL, PIPE, Popen
from time import monotonic, sleep

import anyio

from kingcupdyke_measure.fleetdialect import FLEET_HOST
from kingcupdyke_standins.process import StandinProcess
from kingcupdyke_wire.store import HttpStoreClient

__all__ = ["LOOPBACK", "Fleet", "FleetGateway", "open_fleet", "write_request"]

LOOPBACK = "127.0.0.1"
ENDPOINT_COUNT = 16
REGION_BY_DATA_CENTRE = {"n1": "north", "n2": "north", "s1": "south", "s2": "south"}
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 5.0
#: Calls a second that the store permits, which no fleet reaches.
STORE_CALLS_PER_S = "100000"
#: Ports that the system does not assign to connections, and how many of them fleets of different
#: processes begin apart.
FIRST_PORT, PORT_COUNT, PORT_STEP = 20_000, 12_000, 40
PORT_NAMES = ("front", "ready", "peer", "metrics")


class FleetGateway:
    """A gateway of a fleet.

    :param host: its name
    :param process: its process
    :param ports: its ports by the name of the listener
    """

    def __init__(self, host: str, process: Popen, ports: dict[str, int]) -> None:
        self.host = host
        self.process = process
        self.ports = ports

    @property
    def pid(self) -> int:
        """:return: id of the process"""
        return self.process.pid

    def freeze(self) -> None:
        """Suspend the process."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process."""
        self.process.send_signal(signal.SIGCONT)

    def read_metrics(self) -> bytes:
        """:return: its metrics as text"""
        return self._get("metrics", "/metrics")[1]

    def is_ready(self) -> bool:
        """:return: whether it says that it takes connections"""
        try:
            return self._get("ready", "/")[0] == 200
        except (OSError, HTTPException):
            return False

    def _get(self, listener: str, path: str) -> tuple[int, bytes]:
        connection = HTTPConnection(LOOPBACK, self.ports[listener], timeout=CALL_TIMEOUT_S)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()


class Fleet:
    """Gateways and their store.

    :param store: the store's process
    :param gateways: the gateways, which are ready
    """

    def __init__(self, store: StandinProcess, gateways: list[FleetGateway]) -> None:
        self._store = store
        self.gateways = gateways

    def configure(self, version: int, **fields: object) -> None:
        """Write a configuration.

        :param fields: fields that :class:`~kingcupdyke_measure.fleetdialect.FleetDialect` reads
        """
        anyio.run(_configure, self._store.url, {"version": version} | fields)


@contextmanager
def open_fleet(count: int, **configuration: object) -> Iterator[Fleet]:
    """Run a fleet while the context is open.

    :param count: number of gateways
    :param configuration: fields of the first configuration
    """
    ports = _list_ports()
    with ExitStack() as stack:
        limits = ("--reads-per-s", STORE_CALLS_PER_S, "--writes-per-s", STORE_CALLS_PER_S)
        store = stack.enter_context(StandinProcess("store", *limits))
        endpoints = _start(stack, {"endpoints": True}, PIPE)
        port = int(endpoints.stdout.readline().rsplit(b":", 1)[1])
        anyio.run(_write_objects, store.url, port, {"version": 1} | configuration)
        gateways = [_start_gateway(stack, number, store.url, ports) for number in range(count)]
        _wait_ready(gateways)
        yield Fleet(store, gateways)


def write_request(path: str, number: int, is_last: bool = True) -> bytes:
    """:return: a request of a client

    :param is_last: whether the client closes the connection after the answer
    """
    text = f"GET {path}{number} HTTP/1.1\r\nhost: {FLEET_HOST}\r\nx-request-id: r{number}\r\n"
    return (text + ("connection: close\r\n\r\n" if is_last else "\r\n")).encode()


def _start(stack: ExitStack, fields: dict, output: int) -> Popen:
    command = [sys.executable, "-m", "kingcupdyke_measure.fleetnode", json.dumps(fields)]
    process = Popen(command, stdout=output)
    stack.callback(process.wait)
    stack.callback(process.kill)
    return process


def _start_gateway(
    stack: ExitStack, number: int, store_url: str, free_ports: Iterator[int]
) -> FleetGateway:
    ports = {name: next(free_ports) for name in PORT_NAMES}
    data_centres = list(REGION_BY_DATA_CENTRE)
    host = f"entry-{number}"
    fields = {
        "host": host,
        "data_centre": data_centres[number % len(data_centres)],
        "region_by_data_centre": REGION_BY_DATA_CENTRE,
        "store_url": store_url,
        "ports": ports,
    }
    return FleetGateway(host, _start(stack, fields, DEVNULL), ports)


def _list_ports() -> Iterator[int]:
    """Yield ports that are free now, in an order that differs between processes."""
    first = PORT_STEP * getpid()
    for number in range(PORT_COUNT):
        port = FIRST_PORT + (first + number) % PORT_COUNT
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as probe:
                    probe.bind((LOOPBACK, port))
        except OSError:
            continue
        yield port


async def _configure(store_url: str, fields: dict) -> None:
    store = HttpStoreClient(store_url)
    found = await store.get("configurations", "main")
    if found.is_error():
        raise OSError(found.error.reason)
    current = found.ok
    version = 0 if current is None else current.version
    await store.put("configurations", "main", json.dumps(fields).encode(), version)
    await store.aclose()


async def _write_objects(store_url: str, port: int, configuration: dict) -> None:
    await _configure(store_url, configuration)
    store = HttpStoreClient(store_url)
    data_centres = list(REGION_BY_DATA_CENTRE)
    for number in range(ENDPOINT_COUNT):
        data_centre = data_centres[number % len(data_centres)]
        fields = {"address": LOOPBACK, "port": port, "data_centre": data_centre}
        await store.put("endpoints", f"endpoint-{number}", json.dumps(fields).encode(), 0)
    await store.aclose()


def _wait_ready(gateways: list[FleetGateway]) -> None:
    """:raises TimeoutError: if a gateway does not become ready"""
    give_up_s = monotonic() + READY_TIMEOUT_S
    for each in gateways:
        while not each.is_ready():
            if monotonic() > give_up_s:
                raise TimeoutError(f"{each.host} is not ready")
            sleep(POLL_INTERVAL_S)
