"""
kingcupdyke.placements.static
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Placing only what the rules need at least, to compare with.
"""

from kingcupdyke.placements.planner import Planner

__all__ = ["StaticPlacement"]


class StaticPlacement(Planner):
    """Keeps the replicas and adapters that the rules name and ignores demand."""

    name = "static"
