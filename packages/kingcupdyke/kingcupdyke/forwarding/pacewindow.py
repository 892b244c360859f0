"""
kingcupdyke.forwarding.pacewindow
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limit of the requests in flight at one endpoint that starts or recovers, over all gateways.
"""

from math import ceil, inf
from typing import NamedTuple

from kingcupdyke.forwarding.pacemessage import PaceReason, PaceReport

__all__ = ["INITIAL_WINDOW", "PaceSender", "PaceWindow"]

#: Requests in flight with which a window begins.
INITIAL_WINDOW = 4.0
#: Growth for each success, so that the window is multiplied by 1.5 for a window's worth of them.
GROWTH_PER_SUCCESS = 0.5
#: Least seconds between two reductions. Must exceed the time in which senders hear of each other.
MIN_ROUND_TRIP_S = 0.25
#: Seconds without a failure or a slow response after which the window ends.
MAX_QUIET_S = 10.0
#: Seconds without news of the endpoint after which other gateways send, as those chosen may have
#: no requests for it.
ROTATION_S = 5.0
#: Weight of the newest response in the averages of durations and of slowness.
RESPONSE_WEIGHT = 0.25
#: Responses that take longer than this multiple of the expected time are slow.
SLOW_FACTOR = 2.0
#: Seconds above which a response may be slow. It covers the round trip to another region.
MIN_SLOW_S = 0.06
#: Limit of the requests that an endpoint may be owed while the window is released.
MAX_CREDIT = 2.0


class PaceSender(NamedTuple):
    """One start of a gateway that sends to the endpoint."""

    host: str
    incarnation: str


