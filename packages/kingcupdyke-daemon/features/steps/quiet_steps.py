"""
quiet_steps
~~~~~~~~~~~

Steps for streams and attempts on which nothing comes.
"""

from anyio import run
from behave import given, then, when

from kingcupdyke_daemon.gateway.watch import StreamWatch
from kingcupdyke_daemon.sidecar.run import Run
from kingcupdyke_wire.sidecar_pb2 import RunRequest


@given("a watch of streams with a silence of {silence_s:g} seconds")
def give_watch(context, silence_s):
    context.watch = StreamWatch(silence_s)
    context.given_up = []


@when("the watch sees, in order: {events}")
def see_waits(context, events):
    for event in events.split(", "):
        kind, *words = event.split()
        if kind == "begin":
            stream, now_s = words
            context.watch.begin(
                stream, float(now_s), lambda each=stream: context.given_up.append(each)
            )
        elif kind == "end":
            context.watch.end(words[0])
        else:
            context.watch.look(float(words[0]))


@then("the watch has given up: {names}")
def check_given_up(context, names):
    assert (", ".join(context.given_up) or "none") == names, context.given_up


@given("a quiet attempt with {attached:d} gateways attached")
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


@then("the attempt has let {count:d} keep-alives out")
def check_keep_alives(context, count):
    assert context.keep_alives == count, context.keep_alives
