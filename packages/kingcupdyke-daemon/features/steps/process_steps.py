"""
process_steps
~~~~~~~~~~~~~

Steps for a complete forwarding gateway with an in-memory store and scripted endpoints.
"""

import json
import logging
import os
import socket
from contextlib import asynccontextmanager, suppress
from itertools import cycle

from anyio import (
    BrokenResourceError,
    Event,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    current_time,
    run,
    sleep,
)
from anyio.abc import SocketAttribute
from behave import then, when
from expression import Error, Ok
from forwarder_rig import PlainDialect, ScriptedEndpoint, make_configuration, make_entry
from forwarder_steps import describe, write_request

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke_daemon.forwarder.process import Forwarder
from kingcupdyke_daemon.forwarder.settings import (
    ForwarderSettings,
    SettingsSource,
    SocketAddress,
)
from kingcupdyke_wire.memorystore import MemoryStoreClient

LOOPBACK = "127.0.0.1"
#: Ports for listeners, in an order that differs between processes that run beside each other.
FIRST_PORT, PORT_COUNT = 20_000, 12_000
PORTS = cycle(FIRST_PORT + (37 * os.getpid() + n) % PORT_COUNT for n in range(PORT_COUNT))
GRACE_S = 4.0


class JsonDialect(PlainDialect):
    """Decodes configurations and entries in a JSON format of these tests."""

    configuration_kind = "configurations"
    configuration_name = "only"
    endpoint_kind = "endpoints"

    def decode_configuration(self, value):
        fields = json.loads(value)
        return Ok(make_configuration(fields["version"], fields.get("timeout", 2.0)))

    def decode_endpoint(self, endpoint, value):
        try:
            fields = json.loads(value)
            address = (LOOPBACK, fields["port"])
            entry = make_entry(endpoint, address)
            version = fields.get("version", "v1")
            started_ms = fields.get("started", 1)
            return Ok(
                entry._replace(
                    is_leaving=fields["leaving"], software_version=version, started_ms=started_ms
                )
            )
        except (ValueError, KeyError, TypeError) as error:
            return Error(Failure(Outcome.FAILED, Step.PARSE, endpoint, repr(error)))


def find_port():
    """:return: a free port that this process has not returned recently, and that the system does
    not assign to connections
    """
    for port in PORTS:
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as probe:
                    probe.bind((LOOPBACK, port))
        except OSError:
            continue
        return port
    raise OSError("no free port")


class ListedSettings(SettingsSource):
    """Settings that a test can change."""

    def __init__(self, settings):
        self.stamp = 1
        self.loaded = Ok(settings)

    def change(self, loaded):
        self.stamp += 1
        self.loaded = loaded

    def read_stamp(self):
        return self.stamp

    def load(self):
        return self.loaded


