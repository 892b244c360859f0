"""
kingcupdyke_standins.link
~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in of the link between regions: a TCP proxy with latency, limited throughput and faults.
"""

import logging
from contextlib import suppress
from math import inf

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    Event,
    connect_tcp,
    create_memory_object_stream,
    create_task_group,
    create_tcp_listener,
    current_time,
    sleep_until,
)
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from kingcupdyke_standins.asgi import HttpRequest, Reply, StandinApp
from kingcupdyke_wire.sockets import reset

__all__ = ["LinkApp"]

_LOGGER = logging.getLogger(__name__)
LOOPBACK = "127.0.0.1"
_CHUNK_BYTES = 16_384
#: Limit of the chunks in flight in one direction of one connection.
_MAX_CHUNKS_IN_FLIGHT = 256
_CONNECTION_ERRORS = (BrokenResourceError, ClosedResourceError, OSError)


class LinkDirection:
    """One direction of the link: counts and delays bytes and limits their throughput.

    :param delay_s: one-way latency in seconds
    :param bytes_per_s: throughput that all connections share
    """

    def __init__(self, delay_s: float, bytes_per_s: float) -> None:
        self._delay_s = delay_s
        self._bytes_per_s = bytes_per_s
        #: Time at which the bytes admitted so far will have been sent.
        self._sent_s = 0.0
        #: Bytes forwarded so far.
        self.forwarded_bytes = 0

    def admit(self, size_bytes: int) -> float:
        """:return: the time at which bytes that are sent now arrive"""
        self.forwarded_bytes += size_bytes
        self._sent_s = max(self._sent_s, current_time()) + size_bytes / self._bytes_per_s
        return self._sent_s + self._delay_s


class LinkApp(StandinApp):
    """Forwards connections to targets; fault switches freeze them or partition the regions.

    :param delay_s: one-way latency in seconds
    :param bytes_per_s: throughput of each direction; 0 is unlimited
    """

    def __init__(self, delay_s: float, bytes_per_s: float) -> None:
        super().__init__("link")
        rate = bytes_per_s or inf
        self._outbound = LinkDirection(delay_s, rate)
        self._inbound = LinkDirection(delay_s, rate)
        self._tasks: TaskGroup | None = None
        self._ports_by_target: dict[tuple[str, int], int] = {}
        #: Set to freeze all open connections; later connections get a new event.
        self._frozen = Event()

    async def begin(self, tasks: TaskGroup) -> None:
        self._tasks = tasks

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        match request.method, request.path:
            case "PUT", ("targets", address, port):
                await reply.json(200, {"port": await self._open(address, int(port))})
            case "GET", ("bytes",):
                outbound, inbound = self._outbound.forwarded_bytes, self._inbound.forwarded_bytes
                await reply.json(200, {"there": outbound, "back": inbound})
            case _:
                await reply.json(404, {})

    async def apply_faults(self) -> None:
        if self.faults.take_action("freeze"):
            self._frozen.set()
            self._frozen = Event()

    async def _open(self, address: str, port: int) -> int:
        target = (address, port)
        if target not in self._ports_by_target:
            listener = await create_tcp_listener(local_host=LOOPBACK)
            self._ports_by_target[target] = listener.extra(SocketAttribute.local_port)
            self._tasks.start_soon(
                listener.serve, lambda client: self._forward(client, address, port), self._tasks
            )
        return self._ports_by_target[target]

    async def _forward(self, client: SocketStream, address: str, port: int) -> None:
        frozen = self._frozen
        async with client:
            try:
                server = await connect_tcp(address, port)
            except OSError:
                return
            async with server, create_task_group() as tasks:
                for source, sink, direction in (
                    (client, server, self._outbound),
                    (server, client, self._inbound),
                ):
                    send, receive = create_memory_object_stream(_MAX_CHUNKS_IN_FLIGHT)
                    tasks.start_soon(self._read, source, send, direction)
                    tasks.start_soon(self._write, receive, sink, frozen, tasks)

    async def _read(
        self,
        source: SocketStream,
        chunks: MemoryObjectSendStream,
        direction: LinkDirection,
    ) -> None:
        """Queue the data of a connection by its time of arrival; None means that it was reset."""
        async with chunks:
            try:
                while True:
                    data = await source.receive(_CHUNK_BYTES)
                    await chunks.send((direction.admit(len(data)), data))
            except EndOfStream:
                return
            except _CONNECTION_ERRORS as error:
                _LOGGER.debug("a connection was reset: %r", error)
                with suppress(*_CONNECTION_ERRORS):
                    await chunks.send((direction.admit(0), None))

    async def _write(
        self,
        chunks: MemoryObjectReceiveStream,
        sink: SocketStream,
        frozen: Event,
        tasks: TaskGroup,
    ) -> None:
        async with chunks:
            try:
                async for arrival_s, data in chunks:
                    await sleep_until(arrival_s)
                    if data is None:
                        reset(sink)
                    elif not self._discards_data(frozen):
                        await sink.send(data)
            except _CONNECTION_ERRORS:
                pass
        tasks.cancel_scope.cancel()

    def _discards_data(self, frozen: Event) -> bool:
        return frozen.is_set() or self.faults.value("cut")
