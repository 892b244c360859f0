"""
origins_steps
~~~~~~~~~~~~~

Steps for the origins of streams, at gateways whose messages take 10 ms.
"""

from anyio import create_task_group, current_time, run, sleep
from behave import given, then, when

from kingcupdyke.forwarding.streamorigin import OriginMessage, StreamOrigin
from kingcupdyke_daemon.forwarder.origindirectory import OriginDirectory
from kingcupdyke_daemon.timer import LoopTimer

MESSAGE_S = 0.01
ORIGIN = StreamOrigin("r1", "service", "v1", 5.0)


class Gateways:
    """Origin directories that are connected by a network without losses."""

    def __init__(self, tasks, hosts):
        self.tasks = tasks
        self.region_by_host = {host: host[0] for host in hosts}
        self.ended = set()
        #: Hosts that have received an origin.
        self.holders = set()
        self.directory_by_host = {host: self.create(host) for host in hosts}

    def create(self, host):
        def list_peers():
            live = self.region_by_host.keys() - self.ended - {host}
            return {each: self.region_by_host[each] for each in sorted(live)}

        def send(peer, message):
            self.tasks.start_soon(self.deliver, peer, message)

        return OriginDirectory(host, LoopTimer(self.tasks), lambda: host[0], list_peers, send)

    async def deliver(self, host, data):
        await sleep(MESSAGE_S)
        message = OriginMessage.decode(data).ok
        if host not in self.ended:
            if message.origins:
                self.holders.add(host)
            self.directory_by_host[host].receive(message)


@given('origins: gateways "{hosts}", by region')
def give_gateways(context, hosts):
    context.hosts = hosts.split()
    context.begins_at = ""
    context.ended = "none"


@given('origins: a stream begins at "{host}"')
def begin(context, host):
    context.begins_at = host


@when('origins: the gateways "{hosts}" end')
def end(context, hosts):
    context.ended = hosts


@when('origins: "{asker}" looks for the stream\'s origin')
def look(context, asker):
    async def job():
        async with create_task_group() as tasks:
            gateways = Gateways(tasks, context.hosts)
            if context.begins_at:
                gateways.directory_by_host[context.begins_at].record(ORIGIN)
            await sleep(2 * MESSAGE_S)
            if context.ended == "all that stored it":
                gateways.ended = gateways.holders | {context.begins_at}
                assert asker not in gateways.ended, gateways.ended
            elif context.ended != "none":
                gateways.ended = set(context.ended.split())
            started_s = current_time()
            context.origin = await gateways.directory_by_host[asker].find("r1")
            context.seconds = current_time() - started_s
            tasks.cancel_scope.cancel()

    run(job)


@then("origins: it is found: {found}")
def check_found(context, found):
    if found == "no":
        assert context.origin is None, context.origin
    else:
        assert context.origin._replace(valid_s=5.0) == ORIGIN, context.origin


@then("origins: that takes at most {limit:g} s")
def check_seconds(context, limit):
    assert context.seconds <= limit, context.seconds
