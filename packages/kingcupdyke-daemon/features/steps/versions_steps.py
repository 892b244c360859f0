"""
versions_steps
~~~~~~~~~~~~~~

Steps for streams at endpoints of several software versions, at complete gateways.
"""

import re

from anyio import create_task_group, current_time, run, sleep
from behave import then, when
from forwarder_steps import describe, write_request
from process_steps import Site, capture

from kingcupdyke_wire.memorystore import MemoryStoreClient
from kingcupdyke_wire.store import Conflict

REGISTER_KIND = "kingcupdyke-software-versions"
EVENT = re.compile(rb"id: (\d+)\ndata: (\w+)\n\n")


class RegisterCountingStore(MemoryStoreClient):
    """Counts the reads of the register, and the writes that took effect."""

    def __init__(self, other):
        super().__init__(other)
        self.reads = self.writes = 0

    async def get(self, kind, name):
        self.reads += kind == REGISTER_KIND
        return await super().get(kind, name)

    async def put(self, kind, name, value, if_version):
        answer = await super().put(kind, name, value, if_version)
        is_written = answer.is_ok() and not isinstance(answer.ok, Conflict)
        self.writes += kind == REGISTER_KIND and is_written
        return answer


class VersionsScript:
    """Gateways, endpoints and one client, whose stream's events name the version that wrote them.

    :param tasks: task group of the endpoints, the gateways and the client's requests
    """

    def __init__(self, tasks):
        self.tasks = tasks
        #: Configures, and holds the endpoints; it is not started.
        self.keeper = Site(tasks)
        self.sites = []
        #: Gateway of the client's last attempt.
        self.used = None
        #: Answers that the client got, in order of its attempts.
        self.answers = []
        self.metrics = ""

    async def run(self, events):
        await self.keeper.configure(1)
        for event in events.split(";"):
            word, *rest = event.split()
            await getattr(self, f"do_{word}")(*rest)

    async def do_add(self, name, version):
        await self.keeper.add(name, f"@{version} open rest")
        self.keeper.endpoints[name].name = version
        await sleep(0.1)

    async def do_secret(self, name, version):
        """Let an endpoint start again with other software; its entry does not say so yet."""
        endpoint = self.keeper.endpoints[name]
        endpoint.name = endpoint.software_version = version
        endpoint.starts += 1

    async def do_refuse(self, name):
        """Let the first gateway know that no process listens at an endpoint for a moment."""
        starts = self.sites[0].forwarder._endpoint_table.starts
        starts.note_refused(name, current_time(), is_gone=True)

    async def do_storeless(self):
        """Cut all gateways but the first off from the store."""
        for site in self.sites[1:]:
            site.store.down = True
        await sleep(0.1)

    async def do_silent(self):
        """Cut all gateways off from each other."""
        for site in self.sites:
            site.forwarder._peer_gossip._address_by_host.clear()

    async def do_list(self, name):
        await self.keeper.list(name, False)

    async def do_remove(self, name):
        current = (await self.keeper.writer.get("endpoints", name)).ok
        await self.keeper.writer.delete("endpoints", name, current.version)

    async def do_steps(self):
        """Let endpoints send one event of the next stream and keep it open."""
        self.set_scripts("step", "rest")

    async def do_rests(self):
        """Let endpoints complete the next streams."""
        self.set_scripts("rest")

    def set_scripts(self, *words):
        for endpoint in self.keeper.endpoints.values():
            endpoint.script = list(words)

    async def do_break(self, name):
        self.keeper.endpoints[name].is_broken = True

    async def do_timeout(self, seconds):
        await self.keeper.configure(2, float(seconds))

    async def do_wait(self, seconds):
        await sleep(float(seconds))

    async def do_start(self, count):
        for number in range(int(count)):
            store = MemoryStoreClient(self.keeper.store)
            self.sites.append(Site(self.tasks, f"entry-n{number}", store))
            self.tasks.start_soon(self.sites[-1].start)
        await sleep(0.8)

    async def do_kill(self, which="all"):
        """Kill all gateways, the first one, or the one of the client's last attempt."""
        killed = {"all": self.sites, "first": self.sites[:1], "own": [self.used]}[which]
        for site in killed:
            site.kill()
        self.sites = [each for each in self.sites if each not in killed]
        await sleep(0.1)

    async def do_metrics(self):
        site = self.sites[0]
        self.metrics = (await site.ask("GET /metrics", site.settings.metrics.port)).decode()

    async def do_begin(self):
        await self.ask("")

    async def do_resume(self, attempt_id):
        last_id = EVENT.findall(b"".join(self.answers))[-1][0].decode()
        resumes = "" if attempt_id == "none" else f"x-resumes: {attempt_id}\r\n"
        await self.ask(f"last-event-id: {last_id}\r\n{resumes}")

    async def do_other(self):
        """Let another client use the endpoint that is idle, and leave."""
        request = write_request("GET /resume/2", "other")
        self.tasks.start_soon(lambda: self.sites[0].ask(request=request))
        await sleep(0.2)

    async def ask(self, fields):
        """Send the client's next attempt to the next gateway, and record what comes as answer."""
        index = len(self.answers)
        site = self.used = self.sites[index % len(self.sites)]
        self.answers.append(b"")
        request = write_request("GET /resume/1", f"r{index + 1}")
        request = request.replace(b"connection:", fields.encode() + b"connection:")

        def record(data):
            self.answers[index] += data

        self.tasks.start_soon(lambda: site.ask(request=request, on_data=record))
        await sleep(0.3)


