"""
kingcupdyke_daemon.forwarder.metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Counters, histograms and gauges of a forwarding gateway, in Prometheus text format.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import Histogram, MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from kingcupdyke_daemon.forwarder.reply import ClientRequest, Reply, RequestHandler

__all__ = ["ForwarderMetrics", "MetricsHandler", "RequestTimes"]

#: Prefix of all metric names.
METRIC_PREFIX = "kingcupdyke_"
#: Bucket bounds of the histograms.
BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 30.0)
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

#: Returns the values of a gauge by the value of its label.
GaugeReader = Callable[[], Mapping[str, float]]


class RequestTimes(NamedTuple):
    """Durations of one request."""

    #: From its arrival to its end.
    total_s: float
    #: For which its first bytes may have waited until they were read.
    unread_s: float
    #: From its arrival to the first part of the answer, or None without an answer.
    first_s: float | None
    #: Total time in the queue, over all attempts.
    queued_s: float
    #: Longest pause between two pieces of a stream after its first event, or None without one.
    longest_pause_s: float | None
    #: From the end of the last endpoint's answer, or the decision to give up, until the answer was
    #: written.
    writing_s: float
    #: From its deadline to its end; 0 if it ended before.
    overdue_s: float


class ForwarderMetrics:
    """The metrics of one gateway.

    :param host: name of the host
    """

    def __init__(self, host: str) -> None:
        self._registry = CollectorRegistry()
        bounds = ExplicitBucketHistogramAggregation(BUCKET_BOUNDS_S)
        self._provider = MeterProvider(
            metric_readers=[
                PrometheusMetricReader(
                    disable_target_info=True, scope_info_enabled=False, registry=self._registry
                )
            ],
            resource=Resource({"service.name": "kingcupdyke-forwarder", "host.name": host}),
            views=[View(instrument_type=Histogram, aggregation=bounds)],
        )
        self._meter = self._provider.get_meter("kingcupdyke")
        create_counter = self._meter.create_counter
        create_histogram = self._meter.create_histogram
        self._requests = create_counter(f"{METRIC_PREFIX}requests")
        self._caller_requests = create_counter(f"{METRIC_PREFIX}caller_requests")
        self._decisions = create_counter(f"{METRIC_PREFIX}decisions")
        self._retries = create_counter(f"{METRIC_PREFIX}repeats")
        self._orders = create_counter(f"{METRIC_PREFIX}orders")
        self._backoffs = create_counter(f"{METRIC_PREFIX}endpoint_backoffs")
        self._calls_in_backoff = create_counter(f"{METRIC_PREFIX}calls_in_backoff")
        self._answers = create_counter(f"{METRIC_PREFIX}answers")
        self._continuations = create_counter(f"{METRIC_PREFIX}stream_continuations")
        self._quota_denials = create_counter(f"{METRIC_PREFIX}quota_denied")
        self._task_errors = create_counter(f"{METRIC_PREFIX}task_errors")
        self._aborted = create_counter(f"{METRIC_PREFIX}aborted_answers")
        self._faulty_answers = create_counter(f"{METRIC_PREFIX}faulty_answers")
        self._watches = create_counter(f"{METRIC_PREFIX}store_watches")
        self._rejected_messages = create_counter(f"{METRIC_PREFIX}rejected_peer_messages")
        self._rejected_requests = create_counter(f"{METRIC_PREFIX}rejected_requests")
        self._closed_connections = create_counter(f"{METRIC_PREFIX}closed_connections")
        self._total = create_histogram(f"{METRIC_PREFIX}request_seconds")
        self._first = create_histogram(f"{METRIC_PREFIX}first_part_seconds")
        self._longest_pause = create_histogram(f"{METRIC_PREFIX}longest_pause_seconds")
        self._queued = create_histogram(f"{METRIC_PREFIX}queue_wait_seconds")
        self._unread = create_histogram(f"{METRIC_PREFIX}unread_seconds")
        self._writing = create_histogram(f"{METRIC_PREFIX}answer_write_seconds")
        self._overdue = create_histogram(f"{METRIC_PREFIX}overdue_seconds")

    def count_decision(self, route: str, decision: str, reason: str = "") -> None:
        """Count a decision of the dispatcher.

        :param decision: ``send``, ``wait`` or ``refuse``
        """
        self._decisions.add(1, {"route": route, "decision": decision, "reason": reason})

    def count_retry(self, service: str, is_granted: bool) -> None:
        """Count a retry that the retry budget granted or denied."""
        outcome = "granted" if is_granted else "denied"
        self._retries.add(1, {"service": service, "outcome": outcome})

    def count_order(self, kind: str, outcome: str) -> None:
        """Count an order to an engine by its outcome."""
        self._orders.add(1, {"kind": kind, "outcome": outcome})

    def count_backoff(self, call: str) -> None:
        """Count an answer to a call in which an endpoint requests backoff."""
        self._backoffs.add(1, {"call": call})

    def count_call_in_backoff(self, call: str) -> None:
        """Count a call to an endpoint before the end of the backoff that it has requested."""
        self._calls_in_backoff.add(1, {"call": call})

    def count_task_error(self, task: str) -> None:
        """Count an unexpected error, by the task that it has ended or interrupted."""
        self._task_errors.add(1, {"task": task})

    def count_faulty_answer(self, fault: str) -> None:
        """Count bytes of an endpoint that are no answer, by what is wrong with them."""
        self._faulty_answers.add(1, {"fault": fault})

    def count_watch(self, kind: str, end: str) -> None:
        """Count a call that watches a kind of the store's objects, by how it has ended."""
        self._watches.add(1, {"kind": kind, "end": end})

    def count_rejected_message(self, reason: str) -> None:
        """Count a datagram that is dropped.

        :param reason: ``unknown kind`` or ``invalid``
        """
        self._rejected_messages.add(1, {"reason": reason})

    def count_rejected_request(self, listener: str, status: int) -> None:
        """Count a request that is rejected before it reaches its handler."""
        self._rejected_requests.add(1, {"listener": listener, "status": str(status)})

    def count_closed_connection(self, listener: str, reason: str) -> None:
        """Count a connection that is closed for lack of room, by what it was doing."""
        self._closed_connections.add(1, {"listener": listener, "reason": reason})

    def count_aborted_answer(self) -> None:
        """Count an answer that is aborted since its client takes no byte."""
        self._aborted.add(1)

    def record_request(self, route: str, outcome: str, status: int, times: RequestTimes) -> None:
        """Record the outcome and the durations of a request."""
        labels = {"route": route}
        self._requests.add(1, labels | {"outcome": outcome, "status": str(status)})
        self._total.record(times.total_s, labels)
        self._queued.record(times.queued_s, labels)
        self._unread.record(times.unread_s, labels)
        self._writing.record(times.writing_s, labels)
        if times.overdue_s > 0.0:
            self._overdue.record(times.overdue_s, labels)
        if times.first_s is not None:
            self._first.record(times.first_s, labels)
        if times.longest_pause_s is not None:
            self._longest_pause.record(times.longest_pause_s, labels)

    def count_caller_request(self, caller: str, outcome: str, status: int) -> None:
        """Count a request of a caller by its outcome."""
        labels = {"caller": caller, "outcome": outcome, "status": str(status)}
        self._caller_requests.add(1, labels)

    def count_quota_denial(self, caller: str, is_known: bool) -> None:
        """Count a request that the quota of its caller denied.

        :param is_known: whether it was beyond the quota; if not, the owner did not answer
        """
        reason = "beyond" if is_known else "unanswered"
        self._quota_denials.add(1, {"caller": caller, "reason": reason})

    def count_answer(self, route: str, framing: str, is_partial: bool) -> None:
        """Count the last answer of an endpoint to a request.

        :param framing: what marked its end, or empty if there was no answer
        :param is_partial: whether it ended within an event
        """
        if framing:
            labels = {"route": route, "framing": framing, "partial": str(is_partial).lower()}
            self._answers.add(1, labels)

    def count_continuation(self, outcome: str, reason: str) -> None:
        """Count a stream that is to continue after it broke off.

        :param outcome: ``continued`` or ``rejected``
        :param reason: why it is rejected, or what proves its software version
        """
        self._continuations.add(1, {"outcome": outcome, "reason": reason})

    def add_gauge(self, name: str, read: GaugeReader, label: str = "") -> None:
        """Add a gauge that is read whenever the metrics are rendered.

        :param label: name of the label, or empty for a gauge with a single value
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, {label: key} if label else {}) for key, value in read().items()
            ]

        self._meter.create_observable_gauge(f"{METRIC_PREFIX}{name}", [observe])

    def render(self) -> bytes:
        """:return: all metrics as text"""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the metrics."""
        self._provider.shutdown()


class MetricsHandler(RequestHandler):
    """Serves the metrics over HTTP.

    :param metrics: the metrics to serve
    """

    #: Path of the metrics.
    path = "/metrics"

    def __init__(self, metrics: ForwarderMetrics) -> None:
        self._metrics = metrics

    async def handle(self, request: ClientRequest, reply: Reply) -> None:
        if request.path != self.path:
            await reply.answer(404, [], b"")
            return
        await reply.answer(200, [(b"content-type", CONTENT_TYPE)], self._metrics.render())
