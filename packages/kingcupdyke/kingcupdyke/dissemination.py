"""
kingcupdyke.dissemination
~~~~~~~~~~~~~~~~~~~~~~~~~

Choice of the hosts that watch the store, push changes to each other and pull them.
"""

from collections.abc import Iterable
from random import Random

from kingcupdyke.util import rank_rendezvous

__all__ = ["choose_push_targets", "choose_watchers", "pick_peers"]


def choose_watchers(hosts: Iterable[str], data_centre: str, count: int = 3) -> list[str]:
    """Choose the hosts that watch the store for a data centre.

    Processes whose lists of hosts differ may choose different watchers. There may then be one more
    or one fewer, which is harmless.

    :param hosts: live hosts of the data centre
    :param count: number of watchers
    :return: the watchers; fewer than ``count`` when there are fewer hosts
    """
    return rank_rendezvous(f"watch/{data_centre}", hosts)[:count]


def choose_push_targets(
    hosts: Iterable[str],
    local_host: str,
    data_centre: str,
    version: int,
    fan_out: int = 4,
    watchers: int = 3,
) -> list[str]:
    """Choose the hosts to which a change that was just accepted is pushed.

    The hosts of a data centre form a tree below its watchers, a different tree for each version.
    A watcher also pushes to the other watchers, as their watches may be stalled. Hosts that miss a
    change, because a host above them is dead, get it by a pull.

    :param hosts: live hosts of the data centre, including the local one
    :param local_host: host that pushes
    :param version: version of the change
    :param fan_out: maximum number of children of a host in the tree
    :param watchers: number of watchers
    :return: the children of the local host in the tree and, for a watcher, the other watchers
    """
    members = set(hosts)
    if local_host not in members:
        return []
    roots = choose_watchers(members, data_centre, watchers)
    order = roots + rank_rendezvous(f"push/{version}", members.difference(roots))
    first = len(roots) + order.index(local_host) * fan_out
    others = [root for root in roots if root != local_host] if local_host in roots else []
    return others + order[first : first + fan_out]


def pick_peers(hosts: Iterable[str], local_host: str, count: int, rng: Random) -> list[str]:
    """Pick random peers to pull from.

    :param hosts: live hosts; the local one is left out
    :param rng: random numbers
    :return: distinct peers; fewer than ``count`` when there are fewer hosts
    """
    others = sorted(set(hosts) - {local_host})
    return rng.sample(others, min(count, len(others)))