class Site:
    """A gateway, its store and its endpoints."""

    def __init__(self, tasks, host="entry-n1", store=None, repeat_allowance=50.0):
        self.tasks = tasks
        self.store = store or MemoryStoreClient()
        #: Store client of the operator and the endpoints, not affected by outages of ``store``.
        self.writer = MemoryStoreClient(self.store)
        self.settings = ForwarderSettings(
            host=host,
            data_centre="n1",
            region_by_data_centre={"n1": "north"},
            front=SocketAddress(LOOPBACK, find_port()),
            ready=SocketAddress(LOOPBACK, find_port()),
            peer=SocketAddress(LOOPBACK, find_port()),
            store_url="",
            grace_s=GRACE_S,
            repeat_share=0.2,
            repeat_allowance=repeat_allowance,
            repeat_window_s=10.0,
            lease_s=3.0,
            apply_s=3.0,
            metrics=SocketAddress(LOOPBACK, find_port()),
        )
        self.source = ListedSettings(self.settings)
        self.stop = Event()
        self.ended_s = None
        self.endpoints = {}
        #: The running gateway, or None before the start.
        self.forwarder = None
        self._running = None

    async def start(self):
        self.tasks.start_soon(self._run)
        await sleep(0.15)

    async def _run(self):
        async with create_task_group() as tasks:
            self._running = tasks.cancel_scope
            forwarder = Forwarder(self.settings, self.source, JsonDialect(), self.store, tasks)
            self.forwarder = forwarder
            await forwarder.run(self.stop)
            self.ended_s = current_time()
            tasks.cancel_scope.cancel()

    def kill(self):
        """End the gateway without notice."""
        self._running.cancel()

    async def configure(self, version, timeout_s=2.0):
        current = (await self.writer.get("configurations", "only")).ok
        value = json.dumps({"version": version, "timeout": timeout_s}).encode()
        known = current.version if current else 0
        await self.writer.put("configurations", "only", value, known)

    async def add(self, name, script="ok", endpoint=None):
        endpoint = self.endpoints[name] = endpoint or ScriptedEndpoint(name, script)
        listener = (await create_tcp_listener(local_host=LOOPBACK)).listeners[0]
        endpoint.address = listener.extra(SocketAttribute.local_address)
        self.tasks.start_soon(endpoint.serve, listener)
        await self.list(name, False)

    async def list(self, name, is_leaving):
        current = (await self.writer.get("endpoints", name)).ok
        endpoint = self.endpoints[name]
        # An endpoint that is ready after it was leaving has started again.
        if current and json.loads(current.value)["leaving"] and not is_leaving:
            endpoint.starts += 1
        fields = {"port": endpoint.address[1], "leaving": is_leaving, "started": endpoint.starts}
        fields["version"] = endpoint.software_version
        known = current.version if current else 0
        await self.writer.put("endpoints", name, json.dumps(fields).encode(), known)

    async def ask(self, line="GET /safe/1", port=None, request=None, on_data=lambda data: None):
        """:return: the answer until its connection ended, or no bytes if there was no connection

        :param request: bytes to send instead of the line's request
        :param on_data: called with each part of the answer as it comes
        """
        address = (LOOPBACK, port or self.settings.front.port)
        try:
            stream = await connect_tcp(*address)
        except OSError:
            return b""
        found = b""
        async with stream:
            await stream.send(request or write_request(line))
            with suppress(BrokenResourceError):
                async for data in stream:
                    found += data
                    on_data(data)
        return found

    async def is_ready(self):
        answer = await self.ask(port=self.settings.ready.port)
        return answer.startswith(b"HTTP/1.1 200")


@asynccontextmanager
async def open_site(is_configured=True):
    async with create_task_group() as tasks:
        site = Site(tasks)
        if is_configured:
            await site.configure(1)
            await site.add("e1")
        await site.start()
        yield site
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def open_request(site, context):
    """Keep a request in progress; its answer is recorded when the context ends."""

    async def ask():
        context.in_progress = describe(await site.ask("POST /once/1"))

    async with create_task_group() as tasks:
        tasks.start_soon(ask)
        await sleep(0.1)
        yield


@when("process: a gateway starts before its configuration is written")
def start_early(context):
    async def job():
        async with open_site(False) as site:
            context.before = (await site.is_ready(), describe(await site.ask()))
            await site.add("e1")
            await site.configure(1)
            await sleep(1.0)
            context.after = (await site.is_ready(), describe(await site.ask()))

    run(job)


@then("process: it was not ready and rejected requests until the configuration was written")
def check_before(context):
    assert context.before == (False, "503"), context.before


@then("process: it is ready and serves within 1 s after that")
def check_after(context):
    assert context.after == (True, "200 e1"), context.after


@when('process: the configuration is written with the versions "{versions}" in this order')
def write_versions(context, versions):
    async def job():
        context.versions = []
        async with open_site() as site:
            for version in versions.split():
                await site.configure(int(version))
                await sleep(0.2)
                (record,) = [each for each in context.log_records if "in force" in each][-1:]
                context.versions.append(record)

    capture(context, job)


class MessageList(logging.Handler):
    """Logging handler that collects messages and their fields."""

    def __init__(self):
        super().__init__()
        self.messages = []
        self.fields = []

    def emit(self, record):
        self.messages.append(record.getMessage())
        self.fields.append(getattr(record, "fields", {}))


