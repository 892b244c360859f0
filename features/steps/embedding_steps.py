"""
embedding_steps
~~~~~~~~~~~~~~~

Steps that run the example of docs/EMBEDDING.md and check its output.
"""

import sys
from pathlib import Path
from subprocess import run

from behave import then, when

EXAMPLE = Path(__file__).parents[2] / "examples" / "embedding.py"


@when("the embedding example runs")
def run_example(context):
    context.completed = run(
        [sys.executable, str(EXAMPLE)], capture_output=True, text=True, check=False
    )


@then("the embedding example prints")
def check_output(context):
    assert context.completed.returncode == 0, context.completed.stderr
    assert context.completed.stdout.strip() == context.text.strip(), context.completed.stdout
