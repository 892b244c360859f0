"""
site_steps
~~~~~~~~~~

Steps that start, stop, pause and check the processes of the site.
"""

from time import monotonic, sleep

from behave import step, then, when

READY_TIMEOUT_S = 20.0
#: Replicas of each model that the rules in site.yaml require.
REPLICAS_BY_MODEL = {"chat-7b": 2, "plan-13b": 1, "south-3b": 1}
POLL_INTERVAL_S = 0.1


def wait_until(check, timeout_s, what):
    """Poll a check until it returns a true value.

    :param what: what is waited for, or a function that returns it, for the error message
    :return: the value
    :raises AssertionError: when the timeout expires
    """
    deadline_s = monotonic() + timeout_s
    while monotonic() < deadline_s:
        found = check()
        if found:
            return found
        sleep(POLL_INTERVAL_S)
    reason = what() if callable(what) else what
    raise AssertionError(f"not within {timeout_s:g} s: {reason}")


def read_status(context, name):
    """:return: the status that a gateway reports"""
    return context.site.gateways_by_name[name].call("GET", "/admin/status")


def find_unready_reason(context):
    """:return: why the site is not ready, or the empty string"""
    for name, gateway in context.site.gateways_by_name.items():
        if not gateway.is_running():
            return f"{name} is not running"
        reason = find_gateway_unready_reason(context, read_status(context, name))
        if reason:
            return f"{name}: {reason}"
    return ""


def find_gateway_unready_reason(context, status):
    """:return: why the site is not ready by the status of a gateway, or the empty string"""
    endpoints = status["endpoints"]
    missing = context.site.sidecars_by_name.keys() - endpoints.keys()
    if missing:
        return f"no record of {sorted(missing)}"
    for name, each in endpoints.items():
        if not each["answers"] or each["leaving"]:
            return f"{name} is unresponsive or draining"
    versions = [each["config_version"] for each in endpoints.values()]
    if min([status["config_version"], *versions]) < context.version:
        return f"an old version: {status['config_version']}, {versions}"
    resident_models = [model for each in endpoints.values() for model in each["models"]]
    for model, replicas in REPLICAS_BY_MODEL.items():
        if resident_models.count(model) < replicas:
            return f"too few replicas of {model}: {resident_models}"
    return ""


def find_process(context, name):
    """:return: the process with a name such as ``gateway entry-n1`` or ``the store``"""
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
        return site.links_by_region_pair[tuple(rest.split("-"))]
    return site.sidecars_by_name.get(rest) or site.gateways_by_name[rest]


@step("the site is ready")
def wait_ready(context):
    wait_until(
        lambda: not find_unready_reason(context),
        READY_TIMEOUT_S,
        lambda: f"ready: {find_unready_reason(context)}",
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


@step("the fault switch {switch} of {name} is set to {value}")
def set_switch(context, switch, name, value):
    values_by_word = {"on": True, "off": False}
    find_process(context, name).set_faults(
        **{switch: values_by_word[value] if value in values_by_word else int(value)}
    )


@step("the link from {source} to {target} has fault switch {switch} set to {value}")
def set_link(context, source, target, switch, value):
    link = context.site.links_by_region_pair[(source, target)]
    link.set_faults(**{switch: value == "on"})


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    sleep(seconds)


@then("no stand-in recorded a violation")
def check_violations(context):
    assert context.site.violations() == [], context.site.violations()
