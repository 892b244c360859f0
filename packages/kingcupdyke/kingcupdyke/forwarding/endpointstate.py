"""
kingcupdyke.forwarding.endpointstate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One endpoint as a gateway knows it: its entry, requests in flight and recent failures.
"""

from collections import OrderedDict
from collections.abc import Iterator
from math import inf

from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.metadata import PromptPart
from kingcupdyke.forwarding.pacewindow import PaceWindow
from kingcupdyke.forwarding.peerreports import EndpointReports

__all__ = [
    "DEFAULT_TOKENS_PER_S",
    "FIXED_FIRST_EVENT_S",
    "UNREACHABLE_FAILURES",
    "EndpointState",
]

#: Seconds without a byte at which an endpoint with requests in flight counts as unresponsive.
UNRESPONSIVE_S = 1.3
#: Number of consecutive failed connections at which an endpoint counts as unreachable.
UNREACHABLE_FAILURES = 2
#: Limit of prompt prefixes that are remembered for each endpoint.
MAX_PREFIXES = 512
#: Prompt tokens a second that an endpoint is assumed to read until its answers give samples.
DEFAULT_TOKENS_PER_S = 20_000.0
#: Largest factor between the default speed and a sample, and weight of the newest sample.
SPEED_RANGE = 8.0
SPEED_WEIGHT = 0.1
#: Seconds to the first event that do not depend on the prompt.
FIXED_FIRST_EVENT_S = 0.03
#: Prompt tokens below which the time to the first event gives no useful sample of the speed.
MIN_SAMPLE_TOKENS = 800


class EndpointState:
    """One endpoint: its entry, its requests in flight and its recent behaviour."""

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        #: Unread prompt tokens of this gateway's requests in flight, by attempt id.
        self.tokens_by_attempt: dict[str, int] = {}
        #: Attempts in flight whose answers this gateway does not read now.
        self._unread_attempts: set[str] = set()
        #: Time of the last byte from it, and time since which it has had requests in flight.
        self.last_byte_s = -inf
        self.in_flight_since_s = inf
        self.peer_reports = EndpointReports(0, 0, 0)
        self.backoff_until_s = 0.0
        self.consecutive_failures = 0
        #: Moving average of the share of requests that failed.
        self.failure_share = 0.0
        #: Moving average of the prompt tokens a second that it reads.
        self.tokens_per_s = DEFAULT_TOKENS_PER_S
        self.has_speed_sample = False
        #: Moving average of the seconds that its whole responses take, or None before the first.
        self.mean_duration_s: float | None = None
        #: Its window if it starts or recovers, else None, and number of windows of its process.
        self.pace: PaceWindow | None = None
        self.pace_episode = 0
        #: Time at which the entry is removed as it is no longer listed, or None while it is listed.
        self.lapses_s: float | None = None
        self._prefixes: OrderedDict[int, None] = OrderedDict()

    @property
    def requests(self) -> int:
        """:return: requests in flight from all gateways"""
        return len(self.tokens_by_attempt) + self.peer_reports.requests

    @property
    def local_unread_tokens(self) -> int:
        """:return: unread prompt tokens of this gateway's requests"""
        return sum(self.tokens_by_attempt.values())

    @property
    def unread_tokens(self) -> int:
        """:return: unread prompt tokens of all gateways' requests"""
        return self.local_unread_tokens + self.peer_reports.prompt_tokens

    def update_speed(self, tokens: int, seconds: float) -> None:
        """Update the estimated reading speed when the first event of a stream has come.

        :param tokens: unread prompt tokens when the request was sent
        :param seconds: seconds from then until the first event
        """
        reading_s = seconds - FIXED_FIRST_EVENT_S
        if tokens < MIN_SAMPLE_TOKENS or reading_s <= 0:
            return
        sample = min(
            max(tokens / reading_s, DEFAULT_TOKENS_PER_S / SPEED_RANGE),
            DEFAULT_TOKENS_PER_S * SPEED_RANGE,
        )
        self.has_speed_sample = True
        self.tokens_per_s += SPEED_WEIGHT * (sample - self.tokens_per_s)

    def update_duration(self, seconds: float) -> None:
        """Update the average duration of whole responses."""
        mean_s = seconds if self.mean_duration_s is None else self.mean_duration_s
        self.mean_duration_s = mean_s + SPEED_WEIGHT * (seconds - mean_s)

    def is_reachable(self, now_s: float) -> bool:
        """:return: whether this gateway can connect to it and it is not unresponsive"""
        return self.consecutive_failures < UNREACHABLE_FAILURES and not self.is_unresponsive(now_s)

    def is_unresponsive(self, now_s: float) -> bool:
        """:return: whether it has requests in flight that this gateway reads the answers of, and
        has sent nothing for UNRESPONSIVE_S
        """
        if len(self._unread_attempts) == len(self.tokens_by_attempt):
            return False
        return now_s - max(self.last_byte_s, self.in_flight_since_s) > UNRESPONSIVE_S

    def note_active(self, attempt_id: str, is_reading: bool, now_s: float) -> None:
        """Record a sign of life of the endpoint.

        :param is_reading: whether this gateway reads the answer to the attempt from now on; it does
            not while it passes a part on or waits for a slow client
        """
        self.last_byte_s = now_s
        if is_reading:
            self._unread_attempts.discard(attempt_id)
        elif attempt_id in self.tokens_by_attempt:
            self._unread_attempts.add(attempt_id)

    def note_sent(self, attempt_id: str, tokens: int, now_s: float) -> None:
        """Record that a request is sent to the endpoint."""
        if not self.tokens_by_attempt:
            self.in_flight_since_s = now_s
        self.tokens_by_attempt[attempt_id] = tokens

    def note_ended(self, attempt_id: str) -> None:
        """Record that a request is no longer in flight at the endpoint."""
        self.tokens_by_attempt.pop(attempt_id, None)
        self._unread_attempts.discard(attempt_id)
        if not self.tokens_by_attempt:
            self.in_flight_since_s = inf

    def count_cached_tokens(self, model: str, parts: tuple[PromptPart, ...]) -> int:
        """:return: tokens of the longest prefix of a prompt that was sent there recently"""
        cached = 0
        for part, key in zip(parts, _hash_prefixes(model, parts), strict=True):
            if key not in self._prefixes:
                break
            cached += part.tokens
        return cached

    def add_prefixes(self, model: str, parts: tuple[PromptPart, ...]) -> None:
        """Remember the prefixes of a prompt that the endpoint now reads."""
        for key in _hash_prefixes(model, parts):
            self._prefixes[key] = None
            self._prefixes.move_to_end(key)
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def clear_prefixes(self) -> None:
        """Forget all prefixes, as the endpoint has restarted."""
        self._prefixes.clear()


def _hash_prefixes(model: str, parts: tuple[PromptPart, ...]) -> Iterator[int]:
    """Yield a hash of each prefix of a prompt.

    What callers write in it is not kept, and many parts cost as much time as there are of them.
    """
    key = hash(model)
    for part in parts:
        key = hash((key, part.part_id))
        yield key
