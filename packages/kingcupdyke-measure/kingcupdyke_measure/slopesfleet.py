"""
kingcupdyke_measure.slopesfleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Processor time of forwarding gateways by their number: at rest, and for each request, by role.
"""

import re
from collections.abc import Iterator
from random import Random
from time import monotonic, sleep

import anyio

from kingcupdyke_measure.fleet import LOOPBACK, FleetGateway, open_fleet, write_request
from kingcupdyke_measure.fleetdialect import PLAIN_PATH, STREAM_PATH
from kingcupdyke_measure.meter import Row, read_cpu_s

__all__ = ["list_fleet_rows"]

_GATEWAY_COUNTS = (3, 24, 64)
#: Seconds for a fleet to settle, over which it is measured at rest, and over which requests come.
_SETTLE_S = 6.0
_REST_S = 6.0
_LOAD_S = 6.0
#: Requests a second at each gateway, each on a connection of its own.
_RATE_PER_S = 6.0
_FENCE = re.compile(rb"^kingcupdyke_lease_fence(?:\{[^}]*\})? ([0-9.e+]+)", re.MULTILINE)
_WATCHES = re.compile(
    rb'^kingcupdyke_store_watches_total\{[^}]*kind="endpoints"[^}]*\} ([0-9.e+]+)', re.MULTILINE
)


def list_fleet_rows(seed: int) -> Iterator[Row]:
    """:return: the measured rows"""
    for count in _GATEWAY_COUNTS:
        with open_fleet(count) as fleet:
            yield from _measure(fleet.gateways, seed)


def _measure(gateways: list[FleetGateway], seed: int) -> Iterator[Row]:
    size = f"{len(gateways)} gateways"
    sleep(_SETTLE_S)
    watches = {each.host: _read_watches(each) for each in gateways}
    rest_s = _measure_rest(gateways)
    gateways_by_role: dict[str, list[FleetGateway]] = {}
    for each in gateways:
        gateways_by_role.setdefault(_find_role(each, watches[each.host]), []).append(each)
    for role, those in sorted(gateways_by_role.items()):
        mean_s = sum(rest_s[each.host] for each in those) / len(those)
        yield Row(f"at rest, {role}, a second", size, mean_s / _REST_S * 1000, "ms")
    for label, path in (("plain request", PLAIN_PATH), ("stream", STREAM_PATH)):
        before_s = {each.host: read_cpu_s([each.pid]) for each in gateways}
        answered, seconds = anyio.run(_load, gateways, path, seed)
        for role, those in sorted(gateways_by_role.items()):
            used_s = sum(read_cpu_s([each.pid]) - before_s[each.host] for each in those)
            used_s -= sum(rest_s[each.host] for each in those) / _REST_S * seconds
            requests = answered / len(gateways) * len(those)
            yield Row(f"{label}, {role}", size, used_s / requests * 1000, "ms")


def _measure_rest(gateways: list[FleetGateway]) -> dict[str, float]:
    """:return: processor seconds of each gateway while nothing happens"""
    before_s = {each.host: read_cpu_s([each.pid]) for each in gateways}
    sleep(_REST_S)
    return {each.host: read_cpu_s([each.pid]) - before_s[each.host] for each in gateways}


def _read_watches(gateway: FleetGateway) -> float:
    return sum(float(each) for each in _WATCHES.findall(gateway.read_metrics()))


def _find_role(gateway: FleetGateway, watches_before: float) -> str:
    """:return: what a gateway does besides forwarding: it plans, or reads the store for its region,
    or follows those that read it
    """
    fence = _FENCE.search(gateway.read_metrics())
    if fence is not None and float(fence[1]):
        return "planner"
    return "reader" if _read_watches(gateway) > watches_before else "follower"


async def _load(gateways: list[FleetGateway], path: str, seed: int) -> tuple[int, float]:
    """Send requests at random times.

    :return: number of requests answered, and seconds until the last answer
    """
    rng = Random(seed)
    answered = 0
    started_s = monotonic()

    async def ask(gateway: FleetGateway, delay_s: float, number: int) -> None:
        nonlocal answered
        await anyio.sleep(delay_s)
        received = b""
        async with await anyio.connect_tcp(LOOPBACK, gateway.ports["front"]) as stream:
            await stream.send(write_request(path, number))
            async for part in stream:
                received += part
        answered += received.startswith(b"HTTP/1.1 200")

    async with anyio.create_task_group() as tasks:
        for number in range(round(_RATE_PER_S * _LOAD_S) * len(gateways)):
            gateway = gateways[number % len(gateways)]
            tasks.start_soon(ask, gateway, rng.uniform(0.0, _LOAD_S), number)
    return answered, monotonic() - started_s
