"""
environment
~~~~~~~~~~~

Starts one site of separate processes for each feature with the tag ``site``.
"""

import sys
from hashlib import sha256
from pathlib import Path
from subprocess import CompletedProcess, run

from kingcupdyke_standins.site import GatewayPlan, SidecarPlan, Site, SitePlan

CALLERS = ("desk", "night")
RULE_FILE = Path(__file__).parent / "site.yaml"
FAST_ENGINE_OPTIONS = ("--token-ms", "5", "--first-token-ms", "10")
SITE_PLAN = SitePlan(
    gateways=(
        GatewayPlan("entry-n1", "north", "n1"),
        GatewayPlan("entry-n2", "north", "n2"),
        GatewayPlan("entry-s1", "south", "s1"),
    ),
    sidecars=(
        SidecarPlan(
            "model-n1",
            "north",
            "n1",
            engine=(
                "--capacity",
                "40GB",
                "--models",
                "chat-7b=10GB,plan-13b=12GB",
                *FAST_ENGINE_OPTIONS,
            ),
        ),
        SidecarPlan(
            "model-n2",
            "north",
            "n2",
            engine=("--capacity", "40GB", "--models", "chat-7b=10GB", *FAST_ENGINE_OPTIONS),
            checks_fence=False,
        ),
        SidecarPlan(
            "model-s1",
            "south",
            "s1",
            engine=("--capacity", "40GB", "--models", "south-3b=5GB", *FAST_ENGINE_OPTIONS),
        ),
        SidecarPlan("model-n3", "north", "n2", engine=("--capacity", "40GB", *FAST_ENGINE_OPTIONS)),
        SidecarPlan("model-s2", "south", "s1", engine=("--capacity", "40GB", *FAST_ENGINE_OPTIONS)),
        SidecarPlan("app-n1", "north", "n1", services=(("bookings", ()),)),
        SidecarPlan("app-n2", "north", "n2", services=(("bookings", ()),)),
    ),
    gateway_settings={"pull_s": 1.0},
    sidecar_settings={"pull_s": 1.0},
    weights=("--per-s", "20", "--bytes-per-s", "20GB"),
    link=("--delay-ms", "5"),
)


def write_rules(site: Site, name: str, extra: str = "") -> Path:
    """Write a rule file of the site.

    :param extra: lines that are appended to the rules
    :return: the rule file
    """
    text = RULE_FILE.read_text() + extra
    for caller in CALLERS:
        text = text.replace(f"TOKEN-{caller}", sha256(f"token-{caller}".encode()).hexdigest())
    path = site.folder / f"{name}.rules.yaml"
    path.write_text(text)
    return path


def apply_rules(site: Site, name: str, base_version: int, extra: str = "") -> CompletedProcess:
    """Apply the rules of the site with the operators' tool.

    :return: the ended process of the tool
    """
    path = write_rules(site, name, extra)
    command = [sys.executable, "-m", "kingcupdyke_tool", "rules", "apply", str(path)]
    command += ["--settings", str(site.tool_settings), "--base", str(base_version)]
    command += ["--author", "tests", "--json"]
    return run(command, capture_output=True, text=True, check=False)


def before_feature(context, feature):
    if "site" not in feature.tags:
        return
    context.site = Site(SITE_PLAN).__enter__()
    context.plans_by_name = {each.name: each for each in (*SITE_PLAN.sidecars, *SITE_PLAN.gateways)}
    applied = apply_rules(context.site, "first", 0)
    assert applied.returncode == 0, applied.stdout + applied.stderr
    context.version = 1
    context.execute_steps("Given the site is ready")


def after_scenario(context, scenario):
    if "site" not in scenario.effective_tags:
        return
    # Resets fault switches that a failed scenario left set, so that the next one is unaffected.
    standins = [context.site.store, *context.site.engines_by_name.values()]
    for processes in context.site.services_by_name.values():
        standins += processes
    standins += context.site.links_by_region_pair.values()
    for process in standins:
        if process.is_running():
            process.reset_faults()


def after_feature(context, feature):
    if "site" in feature.tags:
        context.site.__exit__(None, None, None)
