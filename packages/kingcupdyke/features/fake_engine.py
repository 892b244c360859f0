"""
fake_engine
~~~~~~~~~~~

A simulated model engine with its actual memory use, and a store with conditional updates.
"""

from typing import NamedTuple

from kingcupdyke.intent import Intent
from kingcupdyke.inventory import EngineInventory
from kingcupdyke.placement import Order, OrderKind

UNLOADS = (OrderKind.UNLOAD, OrderKind.UNLOAD_ADAPTER)


class FakeStore:
    """Versioned values by name, with conditional updates."""

    def __init__(self):
        self.objects = {}
        self.is_down = False
        self.loses_answers = False

    def get(self, name):
        return self.objects.get(name, (None, 0))

    def put(self, name, value, if_version):
        """Write a value if the version matches.

        :return: the outcome ("written", "conflict", "unknown" or "down"), value and version
        """
        if self.is_down:
            return "down", None, 0
        current, version = self.get(name)
        if version != if_version:
            return "conflict", current, version
        self.objects[name] = (value, version + 1)
        if self.loses_answers:
            self.loses_answers = False
            return "unknown", None, 0
        return "written", value, version + 1


class Message(NamedTuple):
    """An order in flight, on a connection to one incarnation of the engine."""

    order: Order
    fence: int
    sent_s: float
    lifetime_s: float
    incarnation: str


class FakeEngine:
    """Executes every valid order, even beyond its capacity, and records its peak memory use.

    :param capacity_bytes: accelerator memory
    :param role_bytes: working memory of the initial role
    :param checks_fence: whether orders with old fencing numbers are rejected
    :param is_eager: whether a load takes its memory at its start rather than at its end
    """

    def __init__(self, capacity_bytes, role_bytes=10, checks_fence=False, is_eager=True):
        self.capacity_bytes = capacity_bytes
        self.checks_fence = checks_fence
        self.is_eager = is_eager
        self.first_role_bytes = role_bytes
        self.start_count = 0
        self.peak_bytes = 0
        self.restart()

    def restart(self):
        self.start_count += 1
        self.incarnation = f"engine-{self.start_count}"
        self.fence = 0
        self.role_bytes = self.first_role_bytes
        self.held = {}
        self.kv = {}
        self.running = {}
        self.states = {}

    @property
    def used_bytes(self):
        taken = sum(self.held.values()) + sum(self.kv.values()) + self.role_bytes
        return taken + (sum(map(self.get_extra, self.running.values())) if self.is_eager else 0)

    def get_extra(self, order):
        if order.kind in UNLOADS:
            return 0
        if order.kind == OrderKind.ROLE:
            return max(0, order.order_bytes - self.role_bytes)
        return order.order_bytes

    def arrive(self, message, now_s):
        """Receive an order.

        :return: the order's state, "late" or "fenced"; None if the connection was to an earlier
            incarnation
        """
        if message.incarnation != self.incarnation:
            return None
        if now_s - message.sent_s >= message.lifetime_s:
            return "late"
        if self.checks_fence and message.fence < self.fence:
            return "fenced"
        self.fence = max(self.fence, message.fence)
        order_id = message.order.order_id
        if order_id not in self.states:
            self.states[order_id] = "running"
            self.running[order_id] = message.order
            self.update_peak()
        return self.states[order_id]

    def end(self, order_id, state="done"):
        order = self.running.pop(order_id)
        self.states[order_id] = state
        key = (order.kind in (OrderKind.LOAD, OrderKind.UNLOAD), order.model, order.adapter)
        if state == "done" and order.kind in UNLOADS:
            self.held.pop(key, None)
        elif state == "done" and order.kind == OrderKind.ROLE:
            self.role_bytes = order.order_bytes
        elif state == "done":
            # The older version is unloaded only after the newer one is loaded.
            self.peak_bytes = max(self.peak_bytes, self.used_bytes + order.order_bytes)
            self.held[key] = order.order_bytes
        self.update_peak()

    def import_kv(self, request_id, size_bytes):
        self.kv[request_id] = size_bytes
        self.update_peak()

    def update_peak(self):
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def inventory(self):
        models = {name: size for (is_model, name, _), size in self.held.items() if is_model}
        adapters = {name: size for (is_model, _, name), size in self.held.items() if not is_model}
        totals = (self.incarnation, "", self.fence, self.capacity_bytes, self.used_bytes)
        return EngineInventory(*totals, models, adapters, dict(self.kv), dict(self.states))


def make_intent(order, fence, now_s, lifetime_s):
    """:return: the intent that a sidecar records for an order"""
    fields = (order.order_id, order.kind, order.model, order.adapter, order.order_bytes)
    return Intent(*fields, fence, now_s, lifetime_s)
