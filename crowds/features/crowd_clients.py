"""
crowd_clients
~~~~~~~~~~~~~

A crowd of clients that do not behave, in a process of its own.

Usage:
    crowd_clients.py CASE COUNT PORT [HEADER...]

Each client sends what its case says and reads nothing. The program prints a line once all of them
have connected, or have failed to, and keeps the connections open until it is killed.
"""

import sys
from itertools import repeat
from socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    move_on_after,
    run,
    sleep,
    sleep_forever,
    to_thread,
)
from anyio.abc import SocketAttribute
from h2.connection import H2Connection
from h2.exceptions import ProtocolError

LOOPBACK = "127.0.0.1"
BODY_BYTES = 4_194_304
MANY_CHUNKS = 1_048_576
#: Bytes of a head that stays below the limit of the size of a head.
HEAD_BYTES = 15_000
#: Receive buffer of the clients, so that answers that are not read fill it up soon.
RECEIVE_BUFFER_BYTES = 4096
#: Pause between two bytes of a client that drips.
DRIP_S = 0.3
#: Number of requests that are sent at once.
BATCH = 200
#: Time for connecting all clients.
CONNECT_S = 1.0
BLOCK = b"x" * 16_384
#: The beginning of an HTTP/2 connection, and heads of frames.
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
SETTINGS_FRAME = bytes((0, 0, 0, 4, 0, 0, 0, 0, 0))
PING_FRAME_HEAD = bytes((0, 0, 8, 6, 0, 0, 0, 0, 0))
#: Messages that a client of gRPC sends at once, each of which lacks its end.
MESSAGES = 20
MESSAGE_BYTES = 15_000_000


class Crowd:
    """Writes what the clients of a case send.

    :param path: path of the requests
    :param headers: further header lines of each request
    """

    def __init__(self, path, headers):
        self._path = path
        self._headers = [
            "Host: club.example",
            "Kingcupdyke-Attempt-Id: crowd-1",
            "Kingcupdyke-Deadline-Ms: 2000",
            *headers,
        ]

    def _head(self, method, *lines):
        head = [f"{method} {self._path} HTTP/1.1", *self._headers, *lines, "", ""]
        return "\r\n".join(head).encode()

    def ahead(self):
        """Requests without end."""
        yield from repeat(self._head("GET") * BATCH)

    def expecting(self):
        """Requests without end whose clients expect an interim answer to each."""
        lines = ("Content-Length: 1", "Expect: 100-continue")
        yield from repeat((self._head("POST", *lines) + b"x") * BATCH)

    def malformed(self):
        """A request that is rejected, then bytes without end."""
        yield self._head("GET", "Content-Length: 1", "Content-Length: 2")
        yield from repeat(BLOCK)

    def oversized(self):
        """A body that is too large."""
        yield self._head("POST", f"Content-Length: {100 * BODY_BYTES}")
        yield from repeat(BLOCK, 100 * BODY_BYTES // len(BLOCK))

    def whole(self):
        """A body of the permitted size."""
        yield self._head("POST", f"Content-Length: {BODY_BYTES}")
        yield from repeat(BLOCK, BODY_BYTES // len(BLOCK))

    def short(self):
        """A body that lacks its last byte."""
        yield self._head("POST", f"Content-Length: {BODY_BYTES}")
        yield from repeat(BLOCK, BODY_BYTES // len(BLOCK) - 1)
        yield BLOCK[1:]

    def chunks(self):
        """A body in chunks that lacks the last one."""
        yield self._head("POST", "Transfer-Encoding: chunked")
        chunk = b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK)
        yield from repeat(chunk, BODY_BYTES // len(BLOCK))

    def bytechunks(self):
        """A body in chunks of one byte that lacks the last one."""
        yield self._head("POST", "Transfer-Encoding: chunked")
        yield from repeat(b"1\r\nx\r\n" * 1024, MANY_CHUNKS // 1024)

    def pairchunks(self):
        """A body in chunks of two bytes that lacks the last one."""
        yield self._head("POST", "Transfer-Encoding: chunked")
        yield from repeat(b"2\r\nxx\r\n" * 1024, MANY_CHUNKS // 1024)

    def extensions(self):
        """A body in chunks of one byte, each with a long extension."""
        yield self._head("POST", "Transfer-Encoding: chunked")
        chunk = b"1;a=" + b"b" * HEAD_BYTES + b"\r\nx\r\n"
        yield from repeat(chunk, BODY_BYTES // len(chunk))

    def drips(self):
        """A body of which one byte comes now and then."""
        yield self._head("POST", f"Content-Length: {BODY_BYTES}")
        yield from repeat(b"x")

    def heads(self):
        """Most of a head."""
        yield self._head("GET")[:-2] + b"X-A: " + b"a" * HEAD_BYTES

    def headonly(self):
        """A head, but no byte of its body."""
        yield self._head("POST", "Content-Length: 1000")

    def onebyte(self):
        """One byte of a head."""
        yield b"G"

    def pings(self):
        """Frames of HTTP/2 that must be answered, without end."""
        yield HTTP2_PREFACE + SETTINGS_FRAME
        yield from repeat((PING_FRAME_HEAD + b"crowding") * BATCH)

    def silent(self):
        """Nothing."""
        return iter(())


async def run_client(port, case, blocks):
    """Send blocks, then keep the connection open."""
    try:
        stream = await connect_tcp(LOOPBACK, port)
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        for block in blocks:
            await stream.send(block)
            await sleep(DRIP_S if case == "drips" else 0)
    except (BrokenResourceError, ClosedResourceError, OSError):
        return
    await sleep_forever()


async def send_messages(port, path):
    """Send the beginnings of large messages of gRPC, as fast as the flow control permits."""
    http = H2Connection()
    http.initiate_connection()
    head = [(":method", "POST"), (":scheme", "http"), (":path", path), (":authority", "x")]
    head += [("te", "trailers"), ("content-type", "application/grpc")]
    left = {}
    for number in range(1, 2 * MESSAGES, 2):
        http.send_headers(number, head)
        http.send_data(number, b"\0" + MESSAGE_BYTES.to_bytes(4))
        left[number] = MESSAGE_BYTES - 1
    try:
        stream = await connect_tcp(LOOPBACK, port)
        while True:
            for number in left:
                size = min(left[number], http.local_flow_control_window(number), len(BLOCK))
                if size:
                    http.send_data(number, BLOCK[:size])
                    left[number] -= size
            await stream.send(http.data_to_send())
            with move_on_after(0.01):
                http.receive_data(await stream.receive())
    except (BrokenResourceError, ClosedResourceError, EndOfStream, OSError, ProtocolError):
        await sleep_forever()


def send_datagrams(port):
    """Send datagrams without end that no gateway sends."""
    with socket(AF_INET, SOCK_DGRAM) as sender:
        for block in repeat(BLOCK[:1400]):
            sender.sendto(block, (LOOPBACK, port))


async def main(case, count, target, *headers):
    """Run the clients until the process is killed.

    :param target: port and path, such as ``8080/read/1``
    """
    port, _, path = target.partition("/")
    async with create_task_group() as tasks:
        for _ in range(int(count)):
            if case == "datagrams":
                tasks.start_soon(to_thread.run_sync, send_datagrams, int(port))
            elif case == "messages":
                tasks.start_soon(send_messages, int(port), f"/{path}")
            else:
                blocks = getattr(Crowd(f"/{path}", headers), case)()
                tasks.start_soon(run_client, int(port), case, blocks)
            await sleep(CONNECT_S / int(count))
        print("connected", flush=True)
        await sleep_forever()


if __name__ == "__main__":
    run(main, *sys.argv[1:])
