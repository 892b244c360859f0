"""
kingcupdyke_measure.report
~~~~~~~~~~~~~~~~~~~~~~~~~~

Computes and formats the results of a policy run: attainment, rejections, times and moves.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from math import ceil
from typing import NamedTuple

from kingcupdyke_measure.load import ArrivalResult

__all__ = [
    "GroupReport",
    "Moves",
    "PolicyReport",
    "count_losses",
    "format_policy",
    "get_percentile",
    "group_results",
    "is_attained",
    "report_group",
]

#: HTTP status of a rejected request, which was not executed.
_REJECTED_STATUS = 503


class Moves(NamedTuple):
    """Loads and bytes moved during a run."""

    #: Loads of models from the weight store, and their bytes.
    loads: int
    loaded_bytes: int
    #: Part of the loaded bytes that went into another region than that of the weight store.
    far_loaded_bytes: int
    #: Adapters that are resident at the end of the run; engines start without adapters.
    adapters: int
    #: Bytes of all other traffic on the links between regions, in both directions.
    link_bytes: int

    @property
    def crossing_bytes(self) -> int:
        """Bytes moved between regions: weights and other traffic."""
        return self.far_loaded_bytes + self.link_bytes


class GroupReport(NamedTuple):
    """Counts and times of a group of requests; times in seconds."""

    sent: int
    #: Answered completely, within the deadline and, with a key, executed exactly once.
    attained: int
    #: Answered completely, but not attained.
    late: int
    refused: int
    #: Neither complete nor rejected: failed, outcome unknown, or without an answer.
    lost: int
    #: Times until the rejections.
    refused_s: tuple[float, ...]
    #: Times to the first part of complete answers.
    first_part_s: tuple[float, ...]
    #: Mean times between the parts of complete answers.
    part_interval_s: tuple[float, ...]


class PolicyReport(NamedTuple):
    """The report of one run of a scenario with one variant."""

    variant: str
    accelerators: int
    all_requests: GroupReport
    by_caller: dict[str, GroupReport]
    by_kind: dict[str, GroupReport]
    moves: Moves
    #: Requests that were neither complete nor rejected, by kind, status and code.
    losses: dict[str, int]
    violations: tuple[str, ...]

    @property
    def attained_per_accelerator(self) -> float:
        """Attained requests per accelerator."""
        return self.all_requests.attained / self.accelerators


def get_percentile(values: Sequence[float], percent: float) -> float:
    """:return: the nearest-rank percentile; 0.0 if there are no values"""
    if not values:
        return 0.0
    rank = max(1, ceil(percent / 100 * len(values)))
    return sorted(values)[rank - 1]


def is_attained(result: ArrivalResult, runs_by_key: Mapping[str, int]) -> bool:
    """:return: whether the answer was complete, in time and, with a key, from the only run"""
    key = result.arrival.key
    return result.attained and (not key or runs_by_key.get(key, 0) == 1)


def report_group(results: Iterable[ArrivalResult], runs_by_key: Mapping[str, int]) -> GroupReport:
    """:return: counts and times of a group of requests"""
    results = list(results)
    complete = [each for each in results if each.whole]
    attained = sum(is_attained(each, runs_by_key) for each in complete)
    refused = [each for each in results if each.status == _REJECTED_STATUS]
    part_interval_s = [each.part_interval_s for each in complete if each.part_interval_s]
    return GroupReport(
        len(results),
        attained,
        len(complete) - attained,
        len(refused),
        len(results) - len(complete) - len(refused),
        tuple(each.total_s for each in refused),
        tuple(each.first_part_s for each in complete),
        tuple(part_interval_s),
    )


def group_results(
    results: Iterable[ArrivalResult],
    runs_by_key: Mapping[str, int],
    key: Callable[[ArrivalResult], str],
) -> dict[str, GroupReport]:
    """:return: a report for each value of ``key``"""
    groups: dict[str, list[ArrivalResult]] = {}
    for each in results:
        groups.setdefault(key(each), []).append(each)
    return {name: report_group(group, runs_by_key) for name, group in sorted(groups.items())}


def count_losses(results: Iterable[ArrivalResult]) -> dict[str, int]:
    """:return: number of requests neither complete nor rejected, by kind, status and code"""
    lost = (each for each in results if not each.whole and each.status != _REJECTED_STATUS)
    counts = Counter(f"{each.arrival.kind} {each.status} {each.code}".strip() for each in lost)
    return dict(sorted(counts.items()))


def format_policy(report: PolicyReport) -> list[str]:
    """:return: the lines of the report on one run"""
    moves = report.moves
    lines = [
        f"## {report.variant}",
        f"attained per accelerator {report.attained_per_accelerator:.1f};"
        f" moves: {moves.loads} loads of {moves.loaded_bytes / 1e9:.1f} GB,"
        f" {moves.adapters} adapters; across regions {moves.far_loaded_bytes / 1e9:.1f} GB"
        f" of weights and {moves.link_bytes / 1e6:.2f} MB of traffic",
        f"violations: {len(report.violations)} {'; '.join(report.violations)}".rstrip(),
        "losses: " + (", ".join(f"{name} {n}" for name, n in report.losses.items()) or "none"),
        _format_group("all", report.all_requests),
    ]
    lines += [_format_group(f"caller {n}", each) for n, each in report.by_caller.items()]
    lines += [_format_group(f"kind {n}", each) for n, each in report.by_kind.items()]
    return [*lines, ""]


def _format_group(name: str, group: GroupReport) -> str:
    return (
        f"{name:28} sent {group.sent:4} attained {group.attained:4} late {group.late:3}"
        f" refused {group.refused:3} (after {_format_times(group.refused_s)} ms)"
        f" lost {group.lost:3}; first {_format_times(group.first_part_s)} ms,"
        f" between {_format_times(group.part_interval_s)} ms"
    )


def _format_times(values: Sequence[float]) -> str:
    return "/".join(f"{get_percentile(values, each) * 1000:.0f}" for each in (50, 95, 99))
