"""
kingcupdyke_daemon.forwarder.reply
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A client's request, and where its answer goes.
"""

import json
from abc import ABC, abstractmethod
from typing import NamedTuple

from kingcupdyke_daemon.forwarder.dialect import Headers

__all__ = ["ClientLeftError", "ClientRequest", "Reply", "RequestHandler"]


class ClientRequest(NamedTuple):
    """A whole request of a client."""

    method: bytes
    #: Path and query as sent.
    target: bytes
    #: Header fields as sent, names in lower case.
    headers: Headers
    body: bytes
    #: Time at which its head had come, in seconds.
    arrived_s: float

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


class ClientLeftError(Exception):
    """The client's connection broke while an answer was written."""


class Reply(ABC):
    """Where the answer to one request goes."""

    #: Whether the head of an answer was sent.
    has_begun = False
    #: Whether the answer is whole.
    is_whole = False

    @abstractmethod
    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of the body; returns when the client's connection takes more."""

    @abstractmethod
    async def end(self) -> None:
        """Say that the answer is whole."""

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = (b"content-length", str(len(body)).encode())
        await self.begin(status, [*headers, length])
        if body:
            await self.write(body)
        await self.end()

    async def refuse(self, status: int, reason: str, headers: Headers = ()) -> None:
        """Send an answer of the gateway's own."""
        body = json.dumps({"error": {"message": reason, "code": status}}).encode()
        await self.answer(status, [(b"content-type", b"application/json"), *headers], body)


class RequestHandler(ABC):
    """Answers requests; the task is cancelled when the client leaves."""

    @abstractmethod
    async def handle(self, request: ClientRequest, reply: Reply) -> None:
        """Answer a request; an answer that is not ended is broken off."""
