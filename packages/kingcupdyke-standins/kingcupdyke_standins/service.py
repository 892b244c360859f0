"""
kingcupdyke_standins.service
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in of a plain service that counts what it ran.
"""

import json
from collections import Counter
from hashlib import sha256

from anyio import sleep

from kingcupdyke_standins.asgi import HttpRequest, Reply, StandinApp

__all__ = ["ServiceApp"]


class ServiceApp(StandinApp):
    """Answers every call with what it was asked and how often its key ran.

    :param work_s: seconds that a call takes
    """

    def __init__(self, work_s: float) -> None:
        super().__init__("service")
        self._work_s = work_s
        self._runs_by_key: Counter[str] = Counter()

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        if request.path == ("counts",):
            return await reply.json(200, self._runs_by_key)
        if request.path[0] == "echo":
            return await self._echo(request, reply)
        key = request.headers.get("idempotency-key", "")
        self._runs_by_key[key] += 1
        run = self._runs_by_key[key]
        await sleep(self._work_s + self.faults.seconds("slow_ms"))
        if self.faults.take("lose_answers"):
            return await reply.drop()
        request_id = request.headers.get("x-request-id", "")
        answer = {"method": request.method, "path": "/" + "/".join(request.path), "key": key}
        answer |= {"run": run, "request_id": request_id}
        answer |= {"body_digest": sha256(request.body).hexdigest()}
        return await reply.json(200, answer, {"x-request-id": request_id})

    async def _echo(self, request: HttpRequest, reply: Reply) -> None:
        """Answer with what came, with the status and the type that the query names."""
        status = int(request.query.get("status", "200"))
        text = json.dumps([request.method, request.path, request.query], ensure_ascii=False)
        body = b"" if status == 204 else text.encode() + request.body
        await reply.whole(status, body, {"content-type": request.query["type"]})
