"""
embedding_steps
~~~~~~~~~~~~~~~

Steps that run the example of docs/EMBEDDING.md.
"""

import sys
from pathlib import Path
from subprocess import run

from behave import then, when

EXAMPLE = Path(__file__).parents[2] / "examples" / "embedding.py"


@when("the embedding example runs")
def run_example(context):
    context.done = run([sys.executable, str(EXAMPLE)], capture_output=True, text=True, check=False)


@then("the embedding example prints")
def check_output(context):
    assert context.done.returncode == 0, context.done.stderr
    assert context.done.stdout.strip() == context.text.strip(), context.done.stdout
