"""HTTP/1.1 messages of the stand-ins, and free ports."""

import asyncio
import socket


def free_port(ip):
    """Return a port that is free on an address now."""
    with socket.socket() as found:
        found.bind((ip, 0))
        return found.getsockname()[1]


async def read_head(reader):
    """Read a head; return its first line and its headers, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return first, headers


async def read_body(reader, headers):
    """Read a body that is framed by its length, by chunks or by the end of the connection."""
    values = dict(headers)
    if "chunked" in values.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(values.get("content-length", "0")))
