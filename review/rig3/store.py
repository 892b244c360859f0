"""Stand-in of the platform's store: objects by kind and name, conditional writes, watches.

It runs as a process of its own: ``python3 store.py IP:PORT BEAT_S``. Entries of kind ``servers``
that are not written for three beats are removed, as the pages say. ``POST /control/era`` with a
JSON body ``{"back_s": S, "away_s": T}`` lets the store be away for T seconds (calls get 503, and
nothing is done), then come back from a copy of S seconds before. Beats count anew from then on.
"""

import asyncio
import copy
import json
import sys
import time
from contextlib import suppress
from urllib.parse import parse_qs, unquote, urlsplit

#: Size of a page of a list.
PAGE_ITEMS = 500


class Store:
    """The objects, their history, and the copies from which the store may come back."""

    def __init__(self, beat_s):
        self.beat_s = beat_s
        self.rev = 100
        self.era = 1
        self.objects = {}
        self.events = []
        self.written_s = {}
        self.copies = []
        self.changed = asyncio.Event()
        self.is_away = False

    def publish(self, kind, deleted, found):
        self.events.append((self.rev, kind, deleted, copy.deepcopy(found)))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, finalizers=()):
        known = self.objects.get((kind, name))
        self.written_s[kind, name] = time.monotonic()
        if known is not None and known["spec"] == spec:
            return known
        self.rev += 1
        created = known["metadata"]["created_at"] if known else int(time.time() * 1000)
        metadata = {
            "name": name,
            "rev": self.rev,
            "created_at": created,
            "finalizers": list(finalizers),
            "deleting": False,
        }
        found = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = found
        self.publish(kind, False, found)
        return found

    def remove(self, kind, name):
        self.rev += 1
        found = self.objects.pop((kind, name))
        self.publish(kind, True, found)
        return found

    def expire(self):
        now_s = time.monotonic()
        for kind, name in [each for each in self.objects if each[0] == "servers"]:
            if now_s - self.written_s[kind, name] > 3 * self.beat_s:
                self.remove(kind, name)

    def take_copy(self):
        self.copies.append((time.monotonic(), self.rev, copy.deepcopy(self.objects)))
        self.copies = self.copies[-200:]

    async def come_back(self, back_s, away_s):
        """Be away, and lose everything that was written in the last seconds before."""
        wanted_s = time.monotonic() - back_s
        self.is_away = True
        self.changed.set()
        self.changed = asyncio.Event()
        await asyncio.sleep(away_s)
        self.is_away = False
        _, self.rev, objects = [each for each in self.copies if each[0] <= wanted_s][-1]
        self.objects = copy.deepcopy(objects)
        self.written_s = dict.fromkeys(self.objects, time.monotonic())
        self.events = [each for each in self.events if each[0] <= self.rev]
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, body):
        """:return: status and JSON body of the answer"""
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = [unquote(each) for each in parts.path.strip("/").split("/")]
        data = json.loads(body) if body else {}
        if path == ["control", "era"]:
            await self.come_back(data["back_s"], data["away_s"])
            return 200, {}
        if self.is_away:
            return 503, {}
        if path[:2] != ["v1", "objects"] or len(path) not in (3, 4, 5):
            return 400, {}
        kind = path[2]
        if len(path) == 3:
            return await self.handle_kind(method, kind, query, data)
        return self.handle_object(method, kind, path[3], path[4:], query, data)

    async def handle_kind(self, method, kind, query, data):
        if method == "POST":
            name = data["metadata"]["name"]
            known = self.objects.get((kind, name))
            if known is not None:
                return 409, known
            return 201, self.put(kind, name, data.get("spec"))
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
        after = query.get("after", "")
        names = sorted(name for each, name in self.objects if each == kind and name > after)
        items = [self.objects[kind, name] for name in names[:PAGE_ITEMS]]
        return 200, {"items": items, "has_more": len(names) > PAGE_ITEMS, "at": self.rev}

    async def watch(self, kind, since, wait_s):
        if since > self.rev:
            return 410, {}
        era, end_s = self.era, time.monotonic() + wait_s
        while True:
            events = [
                {"object": found, "deleted": deleted}
                for rev, each, deleted, found in self.events
                if each == kind and rev > since
            ]
            remaining_s = end_s - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "at": self.rev}
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            if self.is_away or self.era != era:
                return (503 if self.is_away else 410), {}

    def handle_object(self, method, kind, name, rest, query, data):
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        rev = data.get("metadata", {}).get("rev", query.get("rev"))
        if method != "GET" and rev is not None and int(rev) != known["metadata"]["rev"]:
            return 409, known
        if method == "GET":
            return 200, known
        if method == "DELETE":
            return 200, self.remove(kind, name)
        if method != "PUT":
            return 400, {}
        if rest == ["status"]:
            known["status"] = data.get("status")
            return 200, known
        return 200, self.put(kind, name, data.get("spec"))


async def serve(store, reader, writer):
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            method, target, _ = head[0].split(" ", 2)
            fields = dict(line.split(":", 1) for line in head[1:] if line)
            fields = {name.lower(): value.strip() for name, value in fields.items()}
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            status, data = await store.handle(method, target, body)
            answer = json.dumps(data).encode()
            lines = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            lines += f"Store-Era: {store.era}\r\nContent-Length: {len(answer)}\r\n\r\n"
            writer.write(lines.encode() + answer)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main(address, beat_s):
    host, port = address.rsplit(":", 1)
    store = Store(beat_s)
    server = await asyncio.start_server(lambda r, w: serve(store, r, w), host, int(port))
    async with server:
        while True:
            if not store.is_away:
                store.expire()
                store.take_copy()
            await asyncio.sleep(0.1)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], float(sys.argv[2])))
