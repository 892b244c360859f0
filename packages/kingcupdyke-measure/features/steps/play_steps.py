"""
play_steps
~~~~~~~~~~

Steps for simulations in virtual time.
"""

import tempfile
from collections import Counter
from pathlib import Path
from time import monotonic

from anyio import create_task_group, current_time, sleep
from behave import then, when

from kingcupdyke.error import OptionError
from kingcupdyke_measure.simulationplan import load_simulation, read_simulation
from kingcupdyke_measure.simulationreport import RequestOutcome
from kingcupdyke_measure.simulator import simulate
from kingcupdyke_measure.virtualtime import run_in_virtual_time

SETTINGS = Path(__file__).parents[2] / "settings" / "plays"
#: Seconds of the window in which loads are counted, and loads allowed beyond the rate limit.
LOAD_WINDOW_S = 5.0
MAX_BURST_LOADS = 3


@then("simulation: timers of up to an hour expire in order within {limit:g} s")
def check_virtual_time(context, limit):
    expired_timers = []

    async def run_timers():
        async def wait(seconds):
            await sleep(seconds)
            expired_timers.append((seconds, current_time()))

        async with create_task_group() as tasks:
            for seconds in (3600.0, 0.5, 60.0):
                tasks.start_soon(wait, seconds)

    started_s = monotonic()
    run_in_virtual_time(run_timers)
    assert monotonic() - started_s < limit
    assert [each[0] for each in expired_timers] == [0.5, 60.0, 3600.0], expired_timers
    assert all(abs(now_s - seconds) < 0.01 for seconds, now_s in expired_timers), expired_timers


@then("simulation: two runs of {name} with seed 1 are equal, and one with seed 2 differs")
def check_repeatable(context, name):
    plan = load_simulation(name)._replace(load_s=6.0, rest_s=12.0)
    first, second, other = (simulate(plan, seed) for seed in (1, 1, 2))
    assert first == second
    assert first.results != other.results


@when("simulation: {name} runs with the seeds 1 to {seeds:d}")
def run_simulations(context, name, seeds):
    context.plan = load_simulation(name)
    context.reports = [simulate(context.plan, seed) for seed in range(1, seeds + 1)]


@then("simulation: no order overcommitted the memory of an engine")
def check_memory(context):
    lines = [line for each in context.reports for line in each.violations]
    assert not [line for line in lines if "overcommitted" in line], lines


@then("simulation: in no 5 s did more loads from the weight store start than the rate limit allows")
def check_loads(context):
    max_loads = context.plan.loads_per_s * LOAD_WINDOW_S + MAX_BURST_LOADS
    for report in context.reports:
        for window_start_s in report.store_loads_s:
            window = [
                each for each in report.store_loads_s if 0 <= each - window_start_s < LOAD_WINDOW_S
            ]
            assert len(window) <= max_loads, (window_start_s, len(window))


@then("simulation: each model with four or more requests is served")
def check_models(context):
    for report in context.reports:
        sent = Counter(each.model for each in report.results)
        served = {each.model for each in report.results if each.outcome is RequestOutcome.SERVED}
        unserved = {name for name, count in sent.items() if count >= 4} - served
        assert not unserved, unserved


@then("simulation: at least {served:g} of the requests are served and {on_time:g} on time")
def check_shares(context, served, on_time):
    count = len(context.reports)
    served_share = sum(each.share() for each in context.reports) / count
    on_time_share = sum(each.share(on_time=True) for each in context.reports) / count
    assert served_share >= served, served_share
    assert on_time_share >= on_time, on_time_share


@then('simulation: settings with "{change}" are rejected with an error that names "{name}"')
def check_invalid_setting(context, change, name):
    old, new = change.split("=")
    text = (SETTINGS / "shifting.yaml").read_text()
    assert old in text
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "bad.yaml"
        path.write_text(text.replace(old, new, 1))
        try:
            read_simulation(path)
        except OptionError as error:
            assert name in str(error), error
        else:
            raise AssertionError("the settings were not rejected")
