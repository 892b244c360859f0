"""
kingcupdyke_measure.bench
~~~~~~~~~~~~~~~~~~~~~~~~~

Applies rules to a site of processes, waits until they are in force, and runs small loads.
"""

from collections.abc import Iterable
from hashlib import sha256
from time import monotonic, sleep

import anyio

from kingcupdyke.acceptance import Applied
from kingcupdyke.rule import ANY_CALLER, CallerRule, ModelRule, ServiceClass, ServiceRule
from kingcupdyke.rulesnapshot import SnapshotDelta, StoredRule, store_rule
from kingcupdyke_measure.load import Arrival, ArrivalResult, run_load
from kingcupdyke_standins.site import Site
from kingcupdyke_wire.configlog import apply_change
from kingcupdyke_wire.store import HttpStoreClient

__all__ = [
    "BENCH_MODEL",
    "BENCH_SERVICE",
    "apply_rules",
    "list_bench_rules",
    "make_bookings",
    "make_completions",
    "run_arrivals",
    "wait_in_force",
]

BENCH_MODEL = "bench-model"
BENCH_SERVICE = "bench-service"
_TOKEN = "bench-token"
_GB = 10**9
_DEADLINE_S = 60.0
_IN_FORCE_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.02
_STORE_TIMEOUT_S = 5.0


def list_bench_rules() -> list[StoredRule]:
    """:return: rules of one model, one service and one caller"""
    caller = CallerRule("bench", sha256(_TOKEN.encode()).hexdigest(), 1.0)
    model = ModelRule(
        BENCH_MODEL,
        "1",
        14 * _GB,
        6 * _GB,
        1,
        (),
        (ANY_CALLER,),
        ServiceClass.INTERACTIVE,
        _DEADLINE_S,
    )
    service = ServiceRule(
        BENCH_SERVICE, (ANY_CALLER,), ("GET",), ServiceClass.INTERACTIVE, _DEADLINE_S
    )
    rules = (("caller", caller), ("model", model), ("service", service))
    return [store_rule(kind, rule, "measurement") for kind, rule in rules]


def apply_rules(site: Site, rules: Iterable[StoredRule], base_version: int = 0) -> None:
    """Apply a change of rules through the store.

    :param base_version: version to which the change applies
    :raises RuntimeError: if the change is not applied
    """

    async def apply() -> object:
        store = HttpStoreClient(site.store.url, _STORE_TIMEOUT_S)
        delta = SnapshotDelta(tuple(rules), ())
        change_id = f"measure-{base_version + 1}"
        return await apply_change(store, change_id, "measure", base_version, delta)

    applied = anyio.run(apply)
    if not isinstance(applied, Applied):
        raise RuntimeError(f"rules were not applied: {applied}")


def wait_in_force(site: Site, version: int) -> float:
    """Wait until a version is in force at all gateways and sidecars.

    :return: seconds waited
    :raises TimeoutError: if the version is not in force within the timeout
    """
    started_s = monotonic()
    while (waited_s := monotonic() - started_s) < _IN_FORCE_TIMEOUT_S:
        statuses = [each.call("GET", "/admin/status") for each in site.gateways_by_name.values()]
        if all(_is_in_force(status, version, len(site.sidecars_by_name)) for status in statuses):
            return waited_s
        sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f"version {version} is not in force everywhere")


def make_completions(
    count: int, tokens: int, interval_s: float = 0.0, stream: bool = True, prompt: str = "x"
) -> list[Arrival]:
    """:return: completion requests for the measured model, one every ``interval_s`` seconds"""
    return [
        Arrival(
            number * interval_s,
            "text",
            _TOKEN,
            "/v1/completions",
            {
                "model": BENCH_MODEL,
                "prompt": f"{prompt}{number}",
                "max_tokens": tokens,
                "stream": stream,
            },
            _DEADLINE_S,
            BENCH_MODEL,
        )
        for number in range(count)
    ]


def make_bookings(count: int, interval_s: float, key_prefix: str) -> list[Arrival]:
    """Make calls of the measured service, each with a key as it must run at most once.

    :param interval_s: seconds between calls
    :param key_prefix: start of the keys
    """
    return [
        Arrival(
            number * interval_s,
            "booking",
            _TOKEN,
            f"/services/{BENCH_SERVICE}/confirm",
            {"booking": number},
            _DEADLINE_S,
            key=f"{key_prefix}-{number}",
        )
        for number in range(count)
    ]


def run_arrivals(site: Site, arrivals: list[Arrival], seed: int) -> list[ArrivalResult]:
    """Run a load against all gateways.

    :raises RuntimeError: if a request got no complete answer
    """
    addresses = [each.url for each in site.gateways_by_name.values()]
    results = anyio.run(run_load, arrivals, addresses, seed)
    failed = [each for each in results if not each.whole]
    if failed:
        raise RuntimeError(f"{len(failed)} of {len(results)} failed, such as {failed[0]}")
    return results


def _is_in_force(status: dict, version: int, sidecar_count: int) -> bool:
    versions = [each.get("config_version", 0) for each in status["endpoints"].values()]
    return len(versions) == sidecar_count and min([status["config_version"], *versions]) >= version
