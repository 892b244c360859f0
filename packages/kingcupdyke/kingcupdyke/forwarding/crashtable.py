"""
kingcupdyke.forwarding.crashtable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the parts of prompts that crash endpoints, and tells which requests must not be sent.

A part that crashes every endpoint that begins to answer a prompt with it is in a prompt at each of
these crashes, and no answer to a prompt with it goes on. The other prompts at these endpoints, and
the other parts of the crashing ones, are answered elsewhere, which clears them.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from itertools import islice
from math import inf
from typing import NamedTuple

from kingcupdyke.forwarding.crashreport import CrashMessage, CrashReport, SoundPart

__all__ = ["CrashSignature", "CrashTable"]

#: Number of crashes from which a part counts as their cause.
MIN_CRASHES = 3
#: Crashes within this time, in seconds, count as one: endpoints that end together, such as those of
#: a rack that loses its power, tell nothing of the prompts that they have in common.
SIMULTANEOUS_S = 0.5
#: Seconds for which a crash is remembered.
CRASH_MEMORY_S = 600.0
#: Limit of remembered reports.
MAX_REPORTS = 512


class CrashSignature(NamedTuple):
    """Parts that together mark the prompts that crash endpoints.

    There is more than one part if no prompt has shown yet which of them is the cause.
    """

    parts: frozenset[str]
    #: Number of crashes at which such a prompt was.
    crashes: int
    #: Time in seconds until which such requests are rejected, unless further crashes follow.
    expires_s: float


class _Crash(NamedTuple):
    """An end of an endpoint's process, by the endpoint and the start of the process."""

    endpoint: str
    started_ms: int


class _Prompt(NamedTuple):
    """A prompt at a crash, with the parts that may have caused it."""

    crash: _Crash
    crashed_s: float
    #: All parts, which identify the prompt.
    parts: tuple[str, ...]
    suspects: frozenset[str]
    is_beginning: bool


class CrashTable:
    """The crashes that a gateway knows, from its own requests and from its peers.

    Tables that have the same reports and the same sound parts, received in any order and any number
    of times, have the same signatures.

    :param max_reports: limit of remembered reports; beyond it the oldest are dropped, and those
        of a signature last
    """

    def __init__(self, max_reports: int = MAX_REPORTS) -> None:
        self._max_reports = max_reports
        #: Time of the crash, and whether the answer was just beginning, of each report.
        self._report_by_key: dict[tuple[_Crash, tuple[str, ...]], tuple[float, bool]] = {}
        #: Time of the latest answer that went on, for each part in a report.
        self._sound_s_by_part: dict[str, float] = {}
        self._signatures: tuple[CrashSignature, ...] = ()
        self._is_changed = False

    def record(self, report: CrashReport, now_s: float) -> bool:
        """Add a report.

        :return: whether it says something new
        """
        if not report.parts or report.age_s >= CRASH_MEMORY_S:
            return False
        key = (_Crash(report.endpoint, report.started_ms), report.parts)
        crashed_s = now_s - max(0.0, report.age_s)
        known = self._report_by_key.get(key)
        if known is not None and known[1] >= report.is_beginning:
            return False
        self._report_by_key[key] = (
            (crashed_s, report.is_beginning) if known is None else (known[0], True)
        )
        self._drop_excess()
        self._is_changed = True
        return True

    def note_sound(self, parts: Iterable[str], now_s: float, age_s: float = 0.0) -> bool:
        """Record that an endpoint has written an answer to a prompt without crashing.

        :param age_s: seconds since then
        :return: whether this clears a part of the suspicion that a report casts on it
        """
        sound_s = now_s - max(0.0, age_s)
        cleared = False
        for part in parts:
            known_s = self._sound_s_by_part.get(part, -inf)
            if sound_s > known_s and self._is_suspected(part, known_s, sound_s):
                self._sound_s_by_part[part] = sound_s
                cleared = True
        self._is_changed = self._is_changed or cleared
        return cleared

    def merge(self, message: CrashMessage, now_s: float) -> bool:
        """Add what a peer knows.

        :return: whether it says something new
        """
        is_new = [self.record(each, now_s) for each in message.reports]
        is_new += [self.note_sound((each.part,), now_s, each.age_s) for each in message.sound_parts]
        return any(is_new)

    def make_message(self, sender: str, now_s: float) -> CrashMessage:
        """:return: all that this table knows"""
        reports = tuple(
            CrashReport(*crash, parts, is_beginning, round(now_s - crashed_s, 3))
            for (crash, parts), (crashed_s, is_beginning) in self._report_by_key.items()
        )
        sound = tuple(
            SoundPart(part, round(now_s - sound_s, 3))
            for part, sound_s in self._sound_s_by_part.items()
        )
        return CrashMessage(sender, reports, sound)

    @property
    def is_empty(self) -> bool:
        """:return: whether no crash is known"""
        return not self._report_by_key

    @property
    def signatures(self) -> tuple[CrashSignature, ...]:
        """:return: marks of the prompts that crash endpoints"""
        if self._is_changed:
            self._is_changed = False
            self._signatures = _find_signatures(self._list_prompts())
        return self._signatures

    def find_signature(self, parts: Collection[str], now_s: float) -> CrashSignature | None:
        """:return: the signature that a prompt has, or None if the request may be sent"""
        for signature in self.signatures:
            if now_s < signature.expires_s and signature.parts.issubset(parts):
                return signature
        return None

    def drop_expired(self, now_s: float) -> None:
        """Forget the crashes of long ago."""
        expired = [
            key
            for key, (crashed_s, _) in self._report_by_key.items()
            if now_s - crashed_s >= CRASH_MEMORY_S
        ]
        if expired:
            self._drop(expired)

    def _is_suspected(self, part: str, after_s: float, until_s: float) -> bool:
        """:return: whether a prompt with a part was at a crash within a time"""
        return any(
            after_s < crashed_s <= until_s and part in parts
            for (_, parts), (crashed_s, _) in self._report_by_key.items()
        )

    def _list_prompts(self) -> list[_Prompt]:
        prompts = []
        for (crash, parts), (crashed_s, is_beginning) in self._report_by_key.items():
            suspects = frozenset(
                each for each in parts if self._sound_s_by_part.get(each, -inf) < crashed_s
            )
            prompts.append(_Prompt(crash, crashed_s, parts, suspects, is_beginning))
        return prompts

    def _drop_excess(self) -> None:
        excess = len(self._report_by_key) - self._max_reports
        if excess <= 0:
            return
        signatures = self._signatures

        def rank(key: tuple[_Crash, tuple[str, ...]]) -> tuple[bool, float]:
            is_needed = any(each.parts.issubset(key[1]) for each in signatures)
            return is_needed, self._report_by_key[key][0]

        self._drop(list(islice(sorted(self._report_by_key, key=rank), excess)))

    def _drop(self, keys: list[tuple[_Crash, tuple[str, ...]]]) -> None:
        for key in keys:
            del self._report_by_key[key]
        kept = {part for _, parts in self._report_by_key for part in parts}
        for part in self._sound_s_by_part.keys() - kept:
            del self._sound_s_by_part[part]
        self._is_changed = True


