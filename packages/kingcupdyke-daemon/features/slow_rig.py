"""
slow_rig
~~~~~~~~

Runs a gateway between slow clients and endpoints with long answers, and records what it holds.
"""

import logging
import re
import socket
from contextlib import asynccontextmanager, contextmanager
from unittest.mock import patch

from anyio import current_time, fail_after, move_on_after, sleep
from anyio.abc import SocketAttribute, SocketStream
from forwarder_rig import (
    DISCONNECT_ERRORS,
    ScriptedEndpoint,
    find,
    make_configuration,
    open_rig,
)
from forwarder_steps import decode_chunks

from kingcupdyke.forwarding.memorybudget import HeldAnswer, MemoryBudget

__all__ = [
    "EVENT_BYTES",
    "SOCKET_BYTES",
    "PouringEndpoint",
    "connect_slowly",
    "list_ids",
    "list_lines",
    "open_slow_rig",
]

EVENT_BYTES = 1000
#: Receive buffer of a slow client, and send buffer of an endpoint, so that both fill up soon.
SOCKET_BYTES = 65_536


class PouringEndpoint(ScriptedEndpoint):
    """An endpoint whose answers are streams of events of EVENT_BYTES each.

    :param size: bytes of an answer, or None for an answer without end
    :param patience_s: time after which it cuts off an answer that is not read, or None
    :param cut_at: bytes after which it breaks off, or None
    :param interval_s: time between parts of 10 events
    """

    def __init__(self, name, size, patience_s=None, cut_at=None, interval_s=0.0):
        super().__init__(name, "pour")
        self.size, self.patience_s, self.cut_at = size, patience_s, cut_at
        self.interval_s = interval_s
        self.sent_s = None
        self.is_cut = False

    async def do_pour(self, stream, attempt_id):
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
        request = self.requests[-1][0]
        first = int(find(request, "last-event-id") or 0)
        size = 4 * EVENT_BYTES if attempt_id.startswith("other") else self.size
        last = 10**9 if size is None else size // EVENT_BYTES
        head = f"HTTP/1.1 200 X\r\nx-id: {attempt_id}\r\nx-mark: m\r\n"
        if "GET /safe/" in request:
            head += f"content-length: {size}\r\n\r\n"
        else:
            head += "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        await stream.send(head.encode())
        try:
            for number in range(first, last, 10):
                data = b"".join(make_event(each) for each in range(number, min(last, number + 10)))
                if self.cut_at is not None and number * EVENT_BYTES >= self.cut_at:
                    return False
                framed = data if "GET /safe/" in request else b"%x\r\n%s\r\n" % (len(data), data)
                with fail_after(self.patience_s):
                    await stream.send(framed)
                await sleep(self.interval_s)
            if "GET /safe/" not in request:
                await stream.send(b"0\r\n\r\n")
        except TimeoutError:
            self.is_cut = True
            return False
        except DISCONNECT_ERRORS:
            self.closed_times_s.append(current_time())
            return False
        self.sent_s = current_time()
        return True


def make_event(index):
    text = f"id: {index + 1}\ndata: "
    return text.encode() + b"x" * (EVENT_BYTES - len(text) - 2) + b"\n\n"


class LineCollector(logging.Handler):
    """Collects log lines with their times."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        fields = getattr(record, "fields", {})
        self.lines.append((current_time(), record.getMessage(), fields))


@contextmanager
def collect_lines(context):
    collector = LineCollector()
    context.lines = collector.lines
    logger = logging.getLogger("kingcupdyke_daemon")
    level = logger.level
    logger.setLevel(logging.INFO)
    logger.addHandler(collector)
    try:
        yield
    finally:
        logger.removeHandler(collector)
        logger.setLevel(level)


@asynccontextmanager
async def open_slow_rig(context):
    """Run a gateway before the endpoints given, and record what it holds."""
    context.most = context.opened = 0
    add, open_answer = HeldAnswer.add, MemoryBudget.open_answer

    def record_add(self, size):
        add(self, size)
        context.most = max(context.most, self._budget.answer_bytes + self._budget.body_bytes)

    def record_open(self, on_room):
        context.opened += 1
        return open_answer(self, on_room)

    with (
        collect_lines(context),
        patch.object(HeldAnswer, "add", record_add),
        patch.object(MemoryBudget, "open_answer", record_open),
    ):
        async with open_rig([]) as rig:
            rig.handler.configuration = make_configuration(1, 20.0, rig.limits)
            if "budget_bytes" in context:
                rig.memory.budget.configure(context.budget_bytes)
            for endpoint in context.endpoints:
                await rig.serve_endpoint(endpoint)
            yield rig
            with move_on_after(0.5):
                while rig.memory.budget.answer_bytes or rig.memory.budget.body_bytes:
                    await sleep(0.01)
            context.held = rig.memory.budget.answer_bytes, rig.memory.budget.body_bytes
            context.metrics = rig.metrics.render().decode()
            context.failures = [
                each.consecutive_failures for each in rig.endpoint_table.state_by_id.values()
            ]


async def connect_slowly(rig, data, buffer_bytes=SOCKET_BYTES):
    """:return: a connection with a small receive buffer on which the bytes have been sent"""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    raw.connect(tuple(rig.address))
    raw.setblocking(False)
    stream = await SocketStream.from_socket(raw)
    # A stream of connect_tcp does so too: it reads from its socket only during a call.
    stream._transport.pause_reading()
    await stream.send(data)
    return stream


def list_lines(context, event):
    return [(at_s, fields) for at_s, found, fields in context.lines if found == event]


def list_ids(answer):
    """:return: ids of the complete events of an answer"""
    head, _, body = answer.partition(b"\r\n\r\n")
    body = decode_chunks(body) if b"chunked" in head.lower() else body
    return [int(each) for each in re.findall(rb"id: (\d+)\ndata: x+\n\n", body)]
