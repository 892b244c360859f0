"""The record and the exit status of a case."""

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._path = Path(folder) / "record.txt"
        self._path.write_text("")
        self._start_s = time.monotonic()

    def now(self):
        return time.monotonic() - self._start_s

    def __call__(self, text):
        with self._path.open("a") as file:
            file.write(f"{self.now():8.3f} {text}\n")


def _keep_logs(work, gateways):
    """Copy the gateways' logs if KEEP_LOGS names a path for them."""
    prefix = os.environ.get("KEEP_LOGS")
    for each in gateways if prefix else ():
        text = (Path(work) / f"{each.name}.log").read_bytes()
        Path(f"{prefix}.{each.name}").write_bytes(text)


def run(main, folder):
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder)
    gateways = []

    async def guarded():
        with tempfile.TemporaryDirectory() as work:
            try:
                return await asyncio.wait_for(main(record, work, gateways), 115)
            finally:
                for each in gateways:
                    each.kill()
                _keep_logs(work, gateways)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(guarded())
    except Exception as error:
        record(f"the case couldn't run: {error!r}")
        print(f"couldn't run: {error!r}")
        sys.exit(2)
    finally:
        for each in gateways:
            each.kill()
    record("verdict: " + ("broken" if broken else "held"))
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
