"""
kingcupdyke_measure.slopeswire
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Slopes of messages: encoding and decoding, and calls with both ends in one process.
"""

import json
from collections.abc import Awaitable, Callable, Iterator
from time import process_time
from types import SimpleNamespace

import anyio
from grpclib.client import Channel
from grpclib.server import Server, Stream

from kingcupdyke.changelog import encode_snapshot
from kingcupdyke.host import Host
from kingcupdyke.membership import MembershipTable
from kingcupdyke.timer import ManualTimer
from kingcupdyke_daemon.gateway.directory import EndpointDirectory
from kingcupdyke_daemon.gateway.link import SidecarLink
from kingcupdyke_daemon.gateway.streamwatch import StreamWatch
from kingcupdyke_daemon.server import HttpServer, open_socket
from kingcupdyke_measure.meter import Row, measure_bytes_per_entry, time_call_us
from kingcupdyke_measure.slopescore import make_change, make_hosts, make_replica
from kingcupdyke_measure.user import USERS_BY_NAME
from kingcupdyke_wire.convert import apply_update, make_update, write_change
from kingcupdyke_wire.peer_pb2 import Demand, News
from kingcupdyke_wire.rulefile import check_rule_file
from kingcupdyke_wire.sidecar_grpc import SidecarBase, SidecarStub
from kingcupdyke_wire.sidecar_pb2 import (
    BeatReply,
    BeatRequest,
    CancelReply,
    CancelRequest,
    DescribeReply,
    DescribeRequest,
    DrainReply,
    DrainRequest,
    Holdings,
    Load,
    OrderReply,
    OrderRequest,
    Part,
    RunReply,
    RunRequest,
)

__all__ = ["list_wire_rows"]

_LOOPBACK = "127.0.0.1"
#: An event of a stream, with one token.
_TOKEN = b'data: {"choices": [{"index": 0, "delta": {"content": " word"}}]}\n\n'
_CALL_COUNT = 300
_PART_COUNTS = (500, 4000)
_BATCH_SIZES = (1, 5, 25)
_READ_BYTES = 65_536
_LINK_COUNTS = (9, 100, 1000, 5500)


def list_wire_rows(seed: int) -> Iterator[Row]:
    """:return: the measured rows"""
    yield from _measure_news()
    yield from _measure_stored_rules()
    yield from _measure_host_list()
    yield from _measure_demand()
    yield from _measure_heartbeats()
    yield from anyio.run(_measure_calls)
    yield from anyio.run(_measure_asgi)
    yield from anyio.run(_measure_link_scan)


def _measure_news() -> Iterator[Row]:
    news = News(version=2, changes=[write_change(make_change(2))])
    yield Row("news of one change", "one change", len(news.SerializeToString()), "bytes")
    encode_us = time_call_us(
        lambda: News(version=2, changes=[write_change(make_change(2))]).SerializeToString(), 500
    )
    yield Row("news of one change, encoded", "one change", encode_us, "us")
    data = news.SerializeToString()
    yield Row(
        "news of one change, decoded",
        "one change",
        time_call_us(lambda: News.FromString(data), 500),
        "us",
    )
    for rules in (100, 1000, 5400):
        replica = make_replica(rules)
        size = f"{rules} rules"
        snapshot = make_update(replica, 0).SerializeToString()
        yield Row("news with a snapshot", size, len(snapshot), "bytes")
        make_ms = time_call_us(lambda r=replica: make_update(r, 0).SerializeToString(), 3) / 1000
        yield Row("snapshot made and encoded", size, make_ms, "ms")

        def apply_snapshot(snapshot=snapshot) -> object:
            new_replica = make_replica(0)
            new_replica.version = 0
            return apply_update(new_replica, News.FromString(snapshot))

        yield Row(
            "snapshot decoded and in force", size, time_call_us(apply_snapshot, 3) / 1000, "ms"
        )


def _measure_stored_rules() -> Iterator[Row]:
    for user in USERS_BY_NAME.values():
        rules = check_rule_file(user.rule_file.read_text()).ok.rule_snapshot.rules_by_key.values()
        stored_bytes = len(encode_snapshot(1, tuple(rules)))
        size = f"{user.name}, {len(rules)} rules"
        yield Row("stored snapshot", size, stored_bytes / len(rules), "bytes a rule")


