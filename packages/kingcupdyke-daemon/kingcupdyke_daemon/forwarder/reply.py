"""
kingcupdyke_daemon.forwarder.reply
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A client's request, and the interfaces that answer it.
"""

import json
from abc import ABC, abstractmethod
from math import inf
from typing import NamedTuple

from kingcupdyke_daemon.forwarder.dialect import Headers

__all__ = ["ClientDisconnectedError", "ClientRequest", "Reply", "RequestHandler"]


class ClientRequest(NamedTuple):
    """A request of a client, with its whole body."""

    method: bytes
    #: Path and query as sent.
    target: bytes
    #: Header fields as sent, names in lower case.
    headers: Headers
    body: bytes
    #: Time in seconds before which no byte of it arrived; its durations begin there.
    arrived_s: float
    #: Seconds from then until its head was read, which the process was late.
    unread_s: float = 0.0

    @property
    def host(self) -> str:
        """:return: the value of the Host header"""
        for name, value in self.headers:
            if name == b"host":
                return value.decode("latin-1")
        return ""

    @property
    def path(self) -> str:
        """:return: the path without its query"""
        return self.target.split(b"?", 1)[0].decode("latin-1")


class ClientDisconnectedError(Exception):
    """The client's connection broke while the answer was written."""


class Reply(ABC):
    """Writes the answer to one request."""

    #: Whether the head of the answer was sent.
    has_begun = False
    #: Whether the answer was sent to its end.
    is_complete = False
    #: Id of the client's attempt for log lines, or empty if it is not known.
    attempt_id = ""

    @abstractmethod
    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of the answer.

        :raises ValueError: when the status is none that an answer can have; nothing is sent then
        """

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of the body, or hold it for a slow client.

        :return: when the next part may be read
        """

    @abstractmethod
    async def end(self) -> None:
        """Mark the end of the answer, and wait until all of it is written."""

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        length = (b"content-length", str(len(body)).encode())
        await self.begin(status, [*headers, length])
        if body:
            await self.write(body)
        await self.end()

    async def reject(self, status: int, reason: str, headers: Headers = ()) -> None:
        """Reject the request with an error message as JSON."""
        body = json.dumps({"error": {"message": reason, "code": status}}).encode()
        await self.answer(status, [(b"content-type", b"application/json"), *headers], body)


class RequestHandler(ABC):
    """Answers requests; the task is cancelled when the client disconnects."""

    @abstractmethod
    async def handle(self, request: ClientRequest, reply: Reply) -> None:
        """Answer a request; if this returns before :meth:`Reply.end`, the connection is reset."""

    def get_body_timeout_s(self, request: ClientRequest) -> float:
        """:return: seconds after the head within which the whole body must have arrived

        :param request: the request without its body
        """
        return inf

    def find_shortage(self, unread_s: float) -> str:
        """:return: why a request of a new connection is rejected before that is served, or empty

        :param unread_s: seconds for which the connection may have waited
        """
        return ""

    def note_early_rejection(self, headers: Headers, reason: str, unread_s: float) -> Headers:
        """Count and log that a request is rejected so.

        :return: headers of the answer
        """
        return []

    def write_rejection(self, headers: Headers, retry_after_s: float) -> Headers:
        """:return: headers of the rejection of a request that does not reach the handler

        :param headers: headers of the request
        """
        return [(b"retry-after", f"{retry_after_s:.3f}".encode())]
