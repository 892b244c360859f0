"""
kingcupdyke_measure.meter
~~~~~~~~~~~~~~~~~~~~~~~~~

Measures processor time and memory of calls and of processes.
"""

import gc
import os
import tracemalloc
from collections.abc import Callable, Iterable
from pathlib import Path
from time import process_time
from typing import NamedTuple

__all__ = ["Row", "measure_bytes_per_entry", "read_cpu_s", "read_resident_bytes", "time_call_us"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
#: Runs of a timed loop. The fastest one counts, as other processes use the same processors.
_TIMING_RUNS = 3
#: Index of the user time among the fields of ``/proc/PID/stat`` after the process's name; the
#: kernel time follows it.
_USER_TIME_INDEX = 11


class Row(NamedTuple):
    """One measured value of a report."""

    label: str
    #: Size or condition at which it was measured, such as ``16 candidates``.
    size: str
    value: float
    unit: str


def time_call_us(call: Callable[[], object], times: int) -> float:
    """:return: microseconds of processor time for one call, in the fastest of several loops"""
    fastest_s = min(_time_loop_s(call, times) for _ in range(_TIMING_RUNS))
    return fastest_s / times * 1e6


def measure_bytes_per_entry(build: Callable[[], object], entries: int) -> float:
    """Measure the memory of an object that has entries.

    :param build: makes the object
    :return: allocated bytes, divided by the number of entries
    """
    gc.collect()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    after_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return (after_bytes - before_bytes) / entries


def read_cpu_s(pids: Iterable[int]) -> float:
    """:return: processor seconds of processes, in user and kernel mode"""
    return sum(_read_process_cpu_s(pid) for pid in pids)


def read_resident_bytes(pid: int) -> int:
    """:return: bytes of resident memory of a process"""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES


def _read_process_cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_INDEX]) + int(fields[_USER_TIME_INDEX + 1])
    return ticks / _TICKS_PER_S


def _time_loop_s(call: Callable[[], object], times: int) -> float:
    started_s = process_time()
    for _ in range(times):
        call()
    return process_time() - started_s
