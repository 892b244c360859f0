"""
kingcupdyke_daemon.forwarder.processorload
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Measures whether a gateway is short of processor time, for its metrics and log.
"""

import logging
from time import process_time

from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.looptimes import LoopTimes
from kingcupdyke_daemon.records import ProcessorRecord

__all__ = ["ProcessorLoad"]

_LOGGER = logging.getLogger(__name__)
#: Interval between measurements.
INTERVAL_S = 1.0
#: Pass of the event loop from which on a line is logged.
LONG_PASS_S = 0.1


class ProcessorLoad:
    """Measures processor time and the passes of the event loop.

    :param times: those of the event loop
    :param timer: the timer service, which begins a measurement each second
    """

    def __init__(self, times: LoopTimes, timer: TimerService, metrics: ForwarderMetrics) -> None:
        self._times = times
        self._measured_s = timer.now()
        self._used_s = process_time()
        self._longest_pass_s = 0.0
        metrics.add_gauge("processor_seconds", lambda: {"": process_time()})
        metrics.add_gauge("longest_pass_seconds", lambda: {"": self._longest_pass_s})
        timer.subscribe("processor load", INTERVAL_S, self._measure)

    def _measure(self, now_s: float) -> None:
        used_s, elapsed_s = process_time(), now_s - self._measured_s
        share = (used_s - self._used_s) / max(elapsed_s, INTERVAL_S)
        self._used_s, self._measured_s = used_s, now_s
        self._longest_pass_s = self._times.take_longest_pass()
        if self._longest_pass_s >= LONG_PASS_S or elapsed_s >= INTERVAL_S + LONG_PASS_S:
            record = ProcessorRecord(
                round(self._longest_pass_s * 1000), round(elapsed_s * 1000), round(share, 3)
            )
            log_record(_LOGGER, "event loop late", record)
