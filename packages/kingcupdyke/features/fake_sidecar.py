"""
fake_sidecar
~~~~~~~~~~~~

A simulated sidecar that performs the takeover and sends orders in the real sequence, without I/O.
"""

from fake_engine import Message, make_intent

from kingcupdyke.error import Step
from kingcupdyke.fence import (
    EndpointGuard,
    EndpointRecord,
    RaiseFence,
    ReadEndpoint,
    ReadInventory,
    Ready,
    TakeoverMachine,
    WriteEndpoint,
)
from kingcupdyke.ledger import MemoryLedger
from kingcupdyke.placement import Order

#: Seconds after which the engine drops an order.
LIFETIME_S = 10
#: Inventories after which a takeover that waits for a running order gives up.
MAX_INVENTORIES = 3


class FakeSidecar:
    """Takes the endpoint over, then prepares and sends orders as separate steps.

    :param incarnation: name of this start
    :param engine: the engine that it controls
    :param store: the platform's store
    """

    def __init__(self, incarnation, engine, store, margin_bytes=0):
        self.incarnation = incarnation
        self.engine = engine
        self.store = store
        self.ledger = MemoryLedger(engine.capacity_bytes, margin_bytes)
        self.guard = EndpointGuard(incarnation)
        self.fence = 0
        self.version = 0
        #: Orders that were reserved and recorded but not sent yet.
        self.prepared = {}
        self.intents = {}

    @property
    def is_ready(self):
        return self.fence > 0 and not self.guard.superseded

    def take_over(self, now_s):
        """Take the endpoint over and initialise the ledger.

        :return: whether the takeover is complete
        """
        machine = TakeoverMachine("e", self.incarnation, self.engine.checks_fence)
        command = machine.start()
        inventories = 0
        while not isinstance(command, Ready):
            if isinstance(command, ReadInventory):
                inventories += 1
                if inventories > MAX_INVENTORIES:
                    return False
                inventory = self.engine.inventory()
                command = machine.inventory_read(inventory)
            else:
                command = self._execute(machine, command, now_s)
        self.fence, self.version = command.fence, machine.version
        self.intents = {each.order_id: each for each in command.intents}
        self.ledger.adopt(inventory, command.intents, now_s)
        return True

    def _execute(self, machine, command, now_s):
        if isinstance(command, ReadEndpoint):
            return machine.endpoint_read(*self.store.get("e"))
        if isinstance(command, RaiseFence):
            order = Order(f"fence-{command.fence}", "e", "unload", "")
            message = Message(order, command.fence, now_s, 1, self.engine.incarnation)
            if self.engine.arrive(message, now_s) == "running":
                self.engine.end(order.order_id)
            return machine.fence_raised()
        assert isinstance(command, WriteEndpoint)
        outcome, value, version = self.store.put("e", command.value, command.if_version)
        if outcome == "written":
            return machine.endpoint_written(version)
        if outcome == "conflict":
            return machine.endpoint_conflict(value, version)
        assert outcome == "unknown"
        return machine.endpoint_unknown()

    def prepare(self, order, now_s):
        """Reserve an order and record its intent.

        :return: whether it may be sent
        """
        if not self.is_ready or self.guard.check(Step.ORDER).is_error():
            return False
        is_open = order.order_id in self.ledger.pending
        if self.ledger.reserve(order, now_s, LIFETIME_S).is_error():
            return False
        for order_id in self.ledger.take_settled_order_ids():
            self.intents.pop(order_id, None)
        self.intents[order.order_id] = make_intent(order, self.fence, now_s, LIFETIME_S)
        if not self._record():
            if not is_open:
                self.ledger.answered(order.order_id, "failed", now_s)
            return False
        self.prepared[order.order_id] = order
        return True

    def _record(self):
        """Write the intents to the store.

        :return: whether an order may be sent: its intent is stored, or the store is unavailable
            and the engine checks fencing numbers
        """
        record = EndpointRecord("e", self.incarnation, self.fence, tuple(self.intents.values()))
        outcome, value, version = self.store.put("e", record, self.version)
        if outcome == "conflict" and not self.guard.endpoint_conflict(value, version):
            outcome, value, version = self.store.put("e", record, version)
        if outcome == "written":
            self.version = version
            return True
        return self.engine.checks_fence and outcome != "conflict"

    def send(self, order_id, now_s):
        """:return: the message of a prepared order, possibly long after it was prepared"""
        order = self.prepared.pop(order_id)
        return Message(order, self.fence, now_s, LIFETIME_S, self.engine.incarnation)