def capture(context, job):
    collector = MessageList()
    context.log_records = collector.messages
    context.log_fields = collector.fields
    logger = logging.getLogger("kingcupdyke_daemon")
    logger.addHandler(collector)
    try:
        run(job)
    finally:
        logger.removeHandler(collector)


@then("process: version 3 stays in force after it was written")
def check_versions(context):
    words = [each.split()[1] for each in context.versions]
    assert words == ["1", "3", "3"], words


@when("process: the only endpoint drains and another one registers")
def change_endpoints(context):
    async def job():
        async with open_site() as site:
            await site.list("e1", True)
            await site.add("e2")
            await sleep(0.2)
            context.answers = [describe(await site.ask()) for _ in range(5)]

    run(job)


@then("process: further requests are answered by the other endpoint")
def check_other(context):
    assert context.answers == ["200 e2"] * 5, context.answers


@when("process: the store holds invalid entries beside a valid one")
def add_unusable(context):
    async def job():
        async with open_site() as site:
            for name, value in (("x1", b"{"), ("x2", b"null"), ("x3", b'{"port":1}')):
                await site.store.put("endpoints", name, value, 0)
            await sleep(0.2)
            context.answers = [describe(await site.ask()) for _ in range(5)]

    run(job)


@then("process: requests are served")
@then("process: requests are served during the outage")
def check_served(context):
    assert context.answers and set(context.answers) == {"200 e1"}, context.answers


@when("process: the store is unavailable for 1 s")
def interrupt_store(context):
    async def job():
        async with open_site() as site:
            site.store.down = True
            context.answers = []
            for _ in range(10):
                context.answers.append(describe(await site.ask()))
                await sleep(0.1)
            site.store.down = False
            await site.add("e2")
            await site.list("e1", True)
            await sleep(2.0)
            context.last = describe(await site.ask())

    run(job)


@then("process: a change made at the end of the outage is in force within 2 s")
def check_last(context):
    assert context.last == "200 e2", context.last


@when("process: a gateway is stopped while a request is in progress")
def stop_gateway(context):
    async def job():
        async with open_site(False) as site:
            await site.configure(1)
            await site.add("e1", "slow ok")
            await sleep(0.3)

            async with open_request(site, context):
                started_s = current_time()
                site.stop.set()
                await sleep(0.1)
                context.ready = await site.is_ready()
                context.soon = await site.ask()
                await sleep(2.7)
                context.late = await site.ask()
                while site.ended_s is None:
                    await sleep(0.05)
            context.seconds = site.ended_s - started_s

    run(job)


@then("process: the readiness check fails immediately")
def check_not_ready(context):
    assert context.ready is False


@then("process: the request in progress is answered")
def check_slow(context):
    assert context.in_progress == "200 e1", context.in_progress


@then("process: a request sent soon after is answered with Connection: close")
def check_soon(context):
    assert describe(context.soon) == "200 e1", context.soon
    assert b"connection: close" in context.soon.lower()


@then("process: a request sent late is rejected as unavailable")
def check_late(context):
    assert describe(context.late) == "503", context.late
    assert b"retry-after" in context.late.lower()


@then("process: the process ends within its grace period")
def check_end(context):
    assert context.seconds <= GRACE_S, context.seconds


@when(
    "process: the grace period is set to 2 s, and the gateway stops while a request is in progress"
)
def shorten_grace_period(context):
    async def job():
        async with open_site(False) as site:
            await site.configure(1)
            await site.add("e1", "hang")
            await sleep(0.3)
            site.source.change(Ok(site.settings._replace(grace_s=2.0)))
            await sleep(1.2)

            async with open_request(site, context):
                started_s = current_time()
                site.stop.set()
                while site.ended_s is None:
                    await sleep(0.05)
            context.seconds = site.ended_s - started_s

    run(job)


