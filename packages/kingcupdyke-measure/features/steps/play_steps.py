"""
play_steps
~~~~~~~~~~

Steps for plays in virtual time.
"""

import tempfile
from collections import Counter
from pathlib import Path
from time import monotonic

from anyio import create_task_group, current_time, sleep
from behave import then, when

from kingcupdyke.error import OptionError
from kingcupdyke_measure.simulationplan import load_play, read_play
from kingcupdyke_measure.simulationreport import PlayOutcome
from kingcupdyke_measure.simulator import play
from kingcupdyke_measure.virtualtime import run_virtually

SETTINGS = Path(__file__).parents[2] / "settings" / "plays"
#: Seconds of the window in which loads are counted, and loads that a burst may add.
WINDOW_S = 5.0
BURST = 3


@then("play: an hour of timers passes within {limit:g} s, in order")
def check_virtual(context, limit):
    woken = []

    async def job():
        async def wait(seconds):
            await sleep(seconds)
            woken.append((seconds, current_time()))

        async with create_task_group() as tasks:
            for seconds in (3600.0, 0.5, 60.0):
                tasks.start_soon(wait, seconds)

    began_s = monotonic()
    run_virtually(job)
    assert monotonic() - began_s < limit
    assert [each[0] for each in woken] == [0.5, 60.0, 3600.0], woken
    assert all(abs(now_s - seconds) < 0.01 for seconds, now_s in woken), woken


@then("play: two plays of {name} with seed 1 are equal, and one with seed 2 differs")
def check_repeatable(context, name):
    plan = load_play(name)._replace(load_s=6.0, rest_s=12.0)
    first, second, other = (play(plan, seed) for seed in (1, 1, 2))
    assert first == second
    assert first.results != other.results


@when("play: {name} is played with the seeds 1 to {seeds:d}")
def run_plays(context, name, seeds):
    context.plan = load_play(name)
    context.reports = [play(context.plan, seed) for seed in range(1, seeds + 1)]


@then("play: no engine was told to hold more than its memory")
def check_memory(context):
    lines = [line for each in context.reports for line in each.violations]
    assert not [line for line in lines if "overcommitted" in line], lines


@then("play: in no 5 s did more loads from the store begin than their rate allows")
def check_loads(context):
    most = context.plan.loads_per_s * WINDOW_S + BURST
    for report in context.reports:
        for begin_s in report.store_loads_s:
            window = [each for each in report.store_loads_s if 0 <= each - begin_s < WINDOW_S]
            assert len(window) <= most, (begin_s, len(window))


@then("play: each model that was asked for four times or more is served")
def check_models(context):
    for report in context.reports:
        asked = Counter(each.model for each in report.results)
        served = {each.model for each in report.results if each.outcome is PlayOutcome.SERVED}
        missing = {name for name, count in asked.items() if count >= 4} - served
        assert not missing, missing


@then("play: at least {served:g} of the callers are served and {on_time:g} on time")
def check_shares(context, served, on_time):
    count = len(context.reports)
    found = sum(each.share() for each in context.reports) / count
    punctual = sum(each.share(on_time=True) for each in context.reports) / count
    assert found >= served, found
    assert punctual >= on_time, punctual


@then('play: settings with "{change}" are refused by the name "{name}"')
def check_mistake(context, change, name):
    old, new = change.split("=")
    text = (SETTINGS / "shifting.yaml").read_text()
    assert old in text
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "bad.yaml"
        path.write_text(text.replace(old, new, 1))
        try:
            read_play(path)
        except OptionError as error:
            assert name in str(error), error
        else:
            raise AssertionError("not refused")
