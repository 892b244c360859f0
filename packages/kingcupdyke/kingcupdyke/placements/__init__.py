"""
kingcupdyke.placements
~~~~~~~~~~~~~~~~~~~~~~

Placement policies, and their lookup by the name that settings use.
"""

from kingcupdyke.placement import PlacementPolicy
from kingcupdyke.placements.greedy import GreedyPlacement
from kingcupdyke.placements.static import StaticPlacement
from kingcupdyke.util import check_options, get_choice_opt

__all__ = ["PLACEMENTS_BY_NAME", "get_placement"]

#: Classes of placement policies by the name that settings use.
PLACEMENTS_BY_NAME: dict[str, type[PlacementPolicy]] = {
    each.name: each for each in (GreedyPlacement, StaticPlacement)
}


def get_placement(name: str, **options: object) -> PlacementPolicy:
    """:return: a new placement policy

    :param name: a key of :data:`PLACEMENTS_BY_NAME`
    :param options: see the policy's class
    :raises OptionError: if the name is unknown or an option is invalid
    """
    kind = PLACEMENTS_BY_NAME[get_choice_opt({"placement": name}, "placement", PLACEMENTS_BY_NAME)]
    check_options(kind, options)
    return kind(**options)
