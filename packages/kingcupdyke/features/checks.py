"""
checks
~~~~~~

State machines and refused options, as several features check them.
"""

import os

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from kingcupdyke.error import OptionError

__all__ = ["FIXED", "find_wrong_option", "run_machine"]

EXAMPLES = int(os.environ.get("KINGCUPDYKE_FUZZ_EXAMPLES", "60"))
#: The same examples in each run, however long one takes.
FIXED = settings(max_examples=EXAMPLES, derandomize=True, database=None, deadline=None)


def run_machine(machine, steps=50, suppressed=tuple(HealthCheck)):
    """Run a state machine through the same examples each time."""
    chosen = settings(FIXED, stateful_step_count=steps, suppress_health_check=suppressed)
    run_state_machine_as_test(machine, settings=chosen)


def find_wrong_option(call, *arguments, **options):
    """:return: the option that the call refuses; None when it is carried out"""
    try:
        call(*arguments, **options)
    except OptionError as error:
        return error.option
    return None
