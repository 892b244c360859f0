"""
checks
~~~~~~

Helpers to run state machines and to find refused options, for the steps of several features.
"""

import os

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from kingcupdyke.error import OptionError

__all__ = ["DETERMINISTIC", "find_wrong_option", "run_machine"]

MAX_EXAMPLES = int(os.environ.get("KINGCUPDYKE_FUZZ_EXAMPLES", "60"))
#: Hypothesis settings that give the same examples in each run, without a time limit.
DETERMINISTIC = settings(max_examples=MAX_EXAMPLES, derandomize=True, database=None, deadline=None)


def run_machine(machine, steps=50, suppressed=tuple(HealthCheck)):
    """Run a Hypothesis state machine with the same examples in each run."""
    chosen = settings(DETERMINISTIC, stateful_step_count=steps, suppress_health_check=suppressed)
    run_state_machine_as_test(machine, settings=chosen)


def find_wrong_option(call, *arguments, **options):
    """:return: the name of the option that the call refuses, or None if it succeeds"""
    try:
        call(*arguments, **options)
    except OptionError as error:
        return error.option
    return None
