"""
kingcupdyke_measure.meter
~~~~~~~~~~~~~~~~~~~~~~~~~

Processor time and memory of calls and of processes.
"""

import gc
import os
import tracemalloc
from collections.abc import Callable, Iterable
from pathlib import Path
from time import process_time
from typing import NamedTuple

__all__ = ["Row", "count_bytes", "read_cpu_s", "read_resident_bytes", "time_call_us"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
#: Repeats of a timed loop, of which the fastest counts: others share the machine.
_REPEATS = 3
#: Fields of ``/proc/PID/stat`` after the name, up to the first that is wanted.
_USER_TIME_FIELD = 11


class Row(NamedTuple):
    """One figure of a report."""

    what: str
    #: What the figure was measured at, such as ``16 candidates``.
    size: str
    value: float
    unit: str


def time_call_us(call: Callable[[], object], times: int) -> float:
    """:return: microseconds of this process's processor time for one call, at its fastest"""
    best_s = min(_time_loop_s(call, times) for _ in range(_REPEATS))
    return best_s / times * 1e6


def count_bytes(build: Callable[[], object], entries: int) -> float:
    """:return: bytes of memory for each entry of what is built"""
    gc.collect()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    held = build()
    gc.collect()
    after_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return (after_bytes - before_bytes) / entries


def read_cpu_s(pids: Iterable[int]) -> float:
    """:return: processor seconds that processes have used, in the kernel too"""
    return sum(_read_process_cpu_s(pid) for pid in pids)


def read_resident_bytes(pid: int) -> int:
    """:return: resident memory of a process"""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES


def _read_process_cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_USER_TIME_FIELD + 1])
    return ticks / _TICKS_PER_S


def _time_loop_s(call: Callable[[], object], times: int) -> float:
    begun_s = process_time()
    for _ in range(times):
        call()
    return process_time() - begun_s
