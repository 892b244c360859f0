"""
outage_steps
~~~~~~~~~~~~

Steps for gateways during an outage of the store.
"""

import json
import re

from anyio import create_task_group, current_time, fail_after, run, sleep
from behave import given, then, when
from process_steps import Site
from storewatcher_steps import CountingStore

from kingcupdyke_daemon.forwarder.peergossip import PEERS_KIND

REGIONS = {"n1": "north", "s1": "south"}
#: Longest time until the gateways have started and one has taken the lease.
START_TIMEOUT_S = 10.0
SAMPLE_INTERVAL_S = 0.1


@given("outage: {count:d} gateways in two regions, of {listed:d} that the store lists")
def give_gateways(context, count, listed):
    context.count, context.listed = count, listed


async def start_gateways(tasks, count, listed):
    """:return: gateways, among others that are listed and don't exist"""
    first = CountingStore()
    stores = [first, *(CountingStore(first) for _ in range(count - 1))]
    sites = [Site(tasks, f"entry-{number}", store) for number, store in enumerate(stores)]
    for number in range(listed - count):
        fields = {"address": "127.0.0.1", "port": 9, "data_centre": ("n1", "s1")[number % 2]}
        await first.put(PEERS_KIND, f"other-{number}", json.dumps(fields).encode(), 0)
    await sites[0].configure(1)
    await sites[0].add("e1")
    for site, data_centre in zip(sites, ("n1", "s1") * count, strict=False):
        site.settings = site.settings._replace(
            data_centre=data_centre, region_by_data_centre=REGIONS
        )
        await site.start()
    return sites


async def read_proof_age(site):
    """:return: seconds since the proof that a gateway holds the lease, or None if it doesn't"""
    text = (await site.ask("GET /metrics", site.settings.metrics.port)).decode()
    found = re.search(r'belief_age_seconds{.*belief="lease".*} (\S+)', text)
    return float(found[1]) if found else None


async def list_proof_ages(sites):
    ages = [await read_proof_age(each) for each in sites]
    return [each for each in ages if each is not None]


@when("outage: the store is unreachable for {for_s:g} s")
def cut_store(context, for_s):
    async def job():
        async with create_task_group() as tasks:
            sites = await start_gateways(tasks, context.count, context.listed)
            with fail_after(START_TIMEOUT_S):
                while not await list_proof_ages(sites):
                    await sleep(SAMPLE_INTERVAL_S)
            # All gateways have to become members of the lease before the outage.
            await sleep(6.0)
            for site in sites:
                site.store.down = True
            context.samples = []
            until_s = current_time() + for_s
            while current_time() < until_s:
                context.samples.append(await list_proof_ages(sites))
                await sleep(SAMPLE_INTERVAL_S)
            tasks.cancel_scope.cancel()

    run(job)


@then(
    "outage: one gateway holds the lease, and its proof is older than {limit_s:g} s for at most "
    "{for_s:g} s"
)
def check_proofs(context, limit_s, for_s):
    assert all(len(each) == 1 for each in context.samples), context.samples
    old = [age_s for (age_s,) in context.samples if age_s > limit_s]
    assert len(old) * SAMPLE_INTERVAL_S <= for_s, context.samples
