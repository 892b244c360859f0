"""
kingcupdyke_standins.relay
~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends the answer to a request, unchanged or altered by a fault switch.
"""

from anyio import sleep

from kingcupdyke_standins.asgi import Reply
from kingcupdyke_standins.batch import Run
from kingcupdyke_standins.faults import Faults

__all__ = ["AnswerRelay"]

JSON = "application/json"
EVENT_STREAM = "text/event-stream"
#: Request id of a crossed answer if no request was answered before.
UNRELATED_REQUEST_ID = "stray"


class AnswerRelay:
    """Sends the answers of an engine.

    :param faults: fault switches of the engine
    """

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        #: Id of the request that was answered last.
        self._last_request_id = UNRELATED_REQUEST_ID

    async def send_answer(self, run: Run, reply: Reply) -> None:
        """Send the complete answer when the run has ended."""
        await run.wait_end()
        if run.cancelled:
            return await reply.drop()
        await sleep(self._faults.seconds("late_answers_ms"))
        run = self._select_run(run)
        body = run.build_body()
        headers = self._build_headers(run, JSON) | {"content-length": str(len(body))}
        await reply.begin(200, headers)
        if self._faults.take("truncate"):
            await reply.part(body[: len(body) // 2])
            return await reply.drop()
        await reply.part(body)
        await reply.end()
        if self._faults.take("double"):
            reply.send_unsolicited(_encode_response(headers, body))
        return None

    async def send_stream(self, run: Run, reply: Reply, offset: int = 0) -> None:
        """Send events as the run generates them.

        :param offset: index of the first event
        """
        await sleep(self._faults.seconds("late_answers_ms"))
        run = self._select_run(run)
        limit = run.request.max_tokens // 2 if self._faults.take("truncate") else None
        await reply.begin(200, self._build_headers(run, EVENT_STREAM))
        await _send_events(run, reply, offset, limit)
        if run.cancelled:
            return await reply.drop()
        if limit is None and self._faults.take("double"):
            await _send_events(run, reply, 0, None)
        return await reply.end()

    def _select_run(self, run: Run) -> Run:
        if self._faults.take("cross_answers"):
            return _make_unrelated_run(run, self._last_request_id)
        self._last_request_id = run.request.request_id
        return run

    def _build_headers(self, run: Run, content_type: str) -> dict[str, str]:
        return {"content-type": content_type, "x-request-id": run.request.request_id}


async def _send_events(run: Run, reply: Reply, position: int, limit: int | None) -> None:
    while limit is None or position < limit:
        events = run.events[position:limit]
        if events:
            await reply.part(b"".join(events))
            position += len(events)
        elif run.ended:
            return
        else:
            await run.wait_change()


def _make_unrelated_run(run: Run, request_id: str) -> Run:
    prompt = f"{run.request.prompt} of another caller"
    unrelated = Run(run.request._replace(request_id=request_id, prompt=prompt), 0.0)
    unrelated.finish()
    return unrelated


def _encode_response(headers: dict[str, str], body: bytes) -> bytes:
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode() + body
