"""
load_steps
~~~~~~~~~~

Steps for the load that a sidecar reports.
"""

from types import SimpleNamespace

from behave import given, then

from kingcupdyke_daemon.sidecar.health import BackendHealth
from kingcupdyke_daemon.sidecar.service import EndpointState
from kingcupdyke_wire.engine import EngineLoad


@given("a load with {attempts:d} attempts at an engine that last reported {waiting:d} waiting")
def give_engine(context, attempts, waiting):
    give_service(context, attempts)
    fields = dict.fromkeys(EngineLoad._fields, 0) | {"waiting": waiting}
    context.state.engine_load = EngineLoad(**fields)


@given("a load with {attempts:d} attempts and no engine")
def give_service(context, attempts):
    table = SimpleNamespace(running=attempts)
    context.state = EndpointState(
        None, "one", table, None, BackendHealth("", {}), lambda: 1, lambda: False
    )


@then("the load reports {running:d} running and {waiting:d} waiting")
def check_load(context, running, waiting):
    load = context.state.make_load()
    assert (load.running, load.waiting) == (running, waiting), load
