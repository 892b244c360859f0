"""
kingcupdyke.forwarding.leavingtable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Remembers which processes of endpoints have said that they are leaving.

A process that leaves does not come back. So what it has said once holds until it is gone, whatever
an older entry of the list or an answer of before says; an endpoint that starts again, or another
one at the same address, is another process.
"""

from collections.abc import Collection
from typing import NamedTuple

from kingcupdyke.forwarding.leavingmessage import LeavingReport

__all__ = ["LeavingProcess", "LeavingTable"]

#: Seconds for which a process is remembered that is no longer listed, as its entry may come back.
UNLISTED_MEMORY_S = 600.0


class LeavingProcess(NamedTuple):
    """A process of an endpoint, by the Unix time in milliseconds of its start."""

    endpoint: str
    started_ms: int


class LeavingTable:
    """The leaving processes that a gateway knows, from endpoints, from the list and from peers."""

    def __init__(self) -> None:
        #: Time since which each process is not listed, or None while it may be listed.
        self._unlisted_since_s: dict[LeavingProcess, float | None] = {}

    def __contains__(self, process: LeavingProcess) -> bool:
        return process in self._unlisted_since_s

    def add(self, process: LeavingProcess) -> bool:
        """Record that a process has said that it is leaving.

        :return: whether that is new
        """
        is_new = process not in self._unlisted_since_s
        self._unlisted_since_s[process] = None
        return is_new

    def merge(self, report: LeavingReport, now_s: float) -> bool:
        """Add what a peer knows.

        :return: whether it is new
        """
        process = LeavingProcess(report.endpoint, report.started_ms)
        unlisted_s = max(0.0, report.unlisted_s)
        if unlisted_s >= UNLISTED_MEMORY_S:
            return False
        since_s = now_s - unlisted_s
        if process not in self._unlisted_since_s:
            self._unlisted_since_s[process] = since_s
            return True
        known_s = self._unlisted_since_s[process]
        if known_s is not None:
            self._unlisted_since_s[process] = max(known_s, since_s)
        return False

    def drop_expired(self, listed: Collection[LeavingProcess], now_s: float) -> None:
        """Forget the processes that have not been listed for long.

        :param listed: the processes that are listed now
        """
        for process, since_s in list(self._unlisted_since_s.items()):
            if process in listed:
                self._unlisted_since_s[process] = None
            elif since_s is None:
                self._unlisted_since_s[process] = now_s
            elif now_s - since_s >= UNLISTED_MEMORY_S:
                del self._unlisted_since_s[process]

    def make_reports(self, now_s: float) -> tuple[LeavingReport, ...]:
        """:return: all that this table knows"""
        return tuple(
            LeavingReport(*process, 0.0 if since_s is None else round(now_s - since_s, 3))
            for process, since_s in self._unlisted_since_s.items()
        )
