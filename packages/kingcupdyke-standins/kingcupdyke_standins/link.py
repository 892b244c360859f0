"""
kingcupdyke_standins.link
~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in of the slow, narrow link between regions, and of what may lose track of connections.
"""

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
from anyio.abc import ByteStream, SocketAttribute, TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from kingcupdyke_standins.asgi import HttpRequest, Reply, StandinApp

__all__ = ["LinkApp"]

LOOPBACK = "127.0.0.1"
_CHUNK_BYTES = 16_384
#: Chunks on their way in one direction of one connection.
_MOST_CHUNKS = 256
_BROKEN = (BrokenResourceError, ClosedResourceError, EndOfStream, OSError)


class LinkDirection:
    """One direction of the link: bytes counted, delayed and held to a rate.

    :param delay_s: seconds one way
    :param bytes_per_s: rate that all connections share
    """

    def __init__(self, delay_s: float, bytes_per_s: float) -> None:
        self._delay_s = delay_s
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0
        #: Bytes carried so far.
        self.carried_bytes = 0

    def admit(self, size_bytes: int) -> float:
        """:return: the time at which bytes that are sent now come out"""
        self.carried_bytes += size_bytes
        self._free_s = max(self._free_s, current_time()) + size_bytes / self._bytes_per_s
        return self._free_s + self._delay_s


class LinkApp(StandinApp):
    """Forwards connections to targets; switches freeze them or part the regions.

    :param delay_s: seconds one way
    :param bytes_per_s: rate of each direction; 0 is without bound
    """

    def __init__(self, delay_s: float, bytes_per_s: float) -> None:
        super().__init__("link")
        rate = bytes_per_s or inf
        self._there = LinkDirection(delay_s, rate)
        self._back = LinkDirection(delay_s, rate)
        self._tasks: TaskGroup | None = None
        self._ports_by_target: dict[tuple[str, int], int] = {}
        #: Set to freeze the connections that were open before.
        self._frozen = Event()

    async def begin(self, tasks: TaskGroup) -> None:
        self._tasks = tasks

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        match request.method, request.path:
            case "PUT", ("targets", address, port):
                await reply.json(200, {"port": await self._open(address, int(port))})
            case "GET", ("bytes",):
                there, back = self._there.carried_bytes, self._back.carried_bytes
                await reply.json(200, {"there": there, "back": back})
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
                listener.serve, lambda near: self._carry(near, address, port), self._tasks
            )
        return self._ports_by_target[target]

    async def _carry(self, near: ByteStream, address: str, port: int) -> None:
        frozen = self._frozen
        async with near:
            try:
                far = await connect_tcp(address, port)
            except OSError:
                return
            async with far, create_task_group() as tasks:
                for source, sink, direction in (
                    (near, far, self._there),
                    (far, near, self._back),
                ):
                    send, receive = create_memory_object_stream(_MOST_CHUNKS)
                    tasks.start_soon(self._read, source, send, direction)
                    tasks.start_soon(self._write, receive, sink, frozen, tasks)

    async def _read(
        self,
        source: ByteStream,
        chunks: MemoryObjectSendStream,
        direction: LinkDirection,
    ) -> None:
        async with chunks:
            try:
                while True:
                    data = await source.receive(_CHUNK_BYTES)
                    await chunks.send((direction.admit(len(data)), data))
            except _BROKEN:
                return

    async def _write(
        self,
        chunks: MemoryObjectReceiveStream,
        sink: ByteStream,
        frozen: Event,
        tasks: TaskGroup,
    ) -> None:
        async with chunks:
            try:
                async for due_s, data in chunks:
                    await sleep_until(due_s)
                    if not self._is_silent(frozen):
                        await sink.send(data)
            except _BROKEN:
                pass
        tasks.cancel_scope.cancel()

    def _is_silent(self, frozen: Event) -> bool:
        return frozen.is_set() or self.faults.value("cut")
