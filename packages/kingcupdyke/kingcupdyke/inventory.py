"""
kingcupdyke.inventory
~~~~~~~~~~~~~~~~~~~~~

What an engine reports of its own memory.
"""

from typing import NamedTuple

__all__ = ["EngineInventory", "OrderState"]


class OrderState:
    """Names of the states of an order at an engine."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    #: The states after which an order takes no further effect.
    ENDED = (DONE, FAILED)


class EngineInventory(NamedTuple):
    """One reading of an engine's inventory."""

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
    kv_bytes: dict[str, int]
    #: State of each order that the engine has begun, by order id.
    orders: dict[str, str]
