"""
kingcupdyke_daemon.gateway.sink
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Where the answer to a caller goes.
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
    """Sends one answer: whole when it has ended, or part by part.

    :param send: the server's function
    :param headers: header fields that every answer carries
    :param stream: whether parts are passed on as they come
    :param timer: the timer service
    """

    def __init__(self, send: Send, headers: Headers, stream: bool, timer: TimerService) -> None:
        self._send = send
        self._headers = tuple(headers)
        self._stream = stream
        self._timer = timer
        #: Times of the first and the latest part, and their number.
        self.first_s: float | None = None
        self.latest_s = 0.0
        self.part_count = 0
        self._parts: list[bytes] = []
        self._head: tuple[int, str] | None = None
        #: Endpoint that gives the answer, or the empty string.
        self.endpoint = ""
        #: The error that the caller got, or None.
        self.rejection: Rejection | None = None
        #: Whether the caller has received anything, so that no other attempt can answer.
        self.committed = False

    @property
    def status(self) -> int:
        """:return: HTTP status that the caller got, or 0 where it got none"""
        if not self.committed:
            return 0
        return self._head[0] if self._head is not None else self.rejection.status

    def reset(self) -> None:
        """Forget an attempt's answer that did not reach the caller."""
        self._parts.clear()
        self._head = None

    def start(self, status: int, content_type: str, endpoint: str) -> None:
        """Take the head of the answer and the endpoint that gives it."""
        self._head = (status, content_type)
        self.endpoint = endpoint

    async def part(self, data: bytes) -> None:
        """Take a piece of the answer."""
        self._note_part()
        if not self._stream:
            self._parts.append(data)
            return
        await self._commit()
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self) -> None:
        """The answer is whole."""
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
        """End with an error; in a stream that has begun, as a last event without an end mark."""
        self.rejection = rejection
        if not self.committed:
            self.committed = True
            await send_rejection(self._send, rejection, self._headers)
            return
        event = b"data: " + encode_error(rejection) + b"\n\n"
        await self._send({"type": "http.response.body", "body": event})

    def _note_part(self) -> None:
        self.latest_s = self._timer.now()
        if self.first_s is None:
            self.first_s = self.latest_s
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
