"""
kingcupdyke_standins.store
~~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in of the platform's object store.
"""

from base64 import b64encode
from collections import Counter

from anyio import Event, current_time, move_on_after, sleep

from kingcupdyke_standins.asgi import HttpRequest, Reply, StandinApp
from kingcupdyke_standins.rate import TokenBucket
from kingcupdyke_wire.objecttable import ObjectTable
from kingcupdyke_wire.store import Conflict, StoreObject, WatchEvent

__all__ = ["StoreApp"]

MAX_VALUE_BYTES = 1_000_000
#: Upper limit of the timeout that a watch requests.
MAX_WATCH_TIMEOUT_S = 60.0


class StoreApp(StandinApp):
    """The store's HTTP interface to objects that are kept in memory.

    :param writes_per_s: limit of writes per second
    :param reads_per_s: limit of reads per second; a watch counts as one read
    """

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        super().__init__("store")
        self._table = ObjectTable()
        self._writes = TokenBucket(writes_per_s, writes_per_s)
        self._reads = TokenBucket(reads_per_s, reads_per_s)
        #: Set when objects or fault switches change.
        self._changed = Event()
        #: Number of calls by method and kind, including rejected ones.
        self._counts_by_call: Counter[str] = Counter()

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        if request.path == ("counts",):
            return await reply.json(200, self._counts_by_call)
        self._counts_by_call[f"{request.method} {'/'.join(request.path[1:3])}"] += 1
        await sleep(self.faults.seconds("slow_ms"))
        if self.faults.value("down"):
            return await reply.send_response(503)
        rate_limit = self._reads if request.method == "GET" else self._writes
        if not rate_limit.take(current_time()):
            wait_s = rate_limit.wait_s(current_time())
            return await reply.send_response(429, headers={"retry-after": f"{wait_s:.3f}"})
        match request.method, request.path:
            case "GET", ("v1", "objects", kind, name):
                return await self._get(reply, kind, name)
            case "GET", ("v1", "objects", kind):
                return await self._list(reply, kind, request.query.get("prefix", ""))
            case "GET", ("v1", "watch", kind):
                return await self._watch(request, reply, kind)
            case "PUT", ("v1", "objects", kind, name):
                return await self._put(request, reply, kind, name)
            case "DELETE", ("v1", "objects", kind, name):
                return await self._delete(request, reply, kind, name)
        return await reply.send_response(404)

    async def apply_faults(self) -> None:
        self._wake_watches()

    async def _get(self, reply: Reply, kind: str, name: str) -> None:
        current = self._table.get(kind, name)
        if current is None:
            return await reply.send_response(404)
        return await reply.send_response(200, current.value, {"x-version": str(current.version)})

    async def _list(self, reply: Reply, kind: str, prefix: str) -> None:
        objects = [_encode(each) for each in self._table.select(kind, prefix)]
        await reply.json(200, {"position": self._table.position, "objects": objects})

    async def _put(self, request: HttpRequest, reply: Reply, kind: str, name: str) -> None:
        if len(request.body) > MAX_VALUE_BYTES:
            return await reply.send_response(413)
        if_version = int(request.query["if_version"])
        outcome = self._table.put(kind, name, request.body, if_version)
        return await self._answer_write(reply, outcome)

    async def _delete(self, request: HttpRequest, reply: Reply, kind: str, name: str) -> None:
        outcome = self._table.delete(kind, name, int(request.query["if_version"]))
        await self._answer_write(reply, outcome)

    async def _answer_write(self, reply: Reply, outcome: StoreObject | Conflict | None) -> None:
        self._wake_watches()
        if self.faults.take("lose_answers"):
            return await reply.drop()
        if not isinstance(outcome, Conflict):
            version = outcome.version if outcome else 0
            return await reply.send_response(200, headers={"x-version": str(version)})
        if outcome.current is None:
            return await reply.send_response(409, headers={"x-version": "0"})
        headers = {"x-version": str(outcome.current.version)}
        return await reply.send_response(409, outcome.current.value, headers)

    async def _watch(self, request: HttpRequest, reply: Reply, kind: str) -> None:
        position = int(request.query["position"])
        timeout_s = min(float(request.query["timeout"]), MAX_WATCH_TIMEOUT_S)
        with move_on_after(timeout_s):
            while self._must_wait(kind, position):
                await self._changed.wait()
        if self.faults.value("silent_watches"):
            return await reply.wait_disconnect()
        if self.faults.value("down"):
            return await reply.send_response(503)
        events = self._table.changes_after(kind, position)
        if events is None:
            return await reply.send_response(410)
        return await reply.json(200, {"events": [_encode_event(each) for each in events]})

    def _must_wait(self, kind: str, position: int) -> bool:
        if self.faults.value("down") or self.faults.value("silent_watches"):
            return False
        return self._table.changes_after(kind, position) == []

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = Event()


def _encode(each: StoreObject) -> dict:
    value = b64encode(each.value).decode()
    return {"name": each.name, "version": each.version, "value": value}


def _encode_event(event: WatchEvent) -> dict:
    entry = {"name": event.name, "version": 0, "value": None}
    if event.current is not None:
        entry = _encode(event.current)
    return {"position": event.position, **entry}
