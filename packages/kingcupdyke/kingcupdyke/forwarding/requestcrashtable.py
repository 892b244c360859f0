"""
kingcupdyke.forwarding.requestcrashtable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the requests that crash the endpoints that run them, in whatever attempt they come.

Such a request ends one endpoint after the other, and none answers it. Endpoints that end together,
such as those of a rack that loses its power, may all have copies of one request; these were sent
before the first of them ended, so that they count as one crash.
"""

from collections import OrderedDict
from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from kingcupdyke.forwarding.crashreport import RequestCrash, SoundRequest

__all__ = ["RequestCrashTable"]

#: Number of crashes, one after the other, from which a request counts as their cause.
MIN_CRASHES = 3
#: Seconds for which a crash is remembered.
CRASH_MEMORY_S = 600.0
#: Seconds by which times of two reports may be in the wrong order, as they are rounded.
ORDER_TOLERANCE_S = 0.005
#: Limits of remembered requests, and of the latest crashes of each.
MAX_REQUESTS = 512
MAX_CRASHES = 6


class _Crash(NamedTuple):
    """An end of an endpoint's process under a request."""

    crashed_s: float
    sent_s: float
    endpoint: str
    started_ms: int


class _Suspect:
    """A request that was at crashes."""

    def __init__(self) -> None:
        #: In order of time.
        self.crashes: list[_Crash] = []
        #: Time of the latest answer to it.
        self.sound_s = -inf
        #: Time until which it is rejected.
        self.rejected_until_s = -inf

    def add(self, crash: _Crash) -> bool:
        """:return: whether the crash is new"""
        process = (crash.endpoint, crash.started_ms)
        if any((each.endpoint, each.started_ms) == process for each in self.crashes):
            return False
        self.crashes = sorted([*self.crashes, crash])[-MAX_CRASHES:]
        return True

    def update(self) -> None:
        """Count the crashes that came one after the other since the latest answer."""
        times_s: list[float] = []
        for each in self.crashes:
            is_later = not times_s or each.sent_s >= times_s[-1] - ORDER_TOLERANCE_S
            if is_later and each.crashed_s > self.sound_s:
                times_s.append(each.crashed_s)
        is_cause = len(times_s) >= MIN_CRASHES
        self.rejected_until_s = times_s[-MIN_CRASHES] + CRASH_MEMORY_S if is_cause else -inf


class RequestCrashTable:
    """The crashes under requests that a gateway knows, from its own requests and from its peers.

    Each call but those that return all of it takes a time that does not grow with the table.
    """

    def __init__(self) -> None:
        #: By fingerprint, those with the latest crashes last.
        self._suspect_by_request: OrderedDict[str, _Suspect] = OrderedDict()

    def record(self, report: RequestCrash, now_s: float) -> bool:
        """Add a crash.

        :return: whether it is new
        """
        if not report.request or report.age_s >= CRASH_MEMORY_S:
            return False
        crashed_s = now_s - max(0.0, report.age_s)
        sent_s = crashed_s - max(0.0, report.run_s)
        suspect = self._suspect_by_request.setdefault(report.request, _Suspect())
        if not suspect.add(_Crash(crashed_s, sent_s, report.endpoint, report.started_ms)):
            return False
        suspect.update()
        self._suspect_by_request.move_to_end(report.request)
        self._drop_excess()
        return True

    def note_sound(self, request: str, now_s: float, age_s: float = 0.0) -> bool:
        """Record that an endpoint has answered a request without crashing.

        :param age_s: seconds since then
        :return: whether this clears the request of a suspicion
        """
        suspect = self._suspect_by_request.get(request)
        sound_s = now_s - max(0.0, age_s)
        if suspect is None or not any(
            suspect.sound_s < each.crashed_s <= sound_s for each in suspect.crashes
        ):
            return False
        suspect.sound_s = sound_s
        suspect.update()
        return True

    def find_expiry(self, request: str, now_s: float) -> float | None:
        """:return: the time until which a request is rejected, or None if it may be sent"""
        suspect = self._suspect_by_request.get(request)
        if suspect is None or suspect.rejected_until_s <= now_s:
            return None
        return suspect.rejected_until_s

    def list_crashes(self, now_s: float) -> Iterator[RequestCrash]:
        """:return: all crashes that this table knows"""
        for request, suspect in self._suspect_by_request.items():
            for each in suspect.crashes:
                run_s = round(each.crashed_s - each.sent_s, 3)
                age_s = round(now_s - each.crashed_s, 3)
                yield RequestCrash(request, each.endpoint, each.started_ms, run_s, age_s)

    def list_sound(self, now_s: float) -> Iterator[SoundRequest]:
        """:return: the latest answers to requests that were at crashes"""
        for request, suspect in self._suspect_by_request.items():
            if suspect.sound_s > -inf:
                yield SoundRequest(request, round(now_s - suspect.sound_s, 3))

    @property
    def is_empty(self) -> bool:
        """:return: whether no crash is known"""
        return not self._suspect_by_request

    def count_rejected(self, now_s: float) -> int:
        """:return: number of requests that are rejected"""
        suspects = self._suspect_by_request.values()
        return sum(each.rejected_until_s > now_s for each in suspects)

    def drop_expired(self, now_s: float) -> None:
        """Forget the requests whose crashes are long ago."""
        while self._suspect_by_request:
            request, suspect = next(iter(self._suspect_by_request.items()))
            if now_s - suspect.crashes[-1].crashed_s < CRASH_MEMORY_S:
                return
            del self._suspect_by_request[request]

    def _drop_excess(self) -> None:
        """Drop the oldest request; one that is rejected goes last."""
        if len(self._suspect_by_request) <= MAX_REQUESTS:
            return
        suspects = self._suspect_by_request.items()
        oldest = next((name for name, each in suspects if each.rejected_until_s == -inf), None)
        if oldest is None:
            oldest = next(iter(self._suspect_by_request))
        del self._suspect_by_request[oldest]
