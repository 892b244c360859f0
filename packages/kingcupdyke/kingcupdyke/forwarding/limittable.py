"""
kingcupdyke.forwarding.limittable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits on the requests of all gateways together, which endpoints name in their answers.

Each gateway counts the requests that it knows all gateways to have sent. As it learns of those of
its peers a little late, only a few gateways send to an endpoint with a limit, so that they do not
exceed it by much if they send at the same moment.
"""

from collections.abc import Collection, Iterator
from math import inf
from typing import NamedTuple

from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.limitmessage import LimitMessage, LimitReport, LimitVersion
from kingcupdyke.util import rank_rendezvous

__all__ = ["LimitTable"]

#: Length in seconds of the sliding windows in which requests are counted.
WINDOWS_S = (1.0, 4.0)
#: Number of gateways that send to an endpoint with a limit below one request a second; each further
#: request a second permits one more.
MIN_SENDERS = 4
#: Seconds without news after which a gateway that doesn't send to an endpoint forgets its limit.
UNCONFIRMED_S = 10.0
#: Seconds for which the end of a limit is told to peers.
ENDED_REPORT_S = 30.0


class _Sender(NamedTuple):
    """A gateway that sends to an endpoint; the own one has an empty host."""

    host: str
    incarnation: str


class _Process:
    """What is known of an endpoint's process."""

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.version = LimitVersion()
        #: Time at which the limit changed, and of the latest news of it.
        self.changed_s = -inf
        self.confirmed_s = -inf
        self.sends_s_by_sender: dict[_Sender, tuple[float, ...]] = {}

    def set_limit(self, limit_per_s: float | None, version: LimitVersion, now_s: float) -> bool:
        """:return: whether this changes the limit"""
        self.confirmed_s = now_s
        if version <= self.version:
            return False
        self.version = version
        if limit_per_s == self.limit_per_s:
            return False
        self.limit_per_s = limit_per_s
        self.changed_s = now_s
        return True

    def list_sends(self, now_s: float) -> list[float]:
        """:return: times of the requests within the longest window, in order"""
        start_s = now_s - WINDOWS_S[-1]
        sends_s = [each for times_s in self.sends_s_by_sender.values() for each in times_s]
        return sorted(each for each in sends_s if each > start_s)

    def drop_sends(self, now_s: float) -> None:
        """Forget the requests before the longest window."""
        for sender, times_s in list(self.sends_s_by_sender.items()):
            kept = tuple(each for each in times_s if each > now_s - WINDOWS_S[-1])
            self.sends_s_by_sender[sender] = kept
            if not kept:
                del self.sends_s_by_sender[sender]


#: This gateway.
_OWN = _Sender("", "")
#: An endpoint and the start of its process.
_ProcessKey = tuple[str, int]


