"""Stand-ins of workers."""

import asyncio
import contextlib
import json
import time

from configuration import ZONE
from wire import read_body, read_head


class Worker:
    """A sound worker of a plain service; `answer` may be replaced."""

    def __init__(self, store, name, service, slots=6, zone=ZONE, extra=None, ip="127.0.0.1"):
        self.store, self.name, self.service = store, name, service
        self.record = store.record
        self.ip, self.port = ip, 0
        self.entry = {
            "service": service,
            "address": "",
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 0,
            "born": int(time.time() * 1000),
        } | (extra or {})
        self.work_s = 0.02
        self.runs = []
        self.arrivals = []
        self.server = None
        self.connections = set()
        self._beat = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.entry["address"] = f"{self.ip}:{self.port}"
        self._beat = asyncio.create_task(self._register())

    async def _register(self):
        while True:
            self.entry["seq"] += 1
            self.store.put("servers", self.name, dict(self.entry))
            await asyncio.sleep(1.2)

    async def crash(self):
        """End like a process that is killed: connections are reset, nothing listens."""
        self._beat.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def restart(self):
        """Start again under the same id and address."""
        self.entry |= {"born": int(time.time() * 1000), "seq": 0}
        await self.start()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                while (head := await read_head(reader)) is not None:
                    first, headers = head
                    body = await read_body(reader, headers)
                    if not await self.answer(first, headers, body, writer):
                        break
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, first, headers, body, writer):
        """Answer one request; return whether the connection stays open."""
        values = dict(headers)
        if values.get("kingcupdyke-expect-instance") not in (None, self.name):
            writer.write(self.head(421, values, 0, "Kingcupdyke-Not-Run: 1\r\n"))
            return True
        attempt = values.get("kingcupdyke-attempt-id", "")
        self.arrivals.append(attempt)
        self.record(f"run {attempt} at {self.name}")
        self.runs.append(attempt)
        await asyncio.sleep(self.work_s)
        data = f"{self.name} {attempt} {first}".encode()
        writer.write(self.head(200, values, len(data)) + data)
        await writer.drain()
        return True

    def head(self, status, values, length, more=""):
        attempt = values.get("kingcupdyke-attempt-id", "")
        length = "" if length is None else f"Content-Length: {length}\r\n"
        stamp = "" if "Not-Run" in more else f"Kingcupdyke-Server-Stamp: {self.name}.{attempt}\r\n"
        return (
            f"HTTP/1.1 {status} X\r\nKingcupdyke-Attempt-Id: {attempt}\r\n"
            f"Kingcupdyke-Instance-Id: {self.name}\r\n{stamp}{more}{length}\r\n"
        ).encode("latin-1")


class Engine(Worker):
    """A sound model worker, which accepts orders and reports what it holds."""

    def __init__(self, store, name, service, models, load_s=6.0, **options):
        more = {
            "models": [{"name": each, "version": 1, "adapters": []} for each in models],
            "at_hand": {"in_memory": [], "on_disk": []},
            "stage": "prefill_decode",
        }
        super().__init__(store, name, service, 64, extra=more, **options)
        self.load_s = load_s
        self.orders = 0
        self.is_busy = False

    async def answer(self, first, headers, body, writer):
        target = first.split(" ")[1]
        values = dict(headers)
        if target == "/v1/report":
            return await self._write(writer, 200, values, self.report())
        if target == "/v1/order":
            return await self._write(writer, self._order(json.loads(body)), values, {})
        model = values.get("kingcupdyke-model", "").split("/")[0]
        if model not in [each["name"] for each in self.entry["models"]]:
            writer.write(self.head(421, values, 0, "Kingcupdyke-Not-Run: 1\r\n"))
            return True
        return await self._stream(values, writer)

    async def _stream(self, values, writer):
        """Write a stream of events; it begins after the time that the prompt takes."""
        attempt = values.get("kingcupdyke-attempt-id", "")
        self.arrivals.append(attempt)
        if values.get("kingcupdyke-expect-instance") not in (None, self.name):
            writer.write(self.head(421, values, 0, "Kingcupdyke-Not-Run: 1\r\n"))
            return True
        self.record(f"run {attempt} at {self.name}")
        self.runs.append(attempt)
        await asyncio.sleep(self.work_s)
        framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(self.head(200, values, None, framing))
        for number in range(5):
            event = b"id: %d\ndata: %s\n\n" % (number + 1, attempt.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        return True

    def report(self):
        return {
            "stage": "prefill_decode",
            "models": self.entry["models"],
            "busy": self.is_busy,
            "seq": self.orders,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 90000,
            "handles": 0,
            "born": self.entry["born"],
        }

    async def _write(self, writer, status, values, fields):
        data = json.dumps(fields).encode()
        writer.write(self.head(status, values, len(data)) + data)
        return True

    def _order(self, order):
        self.record(f"order at {self.name}: {order}")
        if self.is_busy or order.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.is_busy = True
        asyncio.create_task(self._carry_out(order))
        return 202

    async def _carry_out(self, order):
        await asyncio.sleep(self.load_s if order["op"] == "load" else 0.3)
        kept = [each for each in self.entry["models"] if each["name"] != order["model"]]
        if order["op"] == "load":
            kept.append({"name": order["model"], "version": 1, "adapters": []})
        self.entry["models"] = kept
        self.is_busy = False
