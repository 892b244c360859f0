"""
A small deployment with model workers: the store, workers, gateways, and clients that ask for one
adapter after the other, so that the holder of the planner's lease always has orders to give.
"""

import asyncio
import json
import os
import shutil
import tempfile

from gateway import Gateway, find_ports
from messages import call
from record import Record
from store import Store
from worker import Worker

ZONES = {"praha-a": "cechy", "brno-a": "morava", "plzen-a": "cechy"}
NODES = {
    "edge-praha-a-1": "praha-a",
    "edge-brno-a-1": "brno-a",
    "edge-plzen-a-1": "plzen-a",
}
HOST = "club.example"
MODELS = ["m0", "m1", "m2"]
ADAPTERS = 20


def make_configuration(version=7):
    models = [
        {
            "name": name,
            "weights_mb": 60000,
            "load_s": 3.0,
            "adapters": ADAPTERS,
            "adapter_mb": 12,
            "warm_s": 0.4,
            "disk_s": 0.6,
        }
        for name in MODELS
    ]
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 166342,
        "kv_token_bytes": 327680,
        "weights_mb": 200000,
        "adapter_slots": 8,
        "loads_per_s": 1.1,
        "models": models,
    }
    routes = [
        {
            "name": "r-draft",
            "host": HOST,
            "path_prefix": "/draft/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 800,
            "priority": 1,
            "service": "llm",
            "max_attempts": 1,
            "sticky": True,
            "resumable": False,
            "gap_target_ms": 200,
        },
        {
            "name": "r-resume",
            "host": HOST,
            "path_prefix": "/resume/",
            "kind": "streaming",
            "timeout_ms": 12000,
            "target_latency_ms": 5000,
            "priority": 1,
            "service": "app",
            "max_attempts": 2,
            "resumable": True,
            "gap_target_ms": 200,
        },
        {
            "name": "r-book",
            "host": HOST,
            "path_prefix": "/book/",
            "kind": "non_idempotent",
            "timeout_ms": 2000,
            "target_latency_ms": 400,
            "priority": 2,
            "service": "app",
            "max_attempts": 1,
        },
        {
            "name": "r-read",
            "host": HOST,
            "path_prefix": "/read/",
            "kind": "idempotent",
            "timeout_ms": 2000,
            "target_latency_ms": 400,
            "priority": 2,
            "service": "app",
            "max_attempts": 2,
        },
    ]
    services = [
        {"name": "llm", "health_path": "/healthz", "max_conns": 370, "engine": engine},
        {"name": "app", "health_path": "/healthz", "max_conns": 110},
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 20000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}


class ModelSite:
    """The deployment of one case; everything it starts ends with :meth:`close`."""

    def __init__(self, case_folder):
        self.root = os.path.dirname(os.path.dirname(os.path.abspath(case_folder)))
        self.record_path = os.path.join(case_folder, "record.txt")
        self.record = Record(self.record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.gateways = {}
        self.workers = []
        self.answers = {}
        self._tasks = []

    async def start(self, workers=4, nodes=NODES, app_workers=2):
        port = await self.store.start()
        configuration = make_configuration()
        self.store.write("config", "main", configuration)
        engine = configuration["services"][0]["engine"]
        zones = list(ZONES)
        for number in range(workers):
            worker = Worker(
                self.record,
                self.store,
                f"i-llm{number}",
                "llm",
                zones[number % 3],
                64,
                [MODELS[number % 3]],
                engine,
            )
            self.workers.append(worker)
        for number in range(app_workers):
            self.workers.append(
                Worker(self.record, self.store, f"i-app{number}", "app", zones[number % 3], 16)
            )
        for worker in self.workers:
            await worker.start()
        ports = find_ports(5 * len(nodes))
        for number, (node, zone) in enumerate(nodes.items()):
            own = ports[5 * number : 5 * number + 5]
            self.gateways[node] = Gateway(
                self.record, self.root, self.folder, node, zone, ZONES, port, own
            )
        for gateway in self.gateways.values():
            gateway.start()
        for gateway in self.gateways.values():
            if not await gateway.wait_ready():
                raise RuntimeError(f"{gateway.node} did not become ready")

    def begin_traffic(self, per_s=10.0):
        """Let clients ask each gateway for one adapter after the other."""
        for gateway in self.gateways.values():
            self._tasks.append(asyncio.create_task(self._ask_forever(gateway, per_s)))

    async def _ask_forever(self, gateway, per_s):
        number = 0
        pending = set()
        while True:
            number += 1
            task = asyncio.create_task(self.ask_adapter(gateway, number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1.0 / per_s)

    async def ask_adapter(self, gateway, number):
        model = MODELS[number % len(MODELS)]
        adapter = f"a{number // 3 % ADAPTERS + 1}"
        attempt = f"{gateway.node}-{number}"
        headers = {
            "Host": HOST,
            "Kingcupdyke-Attempt-Id": attempt,
            "Kingcupdyke-Model": f"{model}/{adapter}",
            "Kingcupdyke-Token-Counts": "100,8",
            "Kingcupdyke-Prompt-Prefix": f"{number:x}:100",
            "Kingcupdyke-Deadline-Ms": "4000",
        }
        try:
            status, _, _ = await call(gateway.front, "POST", "/draft/1", headers, b"x", 5.0)
        except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        self.answers[str(status)] = self.answers.get(str(status), 0) + 1
        self.record.write(
            "answer", node=gateway.node, attempt=attempt, model=f"{model}/{adapter}", status=status
        )

    def list_orders(self):
        with open(self.record_path, encoding="utf-8") as file:
            lines = [json.loads(line) for line in file]
        return [each for each in lines if each["what"] == "order"]

    async def wait_order(self, limit_s, is_wanted=lambda order: True):
        """:return: the last order that is wanted, once there is one, or None"""
        for _ in range(int(limit_s / 0.05)):
            found = [each for each in self.list_orders() if is_wanted(each)]
            if found:
                return found[-1]
            await asyncio.sleep(0.05)
        return None

    def close(self):
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways.values():
            gateway.kill()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.write("answers", **self.answers)
