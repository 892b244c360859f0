"""
hostlist_steps
~~~~~~~~~~~~~~

Steps for the client of the host list.
"""

import json

from anyio import run, sleep
from behave import then, when

from kingcupdyke.host import Host
from kingcupdyke_standins.asgi import StandinApp
from kingcupdyke_standins.hosts import HostsApp
from kingcupdyke_standins.server import open_standin
from kingcupdyke_standins.service import ServiceApp
from kingcupdyke_wire.hostlist import HostListClient
from kingcupdyke_wire.http import HttpClient

ENTRY = Host("s1", "127.0.0.1", 7001, "sidecar", "bohemia", "praha", "live")


async def read_hosts(app, calls, delay_s):
    """:return: the hosts that the client reads a delay after the calls"""
    async with open_standin(app) as address:
        http = HttpClient(f"http://{address}", timeout_s=1.0)
        for method, path, body in calls:
            answer = await http.request(method, path, body=body)
            assert answer.is_ok(), answer
        await sleep(delay_s)
        client = HostListClient(f"http://{address}")
        hosts = await client.hosts()
        await client.aclose()
        return hosts


@when('hostlist with a lag of {lag_s:g} s reads {delay_s:g} s after the host "{name}" was {change}')
def read_after_change(context, lag_s, delay_s, name, change):
    state = "leaving" if change.endswith("leaving") else "live"
    entry = json.dumps(ENTRY._replace(state=state)._asdict()).encode()
    calls = [("PUT", f"/v1/hosts/{name}", entry)]
    if change == "deleted":
        calls.append(("DELETE", f"/v1/hosts/{name}", b""))
    context.result = run(read_hosts, HostsApp(lag_s), calls, delay_s)


class RawApp(StandinApp):
    """Answers with a list of these entries."""

    def __init__(self, *entries):
        super().__init__("hosts")
        self._body = f'{{"hosts":[{",".join(entries)}]}}'.encode()

    async def handle(self, request, reply):
        await reply.send_response(200, self._body)


@when("hostlist reads the entry {entry} among others")
def read_odd_entry(context, entry):
    odd = {"nested": "[" * 100_000 + "]" * 100_000, "digits": "9" * 5000}.get(entry, entry)
    app = RawApp(odd, json.dumps(ENTRY._asdict()), odd)
    context.result = run(read_hosts, app, [], 0.0)


@when("hostlist reads an entry with a field that is unknown")
def read_later_field(context):
    app = RawApp(json.dumps(ENTRY._asdict() | {"shoe_size": 42}))
    context.result = run(read_hosts, app, [], 0.0)


@when("hostlist reads an entry without its fields")
def read_incomplete_entry(context):
    context.result = run(read_hosts, ServiceApp(0.0), [], 0.0)


@then('hostlist has read "{expected}"')
@then('hostlist has read ""')
def check_hosts(context, expected=""):
    hosts = context.result.ok
    assert " ".join(f"{host.host} {host.state}" for host in hosts) == expected, hosts
    assert all(host._replace(state="live") == ENTRY for host in hosts), hosts


@then('hostlist has failed at step "{step}"')
def check_failed(context, step):
    assert context.result.error.step == step, context.result
