"""
kingcupdyke_daemon.forwarder.clientlog
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Logs and counts what a listener does not serve. Clients cause it, so that the lines are sampled.
"""

import logging
from collections.abc import Callable

from kingcupdyke_daemon.clientrecords import ClosedConnectionRecord, RejectedRequestRecord
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.logs import LineSampler

__all__ = ["ClientLog"]

_LOGGER = logging.getLogger(__name__)
#: Limit of the lines of each event a second.
MAX_LINES_PER_S = 10.0


class ClientLog:
    """The log lines and counters of one listener.

    :param listener: name of the listener
    :param metrics: counts the events
    :param now: returns the time in seconds
    """

    def __init__(self, listener: str, metrics: ForwarderMetrics, now: Callable[[], float]) -> None:
        self._listener = listener
        self._metrics = metrics
        self._sampler = LineSampler(now, MAX_LINES_PER_S)

    def note_closed(self, reason: str, open_connections: int) -> None:
        """Log and count a connection that is closed for lack of room.

        :param reason: what it was doing, one of a limited number
        """
        self._metrics.count_closed_connection(self._listener, reason)
        record = ClosedConnectionRecord(self._listener, reason, open_connections)
        self._sampler.log(_LOGGER, "connection closed", record)

    def note_rejected(self, status: int, reason: str) -> None:
        """Log and count a request that is rejected before it reaches the handler."""
        self._metrics.count_rejected_request(self._listener, status)
        record = RejectedRequestRecord(self._listener, status, reason)
        self._sampler.log(_LOGGER, "request rejected", record)
