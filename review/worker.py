"""
Stand-in for workers. Those with an engine keep what they are ordered to hold; each order and each
request that runs is recorded.
"""

import asyncio
import json
import time

from messages import LOOPBACK, make_answer, read_request


class Worker:
    """A worker, with an engine if it has models."""

    def __init__(self, record, store, worker_id, service, zone, slots=8, models=None, engine=None):
        self.record = record
        self.store = store
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.slots = slots
        #: Adapters by model.
        self.models = {name: set() for name in models or ()}
        self.engine = engine
        self.on_disk = set(self.models)
        self.seq = 0
        self.beats = 0
        self.busy = False
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.work_s = 0.02
        self.events = 4
        self.port = 0
        self.running = 0
        self.version = "v1"
        self._server = None
        self._writers = set()
        self._beats_task = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats_task = asyncio.create_task(self._beat())

    def crash(self):
        """End without a word: connections are reset, new ones are refused."""
        self.record.write("worker crashes", worker=self.id, version=self.version)
        self._beats_task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def start_again(self, version):
        """Start under the same id and address, without the models that it held."""
        self.version = version
        self.born = int(time.time() * 1000)
        self.seq = self.beats = self.running = 0
        self.busy = False
        self.models = {}
        await self.start()
        self.record.write("worker starts again", worker=self.id, version=version)

    def make_spec(self):
        spec = {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.beats,
            "born": self.born,
        }
        if self.engine is not None:
            spec |= {"stage": "prefill_decode", "models": self._list_models()}
            spec["at_hand"] = {"in_memory": [], "on_disk": sorted(self.on_disk)}
        return spec

    def _list_models(self):
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    def announce(self):
        self.beats += 1
        self.store.write("servers", self.id, self.make_spec())

    async def _beat(self):
        while True:
            self.announce()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        expected = request.headers.get("kingcupdyke-expect-instance")
        instance = f"Kingcupdyke-Instance-Id: {self.id}"
        attempt = request.headers.get("kingcupdyke-attempt-id", "")
        common = [instance] + ([f"Kingcupdyke-Attempt-Id: {attempt}"] if attempt else [])
        if expected not in (None, self.id):
            writer.write(make_answer(421, b"", [*common, "Kingcupdyke-Not-Run: 1"]))
        elif request.target == "/v1/report":
            writer.write(make_answer(200, json.dumps(self._report()).encode(), common))
        elif request.target == "/v1/order":
            writer.write(self._order(request, common))
        elif request.target == "/healthz":
            writer.write(make_answer(200, b"", common))
        else:
            await self._run(request, writer, attempt, common)

    def _report(self):
        return {
            "stage": "prefill_decode",
            "models": self._list_models(),
            "busy": self.busy,
            "seq": self.seq,
            "born": self.born,
            "waiting": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 160000,
            "handles": 0,
            "at_hand": {"in_memory": [], "on_disk": sorted(self.on_disk)},
        }

    def _order(self, request, common):
        order = json.loads(request.body)
        status = self._execute(order)
        self.record.write("order", worker=self.id, status=status, **order)
        return make_answer(status, b"{}", common)

    def _execute(self, order):
        op, model, adapter = order["op"], order["model"], order.get("adapter", "")
        if op not in ("load", "evict") or "holder" not in order or "fence" not in order:
            return 400
        if adapter:
            if model not in self.models:
                return 409
            if order.get("expected", self.seq) != self.seq:
                return 409
            held = self.models[model]
            if (adapter in held) == (op == "load"):
                return 200
            (held.add if op == "load" else held.discard)(adapter)
            self.seq += 1
            return 202 if op == "load" else 200
        if (model in self.models) == (op == "load"):
            return 200
        if self.busy or order.get("expected", self.seq) != self.seq:
            return 409
        self.seq += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self._carry_out(op, model))
        return 202

    async def _carry_out(self, op, model):
        spec = next((each for each in self.engine["models"] if each["name"] == model), None)
        if op == "load":
            await asyncio.sleep(0.1 if model in self.on_disk else spec["load_s"])
            self.models[model] = set()
            self.on_disk.add(model)
        else:
            self.models.pop(model, None)
        self.busy = False
        self.announce()

    async def _run(self, request, writer, attempt, common):
        name = request.headers.get("kingcupdyke-model", "")
        model, _, adapter = name.partition("/")
        if name and (model not in self.models or (adapter and adapter not in self.models[model])):
            writer.write(make_answer(421, b"", [*common, "Kingcupdyke-Not-Run: 1"]))
            return
        after = int(request.headers.get("last-event-id", "0"))
        self.record.write(
            "run",
            worker=self.id,
            attempt=attempt,
            target=request.target,
            version=self.version,
            after=after,
        )
        self.running += 1
        try:
            stamp = [*common, f"Kingcupdyke-Server-Stamp: s.{self.id}.{attempt}"]
            if not name and not request.target.startswith("/resume/"):
                await asyncio.sleep(self.work_s)
                writer.write(make_answer(200, f"done {attempt}".encode(), stamp))
                return
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *stamp]
            head += ["Transfer-Encoding: chunked", "", ""]
            writer.write("\r\n".join(head).encode())
            for number in range(after + 1, self.events + 1):
                data = f"id: {number}\ndata: {attempt} {number} {self.version}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                await asyncio.sleep(self.work_s)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
