"""
kingcupdyke_measure.policy
~~~~~~~~~~~~~~~~~~~~~~~~~~

Policy runs: an open-loop load on a user's site of processes, with a report for each variant.
"""

import os
from collections.abc import Sequence
from pathlib import Path
from time import monotonic, sleep

import anyio

from kingcupdyke.rule import RuleSet
from kingcupdyke_measure.bench import apply_rules, wait_in_force
from kingcupdyke_measure.load import Arrival, ArrivalResult, run_load
from kingcupdyke_measure.outage import inject_outage
from kingcupdyke_measure.report import (
    Moves,
    PolicyReport,
    count_losses,
    format_policy,
    group_results,
    report_group,
)
from kingcupdyke_measure.scenario import Scenario, load_scenario, make_arrivals
from kingcupdyke_measure.user import USERS_BY_NAME, User, assign_models, load_rules, plan_site
from kingcupdyke_measure.variant import VARIANTS_BY_NAME
from kingcupdyke_standins.site import Site
from kingcupdyke_wire.rulefile import check_rule_file

__all__ = ["run_scenario"]

#: Options of the link between regions: 30 ms one-way delay and 15 Mbit/s.
_LINK_OPTIONS = ("--delay-ms", "30", "--bytes-per-s", "1875000")
#: Seconds to wait until all gateways have the models that are resident at the start.
_INITIAL_MODELS_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.2
#: Seconds after the load for engines to complete work in progress.
_SETTLE_DELAY_S = 1.0


def run_scenario(
    user_name: str, name: str, variants: Sequence[str], folder: Path
) -> list[PolicyReport]:
    """Run a scenario once for each variant, one after the other, and write the report file.

    :param variants: names of variants; if empty, those of the scenario
    :param folder: folder of the report file
    """
    user = USERS_BY_NAME[user_name]
    scenario = load_scenario(user_name, name)
    rules = load_rules(user)
    reports = []
    command = f"python -m kingcupdyke_measure policy --user {user_name} --scenario {name}"
    lines = [
        f"# {command}",
        f"# seed {scenario.seed}, {scenario.load_s:.0f} s of load a run;"
        f" {os.cpu_count()} cores that other work shared, so take ratios",
        "# times in milliseconds at 50/95/99 of 100",
        "",
    ]
    for variant in variants or scenario.variants:
        report = _run_variant(user, rules, scenario, variant)
        reports.append(report)
        text = format_policy(report)
        print("\n".join(text[:5]), flush=True)
        lines += text
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"policy-{user_name}-{name}.txt").write_text("\n".join(lines))
    return reports


def _run_variant(user: User, rules: RuleSet, scenario: Scenario, variant: str) -> PolicyReport:
    settings = scenario.gateway | VARIANTS_BY_NAME[variant]
    plan = plan_site(user, settings, engine=scenario.engine)._replace(link=_LINK_OPTIONS)
    with Site(plan) as site:
        rule_snapshot = check_rule_file(user.rule_file.read_text()).ok.rule_snapshot
        apply_rules(site, rule_snapshot.rules_by_key.values())
        wait_in_force(site, 1)
        _wait_for_initial_models(site, user, rules)
        fetch_count_before = len(site.weights.call("GET", "/v1/fetches")["fetches"])
        link_bytes_before = _count_link_bytes(site)
        arrivals = make_arrivals(scenario, rules)
        results = anyio.run(_run_load, site, scenario, arrivals)
        sleep(_SETTLE_DELAY_S)
        moves = _count_moves(site, user, fetch_count_before, link_bytes_before)
        return _make_report(site, variant, results, moves)


async def _run_load(
    site: Site, scenario: Scenario, arrivals: Sequence[Arrival]
) -> list[ArrivalResult]:
    addresses = [each.url for each in site.gateways_by_name.values()]
    async with anyio.create_task_group() as tasks:
        if scenario.fault:
            tasks.start_soon(inject_outage, site, scenario.fault)
        return await run_load(arrivals, addresses, scenario.seed)
    return []


def _make_report(
    site: Site, variant: str, results: Sequence[ArrivalResult], moves: Moves
) -> PolicyReport:
    runs_by_key = _count_runs(site)
    violations = list(site.violations())
    violations += [f"{key} ran {count} times" for key, count in runs_by_key.items() if count > 1]
    return PolicyReport(
        variant,
        len(site.engines_by_name),
        report_group(results, runs_by_key),
        group_results(results, runs_by_key, _get_caller),
        group_results(results, runs_by_key, lambda each: each.arrival.kind),
        moves,
        count_losses(results),
        tuple(violations),
    )


def _get_caller(result: ArrivalResult) -> str:
    return result.arrival.token.removeprefix("example-token-")


def _count_runs(site: Site) -> dict[str, int]:
    runs_by_key: dict[str, int] = {}
    for processes in site.services_by_name.values():
        for process in processes:
            counts = process.call("GET", "/counts")
            # Calls without a key have no limit of runs.
            counts.pop("", None)
            for key, count in counts.items():
                runs_by_key[key] = runs_by_key.get(key, 0) + count
    return runs_by_key


def _count_moves(site: Site, user: User, fetch_count_before: int, link_bytes_before: int) -> Moves:
    fetches = site.weights.call("GET", "/v1/fetches")["fetches"][fetch_count_before:]
    weight_store_region = next(iter(user.data_centres_by_region))
    engines = [each for each in site.engines_by_name.values() if each.is_running()]
    return Moves(
        len(fetches),
        sum(each["bytes"] for each in fetches),
        sum(each["bytes"] for each in fetches if each["region"] != weight_store_region),
        sum(len(each.call("GET", "/admin/inventory")["adapters"]) for each in engines),
        _count_link_bytes(site) - link_bytes_before,
    )


def _count_link_bytes(site: Site) -> int:
    counts = [link.call("GET", "/bytes") for link in site.links_by_region_pair.values()]
    return sum(each["there"] + each["back"] for each in counts)


def _wait_for_initial_models(site: Site, user: User, rules: RuleSet) -> None:
    """Wait until the status of all gateways shows the models that are resident at the start."""
    models_by_host = assign_models(user, rules)
    started_s = monotonic()
    while monotonic() - started_s < _INITIAL_MODELS_TIMEOUT_S:
        statuses = [each.call("GET", "/admin/status") for each in site.gateways_by_name.values()]
        if all(_has_models(status, models_by_host) for status in statuses):
            return
        sleep(_POLL_INTERVAL_S)
    raise TimeoutError("not all gateways have the models that are resident at the start")


def _has_models(status: dict, models_by_host: dict[str, dict[str, int]]) -> bool:
    return all(
        set(models) <= set(status["endpoints"].get(host, {}).get("models", ()))
        for host, models in models_by_host.items()
    )
