"""
kingcupdyke_daemon.metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~

Counters and histograms, scraped over HTTP.
"""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource

__all__ = ["DaemonMetrics"]

#: Bounds of the histograms, in seconds.
_BOUNDS_S = (0.001, 0.0025, 0.005, 0.01, 0.02, 0.034, 0.05, 0.1, 0.2, 0.41, 0.8, 1.6, 3, 6, 15, 60)


class DaemonMetrics:
    """The instruments of one process.

    :param host: name of the host
    :param role: ``gateway`` or ``sidecar``
    """

    def __init__(self, host: str, role: str) -> None:
        bounds = ExplicitBucketHistogramAggregation(_BOUNDS_S)
        provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()],
            resource=Resource({"service.name": f"kingcupdyke-{role}", "host.name": host}),
            views=[View(instrument_name="*_seconds", aggregation=bounds)],
        )
        meter = provider.get_meter("kingcupdyke")
        self._first = meter.create_histogram("time_to_first_part_seconds", "s")
        self._between = meter.create_histogram("time_between_parts_seconds", "s")
        self._whole = meter.create_histogram("whole_time_seconds", "s")
        self._queued = meter.create_histogram("queue_wait_seconds", "s")
        self._outcomes = meter.create_counter("requests")
        self._events = meter.create_counter("events")
        self._counts_by_event: dict[str, int] = {}

    def record_first(self, caller: str, service_class: str, seconds: float) -> None:
        """Record the time from arrival to the first part."""
        self._first.record(seconds, {"caller": caller, "class": service_class})

    def record_between(self, caller: str, service_class: str, seconds: float) -> None:
        """Record a stream's mean time between parts: one record a stream, not one a part."""
        self._between.record(seconds, {"caller": caller, "class": service_class})

    def record_whole(self, caller: str, service_class: str, seconds: float, outcome: str) -> None:
        """Record a request that ended, with its outcome."""
        labels = {"caller": caller, "class": service_class}
        self._whole.record(seconds, labels)
        self._outcomes.add(1, labels | {"outcome": outcome})

    def record_queued(self, caller: str, service_class: str, seconds: float) -> None:
        """Record the time that a request waited for admission."""
        self._queued.record(seconds, {"caller": caller, "class": service_class})

    def count(self, event: str) -> None:
        """Count an event, such as ``retry`` or ``resume``."""
        self._events.add(1, {"event": event})
        self._counts_by_event[event] = self._counts_by_event.get(event, 0) + 1

    @property
    def counts_by_event(self) -> dict[str, int]:
        """The events counted so far, for the status page."""
        return dict(self._counts_by_event)
