"""
demo
~~~~

Runs each example user's system as separate processes: applies the rules, sends load, then stops it.
"""

import os
import subprocess
import sys
from collections.abc import Iterable
from random import Random
from statistics import quantiles
from time import monotonic, sleep

import anyio

from kingcupdyke.rule import ServiceClass
from kingcupdyke_measure.load import Arrival, ArrivalResult, run_load
from kingcupdyke_measure.user import USERS_BY_NAME, User, load_rules, plan_site
from kingcupdyke_standins.site import Site

SEED = 7
LOAD_S = 6.0
REQUESTS_PER_S = 20.0
BOOKING_COUNT = 12
APPLY_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 20.0


def main() -> int:
    """:return: exit status: 0 without failures, else 1"""
    started_s = monotonic()
    failures = [text for user in USERS_BY_NAME.values() for text in run_user(user)]
    for text in failures:
        print(f"FAILED: {text}")
    print(f"done in {monotonic() - started_s:.0f} s, {len(failures)} failures")
    return 1 if failures else 0


def run_user(user: User) -> list[str]:
    """Start one user's system, send load and stop it.

    :return: a message for each failure
    """
    print(f"\n== {user.name}")
    with Site(plan_site(user)) as site:
        regions = ", ".join(user.data_centres_by_region)
        print(f"{len(site.gateways_by_name)} gateways and {len(site.sidecars_by_name)} sidecars")
        print(f"in the regions {regions}")
        apply_rules(user, site)
        wait_in_force(site)
        addresses = [each.url for each in site.gateways_by_name.values()]
        results = anyio.run(run_load, make_arrivals(user), addresses, SEED)
        report(results)
        failures = check(user, site, results)
        failures += stop(site)
    return failures


def apply_rules(user: User, site: Site) -> None:
    """Apply the user's rule file with the operators' tool.

    :raises SystemExit: when the tool fails
    """
    command = [sys.executable, "-m", "kingcupdyke_tool", "rules", "apply", str(user.rule_file)]
    command += ["--settings", str(site.tool_settings), "--author", "demo"]
    completed = subprocess.run(command, capture_output=True, text=True, env=os.environ, check=False)
    print(f"rules apply: exit {completed.returncode}: {completed.stdout.strip().splitlines()[-1:]}")
    if completed.returncode:
        raise SystemExit(completed.stderr)


def wait_in_force(site: Site) -> None:
    """Wait until the first version is in force at each gateway and sidecar.

    :raises SystemExit: when the timeout expires
    """
    started_s = monotonic()
    while monotonic() - started_s < APPLY_TIMEOUT_S:
        states = [each.call("GET", "/admin/status") for each in site.gateways_by_name.values()]
        versions = [state["config_version"] for state in states]
        for state in states:
            versions += [each.get("config_version", 0) for each in state["endpoints"].values()]
        # Each of 3 gateways reports its own version and those of 8 sidecars.
        if min(versions) >= 1 and len(versions) == 3 * 9:
            print(f"version 1 in force everywhere after {monotonic() - started_s:.1f} s")
            return
        sleep(0.2)
    raise SystemExit("the rules are not in force everywhere")


