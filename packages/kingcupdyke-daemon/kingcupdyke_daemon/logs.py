"""
kingcupdyke_daemon.logs
~~~~~~~~~~~~~~~~~~~~~~~

Structured logs, one JSON object per line, written by a thread apart from the event loop.
"""

import json
import logging
import sys
from collections.abc import Callable
from queue import Empty, Full, Queue
from threading import Thread
from typing import Any, NamedTuple, TextIO

from kingcupdyke.budget import TokenBucket

__all__ = [
    "JsonFormatter",
    "LineSampler",
    "QueuedHandler",
    "count_dropped",
    "log_record",
    "start_logs",
]

#: Maximum number of lines that wait to be written; further lines are dropped and counted.
MAX_QUEUED_LINES = 5_000
#: Loggers of libraries of which only errors are of use to operators.
QUIET_LOGGERS = ("uvicorn", "httpcore", "asyncio", "hpack", "h2")


#: Maximum rate at which a ``LineSampler`` writes the lines of one event.
MAX_LINES_PER_S = 100.0


class JsonFormatter(logging.Formatter):
    """Writes a record and its typed fields as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        fields: dict[str, Any] = {
            "time": round(record.created, 4),
            "level": record.levelname,
            "event": record.getMessage(),
        }
        fields |= getattr(record, "fields", {})
        if record.exc_info:
            fields["error"] = self.formatException(record.exc_info)
        return json.dumps(fields, separators=(",", ":"), default=str)


class QueuedHandler(logging.Handler):
    """Passes lines to a writer thread; when its queue is full, lines are dropped without blocking.

    :param stream: where lines are written
    :param max_lines: maximum number of waiting lines
    """

    def __init__(self, stream: TextIO, max_lines: int = MAX_QUEUED_LINES) -> None:
        super().__init__()
        self._stream = stream
        self._lines: Queue[str] = Queue(max_lines)
        #: Number of lines dropped since the last report of them, and since the start.
        self.dropped = 0
        self.total_dropped = 0
        self._writer = Thread(target=self._write_forever, daemon=True)
        self._writer.start()

    def emit(self, record: logging.LogRecord) -> None:
        try:
            self._lines.put_nowait(self.format(record))
        except Full:
            self.dropped += 1
            self.total_dropped += 1

    def flush_for(self, seconds: float) -> None:
        """Wait until all lines are written, at most twice ``seconds``."""
        try:
            self._lines.put(None, timeout=seconds)
        except Full:
            return
        self._writer.join(seconds)

    def _write_forever(self) -> None:
        while True:
            line = self._lines.get()
            if line is None:
                return
            lines = [line]
            try:
                while (line := self._lines.get_nowait()) is not None:
                    lines.append(line)
            except Empty:
                pass
            if self.dropped:
                dropped, self.dropped = self.dropped, 0
                lines.append(json.dumps({"event": "lines dropped", "lines": dropped}))
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
            if line is None:
                return


class LineSampler:
    """Limits the lines of each event per second, and counts those that are skipped.

    :param now: returns the time in seconds
    :param max_lines_per_s: limit of the lines of each event
    """

    def __init__(self, now: Callable[[], float], max_lines_per_s: float = MAX_LINES_PER_S) -> None:
        self._now = now
        self._max_lines_per_s = max_lines_per_s
        self._bucket_by_event: dict[str, TokenBucket] = {}
        self._skipped_by_event: dict[str, int] = {}

    def log(
        self, logger: logging.Logger, event: str, fields: NamedTuple, level: int = logging.INFO
    ) -> None:
        """Log an event, unless its rate is exceeded.

        The next line that is written contains the number of skipped lines.
        """
        bucket = self._bucket_by_event.get(event)
        if bucket is None:
            bucket = TokenBucket(self._max_lines_per_s, self._max_lines_per_s)
            self._bucket_by_event[event] = bucket
        if not bucket.take(1.0, self._now()):
            self._skipped_by_event[event] = self._skipped_by_event.get(event, 0) + 1
            return
        values = fields._asdict()
        skipped = self._skipped_by_event.pop(event, 0)
        if skipped:
            values["skipped_lines"] = skipped
        logger.log(level, event, extra={"fields": values})


def log_record(
    logger: logging.Logger, event: str, fields: NamedTuple, level: int = logging.INFO
) -> None:
    """Log an event with typed fields."""
    logger.log(level, event, extra={"fields": fields._asdict()})


def count_dropped() -> int:
    """:return: number of lines dropped since the start because the stream was blocked"""
    handlers = logging.getLogger().handlers
    return sum(each.total_dropped for each in handlers if isinstance(each, QueuedHandler))


def start_logs(level: str = "INFO", stream: TextIO = sys.stdout) -> QueuedHandler:
    """Send the process's logs to a stream.

    :return: the handler, to be flushed at the end of the process
    """
    handler = QueuedHandler(stream)
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.ERROR)
    return handler
