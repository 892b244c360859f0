"""
kingcupdyke.placements.static
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Placement of only the replicas that the rules require, as a baseline for comparison.
"""

from kingcupdyke.placements.planner import Planner

__all__ = ["StaticPlacement"]


class StaticPlacement(Planner):
    """Keeps the replicas and adapters that the rules require, and ignores demand."""

    name = "static"
