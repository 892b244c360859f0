"""
crowd_backend
~~~~~~~~~~~~~

The store and the endpoints of a forwarding gateway, in a process of their own.

Usage:
    crowd_backend.py   prints the port of the store
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "review"))

from model_site import make_configuration  # noqa: E402
from store import Store  # noqa: E402
from worker import Worker  # noqa: E402

ENDPOINTS = 2
SLOTS = 64


class NoRecord:
    """Records nothing."""

    def write(self, what, **fields):
        """Drop a line."""


async def main():
    """Serve until the process is killed."""
    record = NoRecord()
    store = Store(record)
    port = await store.start()
    store.write("config", "main", make_configuration())
    for number in range(ENDPOINTS):
        await Worker(record, store, f"i-app{number}", "app", "praha-a", SLOTS).start()
    print(port, flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
