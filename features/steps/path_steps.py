"""
path_steps
~~~~~~~~~~

Steps that use the official OpenAI client, plain services and metrics.
"""

from urllib.request import urlopen

from behave import then, when
from caller_steps import send
from openai import OpenAI
from site_steps import find_process

from kingcupdyke_standins.answer import expected_text


@when("the official client asks {model} for {tokens:d} tokens, non-streamed and streamed")
def ask_with_official_client(context, model, tokens):
    gateway = context.site.gateways_by_name["entry-n1"]
    context.tokens = tokens
    context.model = model
    messages = [{"role": "user", "content": "hello"}]
    with OpenAI(base_url=f"{gateway.url}/v1", api_key="token-desk", timeout=10) as client:
        completion = client.chat.completions.create(
            model=model, messages=messages, max_tokens=tokens
        )
        chunks = client.chat.completions.create(
            model=model, messages=messages, max_tokens=tokens, stream=True
        )
        context.texts = [
            completion.choices[0].message.content,
            "".join(each.choices[0].delta.content for each in chunks),
        ]
        context.models = [each.id for each in client.models.list()]


@then("the official client receives both answers and the list of models")
def check_official(context):
    expected = expected_text(context.model, "user: hello\n", context.tokens)
    assert context.texts == [expected, expected], context.texts
    assert {"chat-7b", "chat-club", "plan-13b"} <= set(context.models)


@when("a caller sends {method} to the service's path {path} with the body {body}")
def send_to_service(context, method, path, body):
    context.sent = eval(body).encode("latin-1")
    path = f"/services/bookings{path}"
    context.answer = send(context, "entry-n1", method, path, context.sent)


@then(
    "the response has status {status:d} and type {media_type}, and the service received {received}"
)
def check_service(context, status, media_type, received):
    answer = context.answer
    assert (answer.status, answer.headers["content-type"]) == (status, media_type), answer
    expected = b"" if received == "nothing" else received.encode() + context.sent
    assert answer.body == expected, (answer.body, expected)


@then("the metrics of {gateway} have histograms by caller and class")
def check_metrics(context, gateway):
    url = context.site.gateways_by_name[gateway].url
    lines = urlopen(f"{url}/metrics").read().decode().splitlines()
    for name in ("time_to_first_part", "time_between_parts", "whole_time", "queue_wait"):
        start = f"{name}_seconds_count"
        matching = [line for line in lines if line.startswith(start)]
        assert any(
            'caller="desk"' in line and 'class="interactive"' in line for line in matching
        ), name


@then("the metrics of {name} can be read")
def check_readable(context, name):
    process = find_process(context, name)
    url = f"http://{process.address}:{process.ports_by_label['http']}"
    assert urlopen(f"{url}/metrics").status == 200
    assert urlopen(f"{url}/readyz").status == 200
