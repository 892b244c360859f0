"""
A plain worker in a process of its own, whose answers have neither a length nor chunks and end with
their connection. It writes each answer in two halves, with its work between them.

Usage: unframed_worker.py ID RECORD
"""

import asyncio
import json
import sys
import time

from messages import LOOPBACK, make_answer, read_request

WORK_S = 0.3
ITEMS = 200


def make_body(attempt):
    """:return: the whole body of the answer to an attempt"""
    return json.dumps({"attempt": attempt, "items": list(range(ITEMS))}).encode()


async def serve(reader, writer, worker_id, record_path):
    try:
        request = await read_request(reader)
        if request is not None:
            await answer(request, writer, worker_id, record_path)
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def answer(request, writer, worker_id, record_path):
    attempt = request.headers.get("kingcupdyke-attempt-id", "")
    common = [f"Kingcupdyke-Instance-Id: {worker_id}", f"Kingcupdyke-Attempt-Id: {attempt}"]
    if request.headers.get("kingcupdyke-expect-instance") not in (None, worker_id):
        writer.write(make_answer(421, b"", [*common, "Kingcupdyke-Not-Run: 1"]))
        return
    note(record_path, what="run", worker=worker_id, attempt=attempt)
    head = ["HTTP/1.1 200 OK", "Content-Type: application/json", "Connection: close", *common]
    head += [f"Kingcupdyke-Server-Stamp: s.{worker_id}.{attempt}", "", ""]
    body = make_body(attempt)
    writer.write("\r\n".join(head).encode() + body[: len(body) // 2])
    await writer.drain()
    await asyncio.sleep(WORK_S)
    writer.write(body[len(body) // 2 :])
    await writer.drain()
    note(record_path, what="worker wrote its whole answer", worker=worker_id, attempt=attempt)


def note(record_path, **fields):
    with open(record_path, "a", encoding="utf-8") as file:
        file.write(json.dumps({"at": round(time.time(), 3), **fields}) + "\n")


async def main():
    worker_id, record_path = sys.argv[1:]
    server = await asyncio.start_server(
        lambda reader, writer: serve(reader, writer, worker_id, record_path), LOOPBACK, 0
    )
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
