"""
kingcupdyke.forwarding.pacechoice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses from endpoints of which some start or recover.
"""

from collections.abc import Callable

from kingcupdyke.forwarding.decision import Decision, Send, Wait
from kingcupdyke.forwarding.endpointstate import EndpointState
from kingcupdyke.forwarding.pacetable import PaceTable
from kingcupdyke.util import hash_score

__all__ = ["MAX_PACE_WAIT_S", "choose_paced"]

#: Longest wait in seconds for full endpoints while others that start or recover have no room.
MAX_PACE_WAIT_S = 0.2
#: Cost in seconds above that of the best endpoint at which one that is owed requests goes first. It
#: exceeds the differences between reported loads, but not the distance to another region.
MAX_OWED_COST_S = 0.05


def choose_paced(
    table: PaceTable,
    key: str,
    available: list[EndpointState],
    resting: list[EndpointState],
    choose: Callable[[list[EndpointState]], Decision],
    wait: Callable[[], Decision] | None,
    now_s: float,
) -> Decision:
    """Choose an endpoint for one request; the request does not fail because of a window.

    :param key: identifies the request
    :param available: endpoints with capacity
    :param resting: endpoints with capacity that are not tried now as connections to them failed;
        used when no other has room, as they may be back too
    :param choose: chooses the best of some endpoints, or rejects if none serves in time
    :param wait: waits for established endpoints that are full, or rejects; None if there are none
        or if the request cannot wait any longer
    """
    selected = table.select(available, now_s)
    if not selected and wait is not None:
        decision = wait()
        if isinstance(decision, Wait):
            return decision
    if selected:
        decision = choose(selected)
        if isinstance(decision, Send):
            return _prefer_owed(selected, choose, decision)
    # Loads that gateways report are too old to spread what exceeds the windows.
    widest = table.list_widest(available + resting, now_s)
    decision = choose([max(widest, key=lambda each: hash_score(key, each.entry.endpoint))])
    return decision if isinstance(decision, Send) else choose(available)


def _prefer_owed(
    selected: list[EndpointState],
    choose: Callable[[list[EndpointState]], Decision],
    best: Send,
) -> Send:
    """:return: the choice of an endpoint that has not had its fair share, unless that costs much"""
    owed = [each for each in selected if each.pace is not None and each.pace.is_released]
    if not owed:
        return best
    decision = choose(owed)
    if isinstance(decision, Send) and decision.cost_s <= best.cost_s + MAX_OWED_COST_S:
        return decision
    return best
