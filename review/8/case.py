"""A gateway that got no answers of the store for two seconds keeps an old configuration."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig2"))

from rig import (  # noqa: E402
    LIMITS,
    Gateway,
    Store,
    Worker,
    exchange,
    plain_route,
    plain_service,
    run,
    write_request,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: Seconds for which the store is silent to one machine.
SILENT_S = 2.0
CONFIG_APPLY_S = 3.0
STABLE_WINDOW_S = 4.0
MAX_STRETCH_S = 6.0
#: Added to each bound, so that nothing hangs on the clocks of the test.
MARGIN_S = 0.1
#: Seconds after the change for which requests are sent.
WATCHED_S = 14.0


def make_configuration(version, service):
    return {
        "version": version,
        "routes": [plain_route("read", "/read/", service)],
        "services": [plain_service("old"), plain_service("new")],
        "limits": LIMITS,
    }


class Requests:
    """Lookups that are sent to one gateway, and where each of them ran."""

    def __init__(self, record, gateway):
        self._record, self._gateway = record, gateway
        self.sent_s_by_attempt = {}
        self._tasks = []

    async def send_until(self, end):
        while not end.is_set():
            attempt = f"{self._gateway.name}-{len(self.sent_s_by_attempt) + 1}"
            self._tasks.append(asyncio.create_task(self._send(attempt)))
            await asyncio.sleep(0.2)
        await asyncio.wait(self._tasks)

    async def _send(self, attempt):
        address = (self._gateway.ip, self._gateway.front)
        data = write_request("GET", "app.example", "/read/x", attempt)
        self.sent_s_by_attempt[attempt] = time.monotonic()
        self._record(f"send {attempt}")
        try:
            answer = await asyncio.wait_for(exchange(address, data), 5.0)
            self._record(f"answer {attempt}: {answer and answer[0]}")
        except (OSError, TimeoutError) as error:
            self._record(f"no answer to {attempt}: {error!r}")


async def main(record, work, gateways):
    store = Store(record)
    old = [Worker(store, f"i-old{number}", "old") for number in range(2)]
    new = [Worker(store, f"i-new{number}", "new") for number in range(2)]
    for each in old + new:
        await each.start()
    store.put("config", "main", make_configuration(7, "old"))
    for number in (1, 2):
        address = await store.listen_for(f"edge-zone-a-{number}")
        gateways.append(Gateway(number, address, work, record))
        gateways[-1].start()
    for each in gateways:
        await each.wait_ready()
    cut, calm = gateways
    # The disruption follows soon after the start of one of the machine's calls that watch.
    await asyncio.sleep(3.0)
    watching = asyncio.Event()
    store.on_watch = lambda machine, kind: (
        watching.set() if (machine, kind) == (cut.name, "config") else None
    )
    await asyncio.wait_for(watching.wait(), 20.0)
    end = asyncio.Event()
    requests = [Requests(record, each) for each in gateways]
    sending = [asyncio.create_task(each.send_until(end)) for each in requests]
    await asyncio.sleep(0.2)
    if HAS_TROUBLE:
        record(f"the store is silent to {cut.name}")
        store.silent_for.add(cut.name)
    await asyncio.sleep(0.2)
    store.put("config", "main", make_configuration(8, "new"))
    changed_s = time.monotonic()
    record("the store acknowledges configuration 8, which moves the route to another service")
    await asyncio.sleep(SILENT_S - 0.2)
    store.silent_for.discard(cut.name)
    stable_s = time.monotonic() + STABLE_WINDOW_S if HAS_TROUBLE else changed_s
    record(f"the store answers {cut.name} again")
    await asyncio.sleep(WATCHED_S)
    end.set()
    await asyncio.wait(sending)
    ran_at_old = {attempt for each in old for attempt in each.runs}
    due_s = max(changed_s + CONFIG_APPLY_S, stable_s) + MARGIN_S
    stretched_s = max(due_s, changed_s + CONFIG_APPLY_S + MAX_STRETCH_S + MARGIN_S)
    broken = 0
    for gateway, sent in zip(gateways, requests, strict=True):
        late = [
            sent_s - changed_s
            for attempt, sent_s in sent.sent_s_by_attempt.items()
            if attempt in ran_at_old and sent_s > due_s
        ]
        beyond = sum(each > stretched_s - changed_s for each in late)
        broken += len(late)
        record(
            f"{gateway.name}: {len(late)} requests in touch ran at the old service later than"
            f" config_apply_ms after the acknowledgement, the last {max(late, default=0):.1f} s"
            f" after it; {beyond} also later than max_stretch_ms beyond that"
        )
    return broken > 0


run(main, FOLDER)
