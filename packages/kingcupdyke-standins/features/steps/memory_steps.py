"""
memory_steps
~~~~~~~~~~~~

Steps for the books of an engine's memory.
"""

from behave import given, then, when

from kingcupdyke_standins.memory import MemoryAccount, Resident


@given('a memory of {capacity:d} bytes with the model "m" of {model:d} and a role of {role:d}')
def give_memory(context, capacity, model, role):
    context.violations = []
    context.memory = MemoryAccount(capacity, context.violations)
    context.memory.models_by_name["m"] = Resident("1", model)
    context.memory.begin_role("first", role)
    context.memory.end_role("first", "mixed", role)


@when('memory begins "{begun}" and ends "{ended}"')
@when('memory begins "{begun}" and ends ""')
def change_memory(context, begun, ended=""):
    for step in begun.split():
        order_id, size = step.replace("=", ":").split(":")
        begin = context.memory.begin_role if "=" in step else context.memory.begin_load
        begin(order_id, int(size))
    for step in ended.split():
        order_id, size = step.replace("=", ":").split(":")
        if "=" in step:
            context.memory.end_role(order_id, "decode", int(size))
        else:
            size_bytes = context.memory.end_load(order_id)
            context.memory.models_by_name[order_id] = Resident("1", size_bytes)


@then("memory has used {used:d} bytes and seen {overcommits:d} overcommits")
def check_memory(context, used, overcommits):
    assert context.memory.used_bytes == used, context.memory.used_bytes
    assert len(context.violations) == overcommits, context.violations