@then("process: the gateway ends within 2 s, and the request gets a final answer")
def check_short_grace(context):
    assert context.seconds <= 2.0, context.seconds
    assert context.in_progress in ("502", "504"), context.in_progress


@when('process: the settings become "{change}" while a gateway runs')
def change_settings(context, change):
    async def job():
        async with open_site() as site:
            other = site.settings._replace(front=SocketAddress(LOOPBACK, find_port()))
            loaded = {
                "unreadable": Error(["no table"]),
                "another address": Ok(other),
                "nothing": Ok(site.settings),
            }
            site.source.change(loaded[change])
            await sleep(1.2)
            context.answers = [describe(await site.ask()) for _ in range(3)]

    capture(context, job)


@then('process: the log contains "{line}"')
def check_log(context, line):
    assert line in context.log_records, context.log_records


@when("process: a gateway answers 3 requests, rejects 1, retries 1 and its metrics are read")
def ask_metrics(context):
    async def job():
        async with open_site(False) as site:
            await site.configure(1)
            await site.add("e1", "ok ok ok fail")
            await site.add("e2")
            await sleep(0.3)
            for _ in range(4):
                await site.ask()
            for name in ("e1", "e2"):
                current = (await site.store.get("endpoints", name)).ok
                await site.store.delete("endpoints", name, current.version)
            await sleep(0.2)
            await site.ask("POST /once/1")
            answer = await site.ask("GET /metrics", site.settings.metrics.port)
            context.metrics = answer.decode()

    run(job)


@then("process: the metrics contain")
def check_metrics(context):
    lines = context.metrics.replace("\r", "").split("\n")
    for (line,) in context.table:
        found = [each for each in lines if each == line]
        assert found, f"{line} is not in\n{context.metrics}"


@then('process: the metrics contain histograms of "{names}" by route')
def check_histograms(context, names):
    for name in names.split(", "):
        assert f"kingcupdyke_{name}_seconds_bucket" in context.metrics, context.metrics


@then('process: the metrics contain the ages of "{names}"')
def check_ages(context, names):
    for name in names.split(", "):
        assert f'belief="{name}"' in context.metrics, context.metrics


@when(
    "process: one of two gateways is partitioned from the store, then endpoint and "
    "configuration change"
)
def partition_one(context):
    async def job():
        async with open_site() as site:
            other = Site(site.tasks, "entry-n2", MemoryStoreClient(site.store))
            await other.start()
            await sleep(0.5)
            other.store.down = True
            # A watch in progress fails at the next change.
            await site.configure(2)
            await sleep(0.3)
            await site.add("e2")
            await site.list("e1", True)
            await site.configure(3)
            await sleep(1.0)
            context.answers = [describe(await each.ask()) for each in (site, other)]
            context.in_force = [line for line in context.log_records if "in force" in line]
            other.store.down = False
            await sleep(2.0)
            await site.list("e2", True)
            await site.list("e1", False)
            await sleep(0.2)
            context.last = describe(await other.ask())

    capture(context, job)


@then("process: within 1 s both use the new endpoint and have the new configuration in force")
def check_both(context):
    assert context.answers == ["200 e2"] * 2, context.answers
    assert context.in_force.count("configuration 3 is in force") == 2, context.in_force


@then(
    "process: the partitioned gateway reads the store itself again within 2 s after the partition"
)
def check_back(context):
    assert context.last == "200 e1", context.last


@when(
    "process: the planner is stopped during an outage of the store that ends after "
    "{outage_s:g} s"
)
def stop_planner(context, outage_s):
    async def job():
        async with create_task_group() as tasks:
            site = Site(tasks)
            other = Site(tasks, "entry-n2", MemoryStoreClient(site.store))
            site.settings = site.settings._replace(grace_s=8.0)
            await site.configure(1)
            await site.add("e1")
            await site.start()
            await sleep(0.5)
            await other.start()
            await sleep(1.5)
            site.store.down = other.store.down = True
            # As nothing changes, no watch fails; only the renewals of the lease do.
            await sleep(2.0)
            started_s = current_time()
            site.stop.set()
            while site.ended_s is None and current_time() < started_s + outage_s:
                await sleep(0.05)
            context.was_running = site.ended_s is None
            site.store.down = other.store.down = False
            if context.was_running:
                await sleep(1.0)
            context.seconds = None if site.ended_s is None else site.ended_s - started_s
            lease = (await site.writer.get("kingcupdyke-leases", "planner")).ok
            context.owner = json.loads(lease.value)["owner"]
            tasks.cancel_scope.cancel()

    run(job)


