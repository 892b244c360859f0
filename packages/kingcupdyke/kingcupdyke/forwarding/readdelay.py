"""
kingcupdyke.forwarding.readdelay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides from how late requests are read whether a gateway takes on more work.
"""

from math import inf

__all__ = ["READ_DELAY_RETRY_S", "READ_DELAY_TARGET_S", "ReadDelayControl"]

#: Seconds up to which the delay of a read lets every request be taken on.
READ_DELAY_TARGET_S = 0.15
#: Seconds for which all delays must be longer before requests are rejected: a burst passes, a
#: standing queue does not.
INTERVAL_S = 0.2
#: Seconds without a request after which earlier delays say nothing.
MAX_GAP_S = 1.0
#: Retry-After of a request that is rejected as it was read late.
READ_DELAY_RETRY_S = 0.25


class ReadDelayControl:
    """Rejects requests while all are read late, as CoDel (RFC 8289) drops the packets of a queue.

    A process that is short of processor time answers later, the more it takes on. One that rejects
    what it can't do keeps its timeouts for the rest, and its callers can ask another gateway.
    """

    def __init__(self) -> None:
        #: Time since which all requests were read late, and time of the last one that was.
        self._late_since_s = inf
        self._last_late_s = -inf

    def note_read(self, delay_s: float, now_s: float) -> bool:
        """Record that a request was read.

        :param delay_s: seconds from its arrival until then
        :return: whether it may be taken on
        """
        if delay_s <= READ_DELAY_TARGET_S:
            self._late_since_s = inf
            return True
        if now_s - self._last_late_s > MAX_GAP_S:
            self._late_since_s = inf
        self._last_late_s = now_s
        self._late_since_s = min(self._late_since_s, now_s)
        return not self.is_late(now_s)

    def is_late(self, now_s: float) -> bool:
        """:return: whether all requests were read late for INTERVAL_S, and lately"""
        is_recent = now_s - self._last_late_s <= MAX_GAP_S
        return is_recent and now_s - self._late_since_s >= INTERVAL_S
