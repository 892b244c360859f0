"""
ledger_machine
~~~~~~~~~~~~~~

Random tests of the ledger: orders, faults, restarts and takeovers, checked on actual memory use.
"""

from fake_engine import FakeEngine, FakeStore
from fake_sidecar import FakeSidecar
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from kingcupdyke.placement import Order

CAPACITY_BYTES = 100
KINDS = ("load", "load", "load", "unload", "load_adapter", "unload_adapter", "role")
INDEXES = st.integers(0, 1000)


def pick(items, index):
    """:return: one item, chosen by an index of any size"""
    return items[index % len(items)]


class LedgerMachine(RuleBasedStateMachine):
    """One engine, the sidecar in charge, and earlier sidecars that may only be paused."""

    @initialize(checks_fence=st.booleans(), is_eager=st.booleans())
    def begin(self, checks_fence, is_eager):
        self.now_s = 0.0
        self.engine = FakeEngine(CAPACITY_BYTES, 10, checks_fence, is_eager)
        self.store = FakeStore()
        self.orders = []
        #: Messages in flight, each with its sender.
        self.messages = []
        #: Answers in flight, each with its receiver, order id, state and the engine's incarnation.
        self.answers = []
        #: Inventory in flight, or None.
        self.inventory = None
        #: Whether a sidecar has used the id of an earlier sidecar's order itself.
        self.has_used_id = False
        self.sidecars = [FakeSidecar("s0", self.engine, self.store)]
        assert self.sidecars[0].take_over(0.0)

    @property
    def sidecar(self):
        return self.sidecars[-1]

    @rule(kind=st.sampled_from(KINDS), name=st.sampled_from("abc"), size=st.integers(5, 45))
    def order(self, kind, name, size):
        adapter = name if "adapter" in kind else ""
        size = 0 if "unload" in kind else size
        order_id = f"o{len(self.orders)}"
        order = Order(order_id, "e", kind, "" if kind == "role" else name, adapter, "", "", size)
        self.orders.append(order)
        self.sidecar.prepare(order, self.now_s)

    @precondition(lambda self: self.orders)
    @rule(index=INDEXES)
    def resend_order(self, index):
        self.sidecar.prepare(pick(self.orders, index), self.now_s)

    @precondition(lambda self: any(each.prepared for each in self.sidecars))
    @rule(index=INDEXES)
    def send(self, index):
        sender = pick([each for each in self.sidecars if each.prepared], index)
        order_id = pick(list(sender.prepared), index)
        self.messages.append((sender, sender.send(order_id, self.now_s)))

    @precondition(lambda self: self.messages)
    @rule(index=INDEXES, is_kept=st.booleans())
    def arrive(self, index, is_kept):
        sender, message = pick(self.messages, index)
        if not is_kept:
            self.messages.remove((sender, message))
        state = self.engine.arrive(message, self.now_s)
        if state in ("done", "failed"):
            self.answers.append((sender, message.order.order_id, state, self.engine.incarnation))

    @precondition(lambda self: self.messages)
    @rule(index=INDEXES)
    def lose(self, index):
        self.messages.remove(pick(self.messages, index))

    @precondition(lambda self: self.engine.running)
    @rule(index=INDEXES, state=st.sampled_from(("done", "done", "failed")))
    def end(self, index, state):
        order_id = pick(list(self.engine.running), index)
        self.engine.end(order_id, state)
        for sender in self.sidecars:
            self.answers.append((sender, order_id, state, self.engine.incarnation))

    @precondition(lambda self: self.answers)
    @rule(index=INDEXES)
    def answer(self, index):
        given = pick(self.answers, index)
        self.answers.remove(given)
        sender, order_id, state, incarnation = given
        # Connections to an earlier incarnation of the engine carry no answers.
        if sender is self.sidecar and incarnation == self.engine.incarnation:
            opened = [each.order.order_id for _, each in self.messages if _ is sender]
            if order_id not in sender.prepared and order_id not in opened:
                sender.ledger.answered(order_id, state, self.now_s)

    @precondition(lambda self: self.sidecar.ledger.pending)
    @rule(index=INDEXES)
    def close(self, index):
        order_id = pick(self.sidecar.ledger.pending, index)
        if order_id not in self.sidecar.prepared:
            self.answers = [each for each in self.answers if each[1] != order_id]
            self.sidecar.ledger.connection_closed(order_id, self.now_s)

    @precondition(lambda self: self.sidecar.ledger.unseen_order_ids)
    @rule(index=INDEXES)
    def use_unseen_id(self, index):
        """The sidecar uses the id of an earlier sidecar's order, so that it cannot run any more.

        This holds only until the engine restarts, so there is no restart after it.
        """
        order_id = pick(self.sidecar.ledger.unseen_order_ids, index)
        self.has_used_id = True
        state = self.engine.states.setdefault(order_id, "done")
        if state in ("done", "failed"):
            self.sidecar.ledger.answered(order_id, state, self.now_s)

    @rule()
    def ask_inventory(self):
        if self.inventory is None:
            self.inventory = self.engine.inventory()

    @precondition(lambda self: self.inventory is not None and self.sidecar.fence)
    @rule()
    def read_inventory(self):
        self.sidecar.ledger.observe(self.inventory, self.now_s)
        self.inventory = None

    @precondition(lambda self: self.sidecar.is_ready)
    @rule(count=st.integers(2, 3), wait_s=st.integers(0, 12))
    def poll(self, count, wait_s):
        self.now_s += wait_s
        self.inventory = None
        for _ in range(count):
            self.sidecar.ledger.observe(self.engine.inventory(), self.now_s)

    @rule(seconds=st.integers(1, 12))
    def wait(self, seconds):
        self.now_s += seconds

    @precondition(lambda self: not self.has_used_id)
    @rule()
    def restart_engine(self):
        self.engine.restart()

    @rule()
    def begin_sidecar(self):
        successor = FakeSidecar(f"s{len(self.sidecars)}", self.engine, self.store)
        if successor.take_over(self.now_s):
            self.sidecars.append(successor)
            self.inventory = None

    @rule()
    def lose_store_answer(self):
        self.store.loses_answers = True

    @rule(request=st.sampled_from("xyz"), size=st.integers(1, 30))
    def import_kv(self, request, size):
        ledger = self.sidecar.ledger
        if request not in self.engine.kv and ledger.reserve_kv(request, size).is_ok():
            self.engine.import_kv(request, size)

    @rule(request=st.sampled_from("xyz"))
    def end_kv(self, request):
        self.engine.kv.pop(request, None)
        self.sidecar.ledger.release_kv(request)

    @invariant()
    def memory_is_never_overcommitted(self):
        assert self.engine.peak_bytes <= CAPACITY_BYTES, self.engine.peak_bytes

    @invariant()
    def ledger_is_an_upper_bound(self):
        used_bytes, true_bytes = self.sidecar.ledger.used_bytes, self.engine.used_bytes
        assert used_bytes >= true_bytes, (used_bytes, true_bytes)
