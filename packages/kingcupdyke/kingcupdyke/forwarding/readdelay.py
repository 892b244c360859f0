"""
kingcupdyke.forwarding.readdelay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides from how late requests are read whether a gateway takes on more work.
"""

from math import inf

__all__ = ["READ_DELAY_RETRY_S", "READ_DELAY_TARGET_S", "ReadDelayControl"]

#: Delay up to which every request is taken on, and time for which all delays must be longer before
#: requests are rejected: a burst passes, a standing queue does not.
READ_DELAY_TARGET_S = 0.15
INTERVAL_S = 0.2
#: Retry-After of a request that is rejected as it was read late.
READ_DELAY_RETRY_S = 0.25


class ReadDelayControl:
    """Rejects requests while all are read late, as CoDel (RFC 8289) drops the packets of a queue.

    What is short of processor time answers later, the more it takes on. A gateway that rejects what
    it can't do keeps its promises on the rest, and its callers can ask another one.
    """

    def __init__(self) -> None:
        #: Time since which all requests were read late.
        self._late_since_s = inf

    def note_read(self, delay_s: float, now_s: float) -> bool:
        """Record that a request was read.

        :param delay_s: seconds from its arrival until then
        :return: whether it may be taken on
        """
        if delay_s <= READ_DELAY_TARGET_S:
            self._late_since_s = inf
            return True
        self._late_since_s = min(self._late_since_s, now_s)
        return not self.is_late(now_s)

    def is_late(self, now_s: float) -> bool:
        """:return: whether all requests were read late for INTERVAL_S"""
        return now_s - self._late_since_s >= INTERVAL_S
