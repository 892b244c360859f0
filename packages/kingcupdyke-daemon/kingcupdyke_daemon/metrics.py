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
    """The metrics of one process.

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
        self._time_to_first_part = meter.create_histogram("time_to_first_part_seconds", "s")
        self._time_between_parts = meter.create_histogram("time_between_parts_seconds", "s")
        self._request_time = meter.create_histogram("whole_time_seconds", "s")
        self._queue_wait = meter.create_histogram("queue_wait_seconds", "s")
        self._request_counter = meter.create_counter("requests")
        self._event_counter = meter.create_counter("events")
        self._counts_by_event: dict[str, int] = {}

    def record_time_to_first_part(self, caller: str, service_class: str, seconds: float) -> None:
        """Record the time from arrival to the first part."""
        self._time_to_first_part.record(seconds, {"caller": caller, "class": service_class})

    def record_time_between_parts(self, caller: str, service_class: str, seconds: float) -> None:
        """Record a stream's mean time between parts, once per stream."""
        self._time_between_parts.record(seconds, {"caller": caller, "class": service_class})

    def record_request(self, caller: str, service_class: str, seconds: float, outcome: str) -> None:
        """Record the duration and the outcome of a request that has ended."""
        labels = {"caller": caller, "class": service_class}
        self._request_time.record(seconds, labels)
        self._request_counter.add(1, labels | {"outcome": outcome})

    def record_queue_wait(self, caller: str, service_class: str, seconds: float) -> None:
        """Record the time that a request waited for admission."""
        self._queue_wait.record(seconds, {"caller": caller, "class": service_class})

    def count(self, event: str) -> None:
        """Count an event, such as ``retry`` or ``resume``."""
        self._event_counter.add(1, {"event": event})
        self._counts_by_event[event] = self._counts_by_event.get(event, 0) + 1

    @property
    def counts_by_event(self) -> dict[str, int]:
        """The events counted so far, for the status page."""
        return dict(self._counts_by_event)
