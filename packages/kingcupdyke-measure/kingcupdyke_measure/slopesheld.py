"""
kingcupdyke_measure.slopesheld
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Slopes of what a daemon holds and records: keys, ended attempts, metrics and heartbeat replies.
"""

from collections.abc import Iterator

import anyio

from kingcupdyke.keyrecord import KeyBucket, KeyRecord, KeyState, decode_bucket, encode_bucket
from kingcupdyke_daemon.metrics import DaemonMetrics
from kingcupdyke_daemon.settings import SidecarSettings
from kingcupdyke_daemon.sidecar.health import BackendHealth
from kingcupdyke_daemon.sidecar.run import Run
from kingcupdyke_daemon.sidecar.service import EndpointState
from kingcupdyke_measure.meter import Row, measure_bytes_per_entry, time_call_us
from kingcupdyke_wire.sidecar_pb2 import BeatRequest, CacheEvent, RunRequest

__all__ = ["list_held_rows"]

_RECORD_COUNTS = (10, 100, 500)
_ATTEMPT_COUNTS = (100, 1000)
_BODY_SIZES_BYTES = (256, 2048)
_EVENT_COUNTS = (0, 512, 4096)
#: An event of a stream, with one token.
_TOKEN = b'data: {"choices": [{"index": 0, "delta": {"content": " word"}}]}\n\n'
_TOKEN_COUNT = 100


def list_held_rows(seed: int) -> Iterator[Row]:
    """:return: the measured rows"""
    yield from _measure_records()
    yield from anyio.run(_measure_attempts)
    yield from _measure_metrics()
    yield from _measure_heartbeats()


def _make_record(number: int) -> KeyRecord:
    return KeyRecord(
        "bookings",
        f"booking-{number:012d}",
        f"{number:032x}",
        f"{number:032x}",
        "host-00001",
        "0" * 29,
        KeyState.ANSWERED,
        200,
        "application/json",
        b'{"booking": "confirmed", "number": 123456}',
        1.7e9,
    )


def _make_bucket(records: int) -> KeyBucket:
    return KeyBucket({f"bookings\0{n}": _make_record(n) for n in range(records)})


def _measure_records() -> Iterator[Row]:
    for records in _RECORD_COUNTS:
        size = f"{records} records in a bucket"
        entry_bytes = measure_bytes_per_entry(lambda n=records: _make_bucket(n), records)
        yield Row("key's record held", size, entry_bytes, "bytes a record")
        bucket = _make_bucket(records)
        stored = encode_bucket(bucket)
        yield Row("key's record stored", size, len(stored) / records, "bytes a record")
        encode_us = time_call_us(lambda b=bucket: encode_bucket(b), 20)
        yield Row("bucket encoded", size, encode_us, "us a bucket")
        decode_us = time_call_us(lambda s=stored: decode_bucket(s), 20)
        yield Row("bucket decoded", size, decode_us, "us a bucket")


def _make_attempts(count: int, body_bytes: int) -> list[Run]:
    runs = []
    for number in range(count):
        request = RunRequest(
            request_id=f"{number:032x}",
            attempt_id=f"{number:032x}",
            caller="caller",
            target="model",
            body=bytes(body_bytes),
            deadline_ms=2000,
        )
        run = Run(request, 0.0)
        for token in range(_TOKEN_COUNT):
            run.add(bytes(bytearray(_TOKEN)), float(token), 0.01)
        run.finish(None, 100.0)
        runs.append(run)
    return runs


async def _measure_attempts() -> list[Row]:
    rows = []
    for count in _ATTEMPT_COUNTS:
        for body_bytes in _BODY_SIZES_BYTES:
            size = f"{count} of {body_bytes} bytes, {_TOKEN_COUNT} tokens"
            entry_bytes = measure_bytes_per_entry(
                lambda n=count, b=body_bytes: _make_attempts(n, b), count
            )
            rows.append(Row("attempt held after its end", size, entry_bytes, "bytes an attempt"))
    return rows


def _measure_metrics() -> Iterator[Row]:
    metrics = DaemonMetrics("host", "gateway")
    for callers in (1, 20, 500):
        numbers = iter(range(10**9))

        def record(callers=callers, numbers=numbers) -> None:
            caller = f"caller-{next(numbers) % callers}"
            metrics.record_queue_wait(caller, "interactive", 0.01)
            metrics.record_time_to_first_part(caller, "interactive", 0.1)
            metrics.record_time_between_parts(caller, "interactive", 0.03)
            metrics.record_request(caller, "interactive", 1.0, "delivered")

        yield Row("metrics", f"{callers} callers", time_call_us(record, 1000), "us a request")


class _AttemptTableStub:
    #: Number of running attempts.
    running = 8


def _measure_heartbeats() -> Iterator[Row]:
    fields = dict.fromkeys(SidecarSettings._fields) | {"services_by_name": {}}
    settings = SidecarSettings(**fields)
    request = BeatRequest(sequence=1, holdings_version=1)
    for events in _EVENT_COUNTS:
        health = BackendHealth("", settings.services_by_name)
        state = EndpointState(
            settings, "0" * 29, _AttemptTableStub(), None, health, lambda: 7, lambda: False
        )
        for number in range(events):
            state.cache_events.append(CacheEvent(sequence=number, stored=True, prefix="f" * 16))
        reply_us = time_call_us(lambda s=state, n=events: s.make_heartbeat_reply(request, n), 200)
        yield Row("reply to a heartbeat, nothing new", f"{events} cache events", reply_us, "us")
