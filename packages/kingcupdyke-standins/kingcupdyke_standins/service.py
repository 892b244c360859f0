"""
kingcupdyke_standins.service
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in of a plain service that counts the executions of each idempotency key.
"""

import json
from collections import Counter
from hashlib import sha256

from anyio import sleep

from kingcupdyke_standins.asgi import HttpRequest, Reply, StandinApp

__all__ = ["ServiceApp"]


class ServiceApp(StandinApp):
    """Answers each call with its request and the number of executions of its idempotency key.

    :param work_s: duration of a call in seconds
    """

    def __init__(self, work_s: float) -> None:
        super().__init__("service")
        self._work_s = work_s
        self._executions_by_key: Counter[str] = Counter()

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        if request.path == ("counts",):
            return await reply.json(200, self._executions_by_key)
        if request.path[0] == "echo":
            return await self._echo(request, reply)
        key = request.headers.get("idempotency-key", "")
        self._executions_by_key[key] += 1
        executions = self._executions_by_key[key]
        await sleep(self._work_s + self.faults.seconds("slow_ms"))
        if self.faults.take("lose_answers"):
            return await reply.drop()
        request_id = request.headers.get("x-request-id", "")
        answer = {"method": request.method, "path": "/" + "/".join(request.path), "key": key}
        answer |= {"run": executions, "request_id": request_id}
        answer |= {"body_digest": sha256(request.body).hexdigest()}
        return await reply.json(200, answer, {"x-request-id": request_id})

    async def _echo(self, request: HttpRequest, reply: Reply) -> None:
        """Answer with the request, using the status and the content type given in the query."""
        status = int(request.query.get("status", "200"))
        text = json.dumps([request.method, request.path, request.query], ensure_ascii=False)
        body = b"" if status == 204 else text.encode() + request.body
        await reply.send_response(status, body, {"content-type": request.query["type"]})
