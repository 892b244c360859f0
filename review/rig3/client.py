"""A client that sends each request on a connection of its own, and reads the answer."""

import asyncio
import time

#: Value of the Host header.
HOST = "club.example"


class Answer:
    """What a client has read, and how the connection ended."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        #: Whether the answer is complete by its framing.
        self.is_whole = False
        self.end = ""
        self.seconds = 0.0

    def __str__(self):
        whole = "complete" if self.is_whole else f"not complete ({self.end})"
        return f"status {self.status}, {len(self.body)} bytes, {whole}, {self.seconds:.2f} s"


async def request(gateway, method, path, attempt_id, deadline_ms, body=b"", headers=()):
    """Send one request on a connection of its own, and read its answer.

    :return: the answer, also if there is none
    """
    answer = Answer()
    began_s = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.ports["front"])
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {HOST}",
                f"Kingcupdyke-Attempt-Id: {attempt_id}",
                f"Kingcupdyke-Deadline-Ms: {deadline_ms}",
                *(f"{name}: {value}" for name, value in headers),
            ]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await _read_answer(reader, answer, method != "HEAD")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        answer.end = f"connection ended: {type(error).__name__}"
    except TimeoutError:
        answer.end = "the client gave up at its deadline"
    finally:
        if writer is not None:
            writer.close()
    answer.seconds = time.monotonic() - began_s
    return answer


async def _read_answer(reader, answer, has_body):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    fields = dict(line.split(":", 1) for line in head[1:] if line)
    answer.headers = {name.lower(): value.strip() for name, value in fields.items()}
    if not has_body:
        answer.is_whole = True
        return
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        answer.is_whole = True
        return
    if answer.headers.get("transfer-encoding") != "chunked":
        answer.body = await reader.read()
        answer.is_whole = True
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            answer.is_whole = True
            return
        answer.body += data[:-2]
