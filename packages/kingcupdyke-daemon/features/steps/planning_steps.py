"""
planning_steps
~~~~~~~~~~~~~~

Steps for a planner and an engine that answers its calls over a real socket.
"""

from anyio import create_task_group, current_time, run, sleep
from behave import then, when
from expression import Ok
from forwarder_rig import ForwarderRig, PlainDialect, ScriptedEndpoint

from kingcupdyke.forwarding.configuration import (
    ClientLimits,
    Configuration,
    EngineSpec,
    ModelSpec,
    ServiceSpec,
)
from kingcupdyke.forwarding.endpoint import EndpointReport
from kingcupdyke.forwarding.enginestate import OrderReply
from kingcupdyke.forwarding.leasepromise import LeasePromises
from kingcupdyke.forwarding.peerstate import PeerTable
from kingcupdyke.forwarding.workitem import WorkItem
from kingcupdyke.lease import LeaseMachine
from kingcupdyke_daemon.forwarder.enginecalls import EngineCalls
from kingcupdyke_daemon.forwarder.pinneddemands import PinnedDemands
from kingcupdyke_daemon.forwarder.plannerrunner import PlannerRunner
from kingcupdyke_daemon.taskerrors import TaskErrors
from kingcupdyke_wire.memorystore import MemoryStoreClient

HOST = "n1"
LEASE_S = 3.0
MODELS = {name: ModelSpec(name, 10, 5.0, 1.0, 0.5, 1) for name in ("m1", "m2")}
ENGINE_SPEC = EngineSpec(8, 100_000, 100, 2, 1.0, MODELS)
#: Seconds within which a planner takes the lease and gives its orders.
PLANNING_S = 1.5


class EngineDialect(PlainDialect):
    """Reports of an idle engine without models, and orders without contents."""

    report_path = "/report"
    order_path = "/order"

    def decode_report(self, value):
        return Ok(EndpointReport((), False, 0, 0, 0, (), frozenset(), frozenset()))

    def encode_order(self, order, expected, holder, fence):
        return b"{}"

    def read_order_reply(self, status):
        return OrderReply.REFUSED


class LeavingEngine(ScriptedEndpoint):
    """An engine that says that it leaves in its answers to one kind of call.

    :param method: HTTP method of these calls
    """

    def __init__(self, method):
        super().__init__("e1", "ok")
        self._method = method

    async def do_ok(self, stream, attempt_id):
        says_so = self.requests[-1][0].startswith(self._method)
        await self.answer(stream, attempt_id, extra="x-leaving: 1\r\n" if says_so else "")
        return True

    def list_orders(self):
        return [head for head, _ in self.requests if head.startswith("POST")]


class OnlyCandidate:
    """The candidacy of a gateway without peers."""

    def list_members(self):
        return (HOST,)

    def list_rivals(self):
        return set()

    def list_stopping(self):
        return set()

    def is_candidate(self):
        return True


def make_planner_runner(rig, dialect=None, on_placement=lambda: None):
    configuration = Configuration(
        1, (), (ServiceSpec("service", "/", 10, ENGINE_SPEC),), ClientLimits()
    )
    lease = LeaseMachine("planner", f"{HOST}/1", LEASE_S, 0.8, outlives_outage=False)
    peers = PeerTable()
    rig.dispatcher.configure(configuration.services_by_name)
    dialect = dialect or EngineDialect()
    return PlannerRunner(
        HOST,
        lease,
        MemoryStoreClient(),
        dialect,
        rig.endpoint_table,
        rig.dispatcher,
        peers,
        PinnedDemands(HOST, rig.dispatcher, peers, rig.timer, rig.network.send),
        EngineCalls(
            dialect,
            rig.leaving,
            rig.backoffs,
            rig.memory.unfinished_parts,
            rig.metrics,
            rig.timer.now,
        ),
        LeasePromises(HOST, LEASE_S),
        OnlyCandidate(),
        lambda: configuration,
        rig.timer,
        rig.metrics,
        TaskErrors(rig.metrics.count_task_error),
        on_placement,
    )


def make_item(model):
    now_s = current_time()
    return WorkItem("r1", "service", model, "", (), 9, 9, 1, now_s, now_s, now_s + 60, now_s + 60)


@when('leaving: an engine says so in its answer to a planner\'s "{method}" call')
def plan(context, method):
    engine = LeavingEngine(method)

    async def job():
        async with create_task_group() as tasks:
            rig = ForwarderRig(tasks, [])
            await rig.serve_endpoint(engine)
            runner = make_planner_runner(rig)
            rig.dispatcher.submit(make_item("m1"), frozenset(), current_time())
            tasks.start_soon(runner.run)
            await sleep(PLANNING_S)
            context.entry = rig.endpoint_table.state_by_id["e1"].entry
            context.orders = engine.list_orders()
            rig.metrics.close()
            tasks.cancel_scope.cancel()

    run(job)
    context.expected_orders = 1 if method == "POST" else 0


@then("leaving: it is known to leave, and gets no order after that")
def check_known(context):
    assert context.entry.is_leaving
    assert len(context.orders) == context.expected_orders, context.orders
