"""
kingcupdyke_measure.load
~~~~~~~~~~~~~~~~~~~~~~~~

Runs an open-loop load: requests are sent at fixed times, independently of earlier answers.
"""

import json
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from anyio import create_task_group, current_time, sleep_until

from kingcupdyke_standins.answer import expected_text, read_prompt
from kingcupdyke_wire.http import ExchangeError, HttpClient, HttpStream

__all__ = ["Arrival", "ArrivalResult", "run_load"]

#: Seconds after a request's deadline at which the client times out.
_CLIENT_TIMEOUT_MARGIN_S = 5.0


class Arrival(NamedTuple):
    """A request that the load sends."""

    #: Seconds from the start of the run.
    at_s: float
    #: Kind of the request; the report has a group for each.
    kind: str
    token: str
    path: str
    body: dict
    deadline_s: float
    #: Model that is expected to answer, or the empty string for a service.
    model: str = ""
    #: Idempotency key, or the empty string.
    key: str = ""
    method: str = "POST"


class ArrivalResult(NamedTuple):
    """The result of a request; times are measured from its scheduled time."""

    arrival: Arrival
    #: HTTP status; 0 if there was no answer.
    status: int
    #: Seconds to the first part and to the end of the answer, or to the failure.
    first_part_s: float
    total_s: float
    #: Mean seconds between parts of a stream.
    part_interval_s: float
    #: Whether the answer is complete and, for a model, the expected one.
    whole: bool
    endpoint: str
    #: Code of the error answer or of the failure, or the empty string.
    code: str

    @property
    def attained(self) -> bool:
        """Whether the answer was complete within the deadline."""
        return self.whole and self.total_s <= self.arrival.deadline_s


async def run_load(
    arrivals: Sequence[Arrival], addresses: Sequence[str], seed: int
) -> list[ArrivalResult]:
    """Send all arrivals at their scheduled times, each to a gateway chosen at random.

    :param arrivals: requests in order of their times
    :param addresses: base addresses of gateways
    :param seed: seed of the choice of gateways
    :return: a result for each arrival, in the order in which they ended
    """
    rng = Random(seed)
    clients = [HttpClient(each, timeout_s=60.0) for each in addresses]
    results: list[ArrivalResult] = []
    started_s = current_time()
    async with create_task_group() as tasks:
        for arrival in arrivals:
            await sleep_until(started_s + arrival.at_s)
            client = rng.choice(clients)
            tasks.start_soon(_send, arrival, client, started_s + arrival.at_s, results)
    for client in clients:
        await client.aclose()
    return results


async def _send(
    arrival: Arrival, client: HttpClient, scheduled_s: float, results: list[ArrivalResult]
) -> None:
    headers = {
        "authorization": f"Bearer {arrival.token}",
        "content-type": "application/json",
        "x-deadline-ms": str(int(arrival.deadline_s * 1000)),
    }
    if arrival.key:
        headers["idempotency-key"] = arrival.key
    body = json.dumps(arrival.body).encode() if arrival.body else b""
    timeout_s = arrival.deadline_s + _CLIENT_TIMEOUT_MARGIN_S
    try:
        async with client.stream(arrival.method, arrival.path, headers, body, timeout_s) as stream:
            results.append(await _read_answer(arrival, stream, scheduled_s))
    except ExchangeError as error:
        total_s = current_time() - scheduled_s
        code = error.failure.outcome.value
        results.append(ArrivalResult(arrival, 0, total_s, total_s, 0.0, False, "", code))


async def _read_answer(arrival: Arrival, stream: HttpStream, scheduled_s: float) -> ArrivalResult:
    times_s = []
    parts = []
    async for part in stream.parts:
        times_s.append(current_time() - scheduled_s)
        parts.append(part)
    total_s = current_time() - scheduled_s
    first_part_s = times_s[0] if times_s else total_s
    part_interval_s = (times_s[-1] - first_part_s) / (len(times_s) - 1) if len(times_s) > 1 else 0.0
    body = b"".join(parts)
    whole = stream.status == 200 and _is_complete(arrival, body)
    code = "" if stream.status == 200 else _read_error_code(body)
    endpoint = stream.headers.get("x-endpoint", "")
    return ArrivalResult(
        arrival, stream.status, first_part_s, total_s, part_interval_s, whole, endpoint, code
    )


def _is_complete(arrival: Arrival, body: bytes) -> bool:
    if not arrival.model:
        return bool(body)
    text = _read_stream_text(body) if arrival.body.get("stream") else _read_answer_text(body)
    tokens = arrival.body["max_tokens"]
    return text == expected_text(arrival.model, read_prompt(arrival.body), tokens)


def _read_answer_text(body: bytes) -> str:
    choice = json.loads(body)["choices"][0]
    return choice["message"]["content"] if "message" in choice else choice["text"]


def _read_stream_text(body: bytes) -> str:
    events = body.split(b"\n\n")
    if b"data: [DONE]" not in events:
        return ""
    texts = []
    for event in events:
        if event.startswith(b"data: {"):
            choice = json.loads(event[6:]).get("choices", [{}])[0]
            texts.append(
                choice["delta"]["content"] if "delta" in choice else choice.get("text", "")
            )
    return "".join(texts)


def _read_error_code(body: bytes) -> str:
    try:
        return json.loads(body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return "unreadable"