def _measure_host_list() -> Iterator[Row]:
    for count in (9, 1000, 6370):
        hosts = [each._asdict() for each in make_hosts(count)]
        answer = json.dumps({"hosts": hosts}).encode()
        size = f"{count} hosts"
        yield Row("answer of the host list", size, len(answer), "bytes")
        read_us = time_call_us(lambda a=answer: _read_hosts(a), max(3, 5000 // count))
        yield Row("answer of the host list, read", size, read_us, "us")


def _read_hosts(answer: bytes) -> list[Host]:
    return [Host(**each) for each in json.loads(answer)["hosts"]]


def _measure_demand() -> Iterator[Row]:
    for models in (15, 540):
        demand = [
            Demand(model=f"model-name-{number}", region="region-0", requests=12.5)
            for number in range(models)
        ]
        news = News(version=1000, demand=demand)
        yield Row("news of demand", f"{models} models", len(news.SerializeToString()), "bytes")


def _make_holdings(models: int, adapters: int) -> Holdings:
    return Holdings(
        version=1,
        models=[f"model-name-{number}" for number in range(models)],
        adapters=[f"adapter-name-{number}" for number in range(adapters)],
    )


def _make_beat(models: int, adapters: int) -> BeatReply:
    return BeatReply(
        sequence=1000,
        load=Load(running=8, waiting=2, token_interval_ms=21.5, incarnation="0" * 29),
        config_version=1000,
        holdings=_make_holdings(models, adapters) if models else None,
        cache_incarnation="engine-name-1",
    )


def _measure_heartbeats() -> Iterator[Row]:
    for models, adapters in ((0, 0), (3, 10), (8, 55)):
        beat = _make_beat(models, adapters)
        data = beat.SerializeToString()
        size = f"{models} models, {adapters} adapters"
        yield Row("reply to a heartbeat", size, len(data), "bytes")
        make_us = time_call_us(
            lambda m=models, a=adapters: _make_beat(m, a).SerializeToString(), 500
        )
        yield Row("reply to a heartbeat, made", size, make_us, "us")
        read_us = time_call_us(lambda d=data: BeatReply.FromString(d), 500)
        yield Row("reply to a heartbeat, read", size, read_us, "us")


class EchoService(SidecarBase):
    """Answers without any work, so that only the calls themselves are measured."""

    async def Run(self, stream: Stream[RunRequest, RunReply]) -> None:  # noqa: N802
        request = await stream.recv_message()
        tokens = int.from_bytes(request.body)
        batch = request.age_ms
        for offset in range(tokens // batch):
            part = Part(offset=offset, data=_TOKEN * batch)
            reply = RunReply(request_id="request", attempt_id="attempt", part=part)
            await stream.send_message(reply)

    async def Cancel(self, stream: Stream[CancelRequest, CancelReply]) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(CancelReply())

    async def Order(self, stream: Stream[OrderRequest, OrderReply]) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(OrderReply())

    async def Beat(self, stream: Stream[BeatRequest, BeatReply]) -> None:  # noqa: N802
        beat = _make_beat(3, 10)
        async for _ in stream:
            await stream.send_message(beat)

    async def Describe(self, stream: Stream[DescribeRequest, DescribeReply]) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(DescribeReply())

    async def Drain(self, stream: Stream[DrainRequest, DrainReply]) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(DrainReply())


async def _measure_calls() -> list[Row]:
    rows = []
    listener = open_socket(_LOOPBACK, 0)
    server = Server([EchoService()])
    await server.start(sock=listener)
    channel = Channel(*listener.getsockname()[:2])
    stub = SidecarStub(channel)
    await stub.Cancel(CancelRequest())
    rows.append(
        Row(
            "grpclib unary call, both ends",
            f"{_CALL_COUNT} calls",
            await _time_calls_us(stub),
            "us",
        )
    )
    rows.append(
        Row(
            "heartbeat and reply, both ends",
            f"{_CALL_COUNT} beats",
            await _time_heartbeats_us(stub),
            "us",
        )
    )
    for batch in _BATCH_SIZES:
        few_s, many_s = [await _time_parts_s(stub, tokens, batch) for tokens in _PART_COUNTS]
        token_us = (many_s - few_s) / (_PART_COUNTS[1] - _PART_COUNTS[0]) * 1e6
        size = f"{batch} tokens a message"
        rows.append(Row("grpclib streamed token, both ends", size, token_us, "us a token"))
        rows.append(
            Row("grpclib streamed message, both ends", size, token_us * batch, "us a message")
        )
    channel.close()
    server.close()
    await server.wait_closed()
    return rows


async def _time_calls_us(stub: SidecarStub) -> float:
    started_s = process_time()
    for _ in range(_CALL_COUNT):
        await stub.Cancel(CancelRequest(attempt_id="attempt"))
    return (process_time() - started_s) / _CALL_COUNT * 1e6


async def _time_heartbeats_us(stub: SidecarStub) -> float:
    async with stub.Beat.open() as stream:
        await stream.send_request()
        started_s = process_time()
        for number in range(_CALL_COUNT):
            await stream.send_message(BeatRequest(sequence=number, sender="gateway"))
            await stream.recv_message()
        cpu_s = process_time() - started_s
        await stream.end()
    return cpu_s / _CALL_COUNT * 1e6


async def _time_parts_s(stub: SidecarStub, tokens: int, batch: int) -> float:
    started_s = process_time()
    request = RunRequest(body=tokens.to_bytes(4), age_ms=batch)
    async with stub.Run.open() as stream:
        await stream.send_message(request, end=True)
        async for _ in stream:
            pass
    return process_time() - started_s


async def _serve_parts(scope: dict, receive: Callable, send: Callable[[dict], Awaitable]) -> None:
    _, parts, batch = scope["path"].split("/")
    await send({"type": "http.response.start", "status": 200, "headers": []})
    for _ in range(int(parts)):
        body = _TOKEN * int(batch)
        await send({"type": "http.response.body", "body": body, "more_body": True})
        # Yield, so that the reader receives each part separately, as in a stream of tokens.
        await anyio.sleep(0)
    await send({"type": "http.response.body", "body": b""})


async def _measure_asgi() -> list[Row]:
    rows = []
    listener = open_socket(_LOOPBACK, 0)
    server = HttpServer(_serve_parts)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [listener])
        address = listener.getsockname()[:2]
        await _fetch_s(address, 1, 1)
        for batch in _BATCH_SIZES:
            few_s, many_s = [await _fetch_s(address, parts, batch) for parts in _PART_COUNTS]
            send_us = (many_s - few_s) / (_PART_COUNTS[1] - _PART_COUNTS[0]) * 1e6
            size = f"{batch} tokens a send"
            rows.append(Row("ASGI send, with the reading socket", size, send_us, "us a send"))
        server.stop()
    return rows


async def _fetch_s(address: tuple[str, int], parts: int, batch: int) -> float:
    started_s = process_time()
    request = f"GET /{parts}/{batch} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    async with await anyio.connect_tcp(*address) as stream:
        await stream.send(request.encode())
        try:
            while True:
                await stream.receive(_READ_BYTES)
        except anyio.EndOfStream:
            return process_time() - started_s


async def _measure_link_scan() -> list[Row]:
    """Measure the search for a request's candidate endpoints, which checks every link."""
    rows = []
    for count in _LINK_COUNTS:
        hosts = make_hosts(count)
        membership = MembershipTable(1.6)
        membership.update_list(hosts, 0.0)
        async with anyio.create_task_group() as tasks:
            settings = SimpleNamespace(silence_s=1.6)
            directory = EndpointDirectory(settings, membership, tasks, ManualTimer())
            for number, host in enumerate(hosts):
                link = SidecarLink(host, "gateway", 0.5, 1.6, print, print, StreamWatch(1.6))
                link.last_heartbeat = _make_beat(3, 10)
                link.holdings.models.append(f"model-{number % 540}")
                link.last_heartbeat.holdings.CopyFrom(link.holdings)
                directory.links_by_host[host.host] = link
                directory.handle_heartbeat(link, link.last_heartbeat)
            scan_us = time_call_us(
                lambda d=directory: d.links_for("model-1", False), max(5, 5000 // count)
            )
            rows.append(
                Row("links to a model's holders", f"{count} links", scan_us, "us a request")
            )
            link_bytes = _measure_link_bytes(hosts)
            rows.append(
                Row(
                    "link held, with its last heartbeat",
                    f"{count} links",
                    link_bytes,
                    "bytes a link",
                )
            )
    return rows


def _measure_link_bytes(hosts: list) -> float:
    def build() -> list[SidecarLink]:
        watch = StreamWatch(1.6)
        links = [SidecarLink(each, "gateway", 0.5, 1.6, print, print, watch) for each in hosts]
        for link in links:
            link.last_heartbeat = _make_beat(3, 10)
        return links

    return measure_bytes_per_entry(build, len(hosts))
