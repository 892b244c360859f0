"""
kingcupdyke.dissemination
~~~~~~~~~~~~~~~~~~~~~~~~~

Who watches the store and who passes news on to whom.
"""

from collections.abc import Iterable
from random import Random

from kingcupdyke.util import rank_rendezvous

__all__ = ["choose_push_targets", "choose_watchers", "pick_peers"]


def choose_watchers(hosts: Iterable[str], data_centre: str, count: int = 3) -> list[str]:
    """Choose who watches the store for a data centre.

    Processes whose lists differ may choose one more or one fewer, which is harmless.

    :param hosts: hosts of the data centre that are live
    :param count: number of watchers
    :return: the watchers; fewer when there are fewer hosts
    """
    return rank_rendezvous(f"watch/{data_centre}", hosts)[:count]


def choose_push_targets(
    hosts: Iterable[str],
    own_host: str,
    data_centre: str,
    version: int,
    fan_out: int = 4,
    watchers: int = 3,
) -> list[str]:
    """Choose whom to push a change to that was just accepted.

    The hosts of a data centre form a tree below its watchers, another one for each
    version. A watcher pushes to the other watchers as well, whose watches may be silent.
    What a dead host breaks off is repaired by pulls.

    :param hosts: live hosts of the data centre, with the own one
    :return: the own children in the tree, at most ``fan_out`` of them, and for a
        watcher the other watchers
    """
    names = set(hosts)
    if own_host not in names:
        return []
    roots = choose_watchers(names, data_centre, watchers)
    order = roots + rank_rendezvous(f"push/{version}", names.difference(roots))
    first = len(roots) + order.index(own_host) * fan_out
    others = [root for root in roots if root != own_host] if own_host in roots else []
    return others + order[first : first + fan_out]


def pick_peers(hosts: Iterable[str], own_host: str, count: int, rng: Random) -> list[str]:
    """Pick peers to pull from.

    :param hosts: live hosts; the own one is left out
    :param rng: source of chance
    :return: different peers; fewer when there are fewer hosts
    """
    others = sorted(set(hosts) - {own_host})
    return rng.sample(others, min(count, len(others)))
