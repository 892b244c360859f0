"""Stand-in of a worker of a plain service, as a process of its own.

``python3 worker.py JSON`` with the fields ``id``, ``service``, ``address``, ``zone``, ``version``,
``slots``, ``store`` (IP:PORT), ``beat_s`` and ``log`` (path of a file for lines of JSON). It writes
its entry to the store at its start and each beat, and runs requests by their path:

- ``.../plain/MS`` works MS milliseconds, then answers with a length;
- ``.../grey/MS`` does the same, but leaves three in ten requests unanswered;
- ``.../unframed/MS`` answers without length and chunks: the first half of the body at once, the
  rest MS milliseconds later, then ends with its connection;
- ``.../stream/N/MS`` streams N events, one each MS milliseconds, without length and chunks;
- ``.../chunks/N/MS`` does the same in chunks.

A request that expects another instance gets 421. The worker stops work when its caller leaves. A
prompt with the part ``POISON`` crashes it as it begins to write the answer.
"""

import asyncio
import hashlib
import json
import os
import signal
import sys
import time
import urllib.request
from contextlib import suppress
from pathlib import Path

HALF_BYTES = 1500
#: Part of a prompt that crashes the worker.
POISON = "bad0bad0"


def make_body(attempt_id):
    """:return: the whole body for a request: it shows nothing of its end"""
    text = hashlib.sha256(attempt_id.encode()).hexdigest()
    return (f"answer to {attempt_id} " + text * 100)[: 2 * HALF_BYTES].encode()


def hangs(attempt_id):
    """:return: whether a worker that fails part of its requests leaves this one unanswered"""
    return int(hashlib.sha256(attempt_id.encode()).hexdigest(), 16) % 10 < 3


def make_event(attempt_id, number, version="v1"):
    """:return: one event of a stream, which tells the version of the software that wrote it"""
    return f"id: {number}\ndata: {attempt_id} piece {number} of {version}\n\n".encode()


async def wait_until_closed(reader):
    """Wait until the caller closes the connection, or sends something."""
    with suppress(ConnectionError):
        await reader.read(1)


class Worker:
    """One process of a worker."""

    def __init__(self, fields):
        self.fields = fields
        self.born_ms = time.time_ns() // 1_000_000
        self.beats = 0
        #: Whether it leaves, without a word in the store; SIGUSR1 sets it.
        self.is_leaving = False
        self.log_path = Path(fields["log"])

    def log(self, event, attempt_id, **more):
        line = {"t": time.time(), "worker": self.fields["id"], "event": event, "id": attempt_id}
        with self.log_path.open("a") as log:
            log.write(json.dumps(line | more) + "\n")

    def make_entry(self):
        entry = {name: self.fields[name] for name in ("service", "address", "zone", "version")}
        entry |= {"slots": self.fields["slots"], "state": "ready", "cold_left_ms": 0}
        return entry | {"seq": self.beats, "born": self.born_ms}

    def write_entry(self):
        self.beats += 1
        entry = self.make_entry()
        name = self.fields["id"]
        base = f"http://{self.fields['store']}/v1/objects/servers"
        body = json.dumps({"metadata": {"name": name}, "spec": entry}).encode()
        for method, url in (("PUT", f"{base}/{name}"), ("POST", base)):
            request = urllib.request.Request(url, body, method=method)
            try:
                with urllib.request.urlopen(request, timeout=1.0):
                    return
            except OSError:
                continue

    async def beat(self):
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, setattr, self, "is_leaving", True)
        while not self.is_leaving:
            await asyncio.to_thread(self.write_entry)
            await asyncio.sleep(self.fields["beat_s"])
        await asyncio.Event().wait()

    async def serve(self, reader, writer):
        try:
            while await self.serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ", 2)
        fields = dict(line.split(":", 1) for line in head[1:] if line)
        fields = {name.lower(): value.strip() for name, value in fields.items()}
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        attempt_id = fields.get("kingcupdyke-attempt-id", "")
        expected = fields.get("kingcupdyke-expect-instance", self.fields["id"])
        if expected != self.fields["id"]:
            self.log("misdirected", attempt_id, expected=expected)
            lines = "HTTP/1.1 421 X\r\nKingcupdyke-Not-Run: 1\r\nContent-Length: 0\r\n"
            lines += f"Kingcupdyke-Attempt-Id: {attempt_id}\r\n"
            writer.write(f"{lines}Kingcupdyke-Instance-Id: {self.fields['id']}\r\n\r\n".encode())
            return True
        parts = target.strip("/").split("/")
        prompt = fields.get("kingcupdyke-prompt-prefix", "")
        self.log("run", attempt_id, method=method, target=target, body=body.decode("latin-1"))
        if POISON in prompt or target.endswith("/crash"):
            await self.crash(attempt_id, writer)
        run = asyncio.ensure_future(self.run(method, parts, fields, attempt_id, writer))
        gone = asyncio.ensure_future(wait_until_closed(reader))
        await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            run.cancel()
            self.log("cancelled", attempt_id)
            return False
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        self.log("ran", attempt_id)
        return run.result()

    async def crash(self, attempt_id, writer):
        """Begin to write the answer, and end the process."""
        head = f"HTTP/1.1 200 OK\r\nKingcupdyke-Attempt-Id: {attempt_id}\r\n"
        head += f"Kingcupdyke-Server-Stamp: {self.fields['id']}.{attempt_id}\r\n"
        writer.write(f"{head}Content-Type: text/event-stream\r\n\r\n".encode())
        await writer.drain()
        self.log("crash", attempt_id)
        os._exit(1)

    async def run(self, method, parts, fields, attempt_id, writer):
        """:return: whether the connection is kept"""
        kind, numbers = parts[1], [int(each) for each in parts[2:]]
        head = f"HTTP/1.1 200 OK\r\nKingcupdyke-Attempt-Id: {attempt_id}\r\n"
        head += f"Kingcupdyke-Server-Stamp: {self.fields['id']}.{attempt_id}\r\n"
        if kind == "grey" and hangs(attempt_id):
            self.log("hangs", attempt_id)
            await asyncio.Event().wait()
        if kind in ("plain", "grey"):
            await asyncio.sleep(numbers[0] / 1000)
            body = make_body(attempt_id)
            head += f"Content-Type: text/plain\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + (b"" if method == "HEAD" else body))
            return True
        if kind == "unframed":
            body = make_body(attempt_id)
            writer.write(f"{head}Content-Type: text/plain\r\n\r\n".encode() + body[:HALF_BYTES])
            await asyncio.sleep(numbers[0] / 1000)
            writer.write(body[HALF_BYTES:])
            return False
        is_chunked = kind == "chunks"
        head += "Content-Type: text/event-stream\r\n"
        head += "Transfer-Encoding: chunked\r\n" if is_chunked else ""
        writer.write(f"{head}\r\n".encode())
        first = int(fields.get("last-event-id", 0)) + 1
        for number in range(first, numbers[0] + 1):
            event = make_event(attempt_id, number, self.fields["version"])
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if is_chunked else event)
            await asyncio.sleep(numbers[1] / 1000)
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        return is_chunked


async def main(fields):
    worker = Worker(fields)
    host, port = fields["address"].rsplit(":", 1)
    server = await asyncio.start_server(worker.serve, host, int(port))
    async with server:
        await worker.beat()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
