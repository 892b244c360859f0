"""
kingcupdyke.forwarding.pacechoice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses from endpoints of which some start or recover.
"""

from collections.abc import Callable

from kingcupdyke.forwarding.decision import Decision, Send, Wait
from kingcupdyke.forwarding.endpointstate import EndpointState
from kingcupdyke.forwarding.pacetable import PaceTable

__all__ = ["MAX_PACE_WAIT_S", "choose_paced"]

#: Longest wait in seconds for full endpoints while others that start or recover have no room.
MAX_PACE_WAIT_S = 0.2


def choose_paced(
    table: PaceTable,
    available: list[EndpointState],
    choose: Callable[[list[EndpointState]], Decision],
    wait: Callable[[], Decision] | None,
    now_s: float,
) -> Decision:
    """Choose an endpoint for one request; the request does not fail because of a window.

    :param available: endpoints with capacity
    :param choose: chooses the best of some endpoints, or rejects if none serves in time
    :param wait: waits for established endpoints that are full, or rejects; None if there are none
        or if the request cannot wait any longer
    """
    selected = table.select(available, now_s)
    if not selected and wait is not None:
        decision = wait()
        if isinstance(decision, Wait):
            return decision
    for states in (selected, table.list_widest(available, now_s)):
        decision = choose(states) if states else None
        if isinstance(decision, Send):
            return decision
    return choose(available)
