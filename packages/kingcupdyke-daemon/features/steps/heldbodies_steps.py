"""
heldbodies_steps
~~~~~~~~~~~~~~~~

Steps for the memory that a gateway uses for request bodies.
"""

from anyio import fail_after, run, sleep
from behave import then, when
from forwarder_rig import ScriptedEndpoint
from forwarder_steps import describe, write_request
from slow_rig import open_slow_rig


def write_head(framing, attempt_id):
    return write_request("POST /safe/1", attempt_id).replace(
        b"connection: close", framing.encode() + b"\r\nconnection: close"
    )


@when(
    "slowclients: while a body of {first:d} bytes is in progress, another of {second:d} bytes is "
    'announced with "{framing}"'
)
def announce(context, first, second, framing):
    framing = framing.replace("\\r\\n", "\r\n")
    context.endpoints = [ScriptedEndpoint("e1", "hang ok")]

    async def job():
        async with open_slow_rig(context) as rig:
            stream = await rig.send(write_head(f"content-length: {first}", "r1") + b"x" * first)
            await sleep(0.1)
            assert rig.memory.budget.body_bytes == first
            # The rejection must come although the body is never sent.
            context.raw = await rig.ask(write_head(framing, "r2"), 2.0)
            await stream.aclose()
            await sleep(0.1)
            data = write_head(f"content-length: {second}", "r3") + b"y" * second
            context.second = await rig.ask(data)

    run(job)


@then("slowclients: the answer to it is 503 with Retry-After 0.5, and its connection is closed")
def check_rejection(context):
    assert describe(context.raw) == "503", context.raw
    assert b"retry-after: 0.5\r\n" in context.raw.lower(), context.raw
    assert b"connection: close" in context.raw.lower(), context.raw


@then("slowclients: the rejection came before its body was sent")
def check_order(context):
    assert b"100" not in context.raw.split(b"\r\n")[0], context.raw


@then("slowclients: the body is accepted once the first request has ended")
def check_accepted(context):
    assert describe(context.second) == "200 e1", context.second
    assert [len(body) for _, body in context.endpoints[0].requests] == [9000, 9000]


@when("slowclients: a request with a body of {size:d} bytes ends as {case}")
def end_body(context, size, case):
    context.endpoints = [ScriptedEndpoint("e1", "ok" if case.startswith("the endp") else "hang")]
    context.budget_bytes = 8000 if case == "its chunks do not fit" else 64_000_000
    chunks = b"".join(b"%x\r\n%s\r\n" % (1000, b"x" * 1000) for _ in range(size // 1000 + 2))
    data = write_head(f"content-length: {size}", "r1") + b"x" * size
    if case == "its client leaves before the body is sent":
        data = data[: -size // 2]
    elif case in ("it is too large", "its chunks do not fit"):
        data = write_head("transfer-encoding: chunked", "r1") + chunks + b"0\r\n\r\n"

    async def job():
        async with open_slow_rig(context) as rig:
            with fail_after(3.0):
                stream = await rig.send(data)
                if "leaves" in case:
                    await sleep(0.1)
                    assert rig.memory.budget.body_bytes == size
                    await stream.aclose()
                else:
                    status = {"it is too large": "413", "its chunks do not fit": "503"}
                    answer = describe(await rig.read_all(stream))
                    assert answer == status.get(case, "200 e1"), answer

    run(job)
