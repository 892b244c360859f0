"""
forwarder_rig
~~~~~~~~~~~~~

Runs a forwarding gateway over real sockets, between raw clients and scripted endpoints.
"""

from contextlib import asynccontextmanager
from math import inf

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    current_time,
    fail_after,
    sleep,
)
from anyio.abc import SocketAttribute

from kingcupdyke.forwarding.configuration import (
    ClientLimits,
    Configuration,
    Route,
    RouteKind,
    ServiceSpec,
    WeightedService,
)
from kingcupdyke.forwarding.crashreport import CrashMessage
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.leavingmessage import LeavingMessage
from kingcupdyke.forwarding.limitmessage import LimitMessage
from kingcupdyke.forwarding.metadata import AnswerMetadata, PromptPart, RequestMetadata
from kingcupdyke.forwarding.quotalimits import QuotaLimits
from kingcupdyke.forwarding.quotamessage import QuotaAsk, QuotaClaim, QuotaGrant, QuotaVote
from kingcupdyke.forwarding.retrybudget import SharedRetryBudget
from kingcupdyke_daemon.forwarder.answerbuffer import AnswerMemory
from kingcupdyke_daemon.forwarder.clientserver import ClientServer
from kingcupdyke_daemon.forwarder.crashdirectory import CrashDirectory
from kingcupdyke_daemon.forwarder.dependencies import ForwarderDependencies
from kingcupdyke_daemon.forwarder.dialect import Dialect
from kingcupdyke_daemon.forwarder.endpointbackoffs import EndpointBackoffs
from kingcupdyke_daemon.forwarder.handler import ForwardingHandler
from kingcupdyke_daemon.forwarder.leavingdirectory import LeavingDirectory
from kingcupdyke_daemon.forwarder.limitdirectory import LimitDirectory
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.forwarder.origindirectory import OriginDirectory
from kingcupdyke_daemon.forwarder.pool import ConnectionPool
from kingcupdyke_daemon.forwarder.queue import WaitingQueue
from kingcupdyke_daemon.forwarder.quotadirectory import QuotaDirectory, QuotaMembers
from kingcupdyke_daemon.forwarder.settings import SocketAddress
from kingcupdyke_daemon.forwarder.versionregistrar import VersionRegistrar
from kingcupdyke_daemon.logs import LineSampler
from kingcupdyke_daemon.taskerrors import TaskErrors
from kingcupdyke_daemon.timer import LoopTimer
from kingcupdyke_wire.memorystore import MemoryStoreClient
from kingcupdyke_wire.retryafter import read_retry_after

__all__ = [
    "ROUTES",
    "ForwarderRig",
    "PlainDialect",
    "ScriptedEndpoint",
    "make_configuration",
    "make_entry",
    "open_rig",
]

DISCONNECT_ERRORS = (BrokenResourceError, ClosedResourceError, EndOfStream, OSError)
ROUTES = {
    "/safe/": RouteKind.IDEMPOTENT,
    "/once/": RouteKind.NON_IDEMPOTENT,
    "/stream/": RouteKind.STREAMING,
    "/resume/": RouteKind.STREAMING,
}


class PlainDialect(Dialect):
    """Headers x-id, x-limit-s, x-parts, x-caller (for Authorization), x-tenant, x-rank, x-tokens,
    x-mark, x-not-run, x-endpoint, x-limit, x-leaving and retry-after; decodes no objects.
    """

    def read_request(self, headers):
        values = dict(headers)
        limit = values.get(b"x-limit-s")
        timeout_s = float(limit) if limit else None
        return RequestMetadata(
            values.get(b"x-id", b"").decode(),
            timeout_s,
            "",
            "",
            int(values.get(b"x-tokens", b"0")),
            0,
            tuple(PromptPart(each, 1) for each in values.get(b"x-parts", b"").decode().split()),
            values.get(b"x-resumes", b"").decode(),
            "\n".join(value.decode("latin-1") for name, value in headers if name == b"x-caller"),
        )

    def write_request(self, headers, metadata):
        dropped = {b"connection", b"content-length", b"transfer-encoding", b"x-endpoint"}
        dropped |= {b"x-tenant", b"x-caller"} if metadata.has_callers else {b"x-tenant"}
        kept = [each for each in headers if each[0] not in dropped]
        kept.append((b"x-rank", str(metadata.priority).encode()))
        if metadata.caller:
            kept.append((b"x-tenant", metadata.caller.encode()))
        return [*kept, (b"x-endpoint", metadata.endpoint.encode())]

    def read_answer(self, headers):
        values = dict(headers)
        return AnswerMetadata(
            values.get(b"x-id", b"").decode(),
            b"x-not-run" in values,
            b"x-mark" in values,
            values.get(b"x-endpoint", b"").decode(),
            None,
            float(values[b"x-limit"]) if b"x-limit" in values else None,
            b"x-leaving" in values,
            read_retry_after([values.get(b"retry-after", b"").decode()], "", 0.0),
        )

    def write_rejection(self, attempt_id, retry_after_s):
        return [] if retry_after_s is None else [(b"retry-after", str(retry_after_s).encode())]

    def expect_endpoint(self, endpoint):
        return {}

    def decode_configuration(self, value):
        raise NotImplementedError

    def decode_endpoint(self, endpoint, value):
        raise NotImplementedError

    def decode_report(self, value):
        raise NotImplementedError

    def encode_order(self, order, expected, holder, fence):
        raise NotImplementedError

    def read_order_reply(self, status):
        raise NotImplementedError


