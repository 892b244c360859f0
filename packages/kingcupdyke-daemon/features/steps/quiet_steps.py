"""
quiet_steps
~~~~~~~~~~~

Steps for stalled streams and for attempts without output.
"""

from anyio import run
from behave import given, then, when

from kingcupdyke_daemon.gateway.streamwatch import StreamWatch
from kingcupdyke_daemon.sidecar.run import Run
from kingcupdyke_wire.sidecar_pb2 import RunRequest


@given("a stream watch with a limit of {limit_s:g} seconds")
def give_watch(context, limit_s):
    context.watch = StreamWatch(limit_s)
    context.cancelled = []


@when("the watch sees, in order: {events}")
def see_waits(context, events):
    for event in events.split(", "):
        kind, *words = event.split()
        if kind == "begin":
            stream, now_s = words
            context.watch.begin(
                stream, float(now_s), lambda each=stream: context.cancelled.append(each)
            )
        elif kind == "end":
            context.watch.end(words[0])
        else:
            context.watch.check_stalled(float(words[0]))


@then("the watch has cancelled: {names}")
def check_cancelled(context, names):
    assert (", ".join(context.cancelled) or "none") == names, context.cancelled


@given("an attempt without output and with {attached:d} gateways attached")
def give_attached(context, attached):
    context.attached = attached


@when("the attempt sees, in order: {events}")
def see_changes(context, events):
    context.keep_alives = run(count_keep_alives, context.attached, events.split(", "))


async def count_keep_alives(attached, events):
    attempt = Run(RunRequest(deadline_ms=1000), 0.0)
    attempt.attached = attached
    for event in events:
        if event == "look":
            attempt.keep_alive()
        else:
            attempt.add(b"x", 1.0, 0.0)
    return attempt.keep_alives


@then("the attempt has sent {count:d} keep-alives")
def check_keep_alives(context, count):
    assert context.keep_alives == count, context.keep_alives
