"""
order_steps
~~~~~~~~~~~

Steps for the orders that an engine executes.
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


@given("an engine for order with a saturation point of {knee:d} adapter loads")
def create_engine(context, knee):
    context.knee = knee
    context.weights = None


@given(
    "an engine for order with a weight store of {per_s:g} loads per second, {full:d} at full speed"
)
def create_engine_and_store(context, per_s, full):
    context.knee = 10
    context.weights = WeightsApp(per_s, full, BYTES_PER_S)


@asynccontextmanager
async def open_runner(context):
    """Yield an order runner of an engine with the resident model "m"."""
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


async def execute_orders(runner, orders):
    """Execute orders concurrently.

    :return: the duration of each order in seconds, in the order of completion
    """
    seconds = []

    async def execute(order):
        started_s = current_time()
        record = runner.start(order, tasks)
        await record.wait_end()
        assert record.state == "done", record.reason
        seconds.append(current_time() - started_s)

    async with create_task_group() as tasks:
        for order in orders:
            tasks.start_soon(execute, order)
    return seconds


def make_order(kind, number, model="m", adapter="", size=1):
    return EngineOrder(f"o{number}", 1, kind, model, adapter, "1", "", size, 10.0)


def run_orders(context, orders, requests=()):
    """Execute orders concurrently while ``requests`` are in the batch."""

    async def main():
        async with open_runner(context) as runner:
            for request in requests:
                context.batcher.submit(Run(request, first_token_s=0.0))
            context.seconds = await execute_orders(runner, orders)

    run(main)


@when("order loads {count:d} adapters concurrently")
def load_adapters(context, count):
    orders = [make_order(OrderKind.LOAD_ADAPTER, n, adapter=f"a{n}") for n in range(count)]
    run_orders(context, orders)


@when("order loads {count:d} models of {size:d} bytes concurrently")
def load_models(context, count, size):
    orders = [make_order(OrderKind.LOAD, n, model=f"n{n}", size=size) for n in range(count)]
    run_orders(context, orders)


@when('order executes {kind:w} while {running:d} requests use the adapter "a"')
def unload(context, kind, running):
    requests = [RunRequest(f"r{n}", "m", "a", "prompt", 100, 0, False) for n in range(running)]
    order = make_order(kind, 0, adapter="a" if "adapter" in kind else "")
    run_orders(context, [order], requests)


@then(
    "order has taken at least {least_s:g} s for the fastest load "
    "and {slowest_s:g} s for the slowest"
)
def check_seconds(context, least_s, slowest_s):
    assert min(context.seconds) >= least_s, context.seconds
    assert max(context.seconds) >= slowest_s, context.seconds


@then("order has recorded {count:d} violations")
def check_violations(context, count):
    assert len(context.violations) == count, context.violations


@then("order has loaded {models:d} models with one fetch each in at least {least_s:g} s")
def check_models(context, models, least_s):
    assert len(context.memory.models_by_name) == models + 1
    assert len(context.weights.fetches) == models
    assert max(context.seconds) >= least_s, context.seconds


def make_copy_cache():
    times = {name: LoadTimes(0.3, 0.1, 0.02) for name in "abc"}
    return WeightCopyCache(times, dict.fromkeys("abc", 10), disk_bytes=20, memory_bytes=10)


@when(
    'order loads the models "{models}" in sequence, with space for 2 copies on disk and 1 in '
    "host memory"
)
def load_copies(context, models):
    context.copy_cache = make_copy_cache()

    async def main():
        context.seconds = []
        for number, model in enumerate(models.split()):
            started_s = current_time()
            reason = await context.copy_cache.fetch(make_order(OrderKind.LOAD, number, model), "")
            assert reason == "", reason
            context.seconds.append(current_time() - started_s)

    run(main)


@then(
    'order has taken about "{seconds}" s for the loads and has started {fetches:d} loads from the '
    "weight store"
)
def check_copies(context, seconds, fetches):
    expected = [float(each) for each in seconds.split()]
    pairs = list(zip(context.seconds, expected, strict=True))
    assert all(expected_s <= actual_s for actual_s, expected_s in pairs), pairs
    # The next slower source takes at least three times as long.
    assert all(actual_s < 3 * expected_s for actual_s, expected_s in pairs), pairs
    assert len(context.copy_cache.store_loads_s) == fetches, context.copy_cache.store_loads_s


@then('order fails to load the model "{model}", which the weight store does not have')
def check_unknown(context, model):
    reason = run(make_copy_cache().fetch, make_order(OrderKind.LOAD, 1, model), "")
    assert model in reason, reason
