"""
site_steps
~~~~~~~~~~

Steps that start, end, pause and judge the processes of the site.
"""

from time import monotonic, sleep

from behave import step, then, when

READY_TIMEOUT_S = 20.0
REPLICAS_BY_MODEL = {"chat-7b": 2, "plan-13b": 1, "south-3b": 1}
LOOK_S = 0.1


def wait_until(check, timeout_s, what):
    """Wait until a check gives a true value, and return it."""
    end_s = monotonic() + timeout_s
    while monotonic() < end_s:
        found = check()
        if found:
            return found
        sleep(LOOK_S)
    reason = what() if callable(what) else what
    raise AssertionError(f"not within {timeout_s:g} s: {reason}")


def read_status(context, name):
    """:return: the status of a gateway"""
    return context.site.gateways_by_name[name].call("GET", "/admin/status")


def find_lack(context):
    """:return: what the site lacks to be ready, or the empty string"""
    for name, gateway in context.site.gateways_by_name.items():
        if not gateway.is_running():
            return f"{name} does not run"
        lack = find_gateway_lack(context, read_status(context, name))
        if lack:
            return f"{name}: {lack}"
    return ""


def find_gateway_lack(context, status):
    """:return: what a gateway lacks by its status, or the empty string"""
    endpoints = status["endpoints"]
    missing = context.site.sidecars_by_name.keys() - endpoints.keys()
    if missing:
        return f"does not know {sorted(missing)}"
    for name, each in endpoints.items():
        if not each["answers"] or each["leaving"]:
            return f"{name} does not answer or leaves"
    versions = [each["config_version"] for each in endpoints.values()]
    if min([status["config_version"], *versions]) < context.version:
        return f"an old version: {status['config_version']}, {versions}"
    held = [model for each in endpoints.values() for model in each["models"]]
    for model, replicas in REPLICAS_BY_MODEL.items():
        if held.count(model) < replicas:
            return f"too few replicas of {model}: {held}"
    return ""


def find_process(context, name):
    """:return: the process of that name"""
    site = context.site
    if name in ("the store", "the weight store"):
        return site.store if name == "the store" else site.weights
    kind, _, rest = name.partition(" ")
    if kind == "engine":
        return site.engines_by_name[rest]
    if kind == "service":
        return site.services_by_name[rest][0]
    if kind == "host":
        return site.hosts_by_region[rest.removeprefix("list ")]
    if kind == "link":
        return site.links_by_way[tuple(rest.split("-"))]
    return site.sidecars_by_name.get(rest) or site.gateways_by_name[rest]


@step("the site is ready")
def wait_ready(context):
    wait_until(
        lambda: not find_lack(context), READY_TIMEOUT_S, lambda: f"ready: {find_lack(context)}"
    )


@step("{name} is killed")
def kill_process(context, name):
    find_process(context, name).kill()


@when("{name} is paused for {seconds:g} s")
def pause_process(context, name, seconds):
    process = find_process(context, name)
    process.freeze()
    sleep(seconds)
    process.thaw()


@step("{name} is started again")
def start_again(context, name):
    _, _, host = name.partition(" ")
    plan = context.plans_by_name[host]
    if host in context.site.gateways_by_name:
        context.site.start_gateway(plan)
    else:
        context.site.restart_sidecar(plan)


@step("the switch {switch} of {name} is {value}")
def set_switch(context, switch, name, value):
    words = {"on": True, "off": False}
    find_process(context, name).set_faults(
        **{switch: words[value] if value in words else int(value)}
    )


@step("the link from {source} to {target} has {switch} {value}")
def set_link(context, source, target, switch, value):
    link = context.site.links_by_way[(source, target)]
    link.set_faults(**{switch: value == "on"})


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    sleep(seconds)


@then("no stand-in saw a violation")
def check_violations(context):
    assert context.site.violations() == [], context.site.violations()
