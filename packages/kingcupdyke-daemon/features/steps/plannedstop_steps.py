"""
plannedstop_steps
~~~~~~~~~~~~~~~~~

Steps for the planned stop of a complete gateway, with requests of known durations.
"""

import time

from anyio import create_task_group, current_time, run, sleep
from behave import given, then, when
from expression import Ok
from forwarder_rig import ScriptedEndpoint
from forwarder_steps import describe, write_request
from process_steps import Site

LINES = {"runs once": "POST /once/1", "may be repeated": "GET /safe/1"}
#: Number of requests from which the gateway learns how long they take.
SAMPLES = 4


class WorkingEndpoint(ScriptedEndpoint):
    """An endpoint that works for a time that can be changed."""

    def __init__(self, name):
        super().__init__(name, "ok")
        self.work_s = 0.0

    async def do_ok(self, stream, attempt_id):
        await sleep(self.work_s)
        return await super().do_ok(stream, attempt_id)

    def has_run(self, attempt_id):
        return any(f"x-id: {attempt_id}\r\n" in f"{head}\r\n" for head, _ in self.requests)


class StoppingGateway:
    """A gateway with one endpoint, which has answered some requests before it is stopped."""

    def __init__(self, tasks, grace_s, usual_s):
        self.tasks = tasks
        self.site = Site(tasks)
        self.site.settings = self.site.settings._replace(grace_s=grace_s)
        self.site.source.loaded = Ok(self.site.settings)
        self.usual_s = usual_s
        self.endpoint = WorkingEndpoint("e1")
        self.answers = {}
        self.stopped_s = 0.0

    async def start(self):
        await self.site.configure(1, 20.0)
        await self.site.add("e1", endpoint=self.endpoint)
        await self.site.start()
        await sleep(0.3)
        self.endpoint.work_s = self.usual_s
        async with create_task_group() as tasks:
            for number in range(SAMPLES):
                for kind in LINES:
                    tasks.start_soon(self.ask, kind, f"before{number}-{kind[:4]}")

    def stop(self):
        self.stopped_s = current_time()
        self.site.stop.set()

    async def ask(self, kind, attempt_id):
        request = write_request(LINES[kind], attempt_id)
        self.answers[attempt_id] = describe(await self.site.ask(request=request))

    async def wait_end(self):
        while self.site.ended_s is None:
            await sleep(0.02)
        self.seconds = self.site.ended_s - self.stopped_s


def play(context, act):
    """Run a gateway and what happens to it, until it has ended."""

    async def job():
        async with create_task_group() as tasks:
            gateway = context.gateway = StoppingGateway(tasks, *context.times)
            await gateway.start()
            async with create_task_group() as requests:
                await act(gateway, requests)
                await gateway.wait_end()
            tasks.cancel_scope.cancel()

    run(job)


@given(
    "plannedstop: a gateway with a grace period of {grace:g} s, whose requests have taken "
    "{usual:g} s"
)
def give_gateway(context, grace, usual):
    context.times = (grace, usual)


@when(
    "plannedstop: it is stopped, and {wait:g} s later gets a request that {kind} and takes "
    "{takes:g} s"
)
def stop(context, wait, kind, takes):
    async def act(gateway, requests):
        gateway.stop()
        await sleep(wait)
        gateway.endpoint.work_s = takes
        requests.start_soon(gateway.ask, kind, "late")

    play(context, act)


@when(
    "plannedstop: it is stopped twice, and {wait:g} s later gets a request that {kind} and takes "
    "{takes:g} s"
)
def stop_twice(context, wait, kind, takes):
    async def act(gateway, requests):
        gateway.stop()
        gateway.site.stop.set()
        await sleep(wait)
        requests.start_soon(gateway.ask, kind, "late")

    play(context, act)


@when(
    "plannedstop: it is stopped, stands still from {begin:g} to {end:g} s after that, and gets "
    "requests meanwhile"
)
def stand_still(context, begin, end):
    async def act(gateway, requests):
        gateway.stop()
        await sleep(begin - 0.05)
        for number in range(5):
            requests.start_soon(gateway.ask, "runs once", f"late{number}")
        await sleep(0.0)
        stop_everything(end - begin)

    play(context, act)


def stop_everything(seconds):
    """Let this whole process stand still, the clients too."""
    time.sleep(seconds)


@when("plannedstop: it is stopped with {count:d} requests in progress that take {takes:g} s")
def stop_with_many(context, count, takes):
    async def act(gateway, requests):
        gateway.endpoint.work_s = takes
        for number in range(count):
            requests.start_soon(gateway.ask, "runs once", f"many{number}")
        await sleep(0.5)
        gateway.stop()

    play(context, act)


@then("plannedstop: that request gets {status:d}, and has run: {has_run}")
def check_late(context, status, has_run):
    answer = context.gateway.answers["late"]
    assert answer.split()[:1] == [str(status)], answer
    assert context.gateway.endpoint.has_run("late") == (has_run == "yes")


@then("plannedstop: the process ends within its grace period")
def check_end(context):
    assert context.gateway.seconds <= context.times[0], context.gateway.seconds


@then("plannedstop: none of them has run, and each got 503 or no connection")
def check_paused(context):
    answers = {name: each for name, each in context.gateway.answers.items() if "late" in name}
    assert len(answers) == 5, answers
    for name, answer in answers.items():
        assert answer.split()[:1] in ([], ["503"]), answers
        assert not context.gateway.endpoint.has_run(name), name


@then("plannedstop: each that has run got 502, and each other one 503")
def check_many(context):
    gateway = context.gateway
    for name, answer in gateway.answers.items():
        if "many" in name:
            expected = "502" if gateway.endpoint.has_run(name) else "503"
            assert answer == expected, (name, answer)
