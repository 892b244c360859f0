"""
kingcupdyke.forwarding.watchinterval
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How often a gateway asks the store for changes that need not be known immediately.
"""

__all__ = ["choose_watch_interval"]

#: Limit of the calls a second that all readers together make to watch one kind of object.
MAX_WATCH_CALLS_PER_S = 20.0
#: Limit of the age of what a gateway knows, beyond the time of a call.
MAX_WATCH_INTERVAL_S = 1.0


def choose_watch_interval(readers: int) -> float:
    """Choose the interval between the calls by which one gateway watches a kind of object.

    Each change ends the watch calls of all gateways that read the store, so that their number grows
    with changes times readers. Changes within the interval are answered by one call.

    :param readers: number of gateways that read the store
    :return: seconds from the start of a call to the start of the next one, at least
    """
    return min(MAX_WATCH_INTERVAL_S, readers / MAX_WATCH_CALLS_PER_S)
