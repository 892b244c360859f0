"""
kingcupdyke.placements.share
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Divides the limit of adapter loads in flight between endpoints without messages.
"""

from kingcupdyke.util import get_int_opt

__all__ = ["AdapterShare"]

#: Seconds of one turn if there are more endpoints than permitted loads.
TURN_S = 0.050
#: Share of a turn in which a load may begin, so that it ends within the turn.
TURN_START_SHARE = 0.6


class AdapterShare:
    """The share of one endpoint in the adapter loads that run at full speed.

    The endpoints divide one load less than the saturation point between them. If there are more
    endpoints than that, they take turns, which depend on a clock common to all endpoints.

    :param knee: saturation point, the number of loads in flight over all endpoints from which on
        each takes longer
    :param endpoints: number of endpoints
    :param index: position of this endpoint among them, from zero
    :raises OptionError: if a number is out of range
    """

    def __init__(self, knee: int, endpoints: int, index: int) -> None:
        self._total_limit = get_int_opt({"knee": knee}, "knee", least=2) - 1
        self._endpoints = get_int_opt({"endpoints": endpoints}, "endpoints", least=1)
        self._index = get_int_opt({"index": index}, "index")

    def get_limit(self, now_s: float) -> int:
        """:return: number of adapter loads that this endpoint may have in flight

        :param now_s: time in seconds, common to all endpoints
        """
        if self._endpoints <= self._total_limit:
            return self._total_limit // self._endpoints
        turns = -(-self._endpoints // self._total_limit)
        turn, passed_s = divmod(now_s, TURN_S)
        its_turn = int(turn) % turns == self._index % turns
        return 1 if its_turn and passed_s < TURN_START_SHARE * TURN_S else 0
