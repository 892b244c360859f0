"""
kingcupdyke_daemon.forwarder.peerlog
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Logs which peer gateways become responsive and unresponsive.
"""

import logging
from collections.abc import Iterable

from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import PeerRecord

__all__ = ["PeerLog"]

_LOGGER = logging.getLogger(__name__)


class PeerLog:
    """Logs each change of the set of responsive peers."""

    def __init__(self) -> None:
        self._hosts: set[str] = set()

    def update(self, hosts: Iterable[str]) -> None:
        """Log the changes.

        :param hosts: hosts of the peers that are responsive now
        """
        current = set(hosts)
        for host in sorted(current ^ self._hosts):
            state = "heard" if host in current else "silent"
            log_record(_LOGGER, "peer changed", PeerRecord(host, state, len(current)))
        self._hosts = current
