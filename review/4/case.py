"""
Rule LOST: an entry that another writer has put among the workers' entries ends each gateway that
holds the planner's lease, and with it the requests that it has passed on.
"""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from model_site import HOST, ModelSite  # noqa: E402
from record import main_guard  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: Time for which the entry is in the store, and delay until the platform starts a process again.
WATCH_S = 25.0
RESTART_S = 1.0
#: "closes that connection without an answer, more than three times"
MAX_LOST = 3
#: Clients of each gateway, each with a connection that it keeps.
CLIENTS = 8


async def run():
    site = ModelSite(FOLDER)
    tasks = []
    clients = []
    try:
        await site.start()
        site.begin_traffic(5.0)
        for worker in site.workers:
            worker.work_s = 0.05 if worker.models else 0.3
        for gateway in site.gateways.values():
            clients += [KeptClient(site, gateway, number) for number in range(CLIENTS)]
        tasks += [asyncio.create_task(each.ask_forever()) for each in clients]
        if await site.wait_order(15.0) is None:
            raise RuntimeError("no order was given")
        await asyncio.sleep(2.0)
        if HAS_TROUBLE:
            entry = site.workers[0].make_spec() | {"address": "::1:8080"}
            site.record.write("entry of another writer", spec=entry)
            site.store.write("servers", "i-other", entry)
        tasks += [asyncio.create_task(keep_running(each)) for each in site.gateways.values()]
        await asyncio.sleep(WATCH_S)
    finally:
        for task in tasks:
            task.cancel()
        site.close()
    ends = {each.node: each.own_ends for each in site.gateways.values()}
    print(f"ends of processes by themselves: {ends}")
    lost = find_lost(site.record_path)
    print(f"{len(lost)} requests of kept connections were run and have no answer: {lost}")
    return 1 if len(lost) > MAX_LOST else 0


class KeptClient:
    """A client that sends one request after the other on a connection that it keeps."""

    def __init__(self, site, gateway, number):
        self._site = site
        self._gateway = gateway
        self._name = f"{gateway.node}-kept{number}"

    async def ask_forever(self):
        number = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._gateway.front)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            answers = 0
            is_open = True
            while is_open:
                number += 1
                is_open = await self._ask(reader, writer, f"{self._name}-{number}", answers)
                answers += 1
            writer.close()

    async def _ask(self, reader, writer, attempt, answers):
        """:return: whether the connection can be used again"""
        head = f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nKingcupdyke-Attempt-Id: {attempt}\r\n"
        head += "Kingcupdyke-Deadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nx"
        status, is_open = 0, False
        try:
            writer.write(head.encode())
            found = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            length = int(found.partition("content-length: ")[2].partition("\r\n")[0])
            await reader.readexactly(length)
            status = int(found.split(" ")[1])
            is_open = "connection: close" not in found
        except (OSError, asyncio.IncompleteReadError):
            pass
        self._site.record.write("kept", attempt=attempt, before=answers, status=status)
        return is_open


def find_lost(record_path):
    """:return: attempts that a worker has run, and whose kept connection ended without an answer"""
    with open(record_path, encoding="utf-8") as file:
        lines = [json.loads(line) for line in file]
    run = {each["attempt"] for each in lines if each["what"] == "run"}
    kept = [each for each in lines if each["what"] == "kept" and each["before"]]
    return [each["attempt"] for each in kept if not each["status"] and each["attempt"] in run]


async def keep_running(gateway):
    """Start a gateway again whenever it has ended, as the platform does."""
    while True:
        if await gateway.wait_end(0.2):
            gateway.own_ends += 1
            await asyncio.sleep(RESTART_S)
            gateway.start()


main_guard(run)
