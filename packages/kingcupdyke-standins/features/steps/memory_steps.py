"""
memory_steps
~~~~~~~~~~~~

Steps for the memory accounting of an engine.
"""

from behave import given, then, when

from kingcupdyke_standins.memory import MemoryAccount, Resident


@given(
    'a memory of {capacity:d} bytes with the model "m" of {model:d} bytes '
    "and a role of {role:d} bytes"
)
def create_memory(context, capacity, model, role):
    context.violations = []
    context.memory = MemoryAccount(capacity, context.violations)
    context.memory.models_by_name["m"] = Resident("1", model)
    context.memory.begin_role("first", role)
    context.memory.end_role("first", "mixed", role)


@when('memory starts "{started}" and completes "{completed}"')
@when('memory starts "{started}" and completes ""')
def change_memory(context, started, completed=""):
    for step in started.split():
        order_id, size = step.replace("=", ":").split(":")
        begin = context.memory.begin_role if "=" in step else context.memory.begin_load
        begin(order_id, int(size))
    for step in completed.split():
        order_id, size = step.replace("=", ":").split(":")
        if "=" in step:
            context.memory.end_role(order_id, "decode", int(size))
        else:
            size_bytes = context.memory.end_load(order_id)
            context.memory.models_by_name[order_id] = Resident("1", size_bytes)


@then("memory has used {used:d} bytes and recorded {overcommits:d} overcommits")
def check_memory(context, used, overcommits):
    assert context.memory.used_bytes == used, context.memory.used_bytes
    assert len(context.violations) == overcommits, context.violations
