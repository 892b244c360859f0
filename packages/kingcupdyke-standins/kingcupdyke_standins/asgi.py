"""
kingcupdyke_standins.asgi
~~~~~~~~~~~~~~~~~~~~~~~~~

Base of all stand-ins: requests, replies and the calls that set fault switches.
"""

import json
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote

from anyio import sleep_forever
from anyio.abc import TaskGroup

from kingcupdyke.error import OptionError
from kingcupdyke_standins.faults import Faults
from kingcupdyke_standins.protocol import StandinProtocol

__all__ = ["HttpRequest", "Reply", "StandinApp"]


class HttpRequest(NamedTuple):
    """A request that was read completely."""

    method: str
    #: Segments of the path, unquoted.
    path: tuple[str, ...]
    query: dict[str, str]
    #: Values of the header fields, by name in lower case.
    headers: dict[str, str]
    body: bytes

    def data(self) -> dict:
        """:return: the body, parsed as JSON
        :raises ValueError: if the body is not valid JSON
        """
        return json.loads(self.body)


class Reply:
    """Sends the answer to one request, or simulates a failure of its connection."""

    def __init__(self, client: tuple[str, int], receive: Callable, send: Callable) -> None:
        self._client = client
        self._receive = receive
        self._send = send

    async def json(self, status: int, data: object, headers: dict[str, str] | None = None) -> None:
        """Send a complete answer in JSON."""
        fields = {"content-type": "application/json", **(headers or {})}
        await self.send_response(status, json.dumps(data).encode(), fields)

    async def send_response(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete answer."""
        await self.begin(status, {"content-length": str(len(body)), **(headers or {})})
        await self._emit({"type": "http.response.body", "body": body, "more_body": False})

    async def begin(self, status: int, headers: dict[str, str]) -> None:
        """Send the status and the headers of an answer."""
        fields = [(name.encode(), value.encode("latin-1")) for name, value in headers.items()]
        await self._emit({"type": "http.response.start", "status": status, "headers": fields})

    async def part(self, body: bytes) -> None:
        """Send a part of the body."""
        await self._emit({"type": "http.response.body", "body": body, "more_body": True})

    async def end(self) -> None:
        """End the answer."""
        await self._emit({"type": "http.response.body", "body": b"", "more_body": False})

    async def drop(self) -> None:
        """Drop the connection, even in the middle of an answer."""
        StandinProtocol.abort(self._client)
        await self.wait_disconnect()

    async def wait_disconnect(self) -> None:
        """Send nothing until the client disconnects."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def send_unsolicited(self, body: bytes) -> None:
        """Send bytes that belong to no answer, after the answer has ended."""
        StandinProtocol.write(self._client, body)

    async def _emit(self, message: dict) -> None:
        if StandinProtocol.is_frozen(self._client):
            await sleep_forever()
        await self._send(message)


class StandinApp(ABC):
    """An ASGI application with fault switches.

    :param standin: name of the stand-in in the table of switches
    """

    def __init__(self, standin: str) -> None:
        self.faults = Faults(standin)
        #: Descriptions of the invariant violations that this stand-in has detected.
        self.violations: list[str] = []

    async def __call__(
        self,
        scope: dict,
        receive: Callable[[], Awaitable[dict]],
        send: Callable[[dict], Awaitable[None]],
    ) -> None:
        request = await _read_request(scope, receive)
        reply = Reply(scope["client"], receive, send)
        if request.path == ("faults",):
            await self._handle_faults(request, reply)
        elif request.path == ("violations",):
            await reply.json(200, self.report())
        else:
            await self.handle(request, reply)

    async def begin(self, tasks: TaskGroup) -> None:  # noqa: B027
        """Start the background tasks of the stand-in."""

    @abstractmethod
    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Answer a request, drop its connection or leave it unanswered."""

    async def apply_faults(self) -> None:  # noqa: B027
        """Execute the actions of switches that have just been set."""

    def report(self) -> dict[str, list]:
        """:return: the answer to ``GET /violations``"""
        return {"violations": self.violations}

    async def _handle_faults(self, request: HttpRequest, reply: Reply) -> None:
        if request.method == "PUT":
            try:
                self.faults.set(request.data())
            except (OptionError, ValueError) as error:
                return await reply.json(400, {"error": str(error)})
        await reply.json(200, self.faults.values_by_name)
        await self.apply_faults()
        return None


async def _read_request(scope: dict, receive: Callable[[], Awaitable[dict]]) -> HttpRequest:
    body = b""
    more = True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    raw_path = scope["raw_path"].decode("latin-1").strip("/")
    path = tuple(unquote(part) for part in raw_path.split("/"))
    query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
    return HttpRequest(scope["method"], path, query, headers, body)
