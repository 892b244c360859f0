"""
Stand-in for the platform's metadata store: objects by kind and name with one revision counter,
conditional writes, pages and watches.
"""

import asyncio
import contextlib
import copy
import json
import time

from messages import LOOPBACK, make_answer, read_request

#: Number of changes that watches can ask for.
HISTORY = 5000


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.rev = 100
        self.era = 1
        self.objects = {}
        self.events = []
        #: Watches from a revision below get a 410.
        self.oldest_rev = 100
        self.is_away = False
        #: Tells of a call and the status of its answer whether the answer is lost.
        self.is_lost = lambda request, status: False
        self.is_logged = lambda kind: not kind.startswith(("servers", "config"))
        self._changed = asyncio.Event()
        self._writers = set()
        #: Writes of the operator and the workers since the last copy are made again from here.
        self.current = {}

    async def start(self):
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0, limit=8 << 20)
        return self._server.sockets[0].getsockname()[1]

    # What the operator and the workers write.

    def write(self, kind, name, spec):
        self.current[kind, name] = spec
        if not self.is_away:
            self._put(kind, name, spec)

    def remove(self, kind, name):
        self.current.pop((kind, name), None)
        if not self.is_away and (kind, name) in self.objects:
            self._drop(kind, name)

    # A drill: the store is away for a moment and comes back from an earlier copy.

    def take_copy(self):
        self.record.write("store copy taken", rev=self.rev)
        return self.rev, copy.deepcopy(self.objects)

    # An outage: nothing is lost, and what was not written meanwhile is written at the return.

    def go_away(self):
        self.record.write("store away", rev=self.rev)
        self.is_away = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self):
        self.is_away = False
        self.record.write("store back", rev=self.rev)
        for (kind, name), spec in list(self.current.items()):
            self._put(kind, name, spec)

    async def restore(self, taken, away_s):
        self.record.write("store away", rev=self.rev)
        self.is_away = True
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.rev, self.objects = taken[0], copy.deepcopy(taken[1])
        self.events = []
        self.oldest_rev = self.rev
        self.era += 1
        self.is_away = False
        self.record.write("store back", rev=self.rev, era=self.era)
        for kind, name in [each for each in self.objects if each[0] in ("servers", "config")]:
            if (kind, name) not in self.current:
                self._drop(kind, name)
        for (kind, name), spec in list(self.current.items()):
            self._put(kind, name, spec)

    def _put(self, kind, name, spec, finalizers=()):
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.rev += 1
        created = self.rev if known is None else known["metadata"]["created_at"]
        metadata = {"name": name, "rev": self.rev, "created_at": created}
        metadata |= {"finalizers": list(finalizers), "deleting": False}
        found = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = found
        self._publish(kind, False, found)
        return found

    def _drop(self, kind, name):
        self.rev += 1
        found = self.objects.pop((kind, name))
        self._publish(kind, True, found)

    def _publish(self, kind, is_deleted, found):
        self.events.append((self.rev, kind, is_deleted, found))
        if len(self.events) > HISTORY:
            self.oldest_rev = self.events.pop(0)[0]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self._answer(request)
                if self.is_away:
                    writer.transport.abort()
                    return
                if self.is_lost(request, status):
                    # "A connection on which a response is lost returns nothing further."
                    self.record.write("store answer lost", target=request.target, status=status)
                    await reader.read()
                    return
                data = json.dumps(body).encode() if body is not None else b""
                headers = ["Content-Type: application/json", f"Store-Era: {self.era}"]
                writer.write(make_answer(status, data, headers))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        kind = request.path[2]
        name = request.path[3] if len(request.path) > 3 else ""
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request.query)
        if request.method == "GET" and not name:
            return self._list(kind, request.query.get("after", ""))
        if request.method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, None)
        answer = self._write_call(request, kind, name)
        if self.is_logged(kind):
            spec = json.loads(request.body).get("spec") if request.body else None
            self.record.write(
                "store call", method=request.method, kind=kind, spec=spec, status=answer[0]
            )
        return answer

    def _write_call(self, request, kind, name):
        data = json.loads(request.body) if request.body else {}
        metadata = data.get("metadata", {})
        if request.method == "POST":
            name = metadata["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 201, self._put(kind, name, data["spec"])
        known = self.objects.get((kind, name))
        if known is None:
            return 404, None
        rev = request.query.get("rev") or metadata.get("rev")
        if rev is not None and int(rev) != known["metadata"]["rev"]:
            return 409, known
        if request.method == "PUT":
            return 200, self._put(kind, name, data["spec"])
        self._drop(kind, name)
        return 200, known

    def _list(self, kind, after):
        names = sorted(name for each, name in self.objects if each == kind and name > after)
        items = [self.objects[kind, name] for name in names[:500]]
        return 200, {"items": items, "has_more": len(names) > 500, "at": self.rev}

    async def _watch(self, kind, query):
        since = int(query["watch"])
        era = self.era
        if since < self.oldest_rev or since > self.rev:
            return 410, None
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            found = [each for each in self.events if each[1] == kind and each[0] > since]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0 or era != self.era:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        events = [{"object": each, "deleted": deleted} for _, _, deleted, each in found]
        return 200, {"events": events, "at": self.rev}
