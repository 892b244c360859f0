"""
order_steps
~~~~~~~~~~~

Steps for the orders that an engine carries out.
"""

from contextlib import asynccontextmanager

from anyio import create_task_group, current_time, run
from behave import given, then, when

from kingcupdyke.placement import OrderKind
from kingcupdyke_standins.batch import Batcher, Run, RunRequest, Speed
from kingcupdyke_standins.memory import MemoryAccount, Resident
from kingcupdyke_standins.order import EngineOrder, OrderRunner, OrderSettings
from kingcupdyke_standins.server import open_standin
from kingcupdyke_standins.weightcache import LoadTimes, WeightCopyCache
from kingcupdyke_standins.weights import WeightsApp

BYTES_PER_S = 10_000.0
SPEED = Speed(token_ms=1.0, batch_slope_ms=0.0, first_token_ms=0.0, slots=32)


@given("an engine for order with a knee of {knee:d}")
def give_engine(context, knee):
    context.knee = knee
    context.weights = None


@given("an engine for order with a store of {per_s:g} loads a second and full speed {full:d}")
def give_engine_and_store(context, per_s, full):
    context.knee = 10
    context.weights = WeightsApp(per_s, full, BYTES_PER_S)


@asynccontextmanager
async def open_runner(context):
    """Yield a runner over a memory with the model "m"."""
    context.violations = []
    context.memory = MemoryAccount(10**6, context.violations)
    context.memory.models_by_name["m"] = Resident("1", 1)
    context.batcher = Batcher(SPEED)
    if context.weights is None:
        settings = OrderSettings("", context.knee, "")
        yield OrderRunner(settings, context.memory, context.batcher, context.violations)
        return
    async with open_standin(context.weights) as address:
        settings = OrderSettings("", context.knee, f"http://{address}")
        yield OrderRunner(settings, context.memory, context.batcher, context.violations)


async def give_all(runner, orders):
    """:return: seconds that each order took"""
    seconds = []

    async def give(order):
        began_s = current_time()
        record = runner.start(order, tasks)
        await record.wait_end()
        assert record.state == "done", record.reason
        seconds.append(current_time() - began_s)

    async with create_task_group() as tasks:
        for order in orders:
            tasks.start_soon(give, order)
    return seconds


def make_order(kind, number, model="m", adapter="", size=1):
    """:return: an order"""
    return EngineOrder(f"o{number}", 1, kind, model, adapter, "1", "", size, 10.0)


def run_orders(context, orders, requests=()):
    """Give all orders at once, beside requests that run."""

    async def main():
        async with open_runner(context) as runner:
            for request in requests:
                context.batcher.submit(Run(request, first_token_s=0.0))
            context.seconds = await give_all(runner, orders)

    run(main)


@when("order loads {count:d} adapters at once")
def load_adapters(context, count):
    orders = [make_order(OrderKind.LOAD_ADAPTER, n, adapter=f"a{n}") for n in range(count)]
    run_orders(context, orders)


@when("order loads {count:d} models of {size:d} bytes at once")
def load_models(context, count, size):
    orders = [make_order(OrderKind.LOAD, n, model=f"n{n}", size=size) for n in range(count)]
    run_orders(context, orders)


@when('order is to {kind:w} while {running:d} requests of the adapter "a" run')
def unload(context, kind, running):
    requests = [RunRequest(f"r{n}", "m", "a", "prompt", 100, 0, False) for n in range(running)]
    order = make_order(kind, 0, adapter="a" if "adapter" in kind else "")
    run_orders(context, [order], requests)


@then("order has taken at least {first_s:g} s for the first and {last_s:g} s for the last")
def check_seconds(context, first_s, last_s):
    assert min(context.seconds) >= first_s, context.seconds
    assert max(context.seconds) >= last_s, context.seconds


@then("order has noted {count:d} violations")
def check_violations(context, count):
    assert len(context.violations) == count, context.violations


@then("order has loaded {models:d} models with as many fetches in at least {least_s:g} s")
def check_models(context, models, least_s):
    assert len(context.memory.models_by_name) == models + 1
    assert len(context.weights.fetches) == models
    assert max(context.seconds) >= least_s, context.seconds


def make_shelf():
    times = {name: LoadTimes(0.3, 0.1, 0.02) for name in "abc"}
    return WeightCopyCache(times, dict.fromkeys("abc", 10), disk_bytes=20, memory_bytes=10)


@when(
    'order loads the models "{models}", one after the other, with copies kept on disk for 2 and '
    "in memory for 1"
)
def load_copies(context, models):
    context.shelf = make_shelf()

    async def main():
        context.seconds = []
        for number, model in enumerate(models.split()):
            began_s = current_time()
            reason = await context.shelf.fetch(make_order(OrderKind.LOAD, number, model), "")
            assert reason == "", reason
            context.seconds.append(current_time() - began_s)

    run(main)


@then(
    'order has taken about "{seconds}" s for them and has begun {fetches:d} fetches from the store'
)
def check_copies(context, seconds, fetches):
    wanted = [float(each) for each in seconds.split()]
    pairs = list(zip(context.seconds, wanted, strict=True))
    assert all(least <= found for found, least in pairs), pairs
    # A load that takes the next slower source's time came from there.
    assert all(found < 3 * least for found, least in pairs), pairs
    assert len(context.shelf.store_loads_s) == fetches, context.shelf.store_loads_s


@then('order fails to load the model "{model}" with copies, as the weight store has none')
def check_unknown(context, model):
    reason = run(make_shelf().fetch, make_order(OrderKind.LOAD, 1, model), "")
    assert model in reason, reason
