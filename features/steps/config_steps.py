"""
config_steps
~~~~~~~~~~~~

Steps in which operators change rules and the versions in force are checked.
"""

import json
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from environment import apply_rules
from site_steps import read_status, wait_until


def make_extra_rules(count):
    """:return: rule lines for this number of additional callers"""
    line = '- {{caller: extra-{0}, token_sha256: "{0:064x}", weight: 1.0}}  # tests: change {0}\n'
    return "".join(line.format(index) for index in range(1, count + 1))


@when("the operator adds a rule")
def add_rule(context):
    extras = getattr(context.feature, "extras", 0) + 1
    context.feature.extras = extras
    base = getattr(context.feature, "version", context.version)
    context.result = apply_rules(context.site, f"add-{extras}", base, make_extra_rules(extras))
    record_version(context, base + 1)


def record_version(context, version):
    """Record the version that must be in force from now on."""
    context.feature.version = version
    context.version = version


def read_versions(context):
    """Read the versions in force.

    :return: the version of each running gateway and those that it has recorded for the sidecars
    """
    versions = []
    for name, gateway in context.site.gateways_by_name.items():
        if gateway.is_running():
            status = read_status(context, name)
            versions.append(status["config_version"])
            endpoints = status["endpoints"].values()
            versions += [each["config_version"] for each in endpoints if each["answers"]]
    return versions


@then("the new version is in force everywhere within {seconds:g} s")
@then("the current version is in force everywhere within {seconds:g} s")
def check_in_force(context, seconds):
    expected = getattr(context.feature, "version", context.version)
    lowest = getattr(context.feature, "lowest", 0)

    def in_force():
        versions = read_versions(context)
        return versions and min(versions) >= expected

    wait_until(in_force, seconds, f"version {expected} in force")
    context.feature.lowest = max(lowest, expected)


@then("no configuration version has decreased")
def check_never_reverts(context):
    assert min(read_versions(context)) >= context.feature.lowest


@then("the operators' tool reports that the change is applied")
def check_applied(context):
    assert context.result.returncode == 0, context.result.stdout


@when("two operators concurrently change the rules of the same version")
def apply_concurrently(context):
    base = context.feature.version
    extras = context.feature.extras
    with ThreadPoolExecutor(2) as pool:
        context.results = list(
            pool.map(
                lambda index: apply_rules(
                    context.site, f"race-{index}", base, make_extra_rules(extras + 1 + index)
                ),
                range(2),
            )
        )
    context.feature.extras = extras + 2
    record_version(context, base + 1)


@then("one change is applied and the other operator receives the conflicting lines")
def check_conflict(context):
    assert sorted(each.returncode for each in context.results) == [0, 3], context.results
    loser = next(each for each in context.results if each.returncode == 3)
    assert json.loads(loser.stdout)["changes"][0]["puts"], loser.stdout
