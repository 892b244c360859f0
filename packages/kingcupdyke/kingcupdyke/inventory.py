"""
kingcupdyke.inventory
~~~~~~~~~~~~~~~~~~~~~

An engine's report on its memory and its orders.
"""

from typing import NamedTuple

__all__ = ["EngineInventory", "OrderState"]


class OrderState:
    """Names of the states of an order at an engine."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    #: Final states, after which an order has no further effect.
    ENDED = (DONE, FAILED)


class EngineInventory(NamedTuple):
    """The state of an engine's memory at one time, as reported by the engine."""

    #: Changes at each restart of the engine.
    incarnation: str
    role: str
    #: Highest fencing number that the engine has seen.
    fence: int
    capacity_bytes: int
    used_bytes: int
    #: Bytes of each resident model, by name.
    models: dict[str, int]
    #: Bytes of each resident adapter, by name.
    adapters: dict[str, int]
    #: Bytes of imported KV cache, by request.
    kv_bytes: dict[str, int]
    #: State of each order that the engine has started, by order id.
    orders: dict[str, str]
