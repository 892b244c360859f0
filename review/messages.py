"""
Messages of HTTP/1.1, as the stand-ins read and write them.
"""

import asyncio
import urllib.parse

LOOPBACK = "127.0.0.1"


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        path, _, query = target.partition("?")
        self.path = [urllib.parse.unquote(each) for each in path.strip("/").split("/")]
        self.query = dict(urllib.parse.parse_qsl(query))


async def read_request(reader):
    """:return: the next request of a connection, or None at its end"""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif length := int(headers.get("content-length", "0")):
        body = await reader.readexactly(length)
    return Request(method, target, headers, body)


def make_answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(port, method, target, headers, body, timeout_s):
    """:return: status, headers and body of an answer; raises at a broken or incomplete one"""
    return await asyncio.wait_for(_call(port, method, target, headers, body), timeout_s)


async def _call(port, method, target, headers, body):
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    try:
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        if "Host" not in headers:
            lines.append("Host: x")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        found = {}
        for line in head[1:]:
            if line:
                name, _, value = line.partition(":")
                found[name.lower()] = value.strip()
        data = b""
        if found.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                data += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif "content-length" in found:
            data = await reader.readexactly(int(found["content-length"]))
        else:
            # The answer ends with its connection; a reset raises.
            data = await reader.read()
        return status, found, data
    finally:
        writer.close()
