"""
kingcupdyke_measure.slopessite
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Slopes of a site: idle daemons by their peers, calls to the store, and times of recovery.
"""

from collections.abc import Iterator
from time import monotonic, sleep

from kingcupdyke_measure.bench import (
    BENCH_MODEL,
    BENCH_SERVICE,
    apply_rules,
    list_bench_rules,
    make_bookings,
    run_arrivals,
    wait_in_force,
)
from kingcupdyke_measure.meter import Row, read_cpu_s, read_resident_bytes
from kingcupdyke_standins.process import ListeningProcess
from kingcupdyke_standins.site import GatewayPlan, SidecarPlan, Site, SitePlan

__all__ = ["list_site_rows"]

#: Sidecars that one gateway has, and gateways that one sidecar has.
_PEERS = (2, 8, 24)
_IDLE_S = 8.0
_SETTLE_S = 3.0
_MIB = 1 << 20
_BOOKINGS = 40
_LOAD_TIMEOUT_S = 20.0
_LOOK_S = 0.02
_ENGINE = ("--models", f"{BENCH_MODEL}=20GB")


def list_site_rows(seed: int) -> Iterator[Row]:
    """:return: the figures of whole sites, one after the other"""
    for peers in _PEERS:
        yield from _measure_gateway(peers)
    for peers in _PEERS:
        yield from _measure_sidecar(peers)
    yield from _measure_store_calls(seed)


def _measure_gateway(sidecars: int) -> Iterator[Row]:
    """A gateway alone in its region, so that all that it sends crosses the link."""
    plans = [GatewayPlan("entry-0", "near", "one"), GatewayPlan("entry-1", "far", "two")]
    others = [SidecarPlan(f"host-{n}", "near", "one") for n in range(sidecars)]
    with Site(SitePlan(tuple(plans), tuple(others), link=())) as site:
        process = site.gateways_by_name["entry-1"]
        yield from _measure_idle(site, process, "gateway", f"{sidecars} sidecars, 1 gateway")


def _measure_sidecar(gateways: int) -> Iterator[Row]:
    """A sidecar alone in its region, before an engine."""
    plans = [GatewayPlan(f"entry-{n}", "near", "one") for n in range(gateways)]
    sidecar = SidecarPlan("host-0", "far", "two", _ENGINE)
    with Site(SitePlan(tuple(plans), (sidecar,), link=())) as site:
        process = site.sidecars_by_name["host-0"]
        yield from _measure_idle(site, process, "sidecar", f"{gateways} gateways")


def _measure_idle(site: Site, process: ListeningProcess, role: str, size: str) -> Iterator[Row]:
    apply_rules(site, list_bench_rules())
    wait_in_force(site, 1)
    sleep(_SETTLE_S)
    cpu_s = read_cpu_s([process.pid])
    crossed = _count_crossed(site)
    sleep(_IDLE_S)
    cpu_s = read_cpu_s([process.pid]) - cpu_s
    crossed = _count_crossed(site) - crossed
    yield Row(f"idle {role}, processor time", size, cpu_s / _IDLE_S * 100, "% of a core")
    yield Row(f"idle {role}, bytes both ways", size, crossed / _IDLE_S, "bytes/s")
    resident = read_resident_bytes(process.pid) / _MIB
    yield Row(f"idle {role}, resident memory", size, resident, "MiB")
    begun_s = monotonic()
    apply_rules(site, list_bench_rules()[:1], 1)
    wait_in_force(site, 2)
    waited_s = monotonic() - begun_s
    yield Row("change in force everywhere and seen so", size, waited_s, "s")


def _count_crossed(site: Site) -> int:
    counts = [link.call("GET", "/bytes") for link in site.links_by_way.values()]
    return sum(each["there"] + each["back"] for each in counts)