@then("process: the gateway keeps the lease until then, releases it and ends within 1 s")
def check_released(context):
    assert context.was_running
    assert context.seconds is not None
    # Without the release, the other gateway's promise would keep it from taking the lease for
    # four more seconds.
    assert context.owner == "" or context.owner.startswith("entry-n2/"), context.owner


@then("process: the gateway ends within its grace period of {grace:g} s")
def check_grace(context, grace):
    assert context.seconds is not None and context.seconds <= grace, context.seconds


@when("process: one of two gateways ends without notice")
def end_peer(context):
    async def job():
        async with open_site() as site:
            async with create_task_group() as tasks:
                other = Site(tasks, "entry-n2", MemoryStoreClient(site.store))
                await other.start()
                await sleep(0.6)
                tasks.cancel_scope.cancel()
            await sleep(2.0)

    logger = logging.getLogger("kingcupdyke_daemon")
    level = logger.level
    logger.setLevel(logging.INFO)
    try:
        capture(context, job)
    finally:
        logger.setLevel(level)


@then("process: within 2 s the other one logs that the peer was heard and then that it is silent")
def check_peer_lines(context):
    states = [(each["peer"], each["state"]) for each in context.log_fields if "peer" in each]
    assert ("entry-n2", "heard") in states, states
    assert states[-1] == ("entry-n2", "silent"), states


@when("process: {count:d} changes are made in a burst, the last of which lists another endpoint")
def compact_history(context, count):
    async def job():
        async with open_site() as site:
            await site.add("e2")
            await site.list("e2", True)
            await sleep(0.2)
            # The gateway's watch does not run between these changes.
            for number in range(count):
                await site.list("e1", number % 2 == 0)
            await site.list("e1", True)
            await site.list("e2", False)
            await sleep(1.0)
            context.answers = [describe(await site.ask()) for _ in range(3)]

    run(job)


@then("process: within 1 s the gateway has listed the objects again and uses the new endpoint")
def check_listed_again(context):
    assert context.answers == ["200 e2"] * 3, context.answers


@when("process: a stream breaks off, its gateway ends, and another gateway is asked to continue it")
def continue_elsewhere(context):
    async def job():
        async with create_task_group() as tasks:
            other = Site(tasks, "entry-n2")
            await other.configure(1)
            for name, script in (("e1", "cutevents"), ("e2", "@v2 rest"), ("e3", "@v1 rest")):
                await other.add(name, script)
            await other.start()
            async with create_task_group() as first_tasks:
                # Without a budget of retries, the gateway leaves it to the client to continue.
                store = MemoryStoreClient(other.store)
                first = Site(first_tasks, "entry-n1", store, repeat_allowance=0.0)
                await first.start()
                await sleep(0.5)
                context.before = describe(await first.ask("GET /resume/1"))
                first_tasks.cancel_scope.cancel()
            await other.writer.delete("endpoints", "e1", 1)
            await sleep(0.1)
            request = write_request("GET /resume/1", "r2")
            fields = b"x-resumes: r1\r\nlast-event-id: 2\r\nconnection:"
            request = request.replace(b"connection:", fields)
            context.after = describe(await other.ask(request=request))
            context.counts = [len(each.requests) for each in other.endpoints.values()]
            tasks.cancel_scope.cancel()

    run(job)


@then("process: the stream continues at the software version that began it")
def check_continued(context):
    assert (context.before, context.after) == ("cut", "200 events 3,4"), context.after
    assert context.counts == [1, 0, 1], context.counts
