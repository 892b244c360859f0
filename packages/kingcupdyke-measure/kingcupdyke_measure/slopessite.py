"""
kingcupdyke_measure.slopessite
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Slopes of a site: cost of idle daemons by number of peers, calls to the store, and start times.
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

#: Numbers of sidecars for one gateway, and of gateways for one sidecar.
_PEER_COUNTS = (2, 8, 24)
#: Seconds over which an idle site is measured, and seconds for it to settle before.
_IDLE_PERIOD_S = 8.0
_SETTLE_DELAY_S = 3.0
_MIB = 1 << 20
_BOOKING_COUNT = 40
_LOAD_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
_ENGINE_OPTIONS = ("--models", f"{BENCH_MODEL}=20GB")


def list_site_rows(seed: int) -> Iterator[Row]:
    """:return: the measured rows"""
    for peers in _PEER_COUNTS:
        yield from _measure_gateway(peers)
    for peers in _PEER_COUNTS:
        yield from _measure_sidecar(peers)
    yield from _measure_store_calls(seed)


def _measure_gateway(sidecars: int) -> Iterator[Row]:
    """Measure an idle gateway alone in its region, so that all its traffic crosses the link."""
    gateway_plans = [GatewayPlan("entry-0", "near", "one"), GatewayPlan("entry-1", "far", "two")]
    sidecar_plans = [SidecarPlan(f"host-{n}", "near", "one") for n in range(sidecars)]
    with Site(SitePlan(tuple(gateway_plans), tuple(sidecar_plans), link=())) as site:
        process = site.gateways_by_name["entry-1"]
        yield from _measure_idle(site, process, "gateway", f"{sidecars} sidecars, 1 gateway")


def _measure_sidecar(gateways: int) -> Iterator[Row]:
    """Measure an idle sidecar alone in its region, so that all its traffic crosses the link."""
    gateway_plans = [GatewayPlan(f"entry-{n}", "near", "one") for n in range(gateways)]
    sidecar = SidecarPlan("host-0", "far", "two", _ENGINE_OPTIONS)
    with Site(SitePlan(tuple(gateway_plans), (sidecar,), link=())) as site:
        process = site.sidecars_by_name["host-0"]
        yield from _measure_idle(site, process, "sidecar", f"{gateways} gateways")


def _measure_idle(site: Site, process: ListeningProcess, role: str, size: str) -> Iterator[Row]:
    apply_rules(site, list_bench_rules())
    wait_in_force(site, 1)
    sleep(_SETTLE_DELAY_S)
    cpu_s = read_cpu_s([process.pid])
    link_bytes = _count_link_bytes(site)
    sleep(_IDLE_PERIOD_S)
    cpu_s = read_cpu_s([process.pid]) - cpu_s
    link_bytes = _count_link_bytes(site) - link_bytes
    yield Row(f"idle {role}, processor time", size, cpu_s / _IDLE_PERIOD_S * 100, "% of a core")
    yield Row(f"idle {role}, bytes both ways", size, link_bytes / _IDLE_PERIOD_S, "bytes/s")
    resident = read_resident_bytes(process.pid) / _MIB
    yield Row(f"idle {role}, resident memory", size, resident, "MiB")
    started_s = monotonic()
    apply_rules(site, list_bench_rules()[:1], 1)
    wait_in_force(site, 2)
    waited_s = monotonic() - started_s
    yield Row("change in force everywhere and seen so", size, waited_s, "s")


def _count_link_bytes(site: Site) -> int:
    counts = [link.call("GET", "/bytes") for link in site.links_by_region_pair.values()]
    return sum(each["there"] + each["back"] for each in counts)


def _measure_store_calls(seed: int) -> Iterator[Row]:
    gateway = GatewayPlan("entry-0", "near", "one")
    first_sidecar = SidecarPlan("host-0", "near", "one", _ENGINE_OPTIONS, ((BENCH_SERVICE, ()),))
    other_gateways = tuple(GatewayPlan(f"entry-{n}", "near", "one") for n in range(1, 4))
    settings = {"placement": "static"}
    with Site(SitePlan((gateway, *other_gateways), (first_sidecar,), settings)) as site:
        apply_rules(site, list_bench_rules())
        wait_in_force(site, 1)
        sleep(_SETTLE_DELAY_S)
        counter = StoreCounter(site)
        idle = counter.measure_idle()
        yield from _list_counts(
            "store calls, nothing happens", "4 gateways, 1 sidecar", idle, "a second"
        )
        for name, plan, checks in (("fenced", "host-1", True), ("unfenced", "host-2", False)):
            started_s = monotonic()
            sidecar = SidecarPlan(plan, "near", "one", (), checks_fence=checks)
            site.start_sidecar(sidecar)
            yield Row("sidecar listens after", name, monotonic() - started_s, "s")
            wait_in_force(site, 1)
            yield Row("sidecar ready and seen so after", name, monotonic() - started_s, "s")
            sleep(1.0)
            size = f"sidecar of an engine, {name}"
            yield from _list_counts("store calls of a start", size, counter.take(), "a start")
        started_s = monotonic()
        new_gateway = site.start_gateway(GatewayPlan("entry-9", "near", "one"))
        while not _is_ready(new_gateway):
            sleep(_POLL_INTERVAL_S)
        yield Row("gateway ready after", "1 service, 3 engines", monotonic() - started_s, "s")
        sleep(1.0)
        yield from _list_counts("store calls of a start", "gateway", counter.take(), "a start")
        for interval_s in (0.1, 0.0):
            run_arrivals(
                site, make_bookings(_BOOKING_COUNT, interval_s, f"count-{interval_s}"), seed
            )
            sleep(1.0)
            size = "one at a time" if interval_s else f"{_BOOKING_COUNT} at once"
            counts = {key: n / _BOOKING_COUNT for key, n in counter.take().items()}
            yield from _list_counts("store calls of a booking", size, counts, "a booking")
        counter.take()
        yield from _measure_load(site, counter)


def _measure_load(site: Site, counter: "StoreCounter") -> Iterator[Row]:
    """Raise a model's replicas to three, so that the planner loads it at the two other engines."""
    key = f"model/{BENCH_MODEL}"
    rule = next(each for each in list_bench_rules() if each.key == key)
    started_s = monotonic()
    apply_rules(
        site, [rule._replace(fields=rule.fields.replace('"replicas":1', '"replicas":3'))], 1
    )
    engines = list(site.engines_by_name.values())
    while monotonic() - started_s < _LOAD_TIMEOUT_S:
        if all(each.call("GET", "/admin/inventory")["models"] for each in engines):
            break
        sleep(0.1)
    yield Row("two loads done after", "one fenced, one not", monotonic() - started_s, "s")
    sleep(2.0)
    counts = counter.take()
    yield from _list_counts("store calls of two loads", "one fenced, one not", counts, "in all")


