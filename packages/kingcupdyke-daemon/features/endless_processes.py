"""
endless_processes
~~~~~~~~~~~~~~~~~

A gateway, endpoints that send bytes without end, and clients, each in a process of its own.

Usage:
    endless_processes.py gateway PORT:SERVICE...   prints the port on which it listens
    endless_processes.py endpoint SCRIPT           the same
    endless_processes.py clients PORT SECONDS PID...
        sends requests to ``/safe/``, then prints what became of them, as JSON; the process ids are
        those of the servers
"""

import json
import sys
from itertools import count
from pathlib import Path

from anyio import (
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    current_time,
    move_on_after,
    run,
    sleep,
    sleep_forever,
)
from anyio.abc import SocketAttribute
from forwarder_rig import DISCONNECT_ERRORS, find, make_configuration, make_entry, open_rig

from kingcupdyke.forwarding.configuration import Configuration, ServiceSpec, WeightedService

#: Deadline of each request at the gateway, in seconds.
TIMEOUT_S = 3.0
#: Memory limit of the gateway in bytes.
MEMORY_BYTES = 300_000_000
SLOTS = 200
#: Number of clients of the sound endpoints, and their requests.
CLIENTS = 4
REQUEST = b"GET /safe/1 HTTP/1.1\r\nhost: a.example\r\nx-id: s%d\r\nconnection: close\r\n\r\n"
BLOCK = b"a" * 16_384
LINES = b"x-a: bbbbbbbbbbbbbbbb\r\n" * 700
HEAD = "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-mark: m\r\n"
STREAM = HEAD + "content-type: text/event-stream\r\n"
#: What a script sends first, then without end, the pause between, and the number of these blocks.
SCRIPTS = {
    "head": ("HTTP/1.1 200 X\r\nx-a: ", BLOCK, 0.0, None),
    "lines": ("HTTP/1.1 200 X\r\n", LINES, 0.0, None),
    "early": ("", b"HTTP/1.1 103 X\r\n\r\n" * 700, 0.0, None),
    "garbage": ("", BLOCK, 0.0, None),
    "body": (HEAD + "\r\n", BLOCK, 0.0, None),
    "chunks": (
        HEAD + "transfer-encoding: chunked\r\n\r\n",
        b"4000\r\n" + BLOCK + b"\r\n",
        0.0,
        None,
    ),
    "extension": (HEAD + "transfer-encoding: chunked\r\n\r\n1;a=", BLOCK, 0.0, None),
    "trailers": (HEAD + "transfer-encoding: chunked\r\n\r\n0\r\n", LINES, 0.0, None),
    "event": (STREAM + "\r\nid: 1\ndata: ", BLOCK, 0.01, None),
    "sizedevent": (STREAM + "content-length: 999999999999\r\n\r\ndata: ", BLOCK, 0.01, None),
    "longevent": (STREAM + "\r\nid: 1\ndata: ", BLOCK, 0.0, 61),
    "shortevent": (STREAM + "\r\nid: 1\ndata: ", BLOCK, 0.0, 3),
    "ok": (HEAD + "content-length: 2\r\n\r\nok", b"", 0.0, 0),
}


async def run_endpoint(script):
    """Answer requests by a script until the process is killed."""
    head, block, pause_s, limit = SCRIPTS[script]

    async def serve(stream):
        try:
            while True:
                data = b""
                while not data.endswith(b"\r\n\r\n"):
                    data += await stream.receive()
                attempt_id = find(data.decode("latin-1"), "x-id")
                await stream.send(head.replace("{id}", attempt_id).encode())
                sent = 0
                while limit is None or sent < limit:
                    await stream.send(block)
                    await sleep(pause_s)
                    sent += 1
                if script != "ok":
                    await sleep_forever()
        except DISCONNECT_ERRORS:
            await stream.aclose()

    listener = await create_tcp_listener(local_host="127.0.0.1", backlog=500)
    print(listener.listeners[0].extra(SocketAttribute.local_address)[1], flush=True)
    await listener.serve(serve)


def make_routes():
    """:return: a configuration whose resumable route goes to the service ``faulty``"""
    configuration = make_configuration(1, TIMEOUT_S)
    routes = tuple(
        (
            each._replace(services=(WeightedService("faulty", 1.0),), max_attempts=1)
            if each.is_resumable or each.path_prefix == "/stream/"
            else each
        )
        for each in configuration.routes
    )
    services = (*configuration.services_by_name.values(), ServiceSpec("faulty", "/", 10, None))
    return Configuration(1, routes, services, configuration.limits)


async def run_gateway(endpoints):
    """Serve until the process is killed.

    :param endpoints: the port of each endpoint, and its service
    """
    async with create_task_group(), open_rig([]) as rig:
        rig.handler.configuration = make_routes()
        rig.dispatcher.configure(rig.handler.configuration.services_by_name, None)
        rig.limits = rig.limits._replace(max_header_bytes=16_384, idle_timeout_s=5.0)
        rig.memory.configure(MEMORY_BYTES)
        for number, text in enumerate(endpoints, 1):
            port, service = text.split(":")
            entry = make_entry(f"e{number}", ("127.0.0.1", int(port)))
            rig.endpoint_table.put(entry._replace(service=service, slots=SLOTS))
        print(rig.address[1], flush=True)
        await sleep_forever()


def read_wait_s(processes):
    """:return: seconds for which the main threads of processes have waited for a processor"""
    texts = [Path(f"/proc/{each}/schedstat").read_text() for each in ("self", *processes)]
    return sum(int(each.split()[1]) for each in texts) / 1e9


async def run_clients(port, duration_s, *processes):
    """Let each of CLIENTS send one request after the other.

    Time for which one of the processes, or this one, waits for a processor is not counted, as it
    depends on what else runs on the machine.

    Prints a line when they begin. At the end prints the time of each request in seconds since then,
    its duration, and whether it was answered.
    """
    results = []
    numbers = count()
    print("started", flush=True)
    begin_s = current_time()

    async def ask_forever():
        while True:
            started_s, waited_s = current_time(), read_wait_s(processes)
            answer = b""
            try:
                async with await connect_tcp("127.0.0.1", int(port)) as stream:
                    await stream.send(REQUEST % next(numbers))
                    while True:
                        answer += await stream.receive()
            except DISCONNECT_ERRORS:
                is_answered = answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"ok")
                seconds = current_time() - started_s - (read_wait_s(processes) - waited_s)
                results.append((started_s - begin_s, max(0.0, seconds), is_answered))
            await sleep(0.01)

    with move_on_after(float(duration_s)):
        async with create_task_group() as tasks:
            for _ in range(CLIENTS):
                tasks.start_soon(ask_forever)
    print(json.dumps(results))


if __name__ == "__main__":
    role, *arguments = sys.argv[1:]
    if role == "gateway":
        run(run_gateway, arguments)
    elif role == "endpoint":
        run(run_endpoint, *arguments)
    else:
        run(run_clients, *arguments)