def _measure_store_calls(seed: int) -> Iterator[Row]:
    gateway = GatewayPlan("entry-0", "near", "one")
    first = SidecarPlan("host-0", "near", "one", _ENGINE, ((BENCH_SERVICE, ()),))
    watchers = tuple(GatewayPlan(f"entry-{n}", "near", "one") for n in range(1, 4))
    settings = {"placement": "static"}
    with Site(SitePlan((gateway, *watchers), (first,), settings)) as site:
        apply_rules(site, list_bench_rules())
        wait_in_force(site, 1)
        sleep(_SETTLE_S)
        counter = StoreCounter(site)
        idle = counter.measure_idle()
        yield from _list_counts(
            "store calls, nothing happens", "4 gateways, 1 sidecar", idle, "a second"
        )
        for name, plan, checks in (("fenced", "host-1", True), ("unfenced", "host-2", False)):
            begun_s = monotonic()
            sidecar = SidecarPlan(plan, "near", "one", (), checks_fence=checks)
            site.start_sidecar(sidecar)
            yield Row("sidecar listens after", name, monotonic() - begun_s, "s")
            wait_in_force(site, 1)
            yield Row("sidecar ready and seen so after", name, monotonic() - begun_s, "s")
            sleep(1.0)
            size = f"sidecar of an engine, {name}"
            yield from _list_counts("store calls of a start", size, counter.take(), "a start")
        begun_s = monotonic()
        fresh = site.start_gateway(GatewayPlan("entry-9", "near", "one"))
        while not _is_ready(fresh):
            sleep(_LOOK_S)
        yield Row("gateway ready after", "1 service, 3 engines", monotonic() - begun_s, "s")
        sleep(1.0)
        yield from _list_counts("store calls of a start", "gateway", counter.take(), "a start")
        for gap_s in (0.1, 0.0):
            run_arrivals(site, make_bookings(_BOOKINGS, gap_s, f"count-{gap_s}"), seed)
            sleep(1.0)
            size = "one at a time" if gap_s else f"{_BOOKINGS} at once"
            counts = {key: n / _BOOKINGS for key, n in counter.take().items()}
            yield from _list_counts("store calls of a booking", size, counts, "a booking")
        counter.take()
        yield from _measure_load(site, counter)


def _measure_load(site: Site, counter: "StoreCounter") -> Iterator[Row]:
    """A rule that asks for all three replicas makes the planner load two."""
    key = f"model/{BENCH_MODEL}"
    rule = next(each for each in list_bench_rules() if each.key == key)
    begun_s = monotonic()
    apply_rules(
        site, [rule._replace(fields=rule.fields.replace('"replicas":1', '"replicas":3'))], 1
    )
    engines = list(site.engines_by_name.values())
    while monotonic() - begun_s < _LOAD_TIMEOUT_S:
        if all(each.call("GET", "/admin/inventory")["models"] for each in engines):
            break
        sleep(0.1)
    yield Row("two loads done after", "one fenced, one not", monotonic() - begun_s, "s")
    sleep(2.0)
    counts = counter.take()
    yield from _list_counts("store calls of two loads", "one fenced, one not", counts, "in all")


class StoreCounter:
    """Counts calls at the store, less those that come when nothing happens.

    :param site: the site
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self._idle_by_call: dict[str, float] = {}
        self._held = self._read()
        self._read_s = monotonic()

    def measure_idle(self) -> dict[str, float]:
        """:return: calls a second when nothing happens, by method and kind"""
        sleep(_IDLE_S)
        taken = self.take()
        self._idle_by_call = {key: count / _IDLE_S for key, count in taken.items()}
        return self._idle_by_call

    def take(self) -> dict[str, float]:
        """:return: calls since the last time, by method and kind"""
        held, before = self._read(), self._held
        now_s = monotonic()
        lasted_s, self._held, self._read_s = now_s - self._read_s, held, now_s
        counts = {}
        for key, count in held.items():
            idle = self._idle_by_call.get(key, 0.0) * lasted_s
            if (more := count - before.get(key, 0) - idle) > 0.5:
                counts[key] = more
        return counts

    def _read(self) -> dict[str, int]:
        return self._site.store.call("GET", "/counts")


def _list_counts(what: str, size: str, counts: dict[str, float], unit: str) -> Iterator[Row]:
    for key, count in sorted(counts.items()):
        yield Row(what, f"{size}: {key}", count, unit)
    yield Row(what, f"{size}: all", sum(counts.values()), unit)


def _is_ready(process: ListeningProcess) -> bool:
    state = process.call("GET", "/admin/status")
    return state["config_version"] > 0 and any(
        each.get("models") for each in state["endpoints"].values()
    )
