"""
kingcupdyke_measure.simulationreport
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The results of a simulation: the outcomes of client requests, loads, orders and violations.
"""

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

__all__ = ["RequestOutcome", "RequestResult", "SimulationReport", "format_simulation"]

#: Number of the most frequent reasons for unserved requests that a report lists.
MAX_REASONS = 4


class RequestOutcome(StrEnum):
    """How a client request ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    #: The client gave up at its deadline, or as the answer had not started in time.
    GIVEN_UP = "given_up"


class RequestResult(NamedTuple):
    """The result of a client request."""

    kind: str
    model: str
    adapter: str
    outcome: RequestOutcome
    #: Why it was not served, or the empty string.
    reason: str
    #: Whether it was served and its first token came within the objective.
    is_on_time: bool
    attempts: int


class SimulationReport(NamedTuple):
    """The report of a simulation."""

    name: str
    results: tuple[RequestResult, ...]
    #: Times in seconds at which loads from the weight store started.
    store_loads_s: tuple[float, ...]
    #: Number of orders that engines accepted.
    accepted_orders: int
    #: Lines on overcommitted memory, and on unloads of models or adapters in use.
    violations: tuple[str, ...]

    def share(self, kind: str = "", on_time: bool = False) -> float:
        """:return: share of the requests that were served; 1.0 if there were none

        :param kind: name of the kind of requests; the empty string counts all
        :param on_time: whether only requests that were on time count as served
        """
        results = [each for each in self.results if kind in ("", each.kind)]
        if not results:
            return 1.0
        served = [each for each in results if each.outcome is RequestOutcome.SERVED]
        return sum(each.is_on_time or not on_time for each in served) / len(results)


def format_simulation(report: SimulationReport) -> list[str]:
    """:return: the report as lines of text"""
    lines = [f"{'kind':24} {'asked':>6} {'on time':>8} {'late':>6} {'refused':>8} {'failed':>7}"]
    for kind in dict.fromkeys(each.kind for each in report.results):
        lines.append(_format_kind(kind, [each for each in report.results if each.kind == kind]))
    lines.append(
        f"{len(report.store_loads_s)} loads from the store, {report.accepted_orders} orders"
    )
    lines += [f"violation: {each}" for each in report.violations]
    reasons = Counter(
        f"{each.outcome}: {each.reason} ({each.model})"
        for each in report.results
        if each.outcome is not RequestOutcome.SERVED
    )
    lines += [f"  {count:4} {reason}" for reason, count in reasons.most_common(MAX_REASONS)]
    return lines


def _format_kind(kind: str, results: Iterable[RequestResult]) -> str:
    counts = Counter(each.outcome for each in results)
    on_time = sum(each.is_on_time for each in results)
    late = counts[RequestOutcome.SERVED] - on_time
    failed = counts[RequestOutcome.FAILED] + counts[RequestOutcome.GIVEN_UP]
    sent = counts.total()
    return f"{kind:24} {sent:6} {on_time:8} {late:6} {counts[RequestOutcome.REFUSED]:8} {failed:7}"
