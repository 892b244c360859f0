"""
kingcupdyke.placements.share
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sharing the adapter loads in flight between endpoints, without a message for each load.
"""

from kingcupdyke.util import get_int_opt

__all__ = ["AdapterShare"]

#: Seconds of one turn, where there are more endpoints than loads.
TURN_S = 0.050
#: Part of a turn in which a load may begin, so that it ends within the turn.
TURN_START_SHARE = 0.6


class AdapterShare:
    """The part of one endpoint in the loads that stay at full speed.

    The endpoints divide fewer loads than the knee between them. Where there are more endpoints
    than that, they take turns by the time, which is then that of a common clock.

    :param knee: loads in flight over all endpoints from which on each takes longer
    :param endpoints: number of endpoints
    :param index: position of this endpoint among them, from zero
    :raises OptionError: when a number is out of range
    """

    def __init__(self, knee: int, endpoints: int, index: int) -> None:
        self._most = get_int_opt({"knee": knee}, "knee", least=2) - 1
        self._endpoints = get_int_opt({"endpoints": endpoints}, "endpoints", least=1)
        self._index = get_int_opt({"index": index}, "index")

    def most(self, now_s: float) -> int:
        """:return: adapter loads that this endpoint may have in flight

        :param now_s: time in seconds, common to all endpoints
        """
        if self._endpoints <= self._most:
            return self._most // self._endpoints
        turns = -(-self._endpoints // self._most)
        turn, passed_s = divmod(now_s, TURN_S)
        its_turn = int(turn) % turns == self._index % turns
        return 1 if its_turn and passed_s < TURN_START_SHARE * TURN_S else 0
