"""
lostanswers_steps
~~~~~~~~~~~~~~~~~

Steps for a store that is silent to some gateways for a time, in which its answers are lost.
"""

from anyio import create_task_group, current_time, fail_after, sleep
from behave import then, when
from expression import Error
from forwarder_steps import describe
from process_steps import JsonDialect, Site, capture
from storewatcher_steps import CountingStore

from kingcupdyke.error import Failure, Outcome, Step

#: Seconds after which an answer that does not come is given up, beyond those of a watch.
CALL_TIMEOUT_S = 0.7
#: Seconds after which gateways know each other.
SETTLE_S = 1.5
#: Seconds from the beginning of the silence to the change.
CHANGE_AFTER_S = 0.05
LONGEST_S = 20.0
POLL_INTERVAL_S = 0.05
MISSED = "may have been missed"


class SilentStore(CountingStore):
    """A store whose answers are lost while it is silent."""

    is_silent = False

    async def watch(self, kind, position, timeout_s):
        began_s = current_time()
        answer = await super().watch(kind, position, timeout_s)
        if not self.is_silent:
            return answer
        await sleep(began_s + timeout_s + CALL_TIMEOUT_S - current_time())
        return lose("watch")

    async def list(self, kind, prefix=""):
        return await self._answer_or_lose(super().list(kind, prefix))

    async def get(self, kind, name):
        return await self._answer_or_lose(super().get(kind, name))

    async def put(self, kind, name, value, if_version):
        return await self._answer_or_lose(super().put(kind, name, value, if_version))

    async def _answer_or_lose(self, call):
        answer = await call
        if not self.is_silent:
            return answer
        await sleep(CALL_TIMEOUT_S)
        return lose("call")


def lose(call):
    return Error(Failure(Outcome.UNKNOWN, Step.STORE, "store", f"no answer to a {call}"))


async def start_sites(tasks, count):
    first = SilentStore()
    stores = [first, *(SilentStore(first) for _ in range(count - 1))]
    sites = [Site(tasks, f"entry-{n}", store) for n, store in enumerate(stores)]
    await sites[0].configure(1)
    await sites[0].add("e1")
    for site in sites:
        await site.start()
    await sleep(SETTLE_S)
    return sites


async def replace_endpoint(sites):
    await sites[0].add("e2")
    await sites[0].list("e1", True)


async def follow_endpoint(context, sites):
    while [describe(await each.ask()) for each in sites] != ["200 e2"] * len(sites):
        await sleep(POLL_INTERVAL_S)


async def follow_configuration(context, sites):
    while context.log_records.count("configuration 2 is in force") < len(sites):
        await sleep(POLL_INTERVAL_S)


CHANGES = {
    "the configuration changes": (lambda sites: sites[0].configure(2), follow_configuration),
    "an endpoint is replaced": (replace_endpoint, follow_endpoint),
}


@when(
    "lostanswers: the store is silent to {silent:d} of {count:d} gateways for {silent_s:g} s, and "
    "{change} in it"
)
def lose_answers(context, silent, count, silent_s, change):
    make_change, follow = CHANGES[change]

    async def be_silent(stores):
        for each in stores:
            each.is_silent = True
        await sleep(silent_s)
        for each in stores:
            each.is_silent = False
        context.silent_until_s = current_time()

    async def job():
        async with create_task_group() as tasks:
            sites = await start_sites(tasks, count)
            tasks.start_soon(be_silent, [each.store for each in sites[:silent]])
            await sleep(min(CHANGE_AFTER_S, silent_s / 2))
            await make_change(sites)
            with fail_after(LONGEST_S):
                await follow(context, sites)
            context.followed_s = current_time()
            await sleep(max(0.0, silent_s))
            tasks.cancel_scope.cancel()

    capture(context, job)


@then("lostanswers: all gateways follow within {limit_s:g} s after the silence")
def check_followed(context, limit_s):
    late_s = context.followed_s - context.silent_until_s
    assert late_s <= limit_s, late_s


@when(
    "lostanswers: {count:d} gateways run for {run_s:g} s, and the configuration changes "
    "{changes:d} times"
)
def run_calmly(context, count, run_s, changes):
    async def job():
        async with create_task_group() as tasks:
            sites = await start_sites(tasks, count)
            for site in sites:
                site.store.watches.clear()
            for number in range(changes):
                await sites[0].configure(2 + number)
                await sleep(run_s / changes)
            kind = JsonDialect.configuration_kind
            context.calls = sum(each.store.watches[kind] for each in sites)
            tasks.cancel_scope.cancel()

    capture(context, job)


@then(
    "lostanswers: all gateways together made at most {limit:d} calls that watch the configuration"
)
def check_calls(context, limit):
    assert context.calls <= limit, context.calls


@then("lostanswers: none of them was repeated because a change was missed")
def check_none_missed(context):
    missed = [each for each in context.log_records if MISSED in each]
    assert not missed, missed
