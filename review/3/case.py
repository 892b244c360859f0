"""
Rule ONE: the store comes back from a copy of a few seconds before, while the planner's lease has
just changed hands in a planned restart.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from model_site import ModelSite  # noqa: E402
from orders import list_order_faults  # noqa: E402
from record import main_guard  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LEASE_TTL_S = 3.0
#: Time for which the store is away in the drill.
AWAY_S = 0.5
#: Number of gateways that are restarted, one after the other.
ROUNDS = 3


async def run():
    site = ModelSite(FOLDER)
    try:
        await site.start()
        site.begin_traffic()
        if await site.wait_order(15.0) is None:
            raise RuntimeError("no order was given")
        for _ in range(ROUNDS):
            await asyncio.sleep(5.0)
            await restart_holder(site)
            await asyncio.sleep(8.0)
            if list_order_faults(site.record_path, LEASE_TTL_S):
                break
    finally:
        site.close()
    faults = list_order_faults(site.record_path, LEASE_TTL_S)
    for each in faults[:20]:
        print(each)
    print(f"{len(faults)} orders break the rule ONE")
    return 1 if faults else 0


async def restart_holder(site):
    """Restart the holder as planned; meanwhile the store comes back from a copy of before."""
    holder = site.list_orders()[-1]["holder"]
    taken = site.store.take_copy()
    gateway = site.gateways[holder]
    gateway.signal(signal.SIGTERM)
    restart = asyncio.create_task(start_again(gateway))
    start_t = site.record.now()
    order = await site.wait_order(
        15.0, lambda each: each["t"] > start_t and each["holder"] != holder
    )
    if order is None:
        raise RuntimeError("the lease was not handed over")
    await asyncio.sleep(0.3)
    if HAS_TROUBLE:
        await site.store.restore(taken, AWAY_S)
    await restart


async def start_again(gateway):
    if not await gateway.wait_end(9.0):
        raise RuntimeError("the gateway did not stop")
    await asyncio.sleep(1.0)
    gateway.start()
    await gateway.wait_ready()


main_guard(run)
