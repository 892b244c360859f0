"""
caller_steps
~~~~~~~~~~~~

Steps that send requests as a caller and check the answers and errors.
"""

import json
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException
from time import monotonic
from typing import NamedTuple

from behave import step, then, when
from site_steps import find_process, wait_until

from kingcupdyke_standins.answer import expected_text, read_prompt

ANSWER_TIMEOUT_S = 20.0


class Answer(NamedTuple):
    """The response to a request.

    The status is 0 if no response arrived.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    seconds: float

    @property
    def error(self):
        """The error in the body."""
        return json.loads(self.body)["error"]


def send(context, gateway, method, path, body, caller="desk", **headers):
    """Send a request and read the response.

    :return: the response, with status 0 if none arrived
    """
    process = context.site.gateways_by_name[gateway]
    connection = HTTPConnection(process.address, process.port, timeout=ANSWER_TIMEOUT_S)
    all_headers = {"authorization": f"Bearer token-{caller}"} | headers
    started_s = monotonic()
    try:
        data = json.dumps(body) if isinstance(body, dict) else body
        connection.request(method, path, data, all_headers)
        answer = connection.getresponse()
        content = answer.read()
        answer_headers = {name.lower(): value for name, value in answer.getheaders()}
        return Answer(answer.status, answer_headers, content, monotonic() - started_s)
    except (OSError, HTTPException):
        return Answer(0, {}, b"", monotonic() - started_s)
    finally:
        connection.close()


def make_body(model, tokens, stream, prompt="who whistles on Sunday?"):
    """:return: body of a chat completion request"""
    messages = [{"role": "user", "content": prompt}]
    return {"model": model, "messages": messages, "max_tokens": tokens, "stream": stream}


def read_text(answer, stream):
    """:return: the generated text; None if a stream ended before ``[DONE]``"""
    if not stream:
        return json.loads(answer.body)["choices"][0]["message"]["content"]
    events = answer.body.split(b"\n\n")
    if b"data: [DONE]" not in events:
        return None
    chunks = [json.loads(each[6:]) for each in events if each.startswith(b"data: {")]
    return "".join(each["choices"][0]["delta"]["content"] for each in chunks)


def is_complete(answer, body, model):
    """:return: whether the answer is complete and belongs to this request"""
    if answer.status != 200:
        return False
    text = read_text(answer, body["stream"])
    return text == expected_text(model, read_prompt(body), body["max_tokens"])


@when("a caller asks {model} for {tokens:d} tokens at {gateway}, {form}")
def ask(context, model, tokens, gateway, form):
    context.body = make_body(model, tokens, form == "streamed")
    context.model = {"chat-club": "chat-7b"}.get(model, model)
    context.answer = send(context, gateway, "POST", "/v1/chat/completions", context.body)


@when("a caller starts a request to {model} for {tokens:d} tokens at {gateway}, {form}")
def start_request(context, model, tokens, gateway, form):
    context.body = make_body(model, tokens, form == "streamed")
    context.model = model
    pool = ThreadPoolExecutor(1)
    context.future = pool.submit(
        send, context, gateway, "POST", "/v1/chat/completions", context.body
    )
    pool.shutdown(wait=False)
    wait_until(lambda: count_in_flight(context, gateway), 5.0, "the request is in flight")


def count_in_flight(context, gateway):
    """:return: requests in flight at a gateway"""
    process = find_process(context, f"gateway {gateway}")
    return process.call("GET", "/admin/status")["in_flight"]


@when("{count:d} callers concurrently ask {model} for {tokens:d} tokens at {gateway}")
def ask_concurrently(context, count, model, tokens, gateway):
    def ask_one(index):
        body = make_body(model, tokens, index % 2 == 0, f"question {index}")
        answer = send(context, gateway, "POST", "/v1/chat/completions", body)
        return answer, body

    with ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(ask_one, range(count)))
    context.model = model


@then("each caller receives the complete answer to its own request")
def check_all_complete(context):
    wrong = [a.status for a, body in context.answers if not is_complete(a, body, context.model)]
    assert not wrong, wrong


@then("the caller receives the complete answer")
def check_complete(context):
    answer = context.answer
    assert is_complete(answer, context.body, context.model), (answer.status, answer.body[-400:])


@then("eventually the caller receives the complete answer")
def check_complete_eventually(context):
    context.answer = context.future.result(ANSWER_TIMEOUT_S)
    check_complete(context)


@then("eventually the caller receives the complete answer or an error with its outcome")
def check_complete_or_error(context):
    answer = context.future.result(ANSWER_TIMEOUT_S)
    if not is_complete(answer, context.body, context.model):
        assert b"data: [DONE]" not in answer.body, answer.body[-300:]
        assert b'"outcome"' in answer.body, answer.body[-300:]


@when("a caller sends {what} to {path} at {gateway}")
def send_raw(context, what, path, gateway):
    bodies = {
        "nothing": b"",
        "broken JSON": b'{"model": ',
        "an oversized body": b'{"x": "' + b"y" * 1_100_000 + b'"}',
        "an unknown field": make_body("chat-7b", 3, False) | {"temprature": 1},
        "a wrong type": make_body("chat-7b", 3, False) | {"max_tokens": "many"},
        "an unknown model": make_body("chat-9b", 3, False),
        "a forbidden model": make_body("chat-7b", 3, False),
        "a wrong token": make_body("chat-7b", 3, False),
        "a wrong deadline": make_body("chat-7b", 3, False),
    }
    callers = {"a wrong token": "nobody", "a forbidden model": "night"}
    headers = {"x-deadline-ms": "soon"} if what == "a wrong deadline" else {}
    context.answer = send(
        context, gateway, "POST", path, bodies[what], callers.get(what, "desk"), **headers
    )


@then('the response has status {status:d} and code "{code}"')
def check_error(context, status, code):
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body)
    assert answer.error["code"] == code, answer.body
    assert answer.error["outcome"] and answer.error["step"], answer.body
    assert answer.headers["x-request-id"]


@then('the response has status {status:d} and outcome "{outcome}"')
def check_outcome(context, status, outcome):
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body)
    assert answer.error["outcome"] == outcome, answer.body


@then("the response arrives within {seconds:g} s")
def check_seconds(context, seconds):
    assert context.answer.seconds <= seconds, context.answer.seconds


@then("the response has a retry-after time")
def check_retry_after(context):
    headers = context.answer.headers
    wait_s = context.answer.error["retry_after_s"]
    assert int(headers["retry-after"]) >= max(1, wait_s), headers
    assert abs(int(headers["retry-after-ms"]) - wait_s * 1000) <= 1, headers


def send_booking(context, gateway, key, booking="pitch 4"):
    """Send one request that confirms a booking."""
    body = {"booking": booking}
    headers = {"idempotency-key": key} if key else {}
    return send(context, gateway, "POST", "/services/bookings/confirm", body, **headers)


@step('a booking with the key "{key}" is sent to {gateway}')
def send_one_booking(context, key, gateway):
    context.key = key
    context.answer = send_booking(context, gateway, key)


@when('a booking with the key "{key}" is sent {count:d} times concurrently across all gateways')
def send_concurrent_bookings(context, key, count):
    context.key = key
    gateways = [n for n, each in context.site.gateways_by_name.items() if each.is_running()]
    with ThreadPoolExecutor(count) as pool:
        names = [gateways[index % len(gateways)] for index in range(count)]
        context.booking_answers = list(
            pool.map(lambda name: send_booking(context, name, key), names)
        )


@when('a booking with the key "{key}" starts to run through {gateway}')
def start_booking(context, key, gateway):
    context.key = key
    pool = ThreadPoolExecutor(1)
    context.future = pool.submit(send_booking, context, gateway, key)
    pool.shutdown(wait=False)
    wait_until(lambda: count_runs(context, key), 5.0, "the booking runs")


@when('a different booking with the key "{key}" is sent to {gateway}')
def send_different_booking(context, key, gateway):
    context.answer = send_booking(context, gateway, key, "pitch 5")


def count_runs(context, key):
    """:return: how often the booking with a key ran, on all running instances of the service"""
    running = [each for each in context.site.services_by_name["bookings"] if each.is_running()]
    return sum(each.call("GET", "/counts").get(key, 0) for each in running)


@then("the booking ran {count:d} times")
def check_runs(context, count):
    assert count_runs(context, context.key) == count, count_runs(context, context.key)


@then("the booking ran at most once")
def check_at_most_once(context):
    assert count_runs(context, context.key) <= 1, count_runs(context, context.key)


@then("the booking is confirmed")
def check_confirmed(context):
    answer = context.answer
    assert answer.status == 200, (answer.status, answer.body)
    assert json.loads(answer.body)["run"] == 1


@then("a duplicate request confirms it within {seconds:g} s")
def check_duplicate(context, seconds):
    def confirmed():
        answer = send_booking(context, "entry-n1", context.key)
        return answer.status == 200 and json.loads(answer.body)["run"] == 1

    wait_until(confirmed, seconds, "a duplicate request is confirmed")


@then("at least one booking succeeds and each rejection has its outcome")
def check_concurrent_bookings(context):
    for answer in context.booking_answers:
        if answer.status != 200:
            assert answer.error["outcome"] in ("not_run", "unknown"), answer.body
    assert any(answer.status == 200 for answer in context.booking_answers)


@step("the services have fault switch {switch} set to {value:d}")
def set_service_switch(context, switch, value):
    for process in context.site.services_by_name["bookings"]:
        process.set_faults(**{switch: value})
