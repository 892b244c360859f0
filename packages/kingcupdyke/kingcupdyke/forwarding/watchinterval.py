"""
kingcupdyke.forwarding.watchinterval
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How often a gateway asks the store for changes, and how long it waits for them.
"""

__all__ = ["MAX_WATCH_TIMEOUT_S", "choose_watch_interval", "choose_watch_timeout"]

#: Number of gateways up to which each change is read immediately.
MAX_GATEWAYS_AT_ONCE = 8
#: Interval between the calls of one gateway if there are more.
WATCH_INTERVAL_S = 0.2
#: Seconds for which a call waits for changes at most.
MAX_WATCH_TIMEOUT_S = 10.0
#: The least for which it waits.
MIN_WATCH_TIMEOUT_S = 0.5
#: Seconds after this time in which a lost answer is noticed, and the objects are listed again.
RECOVERY_S = 1.0


def choose_watch_interval(gateways: int) -> float:
    """Choose the interval between the calls by which one gateway watches a kind of object.

    Each change ends the watch calls of all gateways that read the store. Changes within the
    interval are answered by one call.

    :param gateways: number of gateways that the store lists
    :return: seconds from the start of a call to the start of the next one, at least
    """
    return WATCH_INTERVAL_S if gateways > MAX_GATEWAYS_AT_ONCE else 0.0


def choose_watch_timeout(is_primary: bool, apply_s: float) -> float:
    """Choose how long one call waits for changes.

    Nothing but its end shows that the answer of a call was lost. So each region has gateways whose
    calls end early enough; the others learn from them that they have missed something.

    :param is_primary: whether this gateway is one of them
    :param apply_s: seconds within which a change has to be in force, or 0 if there is no bound
    :return: seconds
    """
    if not is_primary or not apply_s:
        return MAX_WATCH_TIMEOUT_S
    return min(MAX_WATCH_TIMEOUT_S, max(MIN_WATCH_TIMEOUT_S, apply_s - RECOVERY_S))