class ScriptedEndpoint:
    """An endpoint that follows a script: one word per request, and the last word from then on.

    A word like ``bare:1,2,part`` names the events of a stream; ``part`` is an incomplete one.
    """

    def __init__(self, name, script):
        self.name = name
        words = script.split()
        #: Version of its software: a first word like ``@v2``, or ``v1``.
        self.software_version = words.pop(0)[1:] if words[0].startswith("@") else "v1"
        self.script = words
        #: Received requests in order: head and body.
        self.requests = []
        self.connections = 0
        #: Times in seconds at which the gateway closed a connection during a request.
        self.closed_times_s = []
        self.address = ("127.0.0.1", 1)
        #: Number of its starts; each one is listed as a later start.
        self.starts = 1
        #: Whether it breaks off the streams that it keeps open.
        self.is_broken = False

    async def run(self, on_start):
        """Listen and serve.

        :param on_start: called with the endpoint when it listens
        """
        listener = (await create_tcp_listener(local_host="127.0.0.1")).listeners[0]
        self.address = listener.extra(SocketAttribute.local_address)
        on_start(self)
        await self.serve(listener)

    async def serve(self, listener):
        await listener.serve(self.handle)

    async def handle(self, stream):
        self.connections += 1
        async with stream:
            try:
                data = b""
                while True:
                    head, body, data = await self.read(stream, data)
                    self.requests.append((head, body))
                    word = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                    name, _, events = word.partition(":")
                    arguments = [events] if ":" in word else []
                    if not await getattr(self, f"do_{name}")(
                        stream, find(head, "x-id"), *arguments
                    ):
                        return
            except DISCONNECT_ERRORS:
                pass

    async def read(self, stream, data):
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        head, _, data = data.partition(b"\r\n\r\n")
        length = int(find(head.decode(), "content-length") or 0)
        while len(data) < length:
            data += await stream.receive()
        return head.decode(), data[:length], data[length:]

    async def answer(
        self, stream, attempt_id, status=200, body=b"hello", extra="", mark="x-mark: m"
    ):
        head = f"HTTP/1.1 {status} X\r\nx-id: {attempt_id}\r\n{mark}\r\n{extra}"
        head = head.replace("\r\n\r\n", "\r\n")
        await stream.send(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)

    async def do_ok(self, stream, attempt_id):
        await self.answer(stream, attempt_id, body=self.name.encode())
        return True

    async def do_slow(self, stream, attempt_id):
        await sleep(0.5)
        return await self.do_ok(stream, attempt_id)

    async def do_fail(self, stream, attempt_id):
        await self.answer(stream, attempt_id, 500, b"failed")
        return True

    async def do_notrun(self, stream, attempt_id):
        await self.answer(stream, attempt_id, 503, b"full", "x-not-run: 1\r\n", "x-a: b")
        return True

    async def do_misdirected(self, stream, attempt_id):
        extra = "x-not-run: 1\r\nx-endpoint: another\r\n"
        await self.answer(stream, attempt_id, 421, b"", extra, "x-a: b")
        return True

    async def do_unmarked(self, stream, attempt_id):
        await self.answer(stream, attempt_id, mark="x-a: b")
        return True

    async def do_crossed(self, stream, attempt_id):
        await self.answer(stream, "another")
        return False

    async def do_stray(self, stream, attempt_id):
        await self.answer(stream, "another", body=b"stray")
        await self.answer(stream, attempt_id, body=b"own")
        return True

    async def do_twice(self, stream, attempt_id):
        await self.answer(stream, attempt_id, body=b"first")
        await sleep(0.02)
        await self.answer(stream, attempt_id, body=b"again")
        return True

    async def do_cut(self, stream, attempt_id):
        head = f"HTTP/1.1 200 X\r\nx-id: {attempt_id}\r\nx-mark: m\r\ncontent-length: 50\r\n\r\n"
        await stream.send(head.encode() + b"only a part")
        await sleep(0.02)
        return False

    async def do_unframed(self, stream, attempt_id):
        head = f"HTTP/1.1 200 X\r\nx-id: {attempt_id}\r\nx-mark: m\r\n\r\n"
        await stream.send(head.encode() + b"until the end")
        return False

    async def do_garbage(self, stream, attempt_id):
        await stream.send(b"\x00\x01 this is no answer\r\n\r\n")
        return False

    async def do_close(self, stream, attempt_id):
        return False

    async def do_hang(self, stream, attempt_id):
        try:
            await stream.receive()
        except DISCONNECT_ERRORS:
            self.closed_times_s.append(current_time())
        return False

    async def do_events(self, stream, attempt_id, first=1, last=4, cut=False):
        head = f"HTTP/1.1 200 X\r\nx-id: {attempt_id}\r\nx-mark: m\r\n"
        await stream.send(f"{head}transfer-encoding: chunked\r\n\r\n".encode())
        for number in range(first, last + 1):
            event = f"id: {number}\ndata: {self.name}\n\n".encode()
            await stream.send(b"%x\r\n%s\r\n" % (len(event), event))
            await sleep(0.01)
        if cut:
            await stream.send(b"8\r\nid: 9\nda\r\n")
            await sleep(0.01)
            return False
        await stream.send(b"0\r\n\r\n")
        return True

    async def do_bare(self, stream, attempt_id, events):
        await self.send_stream(stream, attempt_id, "", self.write_events(events))
        return False

    async def do_chunked(self, stream, attempt_id, events):
        data = self.write_events(events)
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data)
        await self.send_stream(stream, attempt_id, "transfer-encoding: chunked\r\n", body)
        return True

    async def do_sized(self, stream, attempt_id, events):
        data = self.write_events(events)
        await self.send_stream(stream, attempt_id, f"content-length: {len(data)}\r\n", data)
        return True

    async def do_crlf(self, stream, attempt_id, events):
        data = self.write_events(events).replace(b"\n", b"\r\n")
        await self.send_stream(stream, attempt_id, "", data)
        return False

    def write_events(self, events):
        """:return: the events with the given ids; ``part`` is one that breaks off"""
        text = "".join(f"id: {each}\ndata: {self.name}\n\n" for each in events.split(",") if each)
        return text.replace(f"id: part\ndata: {self.name}\n\n", "id: 9\nda").encode()

    async def send_stream(self, stream, attempt_id, extra, body):
        """Send the head of a stream, and its body one byte after the other."""
        head = f"HTTP/1.1 200 X\r\nx-id: {attempt_id}\r\nx-mark: m\r\n{extra}\r\n"
        await stream.send(head.encode())
        for index in range(len(body)):
            await stream.send(body[index : index + 1])

    async def do_cutevents(self, stream, attempt_id):
        return await self.do_events(stream, attempt_id, last=2, cut=True)

    async def do_latecut(self, stream, attempt_id):
        head = f"HTTP/1.1 200 X\r\nx-id: {attempt_id}\r\nx-mark: m\r\n"
        await stream.send(f"{head}transfer-encoding: chunked\r\n\r\n".encode())
        event = f"id: 1\ndata: {self.name}\n\n".encode()
        await stream.send(b"%x\r\n%s\r\n" % (len(event), event))
        # Longer than the time within which the first event must arrive.
        await sleep(2.2)
        return False

    async def do_rest(self, stream, attempt_id):
        last_id = int(find(self.requests[-1][0], "last-event-id") or 0)
        return await self.do_events(stream, attempt_id, first=last_id + 1)

    async def do_open(self, stream, attempt_id):
        """Send two events and keep the stream open until it is broken off."""
        return await self.do_step(stream, attempt_id, count=2)

    async def do_step(self, stream, attempt_id, count=1):
        """Send the next event and keep the stream open until it is broken off."""
        last_id = int(find(self.requests[-1][0], "last-event-id") or 0)
        events = ",".join(str(last_id + each) for each in range(1, count + 1))
        head = f"HTTP/1.1 200 X\r\nx-id: {attempt_id}\r\nx-mark: m\r\n"
        data = self.write_events(events)
        await stream.send(f"{head}transfer-encoding: chunked\r\n\r\n{len(data):x}\r\n".encode())
        await stream.send(data + b"\r\n")
        while not self.is_broken:
            await sleep(0.01)
        return False