def _find_signatures(prompts: list[_Prompt]) -> tuple[CrashSignature, ...]:
    """Find the parts that explain crashes, beginning with the one that explains them best.

    A crash that a part explains tells nothing against the other prompts that were there.
    """
    prompts_by_part: dict[str, list[_Prompt]] = defaultdict(list)
    for prompt in prompts:
        for part in prompt.suspects:
            prompts_by_part[part].append(prompt)
    signatures = []
    explained: set[_Crash] = set()
    for part in sorted(prompts_by_part, key=lambda each: _rank(each, prompts_by_part)):
        own = prompts_by_part[part]
        if _count_crashes(each for each in own if each.crash not in explained) < MIN_CRASHES:
            continue
        signature = frozenset.intersection(*(each.suspects for each in own))
        signatures.append(
            CrashSignature(signature, len({each.crash for each in own}), _find_expiry(own))
        )
        explained |= {each.crash for each in prompts if signature <= each.suspects}
    return tuple(signatures)


def _rank(part: str, prompts_by_part: Mapping[str, list[_Prompt]]) -> tuple[float, float, int, str]:
    """:return: the sort key of a part; the lowest one explains its crashes best"""
    own = prompts_by_part[part]
    crashes = {each.crash for each in own}
    beginnings = {each.crash for each in own if each.is_beginning}
    distinct = len({each.parts for each in own})
    return -len(beginnings) / len(crashes), -len(crashes) / len(own), -distinct, part


def _list_crash_times(prompts: Iterable[_Prompt]) -> list[float]:
    """:return: times in seconds of crashes, in order, with simultaneous ones once"""
    crashed_s_by_crash: dict[_Crash, float] = {}
    for each in prompts:
        known_s = crashed_s_by_crash.get(each.crash, inf)
        crashed_s_by_crash[each.crash] = min(known_s, each.crashed_s)
    times_s: list[float] = []
    for crashed_s in sorted(crashed_s_by_crash.values()):
        if not times_s or crashed_s - times_s[-1] >= SIMULTANEOUS_S:
            times_s.append(crashed_s)
    return times_s


def _count_crashes(prompts: Iterable[_Prompt]) -> int:
    return len(_list_crash_times(prompts))


def _find_expiry(prompts: list[_Prompt]) -> float:
    """:return: the time at which too few of the crashes are remembered"""
    return _list_crash_times(prompts)[-MIN_CRASHES] + CRASH_MEMORY_S
