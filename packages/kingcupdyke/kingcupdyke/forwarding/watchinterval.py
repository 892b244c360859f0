"""
kingcupdyke.forwarding.watchinterval
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How often a gateway asks the store for changes that need not be known immediately.
"""

__all__ = ["choose_watch_interval"]

#: Number of gateways up to which each change is read immediately.
MAX_GATEWAYS_AT_ONCE = 8
#: Interval between the calls of one gateway if there are more.
WATCH_INTERVAL_S = 0.2


def choose_watch_interval(gateways: int) -> float:
    """Choose the interval between the calls by which one gateway watches a kind of object.

    Each change ends the watch calls of all gateways that read the store. Changes within the
    interval are answered by one call.

    :param gateways: number of gateways that the store lists
    :return: seconds from the start of a call to the start of the next one, at least
    """
    return WATCH_INTERVAL_S if gateways > MAX_GATEWAYS_AT_ONCE else 0.0
