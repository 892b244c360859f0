"""
crowd_steps
~~~~~~~~~~~

Steps for crowds of clients that do not behave, and for what a program holds of them.
"""

import subprocess
import sys
import time
from pathlib import Path

from behave import given, then, when
from crowd_site import DaemonProgram, ForwardingProgram
from crowd_watch import MB, Watch

CROWD_PROGRAM = Path(__file__).parent.parent / "crowd_clients.py"
#: Time for which the crowd goes on after all of its clients have connected.
CROWD_S = 3.0


@given(
    "crowds: a forwarding gateway with a limit of {memory_mb:d} MB and of {max_fds:d} descriptors"
)
def start_forwarding_gateway(context, memory_mb, max_fds):
    context.program = ForwardingProgram(memory_mb, max_fds)
    context.add_cleanup(context.program.close)


@given("crowds: a {name} of the product's own deployment")
def start_daemon(context, name):
    context.program = DaemonProgram(name)
    context.add_cleanup(context.program.close)


@when('crowds: {count:d} clients of the case "{case}" come to "{path}" at the {listener} address')
def send_crowd(context, count, case, path, listener):
    program = context.program
    context.listener = listener
    context.watch = Watch(program.pid)
    context.add_cleanup(context.watch.close)
    target = f"{program.ports[listener]}{path}"
    command = [sys.executable, str(CROWD_PROGRAM), case, str(count), target, *program.headers]
    context.crowd = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    context.add_cleanup(context.crowd.wait)
    context.add_cleanup(context.crowd.kill)
    assert context.crowd.stdout.readline() == "connected\n"
    time.sleep(CROWD_S)


def ask_ordinary(context):
    assert context.program.is_running(), "the process has ended"
    for each in context.program.make_ordinary(context.listener):
        each.wait_answer()
    assert context.program.is_running(), "the process has ended"


@then("crowds: ordinary requests are answered beside the crowd, and after it has gone")
def check_ordinary(context):
    # What the program has held is checked even if it does not answer.
    context.failures = []
    for _ in range(2):
        try:
            ask_ordinary(context)
        except AssertionError as error:
            context.failures.append(str(error))
        context.crowd.kill()
        context.crowd.wait()
    context.watch.close()


@then("crowds: the process holds at most {memory_mb:d} MB, and {sockets:d} sockets and pipes")
def check_bounds(context, memory_mb, sockets):
    watch = context.watch
    if watch.most_bytes > memory_mb * MB:
        unread = watch.most_unread // MB
        context.failures.append(f"{watch.most_bytes // MB} MB, up to {unread} MB of them unread")
    if watch.most_sockets > sockets:
        context.failures.append(f"{watch.most_sockets} sockets and pipes")
    print(
        f"held: {watch.most_bytes // MB} MB, unread {watch.most_unread}, {watch.most_sockets} fds"
    )
    assert not context.failures, context.failures


@then("crowds: a planned stop ends the process by itself")
def check_stop(context):
    status = context.program.stop()
    assert status == 0, status
