"""Stand-ins of clients."""

import asyncio

from wire import read_body, read_head


async def exchange(address, data):
    """Send a request on a new connection; return status, headers and body, or None."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        head = await read_head(reader)
        if head is None:
            return None
        first, headers = head
        status = int(first.split(" ")[1])
        return status, dict(headers), await read_body(reader, headers)
    finally:
        writer.close()


def write_request(method, host, path, attempt, headers=(), body=b"", deadline_ms=4000):
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Kingcupdyke-Attempt-Id: {attempt}",
        f"Kingcupdyke-Deadline-Ms: {deadline_ms}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class KeptClient:
    """A client that keeps one connection and sends one request after the other on it."""

    def __init__(self, record, name, address, make_request):
        self.record, self.name, self.address = record, name, address
        self.make_request = make_request
        #: Attempts that ended with the connection instead of an answer.
        self.cut = []
        self.answered = 0

    async def run(self, until):
        number = 0
        while not until.is_set():
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(0.3)
                continue
            while not until.is_set():
                number += 1
                attempt = f"{self.name}-{number}"
                self.record(f"send {attempt}")
                try:
                    writer.write(self.make_request(attempt))
                    head = await read_head(reader)
                    if head is None:
                        raise ConnectionError("closed")
                    await read_body(reader, head[1])
                except (OSError, asyncio.IncompleteReadError) as error:
                    self.record(f"cut {attempt}: {error!r}")
                    self.cut.append(attempt)
                    break
                self.answered += 1
                self.record(f"answer {attempt}: {head[0]}")
                if dict(head[1]).get("connection") == "close":
                    break
            writer.close()
