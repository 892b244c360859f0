"""
kingcupdyke
~~~~~~~~~~~

Decision logic of a serving system for many models, without any input or output.
"""

from kingcupdyke.check import check_rules
from kingcupdyke.placements import get_placement
from kingcupdyke.prefix import hash_prefixes
from kingcupdyke.routers import get_router
from kingcupdyke.util import rank_rendezvous

__all__ = ["check_rules", "get_placement", "get_router", "hash_prefixes", "rank_rendezvous"]
