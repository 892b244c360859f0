"""
kingcupdyke_measure.slopestoken
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Slopes of a token and of a request through a gateway and a sidecar as processes.
"""

from collections.abc import Iterator
from time import monotonic, sleep

from kingcupdyke_measure.bench import (
    BENCH_MODEL,
    BENCH_SERVICE,
    apply_rules,
    list_bench_rules,
    make_bookings,
    make_texts,
    run_arrivals,
    wait_in_force,
)
from kingcupdyke_measure.load import Arrival
from kingcupdyke_measure.meter import Row, read_cpu_s
from kingcupdyke_standins.site import GatewayPlan, SidecarPlan, Site, SitePlan

__all__ = ["list_token_rows"]

_TICKS_S = (0.001, 0.010, 0.050)
_STREAMS = (4, 16, 32)
_TOKENS = 300
_REQUESTS = 200
_GAP_S = 0.02
_IDLE_S = 3.0
_ENGINE = (
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
    """:return: the figures of the data path, one after the other"""
    for tick_s in _TICKS_S:
        with Site(_plan(tick_s)) as site:
            apply_rules(site, list_bench_rules())
            wait_in_force(site, 1)
            run_arrivals(site, make_texts(4, 20), seed)
            bench = TokenBench(site, seed)
            tick = f"tick {tick_s * 1000:.0f} ms"
            for streams in _STREAMS:
                yield from bench.measure(
                    make_texts(streams, _TOKENS),
                    f"{tick}, {streams} streams",
                    streams * _TOKENS,
                    "us a token",
                )
            if tick_s == _TICKS_S[1]:
                yield from _measure_requests(bench)


def _measure_requests(bench: "TokenBench") -> Iterator[Row]:
    texts = make_texts(_REQUESTS, 1, _GAP_S, stream=False)
    yield from bench.measure(texts, "text of one token", _REQUESTS, "us a request")
    texts = make_texts(_REQUESTS, 1, _GAP_S, stream=False, prompt="x" * 8192)
    yield from bench.measure(texts, "text of 8 KB and one token", _REQUESTS, "us a request")
    bookings = make_bookings(_REQUESTS, _GAP_S, "slope")
    yield from bench.measure(bookings, "booking with a key", _REQUESTS, "us a request")


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
        self._idle_by_role = self._measure_idle()

    def measure(self, arrivals: list[Arrival], size: str, units: int, unit: str) -> Iterator[Row]:
        """Run a load.

        :param units: tokens or requests over which the time is divided
        :return: processor time of each role, less what it takes when idle
        """
        before = self._read()
        begun_s = monotonic()
        run_arrivals(self._site, arrivals, self._seed)
        lasted_s = monotonic() - begun_s
        after = self._read()
        for role, cpu_s in after.items():
            spent_s = cpu_s - before[role] - self._idle_by_role[role] * lasted_s
            yield Row(f"{role}'s processor time", size, max(0.0, spent_s) / units * 1e6, unit)

    def _measure_idle(self) -> dict[str, float]:
        before = self._read()
        sleep(_IDLE_S)
        return {role: (cpu_s - before[role]) / _IDLE_S for role, cpu_s in self._read().items()}

    def _read(self) -> dict[str, float]:
        return {role: read_cpu_s(pids) for role, pids in self._pids_by_role.items()}


def _plan(tick_s: float) -> SitePlan:
    sidecar = SidecarPlan("model-0", "near", "one", _ENGINE, ((BENCH_SERVICE, ()),))
    return SitePlan(
        (GatewayPlan("entry-0", "near", "one"),),
        (sidecar,),
        {"placement": "static", "endpoint_slots": 64},
        {"tick_s": tick_s},
    )
