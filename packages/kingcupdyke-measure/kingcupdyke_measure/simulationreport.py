"""
kingcupdyke_measure.simulationreport
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What callers got in a play.
"""

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

__all__ = ["PlayOutcome", "PlayReport", "PlayResult", "format_play"]

#: Reasons that are listed.
MOST_REASONS = 4


class PlayOutcome(StrEnum):
    """How a caller's request ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    #: The caller left.
    GIVEN_UP = "given_up"


class PlayResult(NamedTuple):
    """One caller's request."""

    kind: str
    model: str
    adapter: str
    outcome: PlayOutcome
    #: Why it was not served.
    reason: str
    is_on_time: bool
    tries: int


class PlayReport(NamedTuple):
    """A whole play."""

    name: str
    results: tuple[PlayResult, ...]
    #: Times at which loads from the weight store began, in seconds.
    store_loads_s: tuple[float, ...]
    orders: int
    #: Overcommits of memory.
    violations: tuple[str, ...]

    def share(self, kind: str = "", on_time: bool = False) -> float:
        """:return: share of the requests of a kind, or of all, that were served

        :param on_time: only those that were on time
        """
        results = [each for each in self.results if kind in ("", each.kind)]
        if not results:
            return 1.0
        served = [each for each in results if each.outcome is PlayOutcome.SERVED]
        return sum(each.is_on_time or not on_time for each in served) / len(results)


def format_play(report: PlayReport) -> list[str]:
    """:return: the report as lines of text"""
    lines = [f"{'kind':24} {'asked':>6} {'on time':>8} {'late':>6} {'refused':>8} {'failed':>7}"]
    for kind in dict.fromkeys(each.kind for each in report.results):
        lines.append(_format_kind(kind, [each for each in report.results if each.kind == kind]))
    lines.append(f"{len(report.store_loads_s)} loads from the store, {report.orders} orders")
    lines += [f"violation: {each}" for each in report.violations]
    reasons = Counter(
        f"{each.outcome}: {each.reason} ({each.model})"
        for each in report.results
        if each.outcome is not PlayOutcome.SERVED
    )
    lines += [f"  {count:4} {reason}" for reason, count in reasons.most_common(MOST_REASONS)]
    return lines


def _format_kind(kind: str, results: Iterable[PlayResult]) -> str:
    counts = Counter(each.outcome for each in results)
    on_time = sum(each.is_on_time for each in results)
    late = counts[PlayOutcome.SERVED] - on_time
    failed = counts[PlayOutcome.FAILED] + counts[PlayOutcome.GIVEN_UP]
    asked = counts.total()
    return f"{kind:24} {asked:6} {on_time:8} {late:6} {counts[PlayOutcome.REFUSED]:8} {failed:7}"
