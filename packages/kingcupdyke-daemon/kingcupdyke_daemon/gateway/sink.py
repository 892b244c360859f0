"""
kingcupdyke_daemon.gateway.sink
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sending of an answer to a caller.
"""

from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.gateway.reply import (
    Headers,
    Rejection,
    Send,
    encode_error,
    send_body,
    send_rejection,
)

__all__ = ["CallerSink"]


class CallerSink:
    """Sends one answer, either complete at its end or part by part.

    :param send: the ASGI server's send function
    :param headers: header fields of every answer, errors included
    :param stream: whether parts are sent as they arrive
    :param timer: the timer service
    """

    def __init__(self, send: Send, headers: Headers, stream: bool, timer: TimerService) -> None:
        self._send = send
        self._headers = tuple(headers)
        self._stream = stream
        self._timer = timer
        #: Times of the first and the latest part, and the number of parts.
        self.first_part_s: float | None = None
        self.latest_part_s = 0.0
        self.part_count = 0
        self._parts: list[bytes] = []
        self._head: tuple[int, str] | None = None
        #: Endpoint that gives the answer, or the empty string.
        self.endpoint = ""
        #: The error that was sent to the caller, or None.
        self.rejection: Rejection | None = None
        #: Whether anything was sent to the caller, so that no other attempt can answer.
        self.committed = False

    @property
    def status(self) -> int:
        """:return: HTTP status that was sent to the caller, or 0 before any"""
        if not self.committed:
            return 0
        return self._head[0] if self._head is not None else self.rejection.status

    def reset(self) -> None:
        """Discard the answer of a failed attempt, of which nothing was sent."""
        self._parts.clear()
        self._head = None

    def start(self, status: int, content_type: str, endpoint: str) -> None:
        """Set the head of the answer and the endpoint that gives it."""
        self._head = (status, content_type)
        self.endpoint = endpoint

    async def part(self, data: bytes) -> None:
        """Add a part of the answer, and send it if the answer is streamed."""
        self._record_part_time()
        if not self._stream:
            self._parts.append(data)
            return
        await self._commit()
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self) -> None:
        """Complete the answer, and send it if it was not streamed."""
        if self._stream:
            await self._commit()
            await self._send({"type": "http.response.body", "body": b""})
            return
        self.committed = True
        status, content_type = self._head
        await send_body(
            self._send, status, content_type, b"".join(self._parts), self._get_headers()
        )

    async def fail(self, rejection: Rejection) -> None:
        """End with an error; in a started stream it is the last event, without an end marker."""
        self.rejection = rejection
        if not self.committed:
            self.committed = True
            await send_rejection(self._send, rejection, self._headers)
            return
        event = b"data: " + encode_error(rejection) + b"\n\n"
        await self._send({"type": "http.response.body", "body": event})

    def _record_part_time(self) -> None:
        self.latest_part_s = self._timer.now()
        if self.first_part_s is None:
            self.first_part_s = self.latest_part_s
        self.part_count += 1

    def _get_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        return (*self._headers, (b"x-endpoint", self.endpoint.encode()))

    async def _commit(self) -> None:
        if self.committed:
            return
        self.committed = True
        status, content_type = self._head
        headers = [(b"content-type", content_type.encode()), *self._get_headers()]
        await self._send({"type": "http.response.start", "status": status, "headers": headers})
