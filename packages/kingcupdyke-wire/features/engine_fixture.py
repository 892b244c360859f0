"""
engine_fixture
~~~~~~~~~~~~~~

Runs a simulated engine in the event loop of the test, for the steps of the engine client.
"""

import json
from contextlib import asynccontextmanager

from kingcupdyke_standins.batch import Speed
from kingcupdyke_standins.engine import EngineApp, EngineOptions
from kingcupdyke_standins.order import OrderSettings
from kingcupdyke_standins.server import open_standin
from kingcupdyke_wire.engine import HttpEngineClient

GB = 10**9
TIMEOUT_S = 0.1
RUN_TIMEOUT_S = 0.3
SPEED = Speed(token_ms=2.0, batch_slope_ms=0.0, first_token_ms=2.0, slots=32)
OPTIONS = EngineOptions(
    name="engine",
    capacity_bytes=10 * GB,
    checks_fence=True,
    models_by_name={"m": 2 * GB},
    speed=SPEED,
    orders=OrderSettings(region="bohemia", adapter_knee=50, weights_url=""),
    cache_blocks=100,
    load_lag_s=0.0,
)


@asynccontextmanager
async def open_engine(options=OPTIONS, faults=None):
    """Yield a simulated engine and its client."""
    app = EngineApp(options)
    app.faults.set(faults or {})
    async with open_standin(app) as address:
        client = HttpEngineClient(f"http://{address}", TIMEOUT_S, RUN_TIMEOUT_S)
        yield app, client
        await client.aclose()


async def send_order(client, order_id, fence, kind, name, size_bytes, lifetime_s=1.0):
    """:return: the result of an order for a model, an adapter of the model "m" or a role"""
    model = name if kind in ("load", "unload") else "m"
    adapter = name if "adapter" in kind else ""
    role = name if kind == "role" else ""
    return await client.order(
        order_id, fence, kind, model, adapter, "1", role, size_bytes, lifetime_s
    )


def build_body(prompt, tokens, chat=False, stream=False, model="m"):
    """:return: path and body of a request"""
    body = {"model": model, "max_tokens": tokens, "stream": stream}
    if chat:
        body["messages"] = [{"role": "user", "content": prompt}]
    else:
        body["prompt"] = prompt
    path = "/v1/chat/completions" if chat else "/v1/completions"
    return path, json.dumps(body).encode()


async def run_request(client, request_id, path, body, adapter="", offset=None):
    """:return: the answer and a list of all its parts"""
    async with client.open_run(path, body, request_id, 0, adapter, offset) as answer:
        return answer, [part async for part in answer.parts]
