"""
config_steps
~~~~~~~~~~~~

Steps of operators who change rules.
"""

import json
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from environment import apply_rules
from site_steps import read_status, wait_until


def make_extra(count):
    """:return: rule lines of further callers"""
    line = '- {{caller: extra-{0}, token_sha256: "{0:064x}", weight: 1.0}}  # tests: change {0}\n'
    return "".join(line.format(index) for index in range(1, count + 1))


@when("the operator adds a rule")
def add_rule(context):
    extras = getattr(context.feature, "extras", 0) + 1
    context.feature.extras = extras
    base = getattr(context.feature, "version", context.version)
    context.result = apply_rules(context.site, f"add-{extras}", base, make_extra(extras))
    note_version(context, base + 1)


def note_version(context, version):
    """Remember the version and the rules that must be in force."""
    context.feature.version = version
    context.version = version


def read_versions(context):
    """:return: the version in force at each gateway and, as it sees them, each sidecar"""
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
    wanted = getattr(context.feature, "version", context.version)
    lowest = getattr(context.feature, "lowest", 0)

    def in_force():
        versions = read_versions(context)
        return versions and min(versions) >= wanted

    wait_until(in_force, seconds, f"version {wanted} in force")
    context.feature.lowest = max(lowest, wanted)


@then("no version was seen to fall")
def check_never_reverts(context):
    assert min(read_versions(context)) >= context.feature.lowest


@then("the operator is told that it is applied")
def check_applied(context):
    assert context.result.returncode == 0, context.result.stdout


@when("two operators change rules against the same version")
def race(context):
    base = context.feature.version
    extras = context.feature.extras
    with ThreadPoolExecutor(2) as pool:
        context.results = list(
            pool.map(
                lambda index: apply_rules(
                    context.site, f"race-{index}", base, make_extra(extras + 1 + index)
                ),
                range(2),
            )
        )
    context.feature.extras = extras + 2
    note_version(context, base + 1)


@then("one is applied and the other is told of the rival's lines")
def check_race(context):
    assert sorted(each.returncode for each in context.results) == [0, 3], context.results
    loser = next(each for each in context.results if each.returncode == 3)
    assert json.loads(loser.stdout)["changes"][0]["puts"], loser.stdout
