"""
site_steps
~~~~~~~~~~

Steps that start, end, pause and judge the processes of the site.
"""

from time import monotonic, sleep

from behave import step, then, when
from environment import CALLERS

READY_TIMEOUT_S = 20.0
LOOK_S = 0.1


def wait_until(check, timeout_s, what):
    """Wait until a check gives a true value, and return it."""
    end_s = monotonic() + timeout_s
    while monotonic() < end_s:
        found = check()
        if found:
            return found
        sleep(LOOK_S)
    raise AssertionError(f"not within {timeout_s:g} s: {what}")


def read_status(context, name):
    """:return: the status of a gateway"""
    return context.site.gateways_by_name[name].call("GET", "/admin/status")


def is_ready(context):
    """:return: whether each gateway knows each endpoint with what it holds"""
    expected = {"chat-7b", "plan-13b", "south-3b"}
    for name, gateway in context.site.gateways_by_name.items():
        if not gateway.is_running():
            return False
        status = read_status(context, name)
        endpoints = status["endpoints"]
        if len(endpoints) < len(context.site.sidecars_by_name):
            return False
        if not all(each["answers"] and not each["leaving"] for each in endpoints.values()):
            return False
        versions = [each["config_version"] for each in endpoints.values()]
        if min([status["config_version"], *versions]) < context.version:
            return False
        held = {model for each in endpoints.values() for model in each["models"]}
        if not expected <= held:
            return False
        if sum("chat-7b" in each["models"] for each in endpoints.values()) < 2:
            return False
    return True


def find_process(context, name):
    """:return: the process of that name"""
    site = context.site
    if name == "the store":
        return site.store
    kind, _, rest = name.partition(" ")
    if kind == "engine":
        return site.engines_by_name[rest]
    return site.sidecars_by_name.get(rest) or site.gateways_by_name[rest]


@step("the site is ready")
def wait_ready(context):
    wait_until(lambda: is_ready(context), READY_TIMEOUT_S, "the site is ready")
    assert CALLERS


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
