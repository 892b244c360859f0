"""
cmdline_steps
~~~~~~~~~~~~~

Steps for the tool's command line.
"""

import sys
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import then, when

from kingcupdyke_tool.cmdline import main

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
#: Settings with an address at which nothing listens.
SETTINGS = "store: http://127.0.0.1:1\nhosts: http://127.0.0.1:1\n"


@when("cmdline runs {words}")
def run_words(context, words):
    with TemporaryDirectory() as folder:
        Path(folder, "BROKEN").write_text("- {caller: a}  # Jana\n")
        Path(folder, "SETTINGS").write_text(SETTINGS)
        words = words.replace("EXAMPLES", str(EXAMPLES))
        arguments = [
            f"{folder}/{word}" if word in ("BROKEN", "SETTINGS") else word for word in words.split()
        ]
        context.streams = {"stdout": StringIO(), "stderr": StringIO()}
        with redirect_stdout(context.streams["stdout"]), redirect_stderr(context.streams["stderr"]):
            try:
                context.code = main(arguments)
            except SystemExit as stop:
                context.code = stop.code or 0
    assert sys.stdout is not context.streams["stdout"]


@then('cmdline exits with {code:d} and prints "{text}" on {stream}')
def check_exit(context, code, text, stream):
    texts = {name: buffer.getvalue() for name, buffer in context.streams.items()}
    assert context.code == code, (context.code, texts)
    assert text in " ".join(texts[stream].split()), texts