def find(head, name):
    """:return: the value of a header field, or the empty string"""
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name:
            return value.strip()
    return ""


def make_configuration(version, timeout_s, limits=None):
    """:return: a configuration with a route for each kind of request"""
    routes = tuple(
        Route(
            name=prefix.strip("/"),
            host="a.example",
            path_prefix=prefix,
            kind=kind,
            services=(WeightedService("service", 1.0),),
            timeout_s=timeout_s,
            objective_s=0.5,
            gap_target_s=0.2,
            priority=1,
            max_attempts=2,
            is_resumable=prefix == "/resume/",
        )
        for prefix, kind in ROUTES.items()
    )
    return Configuration(
        version, routes, (ServiceSpec("service", "/", 10, None),), limits or ClientLimits()
    )


def make_entry(endpoint, address):
    """:return: an endpoint's entry"""
    return EndpointEntry(
        endpoint=endpoint,
        service="service",
        address=address,
        data_centre="n1",
        slots=4,
        is_leaving=False,
        remaining_s=None,
        heartbeat=1,
        started_ms=1,
        models=(),
        in_memory=frozenset(),
        on_disk=frozenset(),
    )


class PeerNetwork:
    """Carries messages between the rigs of gateways.

    :param delay_s: time that each message takes
    :param loss_interval: all but one of so many messages are lost; 1 loses none
    """

    def __init__(self, tasks, delay_s=0.002, loss_interval=1):
        self._tasks = tasks
        self._delay_s = delay_s
        self._loss_interval = loss_interval
        self._sent = 0
        self.rig_by_host = {}

    def list_peers(self, host):
        """:return: incarnations of a gateway's peers by host"""
        rigs = self.rig_by_host.items()
        return {name: str(id(rig)) for name, rig in rigs if name != host}

    def send(self, host, data):
        self._sent += 1
        if self._sent % self._loss_interval == 0:
            self._tasks.start_soon(self._deliver, host, data)

    async def _deliver(self, host, data):
        await sleep(self._delay_s)
        if host in self.rig_by_host:
            self.rig_by_host[host].receive(data)