class StoreCounter:
    """Counts the calls at the store, without those that also occur on an idle site.

    :param site: the site
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self._idle_by_call: dict[str, float] = {}
        self._last_counts = self._read_counts()
        self._read_s = monotonic()

    def measure_idle(self) -> dict[str, float]:
        """Measure the calls of the idle site, which later counts leave out.

        :return: calls a second, by method and kind
        """
        sleep(_IDLE_PERIOD_S)
        taken = self.take()
        self._idle_by_call = {key: count / _IDLE_PERIOD_S for key, count in taken.items()}
        return self._idle_by_call

    def take(self) -> dict[str, float]:
        """:return: calls since the last count, without those of an idle site, by method and kind"""
        counts_now, counts_before = self._read_counts(), self._last_counts
        now_s = monotonic()
        elapsed_s, self._last_counts, self._read_s = now_s - self._read_s, counts_now, now_s
        counts = {}
        for key, count in counts_now.items():
            idle = self._idle_by_call.get(key, 0.0) * elapsed_s
            if (extra := count - counts_before.get(key, 0) - idle) > 0.5:
                counts[key] = extra
        return counts

    def _read_counts(self) -> dict[str, int]:
        return self._site.store.call("GET", "/counts")


def _list_counts(what: str, size: str, counts: dict[str, float], unit: str) -> Iterator[Row]:
    for key, count in sorted(counts.items()):
        yield Row(what, f"{size}: {key}", count, unit)
    yield Row(what, f"{size}: all", sum(counts.values()), unit)


def _is_ready(process: ListeningProcess) -> bool:
    status = process.call("GET", "/admin/status")
    return status["config_version"] > 0 and any(
        each.get("models") for each in status["endpoints"].values()
    )
