"""
environment
~~~~~~~~~~~

One site of separate processes for each feature.
"""

from hashlib import sha256
from pathlib import Path

import anyio

from kingcupdyke.book import BookDelta, RuleBook, diff_books
from kingcupdyke_standins.site import GatewayPlan, SidecarPlan, Site, SitePlan
from kingcupdyke_wire.configlog import apply_change
from kingcupdyke_wire.rulefile import check_rule_file
from kingcupdyke_wire.store import HttpStoreClient

CALLERS = ("desk", "night")
RULE_FILE = Path(__file__).parent / "site.yaml"
FAST = ("--token-ms", "5", "--first-token-ms", "10")
SITE = SitePlan(
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
            engine=("--capacity", "40GB", "--models", "chat-7b=10GB,plan-13b=12GB", *FAST),
        ),
        SidecarPlan(
            "model-n2",
            "north",
            "n2",
            engine=("--capacity", "40GB", "--models", "chat-7b=10GB", *FAST),
            checks_fence=False,
        ),
        SidecarPlan(
            "model-s1",
            "south",
            "s1",
            engine=("--capacity", "40GB", "--models", "south-3b=5GB", *FAST),
        ),
        SidecarPlan("model-n3", "north", "n2", engine=("--capacity", "40GB", *FAST)),
        SidecarPlan("model-s2", "south", "s1", engine=("--capacity", "40GB", *FAST)),
        SidecarPlan("app-n1", "north", "n1", services=(("bookings", ()),)),
        SidecarPlan("app-n2", "north", "n2", services=(("bookings", ()),)),
    ),
    gateway_settings={"pull_s": 1.0},
    sidecar_settings={"pull_s": 1.0},
    weights=("--per-s", "20", "--bytes-per-s", "20GB"),
    link=("--delay-ms", "5"),
)


def read_rules(extra: str = "") -> RuleBook:
    """:return: the checked rules of the site, with further lines"""
    text = RULE_FILE.read_text() + extra
    for name in CALLERS:
        text = text.replace(f"TOKEN-{name}", sha256(f"token-{name}".encode()).hexdigest())
    checked = check_rule_file(text)
    assert checked.is_ok(), checked.error
    return checked.ok.book


def apply_rules(site: Site, change_id: str, base_version: int, delta: BookDelta) -> object:
    """:return: the result of one change"""

    async def apply() -> object:
        store = HttpStoreClient(site.store.url, 2.0)
        return await apply_change(store, change_id, "tests", base_version, delta)

    return anyio.run(apply)


def before_feature(context, feature):
    if "site" not in feature.tags:
        return
    context.site = Site(SITE).__enter__()
    context.plans_by_name = {each.name: each for each in (*SITE.sidecars, *SITE.gateways)}
    context.book = read_rules()
    applied = apply_rules(context.site, "first", 0, diff_books(RuleBook({}), context.book))
    context.version = applied.version
    context.execute_steps("Given the site is ready")


def after_scenario(context, scenario):
    if "site" not in scenario.effective_tags:
        return
    # What a failed scenario left behind must not fail the next one.
    standins = [context.site.store, *context.site.engines_by_name.values()]
    for processes in context.site.services_by_name.values():
        standins += processes
    standins += context.site.links_by_way.values()
    for process in standins:
        if process.is_running():
            process.reset_faults()


def after_feature(context, feature):
    if "site" in feature.tags:
        context.site.__exit__(None, None, None)