def make_arrivals(user: User) -> list[Arrival]:
    """:return: chat, batch and booking requests; each booking is sent twice with the same key"""
    rng = Random(SEED)
    rules = load_rules(user)
    names_by_digest = {each.token_digest: each.name for each in rules.callers_by_digest.values()}
    callers = sorted(names_by_digest.values())
    arrivals = []
    for index in range(int(LOAD_S * REQUESTS_PER_S)):
        model = rng.choice(sorted(rules.models_by_name.values()))
        adapters = [each for each in rules.adapters_by_name.values() if each.model == model.name]
        target = rng.choice(adapters) if adapters and rng.random() < 0.5 else model
        caller = rng.choice(callers if "*" in target.callers else list(target.callers))
        batch = model.service_class == ServiceClass.BATCH
        prompt = f"{user.name} {model.name} " + "x" * rng.choice((40, 600)) + str(index)
        body = {"model": target.name, "max_tokens": 40 if batch else 12}
        path = "/v1/completions" if batch else "/v1/chat/completions"
        if batch:
            body["prompt"] = prompt
        else:
            body |= {"messages": [{"role": "user", "content": prompt}], "stream": True}
        kind = "batch" if batch else "chat"
        deadline_s = min(model.deadline_s, 20.0)
        token = f"example-token-{caller}"
        at_s = index / REQUESTS_PER_S
        arrivals.append(Arrival(at_s, kind, token, path, body, deadline_s, model.name))
    service = next(
        each for each in rules.services_by_name.values() if "POST" not in each.idempotent_methods
    )
    token = f"example-token-{service.callers[0]}"
    path = f"/services/{service.name}/confirm"
    for index in range(BOOKING_COUNT):
        at_s = rng.random() * LOAD_S
        for sent_s in (at_s, at_s + 0.05):
            arrivals.append(
                Arrival(
                    sent_s,
                    "booking",
                    token,
                    path,
                    {"booking": index},
                    service.deadline_s,
                    key=f"booking-{index}",
                )
            )
    return sorted(arrivals, key=lambda each: each.at_s)


def report(results: Iterable[ArrivalResult]) -> None:
    """Print complete answers, latency and errors by kind, and request counts by endpoint."""
    by_kind: dict[str, list[ArrivalResult]] = {}
    by_endpoint: dict[str, int] = {}
    for each in results:
        by_kind.setdefault(each.arrival.kind, []).append(each)
        if each.endpoint:
            by_endpoint[each.endpoint] = by_endpoint.get(each.endpoint, 0) + 1
    for kind, group in sorted(by_kind.items()):
        complete = [each for each in group if each.whole]
        late = sum(not each.attained for each in complete)
        quantiles_ms = quantiles(
            [each.first_part_s * 1000 for each in complete] or [0.0, 0.0], n=20
        )
        print(
            f"{kind:8} {len(group):4} sent {len(complete):4} complete {late:3} late;"
            f" time to first part {quantiles_ms[9]:.0f} ms median,"
            f" {quantiles_ms[18]:.0f} ms 95th percentile"
        )
        codes = sorted({each.code for each in group if each.code})
        if codes:
            print(f"         errors: {', '.join(codes)}")
    print("served by " + ", ".join(f"{name} {n}" for name, n in sorted(by_endpoint.items())))


def check(user: User, site: Site, results: list[ArrivalResult]) -> list[str]:
    """Check the stand-ins for violations, bookings for a single run and other requests for answers.

    :return: a message for each failure
    """
    failures = [f"{user.name}: {text}" for text in site.violations()]
    runs_by_key: dict[str, int] = {}
    for processes in site.services_by_name.values():
        for process in processes:
            for key, count in process.call("GET", "/counts").items():
                runs_by_key[key] = runs_by_key.get(key, 0) + count
    failures += [f"{user.name}: {key} ran {n} times" for key, n in runs_by_key.items() if n != 1]
    print(f"{len(runs_by_key)} bookings, each sent twice, each run once")
    incomplete = [each for each in results if not each.whole and each.arrival.kind != "booking"]
    failures += [
        f"{user.name}: {each.arrival.kind} {each.status} {each.code}" for each in incomplete
    ]
    return failures


def stop(site: Site) -> list[str]:
    """Stop all gateways and sidecars by SIGTERM.

    :return: a message for each that exited with another status than 0
    """
    started_s = monotonic()
    processes = {**site.gateways_by_name, **site.sidecars_by_name}
    for process in processes.values():
        process.terminate()
    statuses = {name: process.wait(STOP_TIMEOUT_S) for name, process in processes.items()}
    print(f"stopped after {monotonic() - started_s:.1f} s")
    return [f"{name} exited with status {status}" for name, status in statuses.items() if status]


if __name__ == "__main__":
    sys.exit(main())
