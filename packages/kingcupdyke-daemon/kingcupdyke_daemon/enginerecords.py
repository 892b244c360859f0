"""
kingcupdyke_daemon.enginerecords
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Fields of the log lines on engines and the planner's calls to them.
"""

from typing import NamedTuple

__all__ = ["EngineRecord", "FaultyAnswerRecord", "OrderRecord"]


class OrderRecord(NamedTuple):
    """Fields of an order that was answered, or whose answer failed to arrive."""

    order: str
    kind: str
    model: str
    adapter: str
    endpoint: str
    #: Number of orders that the engine was expected to have accepted.
    order_count: int
    fence: int
    outcome: str
    reason: str
    #: Milliseconds that the order was expected to take.
    expected_ms: int
    #: Models, and adapters as ``MODEL/ADAPTER``, that the planner took the engine to hold when it
    #: sent the order.
    held: tuple[str, ...]


class EngineRecord(NamedTuple):
    """Fields of an engine whose models or copies have changed, as seen by the planner."""

    endpoint: str
    models: tuple[str, ...]
    #: Models with a copy in host memory, and on the engine's local disk.
    in_memory: tuple[str, ...]
    on_disk: tuple[str, ...]
    #: Sequence number of the heartbeat that reported it.
    heartbeat: int


class FaultyAnswerRecord(NamedTuple):
    """Fields of an engine's answer to the planner that is none."""

    endpoint: str
    #: A value of :class:`kingcupdyke.error.AnswerFault`.
    fault: str
    reason: str
