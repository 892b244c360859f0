"""
The record of a case, and its exit status.
"""

import asyncio
import json
import sys
import time


class Record:
    """Writes one line of JSON for each thing that was sent, answered or run."""

    def __init__(self, path):
        self._path = path
        with open(path, "w", encoding="utf-8"):
            pass
        self._start_s = time.monotonic()

    def now(self):
        return round(time.monotonic() - self._start_s, 4)

    def write(self, what, **fields):
        line = json.dumps({"t": self.now(), "what": what, **fields}) + "\n"
        with open(self._path, "a", encoding="utf-8") as file:
            file.write(line)


def main_guard(run):
    """Run a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    try:
        sys.exit(asyncio.run(run()))
    except Exception as error:  # The case could not be run.
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
