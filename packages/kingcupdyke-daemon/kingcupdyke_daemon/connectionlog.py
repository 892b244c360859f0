"""
kingcupdyke_daemon.connectionlog
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Logs and counts connections that a daemon closes for lack of room.
"""

import logging
from collections.abc import Callable

from kingcupdyke_daemon.clientrecords import ClosedConnectionRecord
from kingcupdyke_daemon.logs import LineSampler
from kingcupdyke_daemon.metrics import DaemonMetrics

__all__ = ["ConnectionLog"]

_LOGGER = logging.getLogger(__name__)
#: Limit of the lines a second. Clients cause them.
MAX_LINES_PER_S = 10.0
#: Name of the counted event.
EVENT = "connection_closed"


class ConnectionLog:
    """The log lines and the counter of one listener.

    :param metrics: counts the connections
    :param now: returns the time in seconds
    :param listener: name of the listener
    """

    def __init__(
        self, metrics: DaemonMetrics, now: Callable[[], float], listener: str = "http"
    ) -> None:
        self._metrics = metrics
        self._listener = listener
        self._sampler = LineSampler(now, MAX_LINES_PER_S)

    def note_closed(self, reason: str, open_connections: int) -> None:
        """Log and count a connection that is closed for lack of room.

        :param reason: what it was doing, one of a limited number
        """
        self._metrics.count(EVENT)
        record = ClosedConnectionRecord(self._listener, reason, open_connections)
        self._sampler.log(_LOGGER, "connection closed", record)
