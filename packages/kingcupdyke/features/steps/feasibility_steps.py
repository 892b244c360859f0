"""
feasibility_steps
~~~~~~~~~~~~~~~~~

Steps for the check that all models fit the declared memory.
"""

from behave import given, then

from kingcupdyke.feasibility import find_misfits
from kingcupdyke.rule import AdapterRule, MemoryRule, ModelRule

GB = 10**9


@given("feasibility has the memory {memory} and the models {models}")
def give_models(context, memory, models):
    rows = [each.split() for each in memory.split(";")]
    context.memory = [MemoryRule(name, name, int(hosts), int(gb) * GB) for name, hosts, gb in rows]
    context.adapters = []
    rows = [each.split() for each in models.split(";")]
    context.models = [
        ModelRule(
            name, "1", int(size) * GB - 1, 1, int(replicas), tuple(regions.split(",")), (), "", 1.0
        )
        for name, size, _, replicas, _, regions in rows
    ]


@given('feasibility has adapters of "{model}" with {first:d} and {second:d} GB')
def give_adapters(context, model, first, second):
    context.adapters = [AdapterRule(str(n), model, n * GB, ()) for n in (first, second)]


@then('feasibility finds that "{model}" does not fit and reports "{text}"')
def check_misfit(context, model, text):
    misfits = find_misfits(context.models, context.adapters, context.memory)
    assert [misfit.model for misfit in misfits] == [model], misfits
    assert text in misfits[0].remedy, misfits


@then('feasibility finds that "" does not fit and reports ""')
def check_fit(context):
    misfits = find_misfits(context.models, context.adapters, context.memory)
    assert not misfits, misfits
