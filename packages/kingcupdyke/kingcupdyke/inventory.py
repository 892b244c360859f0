"""
kingcupdyke.inventory
~~~~~~~~~~~~~~~~~~~~~

What an engine says is in its memory.
"""

from typing import NamedTuple

__all__ = ["EngineInventory"]


class EngineInventory(NamedTuple):
    """The state of an engine, from its own books."""

    #: Changes whenever the engine restarts.
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
    #: Bytes of KV cache that was imported or stays for exports, by name.
    kv_bytes: dict[str, int]
    #: "running", "done" or "failed", by order id.
    orders: dict[str, str]
