"""The report of one faulty model worker makes each gateway that reads it exceed its memory."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig2"))

from rig import (  # noqa: E402
    LIMITS,
    Engine,
    Gateway,
    KeptClient,
    Store,
    Worker,
    plain_route,
    plain_service,
    run,
    write_request,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 300
CALLERS = 6
#: Size of the faulty answer; the gateway reads up to 16 MiB.
FAULTY_BYTES = 16_500_000
TROUBLE_S = 30.0


class FaultyEngine(Engine):
    """Answers the question for its report with bytes that are no report."""

    is_faulty = False

    async def answer(self, first, headers, body, writer):
        if not self.is_faulty or first.split(" ")[1] != "/v1/report":
            return await super().answer(first, headers, body, writer)
        data = b'{"models":[' + b"{}," * (FAULTY_BYTES // 3) + b"{}]}"
        self.record(f"{self.name} is asked for its report and sends {len(data)} wrong bytes")
        writer.write(self.head(200, dict(headers), len(data)) + data)
        await writer.drain()
        return True


async def watch_memory(record, gateway, killed):
    """Kill a gateway as the platform does when it exceeds its memory."""
    peak = 0.0
    while gateway.process.poll() is None:
        used = gateway.read_rss_mb()
        if used > peak + 50:
            peak = used
            record(f"{gateway.name} uses {used:.0f} MB")
        if used > MEMORY_MB:
            record(f"the platform kills {gateway.name}: {used:.0f} MB of {MEMORY_MB} MB")
            killed.append(gateway.name)
            gateway.kill()
        await asyncio.sleep(0.005)


def make_configuration():
    models = [
        {
            "name": name,
            "weights_mb": 72700.0,
            "load_s": 6.4,
            "adapters": 0,
            "adapter_mb": 66.0,
            "warm_s": 0.6,
            "disk_s": 1.3,
        }
        for name in ("common", "rare")
    ]
    llm = plain_service("llm") | {
        "max_conns": 370,
        "engine": {
            "slots": 64,
            "kv_capacity_tokens": 166342,
            "models": models,
            "weights_mb": 200000.0,
            "adapter_slots": 8,
            "loads_per_s": 1.1,
        },
    }
    draft = plain_route("draft", "/draft/", "llm", "streaming", 12000)
    draft |= {"target_latency_ms": 5000, "gap_target_ms": 200, "sticky": True, "priority": 1}
    book = plain_route("book", "/book/", "app", "non_idempotent", attempts=1)
    return {
        "version": 7,
        "routes": [book, draft],
        "services": [plain_service("app"), llm],
        "limits": LIMITS,
    }


async def main(record, work, gateways):
    store = Store(record)
    await store.start()
    workers = [Worker(store, f"i-app{number}", "app") for number in range(3)]
    engines = [Engine(store, f"i-llm{number}", "llm", ["common"]) for number in range(4)]
    faulty = FaultyEngine(store, "i-llm4", "llm", ["common"])
    for each in workers:
        each.work_s = 0.15
    for each in [*workers, *engines, faulty]:
        await each.start()
    store.put("config", "main", make_configuration())
    for number in (1, 2):
        gateways.append(Gateway(number, store.address, work, record, MEMORY_MB))
        gateways[-1].start()
    for each in gateways:
        await each.wait_ready()
    killed = []
    watching = [asyncio.create_task(watch_memory(record, each, killed)) for each in gateways]
    await asyncio.sleep(6.0)
    until = asyncio.Event()
    clients = [
        KeptClient(
            record,
            f"caller{number}-{gateway.name}",
            (gateway.ip, gateway.front),
            lambda attempt: write_request("POST", "app.example", "/book/x", attempt, body=b"1"),
        )
        for gateway in gateways
        for number in range(CALLERS)
    ]
    tasks = [asyncio.create_task(each.run(until)) for each in clients]
    await asyncio.sleep(4.0)
    if HAS_TROUBLE:
        record(f"{faulty.name} answers wrongly from now on")
        faulty.is_faulty = True
    # The worker starts again, so that its report is asked for.
    await faulty.crash()
    await asyncio.sleep(1.0)
    await faulty.restart()
    await asyncio.wait(watching, timeout=TROUBLE_S)
    until.set()
    await asyncio.wait(tasks, timeout=2.0)
    for each in watching:
        each.cancel()
    ran = {attempt for each in workers for attempt in each.runs}
    lost = [attempt for each in clients for attempt in each.cut if attempt in ran]
    record(f"killed for their memory: {killed}")
    record(f"requests on kept connections that ran and got no answer: {len(lost)}: {lost}")
    record(f"answered: {sum(each.answered for each in clients)}")
    return len(lost) > 3


run(main, FOLDER)