class PaceWindow:
    """The window of one endpoint, as this gateway knows it.

    :param reason: why the window has begun
    :param credit: part of a request, at least 0 and below 1, that the endpoint is owed when the
        window is released; should differ between gateways
    """

    def __init__(self, reason: PaceReason, credit: float) -> None:
        self.reason = reason
        self.window = INITIAL_WINDOW
        #: Whether the endpoint has not answered since connections to it failed.
        self.is_down = reason is PaceReason.UNREACHABLE
        #: Times at which the window began, could first be used, was last reduced, and of the last
        #: failure or slow response and of the last news.
        self.begun_s = inf
        self.usable_s = inf
        self.cut_s = -inf
        self.bad_s = -inf
        self.news_s = inf
        #: Time of this gateway's own last evidence of it.
        self.own_news_s = -inf
        #: Seconds for which the endpoint says that it stays slow; counted from the next update.
        self.cold_left_s = 0.0
        self.cold_until_s = -inf
        #: Expected tokens a second and duration in seconds, or None without a comparison.
        self.expected_tokens_per_s: float | None = None
        self.expected_duration_s: float | None = None
        #: Window at which it ends, and whether no endpoint of the service is established.
        self.end_window = inf
        self.is_alone = False
        #: Successes and reductions since the begin at this gateway, and at others by sender.
        self.own_successes = 0
        self.own_failures = 0
        self.counts_by_sender: dict[PaceSender, tuple[int, int]] = {}
        self.is_adopted = False
        self.successes_since_cut = 0
        #: Time until which the endpoint gets only its fair share, or None while the window holds.
        self.released_until_s: float | None = None
        self.credit = credit
        #: The gateways in the order in which they send, valid for one key.
        self.ranked_key: tuple[int, int] | None = None
        self.ranked: list[str] = []
        self._mean_duration_s: float | None = None
        self._mean_slowness: float | None = None

    @property
    def successes(self) -> int:
        """:return: successes since the begin at all gateways"""
        return self.own_successes + sum(each for each, _ in self.counts_by_sender.values())

    @property
    def failures(self) -> int:
        """:return: reductions since the begin at all gateways"""
        return self.own_failures + sum(each for _, each in self.counts_by_sender.values())

    @property
    def is_released(self) -> bool:
        """:return: whether the window has ended, so that the endpoint gets its fair share"""
        return self.released_until_s is not None

    @property
    def has_own_evidence(self) -> bool:
        """:return: whether this gateway has seen itself what the window is about"""
        is_witness = self.reason is PaceReason.UNREACHABLE and not self.is_adopted
        return bool(self.own_successes or self.own_failures or is_witness)

    def make_report(self, endpoint: str, started_ms: int, episode: int, now_s: float) -> PaceReport:
        """:return: what peers are told of the window

        :param started_ms: Unix time in milliseconds of the start of the endpoint's process
        :param episode: number of the window of that process
        """
        since_s = min(now_s, self.begun_s if self.is_down else self.usable_s)
        return PaceReport(
            endpoint,
            started_ms,
            episode,
            self.reason,
            self.own_successes,
            self.own_failures,
            round(self.window, 2),
            self.is_down,
            self.is_released,
            round(now_s - since_s, 3),
            None if self.bad_s == -inf else round(now_s - self.bad_s, 3),
        )

    def begin(self, now_s: float) -> None:
        """Begin the times of the window, unless they have begun."""
        if self.begun_s == inf:
            self.begun_s = self.news_s = now_s

    def get_epoch(self, now_s: float) -> int:
        """:return: number of times that the senders have been replaced for lack of news"""
        return max(0, int((now_s - self.news_s) / ROTATION_S)) if self.news_s < inf else 0

    def get_part(self, position: int, live: int, gateways: int) -> int:
        """:return: requests in flight that a gateway may have at the endpoint

        :param position: position of the gateway among the live ones, from 0
        :param live: number of live gateways
        :param gateways: number of all gateways; those that are not live keep their share
        """
        window = max(1, int(self.window * live / gateways))
        senders = min(live, ceil(window / 2))
        if position >= senders:
            return 0
        return window // senders + (position < window % senders)

    def is_slow(self, seconds: float, expected_s: float) -> bool:
        """Record a response.

        :return: whether it and the recent ones are slow; one costly request shows nothing
        """
        self._mean_duration_s = _average(self._mean_duration_s, seconds)
        slowness = seconds / max(MIN_SLOW_S, SLOW_FACTOR * expected_s)
        self._mean_slowness = _average(self._mean_slowness, slowness)
        return slowness > 1.0 and self._mean_slowness > 1.0

    def note_good(self, count: int, now_s: float) -> bool:
        """Record successes at the expected speed.

        :return: whether they show that an unreachable endpoint answers again
        """
        self.news_s = now_s
        was_down = self.is_down
        if was_down:
            self.is_down = False
            self.window = INITIAL_WINDOW
            self.begun_s = self.bad_s = now_s
        self.successes_since_cut += count
        self.window += GROWTH_PER_SUCCESS * count
        return was_down

    def note_bad(self, now_s: float) -> bool:
        """Record a failure or a slow response.

        While an endpoint says that it is slow, these reduce its window but do not prolong it.

        :return: whether it reduces the window, which happens at most once in a round trip
        """
        if now_s >= self.cold_until_s:
            self.bad_s = now_s
        return self._reduce(now_s)

    def _reduce(self, now_s: float) -> bool:
        self.news_s = now_s
        if self.released_until_s is not None:
            self.released_until_s = None
            self.window = min(self.window, max(INITIAL_WINDOW, self.end_window))
        round_trip_s = max(MIN_ROUND_TRIP_S, self._mean_duration_s or 0.0)
        if self.is_down or now_s - self.cut_s < round_trip_s:
            return False
        self.window = max(1.0, self.window / 2)
        self.cut_s = now_s
        self.successes_since_cut = 0
        return True

    def merge(self, sender: PaceSender, report: PaceReport, now_s: float) -> None:
        """Add the counts of a peer; the greatest count of each sender is used."""
        known = self.counts_by_sender.get(sender)
        is_new = known is None
        old_successes, old_failures = known or (0, 0)
        successes = max(old_successes, report.successes)
        failures = max(old_failures, report.failures)
        self.counts_by_sender[sender] = (successes, failures)
        self.usable_s = min(self.usable_s, now_s - max(0.0, report.age_s))
        if is_new and self.is_adopted:
            # The adopted window contains these.
            self.successes_since_cut += successes
            return
        if report.quiet_s is not None:
            self.bad_s = max(self.bad_s, now_s - report.quiet_s)
        if failures > old_failures:
            self._reduce(now_s)
        if successes > old_successes:
            self.note_good(successes - old_successes, now_s)

    def may_end(self, now_s: float) -> bool:
        """:return: whether what is known of the endpoint permits to end the window"""
        if self.is_down or now_s < self.cold_until_s or self.cold_left_s:
            return False
        if self.window > self.end_window and self.successes_since_cut >= INITIAL_WINDOW:
            return True
        # Without a success or a stated time, it may have had no model to serve requests with.
        is_stated = self.cold_until_s > -inf and self.successes_since_cut
        begin_s = self.begun_s if is_stated else self.usable_s
        return now_s >= max(begin_s, self.bad_s) + MAX_QUIET_S

    def earn(self, amount: float) -> None:
        """Add what the endpoint is owed of the request that is decided on, while released."""
        self.credit = min(MAX_CREDIT, self.credit + amount)


def _average(mean: float | None, sample: float) -> float:
    return sample if mean is None else mean + RESPONSE_WEIGHT * (sample - mean)
