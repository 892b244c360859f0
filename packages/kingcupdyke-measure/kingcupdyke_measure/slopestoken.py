"""
kingcupdyke_measure.slopestoken
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Slopes of tokens and requests on the data path, with a gateway and a sidecar as processes.
"""

from collections.abc import Iterator
from time import monotonic, sleep

from kingcupdyke_measure.bench import (
    BENCH_MODEL,
    BENCH_SERVICE,
    apply_rules,
    list_bench_rules,
    make_bookings,
    make_completions,
    run_arrivals,
    wait_in_force,
)
from kingcupdyke_measure.load import Arrival
from kingcupdyke_measure.meter import Row, read_cpu_s
from kingcupdyke_standins.site import GatewayPlan, SidecarPlan, Site, SitePlan

__all__ = ["list_token_rows"]

#: Values of the sidecar's setting ``tick_s``.
_TICKS_S = (0.001, 0.010, 0.050)
_STREAM_COUNTS = (4, 16, 32)
_TOKEN_COUNT = 300
_REQUEST_COUNT = 200
_REQUEST_INTERVAL_S = 0.02
_IDLE_PERIOD_S = 3.0
_ENGINE_OPTIONS = (
    "--models",
    f"{BENCH_MODEL}=20GB",
    "--token-ms",
    "10",
    "--batch-slope-ms",
    "0",
    "--first-token-ms",
    "5",
    "--slots",
    "64",
)


def list_token_rows(seed: int) -> Iterator[Row]:
    """:return: the measured rows"""
    for tick_s in _TICKS_S:
        with Site(_make_site_plan(tick_s)) as site:
            apply_rules(site, list_bench_rules())
            wait_in_force(site, 1)
            run_arrivals(site, make_completions(4, 20), seed)
            bench = TokenBench(site, seed)
            tick = f"tick {tick_s * 1000:.0f} ms"
            for streams in _STREAM_COUNTS:
                yield from bench.measure(
                    make_completions(streams, _TOKEN_COUNT),
                    f"{tick}, {streams} streams",
                    streams * _TOKEN_COUNT,
                    "us a token",
                )
            if tick_s == _TICKS_S[1]:
                yield from _measure_requests(bench)


def _measure_requests(bench: "TokenBench") -> Iterator[Row]:
    completions = make_completions(_REQUEST_COUNT, 1, _REQUEST_INTERVAL_S, stream=False)
    yield from bench.measure(completions, "text of one token", _REQUEST_COUNT, "us a request")
    completions = make_completions(
        _REQUEST_COUNT, 1, _REQUEST_INTERVAL_S, stream=False, prompt="x" * 8192
    )
    yield from bench.measure(
        completions, "text of 8 KB and one token", _REQUEST_COUNT, "us a request"
    )
    bookings = make_bookings(_REQUEST_COUNT, _REQUEST_INTERVAL_S, "slope")
    yield from bench.measure(bookings, "booking with a key", _REQUEST_COUNT, "us a request")


class TokenBench:
    """Measures the processor time of one gateway and one sidecar under load.

    :param site: a site with one of each
    :param seed: seed of the load
    """

    def __init__(self, site: Site, seed: int) -> None:
        self._site = site
        self._seed = seed
        self._pids_by_role = {
            "gateway": [each.pid for each in site.gateways_by_name.values()],
            "sidecar": [each.pid for each in site.sidecars_by_name.values()],
        }
        self._idle_cpu_share_by_role = self._measure_idle()

    def measure(
        self, arrivals: list[Arrival], size: str, unit_count: int, unit: str
    ) -> Iterator[Row]:
        """Run a load and measure the processor time of each role, less that of an idle process.

        :param size: size or condition, for the report
        :param units: number of tokens or requests by which the time is divided
        :param unit: unit of the rows, for the report
        :return: a row for each role
        """
        cpu_s_before = self._read_cpu_s()
        started_s = monotonic()
        run_arrivals(self._site, arrivals, self._seed)
        elapsed_s = monotonic() - started_s
        cpu_s_after = self._read_cpu_s()
        for role, cpu_s in cpu_s_after.items():
            spent_s = cpu_s - cpu_s_before[role] - self._idle_cpu_share_by_role[role] * elapsed_s
            yield Row(f"{role}'s processor time", size, max(0.0, spent_s) / unit_count * 1e6, unit)

    def _measure_idle(self) -> dict[str, float]:
        cpu_s_before = self._read_cpu_s()
        sleep(_IDLE_PERIOD_S)
        return {
            role: (cpu_s - cpu_s_before[role]) / _IDLE_PERIOD_S
            for role, cpu_s in self._read_cpu_s().items()
        }

    def _read_cpu_s(self) -> dict[str, float]:
        return {role: read_cpu_s(pids) for role, pids in self._pids_by_role.items()}


def _make_site_plan(tick_s: float) -> SitePlan:
    sidecar = SidecarPlan("model-0", "near", "one", _ENGINE_OPTIONS, ((BENCH_SERVICE, ()),))
    return SitePlan(
        (GatewayPlan("entry-0", "near", "one"),),
        (sidecar,),
        {"placement": "static", "endpoint_slots": 64},
        {"tick_s": tick_s},
    )