@when('versions: "{events}" happens')
def run_events(context, events):
    async def job():
        async with create_task_group() as tasks:
            script = context.script = VersionsScript(tasks)
            await script.run(events)
            tasks.cancel_scope.cancel()

    capture(context, job)


@then(
    'versions: the client got events "{ids}", all of one version, and its last answer was "{last}"'
)
def check_events(context, ids, last):
    answers = context.script.answers
    found = [EVENT.findall(each) for each in answers]
    versions = {version for each in found for _, version in each}
    assert len(versions) == 1, found
    assert b",".join(number for each in found for number, _ in each).decode() == ids, found
    assert describe(answers[-1]).split()[0] == last, answers[-1]


@when("versions: {count:d} gateways start together, get a request each, are killed and start again")
def start_together(context, count):
    async def job():
        async with create_task_group() as tasks:
            script = VersionsScript(tasks)
            stores, context.answers = [], []
            await script.keeper.configure(1)
            await script.keeper.add("a", "@v1 rest")
            for _ in range(2):
                sites = []
                for number in range(count):
                    stores.append(RegisterCountingStore(script.keeper.store))
                    sites.append(Site(tasks, f"entry-n{number}", stores[-1]))
                for site in sites:
                    tasks.start_soon(site.start)
                await sleep(0.3)

                async def ask(site):
                    context.answers.append(describe(await site.ask("GET /resume/1")))

                async with create_task_group() as requests:
                    for site in sites:
                        requests.start_soon(ask, site)
                for site in sites:
                    site.kill()
            context.reads = [each.reads for each in stores]
            context.writes = sum(each.writes for each in stores)
            tasks.cancel_scope.cancel()

    run(job)


@then("versions: all requests were answered")
def check_answered(context):
    assert set(context.answers) == {"200 events 1,2,3,4"}, context.answers


@then("versions: the register was written once, and read once by each process")
def check_cost(context):
    assert context.writes == 1, context.writes
    assert set(context.reads) == {1}, context.reads


@then('versions: the metrics count it as rejected because "{reason}"')
def check_metrics(context, reason):
    line = f'stream_continuations_total{{outcome="rejected",reason="{reason}"}} 1.0'
    assert line in context.script.metrics, context.script.metrics


@then('versions: the log names attempt "{attempt_id}", registered "{versions}" and that reason')
def check_log(context, attempt_id, versions):
    rejected = [each for each in context.log_fields if each.get("outcome") == "rejected"]
    (found,) = [each for each in rejected if each["resumes"] == attempt_id]
    assert " ".join(found["registered"]) == versions, found
    assert "several software versions" in found["reason"], found