class ForwarderRig:
    """A gateway's client server and request handler, with their collaborators and endpoints."""

    def __init__(self, tasks, endpoints, retry_allowance=100.0, host="n1", network=None):
        timer = self.timer = LoopTimer(tasks)
        self._tasks = tasks
        #: Carries messages between gateways.
        self.network = network or PeerNetwork(tasks)
        self.network.rig_by_host[host] = self
        self.endpoint_table = EndpointTable()
        self.dispatcher = Dispatcher(self.endpoint_table, "n1", {"n1": "north"})
        self.crash_table = self.dispatcher.crash_table
        queue = WaitingQueue(self.dispatcher, timer)
        self.pool = ConnectionPool(timer, tasks)
        self.retry_budget = SharedRetryBudget(0.2, retry_allowance, 10.0)
        self.metrics = ForwarderMetrics("test")
        self.crashes = CrashDirectory(
            host,
            self.crash_table,
            self.dispatcher.request_crash_table,
            self.endpoint_table,
            timer,
            tasks,
            lambda: self.network.list_peers(host),
            self.network.send,
        )
        self.endpoint_limits = LimitDirectory(
            host,
            str(id(self)),
            self.dispatcher.limit_table,
            self.endpoint_table,
            timer,
            lambda: self.network.list_peers(host),
            lambda: len(self.network.rig_by_host),
            self.network.send,
        )
        self.leaving = LeavingDirectory(
            host,
            self.endpoint_table,
            timer,
            lambda: self.network.list_peers(host),
            self.network.send,
        )
        self.quotas = QuotaDirectory(
            host,
            str(id(self)),
            QuotaLimits(),
            timer,
            lambda: QuotaMembers(self.network.rig_by_host, self.network.rig_by_host),
            self.network.send,
        )
        self.backoffs = EndpointBackoffs(self.endpoint_table, timer, self.metrics)
        self.memory = AnswerMemory(None, self.metrics)
        deps = ForwarderDependencies(
            PlainDialect(),
            self.dispatcher,
            self.endpoint_table,
            queue,
            self.pool,
            self.retry_budget,
            timer,
            self.metrics,
            LineSampler(timer.now),
            OriginDirectory(
                "n1",
                timer,
                lambda: "north",
                dict,
                lambda host, message: None,
                self.endpoint_table.starts,
            ),
            self.crashes,
            self.endpoint_limits,
            self.leaving,
            self.backoffs,
            VersionRegistrar(
                self.dispatcher.version_register, MemoryStoreClient(), timer, tasks, queue.poll
            ),
            self.quotas,
            self.memory,
        )
        self.endpoint_table.listed_since_s = -inf
        self.handler = ForwardingHandler(deps)
        self.limits = ClientLimits(2000, 10_000, 0.3, 0.6)
        self.handler.configuration = make_configuration(1, 1.0, self.limits)
        self.server = ClientServer(
            self.handler, lambda: self.limits, timer.now, self.memory, TaskErrors()
        )
        self.endpoints = endpoints
        self.address = SocketAddress("127.0.0.1", 0)

    async def serve_endpoint(self, endpoint):
        """Let an endpoint listen, and list it."""
        listener = (await create_tcp_listener(local_host="127.0.0.1")).listeners[0]
        endpoint.address = listener.extra(SocketAttribute.local_address)
        self._tasks.start_soon(endpoint.serve, listener)
        self.list_endpoint(endpoint)

    def list_endpoint(self, endpoint):
        entry = make_entry(endpoint.name, endpoint.address)
        self.endpoint_table.put(
            entry._replace(software_version=endpoint.software_version, started_ms=endpoint.starts)
        )

    def receive(self, data):
        """Process a peer's message."""
        handlers = {
            CrashMessage: self.crashes.receive,
            LimitMessage: self.endpoint_limits.receive,
            LeavingMessage: self.leaving.receive,
            QuotaAsk: self.quotas.receive,
            QuotaClaim: self.quotas.receive,
            QuotaGrant: self.quotas.receive,
            QuotaVote: self.quotas.receive,
        }
        for kind, receive in handlers.items():
            message = kind.decode(data)
            if message.is_ok():
                receive(message.ok)
                return
        raise ValueError(data)

    async def send(self, data):
        """:return: a new connection on which the bytes have been sent"""
        stream = await connect_tcp(*self.address)
        await stream.send(data)
        return stream

    async def ask(self, data, limit_s=3.0):
        """:return: all bytes received on a new connection after sending bytes"""
        stream = await self.send(data)
        return await self.read_all(stream, limit_s)

    async def read_all(self, stream, limit_s=3.0):
        """:return: all bytes received on a connection until it ends; ``!`` marks a reset"""
        found = b""
        with fail_after(limit_s):
            try:
                while True:
                    found += await stream.receive()
            except EndOfStream:
                pass
            except (BrokenResourceError, ClosedResourceError):
                found += b"!"
        await stream.aclose()
        return found


@asynccontextmanager
async def open_rig(scripts, retry_allowance=100.0, host="n1", network=None):
    """Run a rig while the context is open.

    :param host: name of the gateway
    :param network: carries its messages to its peers, or None if it has none
    :param scripts: one script for each of the endpoints e1, e2 ...; ``down`` does not listen
    """
    endpoints = [ScriptedEndpoint(f"e{n}", each) for n, each in enumerate(scripts, 1)]
    async with create_task_group() as tasks:
        rig = ForwarderRig(tasks, endpoints, retry_allowance, host, network)
        for endpoint in endpoints:
            if endpoint.script == ["down"]:
                rig.list_endpoint(endpoint)
            else:
                await rig.serve_endpoint(endpoint)
        front = await rig.server.listen(SocketAddress("127.0.0.1", 0))
        rig.address = front.extra(SocketAttribute.local_address)
        tasks.start_soon(rig.server.serve, front, tasks)
        yield rig
        rig.metrics.close()
        rig.pool.close_all()
        tasks.cancel_scope.cancel()
