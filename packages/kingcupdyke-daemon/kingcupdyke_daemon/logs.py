"""
kingcupdyke_daemon.logs
~~~~~~~~~~~~~~~~~~~~~~~

Structured logs: one JSON object a line, written by a thread that may block without the loop.
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

#: Lines that may wait to be written; further ones are dropped and counted.
MOST_LINES = 5_000
#: Libraries whose own lines are of no use to operators.
QUIET_LOGGERS = ("uvicorn", "httpcore", "asyncio", "hpack", "h2")


#: Lines a second of one event up to which those on requests that go well are all written.
MOST_LINES_PER_S = 100.0


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
    """Hands lines to a writing thread; a reader that stops reading costs lines, not time.

    :param stream: where lines are written
    :param most_lines: lines that may wait
    """

    def __init__(self, stream: TextIO, most_lines: int = MOST_LINES) -> None:
        super().__init__()
        self._stream = stream
        self._lines: Queue[str] = Queue(most_lines)
        #: Lines dropped since the last line that said so, and since the start.
        self.dropped = 0
        self.dropped_in_all = 0
        self._writer = Thread(target=self._write_forever, daemon=True)
        self._writer.start()

    def emit(self, record: logging.LogRecord) -> None:
        try:
            self._lines.put_nowait(self.format(record))
        except Full:
            self.dropped += 1
            self.dropped_in_all += 1

    def flush_for(self, seconds: float) -> None:
        """Wait until all lines are written, at most some seconds."""
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
    """Bounds how many lines a second of each event are written, and counts the others.

    :param now: gives the time in seconds
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._bucket_by_event: dict[str, TokenBucket] = {}
        self._skipped_by_event: dict[str, int] = {}

    def log(self, logger: logging.Logger, event: str, fields: NamedTuple) -> None:
        """Log an event on a request that goes well, where the event's rate allows it.

        The next line that is written says how many were not.
        """
        bucket = self._bucket_by_event.get(event)
        if bucket is None:
            bucket = TokenBucket(MOST_LINES_PER_S, MOST_LINES_PER_S)
            self._bucket_by_event[event] = bucket
        if not bucket.take(1.0, self._now()):
            self._skipped_by_event[event] = self._skipped_by_event.get(event, 0) + 1
            return
        values = fields._asdict()
        skipped = self._skipped_by_event.pop(event, 0)
        if skipped:
            values["skipped_lines"] = skipped
        logger.info(event, extra={"fields": values})


def log_record(logger: logging.Logger, event: str, fields: NamedTuple) -> None:
    """Log an event with typed fields."""
    logger.info(event, extra={"fields": fields._asdict()})


def count_dropped() -> int:
    """:return: lines that were dropped since the start because nobody read them"""
    handlers = logging.getLogger().handlers
    return sum(each.dropped_in_all for each in handlers if isinstance(each, QueuedHandler))


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
