"""
ledger_steps
~~~~~~~~~~~~

Steps for the memory ledger, with a simulated engine that executes every order that it receives.
"""

from behave import then, when
from checks import run_machine
from fake_engine import FakeEngine, FakeStore
from fake_sidecar import FakeSidecar
from ledger_machine import LedgerMachine

from kingcupdyke.ledger import MemoryLedger
from kingcupdyke.placement import Order


class LedgerScript:
    """Runs the events of a scenario on one engine and its sidecars, the last one in charge.

    An event is the name of a method and its arguments; events are separated by semicolons.
    """

    def __init__(self, checks_fence, is_eager=True):
        self.engine = FakeEngine(100, 10, checks_fence, is_eager)
        self.store = FakeStore()
        self.now_s = 0.0
        self.messages = {}
        self.sidecars = []
        self.successor()

    @property
    def ledger(self):
        return self.sidecars[-1].ledger

    def run(self, events):
        for event in events.split(";"):
            name, *arguments = event.split()
            getattr(self, name)(*arguments)
            peak_bytes = self.engine.peak_bytes
            assert peak_bytes <= 100, f"overcommitted: {peak_bytes} bytes after {event}"

    def _prepare(self, sidecar, order_id, kind, name="", size="0"):
        names = ("", name) if "adapter" in kind else (name, "")
        order = Order(order_id, "e", kind, *names, order_bytes=int(size))
        return sidecar.prepare(order, self.now_s)

    def order(self, *words):
        assert self._prepare(self.sidecars[-1], *words), f"refused: {words}"

    def refuse(self, *words):
        assert not self._prepare(self.sidecars[-1], *words), f"accepted: {words}"

    def refuse_stale(self, *words):
        assert not self._prepare(self.sidecars[-2], *words), f"accepted: {words}"
        assert self.sidecars[-2].guard.superseded

    def send(self, order_id):
        self.messages[order_id] = self.sidecars[-1].send(order_id, self.now_s)

    def wake(self, order_id):
        self.messages[order_id] = self.sidecars[-2].send(order_id, self.now_s)

    def lose(self, order_id):
        del self.messages[order_id]

    def arrive(self, order_id):
        self.engine.arrive(self.messages[order_id], self.now_s)

    def end(self, order_id):
        self.engine.end(order_id)

    def fail(self, order_id):
        self.engine.end(order_id, "failed")

    def answer(self, order_id, state=None):
        state = state or self.engine.states[order_id]
        self.ledger.answered(order_id, state, self.now_s)

    def close(self, order_id):
        self.ledger.connection_closed(order_id, self.now_s)

    def complete(self, *words):
        self.order(*words)
        for step in (self.send, self.arrive, self.end, self.answer):
            step(words[0])

    def use_id(self, order_id):
        self.engine.states[order_id] = "done"

    def request_inventory(self):
        self.inventory = self.engine.inventory()

    def receive_inventory(self):
        self.ledger.observe(self.inventory, self.now_s)

    def poll(self):
        self.request_inventory()
        self.receive_inventory()

    def down(self):
        self.store.is_down = True

    def up(self):
        self.store.is_down = False

    def lose_store_answer(self):
        self.store.loses_answers = True

    def wait(self, seconds):
        self.now_s += float(seconds)

    def restart(self):
        self.engine.restart()

    def appear(self, name, size):
        self.engine.held[(True, name, "")] = int(size)

    def leak(self, size):
        self.engine.role_bytes += int(size)

    def vanish(self, name):
        del self.engine.held[(True, name, "")]

    def import_kv(self, request_id, size):
        assert self.ledger.reserve_kv(request_id, int(size)).is_ok()
        self.engine.import_kv(request_id, int(size))

    def refuse_kv(self, request_id, size):
        assert self.ledger.reserve_kv(request_id, int(size)).is_error()

    def end_kv(self, request_id):
        self.engine.kv.pop(request_id, None)
        self.ledger.release_kv(request_id)

    def successor(self):
        sidecar = FakeSidecar(f"s{len(self.sidecars)}", self.engine, self.store)
        assert sidecar.take_over(self.now_s)
        self.sidecars.append(sidecar)

    def refuse_successor(self):
        assert not FakeSidecar("late", self.engine, self.store).take_over(self.now_s)


@when('ledger: "{events}" happens to an engine of 100 bytes with a role of 10 that {kind}')
def run_events(context, events, kind):
    """Run events; a lazy engine takes memory at the end of a load, others at its start."""
    context.script = LedgerScript(kind.startswith("checks"), is_eager="laz" not in kind)
    context.script.run(events)


@then("ledger: {free:d} bytes are free, {pending} is pending and {models} is resident")
def check_ledger(context, free, pending, models):
    ledger = context.script.ledger
    seen = (ledger.free_bytes, ",".join(ledger.pending) or "-", ",".join(sorted(ledger.models)))
    assert seen == (free, pending, models.strip("-")), seen
    assert ledger.used_bytes >= context.script.engine.used_bytes


@then("ledger: the intents of {ended} may be removed, once")
def check_settled(context, ended):
    assert ",".join(context.script.ledger.take_settled_order_ids()) == ended
    assert context.script.ledger.take_settled_order_ids() == []


@then("ledger: {order_id} is pending and no inventory has shown it")
def check_unseen(context, order_id):
    assert context.script.ledger.unseen_order_ids == (order_id,)


@when(
    "ledger: a new one of {capacity:d} bytes, with a margin of {margin:d}, "
    "gets an inventory with {reported:d}"
)
def make_ledger(context, capacity, margin, reported):
    context.ledger = MemoryLedger(capacity, margin)
    order = Order("o", "e", "load", "a", order_bytes=1)
    assert context.ledger.reserve(order, 0.0, 10.0).is_error()
    assert context.ledger.reserve_kv("r", 1).is_error()
    context.ledger.observe(FakeEngine(reported).inventory(), 0.0)


@then("ledger: a load of {fits:d} bytes fits and one of {exceeds:d} does not")
def check_fit(context, fits, exceeds):
    refused = context.ledger.reserve(Order("x", "e", "load", "a", order_bytes=exceeds), 0.0, 10.0)
    assert refused.is_error(), refused
    assert (refused.error.outcome, refused.error.step) == ("not_run", "order")
    reserved = context.ledger.reserve(Order("y", "e", "load", "a", order_bytes=fits), 0.0, 10.0)
    assert reserved.is_ok(), reserved


@then("ledger: no random order of events overcommits the engine")
def check_machine(context):
    run_machine(LedgerMachine)
