"""A stand-in of the platform's store."""

import asyncio
import contextlib
import json
import time
import urllib.parse

from wire import read_body, read_head


class Store:
    """The platform's store in its form `objects`: linearizable, with watches."""

    def __init__(self, record):
        self.record = record
        self.rev = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.address = ""
        #: Machines that get no answer now, by the name given to :meth:`listen_for`.
        self.silent_for = set()
        #: Called with the machine and the kind when a watch begins to wait.
        self.on_watch = lambda machine, kind: None

    async def start(self):
        self.address = await self.listen_for("")

    async def listen_for(self, machine):
        """Listen for one machine; return the address that its settings name."""

        async def serve(reader, writer):
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def put(self, kind, name, spec):
        """Write an object as the operator or a worker does."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return
        self.rev += 1
        created = known["metadata"]["created_at"] if known else int(time.time() * 1000)
        found = {
            "metadata": {
                "name": name,
                "rev": self.rev,
                "created_at": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = found
        self._note(kind, found, False)

    def delete(self, kind, name):
        found = self.objects.pop((kind, name), None)
        if found is not None:
            self.rev += 1
            found = {**found, "metadata": {**found["metadata"], "rev": self.rev}}
            self._note(kind, found, True)

    def _note(self, kind, found, deleted):
        self.events.append((self.rev, kind, {"object": found, "deleted": deleted}))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _serve(self, machine, reader, writer):
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                is_silent = machine in self.silent_for
                if not is_silent:
                    if "watch=" in target:
                        self.on_watch(machine, target.split("/")[3].partition("?")[0])
                    status, answer = await self._answer(method, target, body)
                    is_silent = machine in self.silent_for
                if is_silent:
                    # A connection on which an answer is lost returns nothing further.
                    self.record(f"store: no answer to {machine}: {method} {target}")
                    while await reader.read(65536):
                        pass
                    break
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(each) for each in path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "GET" and "watch" in options:
            return 200, await self._watch(kind, options)
        if method == "GET":
            items = [each for key, each in sorted(self.objects.items()) if key[0] == kind]
            return 200, {"items": items, "has_more": False, "at": self.rev}
        return self._write(method, kind, name, options, body)

    async def _watch(self, kind, options):
        after = int(options["watch"])
        end_s = time.monotonic() + int(options.get("wait_ms", "0")) / 1000
        while True:
            events = [each for rev, of, each in self.events if rev > after and of == kind]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at": self.rev}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    def _write(self, method, kind, name, options, body):
        fields = json.loads(body) if body else {}
        name = name or fields["metadata"]["name"]
        known = self.objects.get((kind, name))
        rev = fields.get("metadata", {}).get("rev") or options.get("rev")
        if method == "POST":
            if known is not None:
                return 409, known
        elif known is None:
            return 404, {}
        elif rev is not None and int(rev) != known["metadata"]["rev"]:
            return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, known
        self.put(kind, name, fields["spec"])
        return 200, self.objects[kind, name]