class LimitTable:
    """The limits of all endpoints, and the requests sent to endpoints."""

    def __init__(self) -> None:
        self._process_by_key: dict[_ProcessKey, _Process] = {}
        self._number_by_sender: dict[_Sender, int] = {}
        self._host = ""
        self._hosts: tuple[str, ...] = ("",)
        self._gateway_count = 1

    def set_gateways(self, host: str, peers: Collection[str], gateway_count: int) -> None:
        """Set the gateways that share the limits.

        :param host: host of this gateway
        :param peers: hosts of the live peers
        :param gateway_count: number of all gateways; the share of those that are neither live nor
            this one is left to them, as they may only be cut off
        """
        self._host = host
        self._hosts = (host, *peers)
        self._gateway_count = max(gateway_count, len(self._hosts))

    def note_answer(self, entry: EndpointEntry, limit_per_s: float | None, now_s: float) -> bool:
        """Record the limit that an endpoint has named in an answer, or that it named none.

        :return: whether this changes the limit
        """
        process = self._get(_key(entry))
        version = process.version
        if limit_per_s != process.limit_per_s:
            version = LimitVersion(version.number + 1, self._host)
        return process.set_limit(limit_per_s, version, now_s)

    def note_sent(self, entry: EndpointEntry, now_s: float) -> bool:
        """Record that a request is sent to an endpoint.

        :return: whether the endpoint has a limit
        """
        process = self._get(_key(entry))
        sends_s = process.sends_s_by_sender.get(_OWN, ())
        process.sends_s_by_sender[_OWN] = (*sends_s, now_s)
        process.drop_sends(now_s)
        return process.limit_per_s is not None

    def get_limit(self, entry: EndpointEntry) -> float | None:
        """:return: the limit of an endpoint in requests a second, or None"""
        process = self._process_by_key.get(_key(entry))
        return None if process is None else process.limit_per_s

    def find_delay(self, entry: EndpointEntry, now_s: float) -> float:
        """:return: seconds until a request may be sent to an endpoint; infinite if not from here"""
        process = self._process_by_key.get(_key(entry))
        if process is None or process.limit_per_s is None:
            return 0.0
        if self._host not in self.list_senders(entry.endpoint, process.limit_per_s):
            return inf
        rate = process.limit_per_s * len(self._hosts) / self._gateway_count
        sends_s = process.list_sends(now_s)
        return max(_find_window_delay(sends_s, rate, window_s, now_s) for window_s in WINDOWS_S)

    def list_senders(self, endpoint: str, limit_per_s: float) -> list[str]:
        """:return: hosts of the gateways that send to an endpoint with a limit"""
        return rank_rendezvous(endpoint, self._hosts)[: MIN_SENDERS + int(limit_per_s)]

    def merge(self, message: LimitMessage, now_s: float) -> bool:
        """Add what a peer knows.

        :return: whether this changes a limit
        """
        sender = _Sender(message.sender, message.incarnation)
        is_newest = message.number > self._number_by_sender.get(sender, -1)
        if is_newest:
            self._number_by_sender[sender] = message.number
        is_changed = False
        for each in message.reports:
            process = self._get((each.endpoint, each.started_ms))
            is_changed = process.set_limit(each.limit_per_s, each.version, now_s) or is_changed
            if is_newest:
                sends_s = tuple(now_s - max(0.0, age_s) for age_s in each.send_ages_s)
                process.sends_s_by_sender[sender] = sends_s
        return is_changed

    def make_reports(self, now_s: float) -> tuple[LimitReport, ...]:
        """:return: the limits in force and those that ended lately, with this gateway's requests"""
        reports = []
        for (endpoint, started_ms), process in self._process_by_key.items():
            if process.limit_per_s is None and now_s - process.changed_s >= ENDED_REPORT_S:
                continue
            process.drop_sends(now_s)
            sends_s = process.sends_s_by_sender.get(_OWN, ())
            ages_s = tuple(round(now_s - each, 3) for each in sends_s)
            reports.append(
                LimitReport(endpoint, started_ms, process.limit_per_s, process.version, ages_s)
            )
        return tuple(reports)

    def drop_expired(self, entries: Collection[EndpointEntry], now_s: float) -> None:
        """Forget endpoints that are gone, and limits that nobody has confirmed.

        :param entries: entries of the endpoints that are listed
        """
        listed = {_key(each) for each in entries}
        for key, process in list(self._process_by_key.items()):
            process.drop_sends(now_s)
            is_unconfirmed = now_s - process.confirmed_s > UNCONFIRMED_S
            if key not in listed and is_unconfirmed and not process.sends_s_by_sender:
                del self._process_by_key[key]
            elif process.limit_per_s is not None and is_unconfirmed:
                self._drop_unconfirmed(key[0], process)

    def list_limited(self) -> Iterator[tuple[str, float]]:
        """:return: endpoints with a limit, and the limits in requests a second"""
        for (endpoint, _), process in self._process_by_key.items():
            if process.limit_per_s is not None:
                yield endpoint, process.limit_per_s

    def _drop_unconfirmed(self, endpoint: str, process: _Process) -> None:
        if self._host not in self.list_senders(endpoint, process.limit_per_s):
            process.limit_per_s = None

    def _get(self, key: _ProcessKey) -> _Process:
        return self._process_by_key.setdefault(key, _Process())


def _key(entry: EndpointEntry) -> _ProcessKey:
    return entry.endpoint, entry.started_ms


def _find_window_delay(sends_s: list[float], rate: float, window_s: float, now_s: float) -> float:
    """:return: seconds until a window has room for one more request"""
    most = max(1, int(rate * window_s))
    recent = [each for each in sends_s if each > now_s - window_s]
    return 0.0 if len(recent) < most else recent[-most] + window_s - now_s
