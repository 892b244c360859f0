"""
demo
~~~~

Both users' systems as separate processes: rules, chat, batch and bookings, then planned stops.
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
BOOKINGS = 12
FORCE_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 20.0


def main() -> int:
    """:return: 0 when all was served as promised, else 1"""
    begun_s = monotonic()
    failures = [text for user in USERS_BY_NAME.values() for text in run_user(user)]
    for text in failures:
        print(f"FAILED: {text}")
    print(f"done in {monotonic() - begun_s:.0f} s, {len(failures)} failures")
    return 1 if failures else 0


def run_user(user: User) -> list[str]:
    """Run one user's system.

    :return: what was not as promised
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
    """Apply the user's rule file by the operators' tool."""
    command = [sys.executable, "-m", "kingcupdyke_tool", "rules", "apply", str(user.rule_file)]
    command += ["--settings", str(site.tool_settings), "--author", "demo"]
    done = subprocess.run(command, capture_output=True, text=True, env=os.environ, check=False)
    print(f"rules apply: exit {done.returncode}: {done.stdout.strip().splitlines()[-1:]}")
    if done.returncode:
        raise SystemExit(done.stderr)


def wait_in_force(site: Site) -> None:
    """Wait until each gateway and sidecar holds the first version."""
    begun_s = monotonic()
    while monotonic() - begun_s < FORCE_TIMEOUT_S:
        states = [each.call("GET", "/admin/status") for each in site.gateways_by_name.values()]
        versions = [state["config_version"] for state in states]
        for state in states:
            versions += [each.get("config_version", 0) for each in state["endpoints"].values()]
        if min(versions) >= 1 and len(versions) == 3 * 9:
            print(f"version 1 in force everywhere after {monotonic() - begun_s:.1f} s")
            return
        sleep(0.2)
    raise SystemExit("the rules are not in force everywhere")


def make_arrivals(user: User) -> list[Arrival]:
    """:return: chat, batch and booking requests; each booking is pressed twice"""
    rng = Random(SEED)
    rules = load_rules(user)
    names_by_digest = {each.token_digest: each.name for each in rules.callers_by_digest.values()}
    callers = sorted(names_by_digest.values())
    arrivals = []
    for index in range(int(LOAD_S * REQUESTS_PER_S)):
        model = rng.choice(sorted(rules.models_by_name.values()))
        adapters = [each for each in rules.adapters_by_name.values() if each.model == model.name]
        named = rng.choice(adapters) if adapters and rng.random() < 0.5 else model
        caller = rng.choice(callers if "*" in named.callers else list(named.callers))
        batch = model.service_class == ServiceClass.BATCH
        prompt = f"{user.name} {model.name} " + "x" * rng.choice((40, 600)) + str(index)
        body = {"model": named.name, "max_tokens": 40 if batch else 12}
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
    for index in range(BOOKINGS):
        at_s = rng.random() * LOAD_S
        for pressed_s in (at_s, at_s + 0.05):
            arrivals.append(
                Arrival(
                    pressed_s,
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
    """Print what was served, where and how fast."""
    by_kind: dict[str, list[ArrivalResult]] = {}
    by_endpoint: dict[str, int] = {}
    for each in results:
        by_kind.setdefault(each.arrival.kind, []).append(each)
        if each.endpoint:
            by_endpoint[each.endpoint] = by_endpoint.get(each.endpoint, 0) + 1
    for kind, group in sorted(by_kind.items()):
        served = [each for each in group if each.whole]
        late = sum(not each.attained for each in served)
        cuts = quantiles([each.first_s * 1000 for each in served] or [0.0, 0.0], n=20)
        print(
            f"{kind:8} {len(group):4} sent {len(served):4} whole {late:3} late;"
            f" first part {cuts[9]:.0f} ms at 50, {cuts[18]:.0f} ms at 95 of 100"
        )
        codes = sorted({each.code for each in group if each.code})
        if codes:
            print(f"         errors: {', '.join(codes)}")
    print("served by " + ", ".join(f"{name} {n}" for name, n in sorted(by_endpoint.items())))


def check(user: User, site: Site, results: list[ArrivalResult]) -> list[str]:
    """:return: what was not as promised"""
    failures = [f"{user.name}: {text}" for text in site.violations()]
    runs_by_key: dict[str, int] = {}
    for processes in site.services_by_name.values():
        for process in processes:
            for key, count in process.call("GET", "/counts").items():
                runs_by_key[key] = runs_by_key.get(key, 0) + count
    failures += [f"{user.name}: {key} ran {n} times" for key, n in runs_by_key.items() if n != 1]
    print(f"{len(runs_by_key)} bookings, each pressed twice, each run once")
    wrong = [each for each in results if not each.whole and each.arrival.kind != "booking"]
    failures += [f"{user.name}: {each.arrival.kind} {each.status} {each.code}" for each in wrong]
    return failures


def stop(site: Site) -> list[str]:
    """Stop all daemons as planned.

    :return: those that did not end cleanly
    """
    begun_s = monotonic()
    processes = {**site.gateways_by_name, **site.sidecars_by_name}
    for process in processes.values():
        process.terminate()
    statuses = {name: process.wait(STOP_TIMEOUT_S) for name, process in processes.items()}
    print(f"stopped after {monotonic() - begun_s:.1f} s")
    return [f"{name} ended with {status}" for name, status in statuses.items() if status]


if __name__ == "__main__":
    sys.exit(main())
