"""
weights_steps
~~~~~~~~~~~~~

Steps for the weight store.
"""

import json

from anyio import create_task_group, current_time, run
from behave import given, then, when

from kingcupdyke_standins.server import open_standin
from kingcupdyke_standins.weights import WeightsApp
from kingcupdyke_wire.http import HttpClient


@given("a weights store of full speed {full_speed:d} with {bytes_per_s:d} bytes a second")
def give_speed(context, full_speed, bytes_per_s):
    context.app = WeightsApp(1000.0, full_speed, bytes_per_s)


@given("a weights store of {per_s:d} load a second")
def give_rate(context, per_s):
    context.app = WeightsApp(per_s, 6, 1e9)


@when("weights is asked for {count:d} transfers of {size:d} bytes at once")
def fetch(context, count, size):
    body = json.dumps({"model": "m", "version": "1", "bytes": size, "region": "r"}).encode()
    context.answers = []

    async def fetch_one(client):
        answer = await client.request("POST", "/v1/fetches", body=body)
        context.answers.append(answer.ok)

    async def job():
        async with open_standin(context.app) as address:
            client = HttpClient(f"http://{address}", timeout_s=5.0)
            began_s = current_time()
            async with create_task_group() as tasks:
                for _ in range(count):
                    tasks.start_soon(fetch_one, client)
            context.took_s = current_time() - began_s

    run(job)


@then("weights has answered all in at least {least_s:g} s")
def check_time(context, least_s):
    assert all(answer.status == 200 for answer in context.answers), context.answers
    assert context.took_s >= least_s, context.took_s


@then("weights has refused {count:d} and named a time of up to {most_s:g} s")
def check_refused(context, count, most_s):
    refused = [answer for answer in context.answers if answer.status == 429]
    assert len(refused) == count, context.answers
    assert all(0 < float(answer.headers["retry-after"]) <= most_s for answer in refused)
