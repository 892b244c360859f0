"""
waitingcosts_steps
~~~~~~~~~~~~~~~~~~

Steps for what decisions on waiting requests cost.
"""

from unittest.mock import patch

from behave import given, then, when
from dispatcher_steps import DispatcherScript
from forwarding_builders import make_engine_spec, make_entry, make_held, make_item

from kingcupdyke.forwarding.decision import Wait
from kingcupdyke.forwarding.endpointtable import EndpointTable

#: Prompt tokens that fill an engine's backlog.
BACKLOG_TOKENS = 100_000


@given(
    "waitingcosts: {endpoints:d} engines, all full, and {count:d} requests that wait for "
    "{models:d} models"
)
def fill(context, endpoints, count, models):
    names = [f"m{number}" for number in range(1, models + 1)]
    script = context.script = DispatcherScript(make_engine_spec([10] * models))
    context.endpoints = endpoints
    for number in range(endpoints):
        held = make_held(names[number % models])
        script.endpoint_table.put(make_entry(f"e{number}", models=held))
    for state in script.endpoint_table.state_by_id.values():
        state.note_sent("other", BACKLOG_TOKENS, 0.0)
    for number in range(count):
        item = make_item(f"r{number}", model=names[number % models], deadline_s=1000.0)
        decision = script.dispatcher.submit(item._replace(first_by_s=1000.0), frozenset(), 0.0)
        assert isinstance(decision, Wait), decision


@when("waitingcosts: the dispatcher is polled")
def poll(context):
    has_replica = EndpointTable.has_replica
    with patch.object(EndpointTable, "has_replica", autospec=True, side_effect=has_replica) as spy:
        assert context.script.dispatcher.poll(0.1) == {}
    context.lookups = spy.call_count


@then("waitingcosts: it has looked up {times:d} times at most which endpoint holds a model")
def check_lookups(context, times):
    assert 0 < context.lookups <= times * context.endpoints, context.lookups
