"""
slowclients_steps
~~~~~~~~~~~~~~~~~

Steps for clients that read slowly, and for the memory that a gateway uses for them.
"""

from anyio import create_task_group, current_time, fail_after, run, sleep
from behave import given, then, when
from forwarder_steps import describe, write_request
from slow_rig import (
    EVENT_BYTES,
    SOCKET_BYTES,
    PouringEndpoint,
    connect_slowly,
    list_ids,
    list_lines,
    open_slow_rig,
)


@given(
    "slowclients: an endpoint that cuts off an answer of {size:d} bytes that is unread for "
    "{patience_s:g} s"
)
def give_impatient(context, size, patience_s):
    context.endpoints = [PouringEndpoint("e1", size, patience_s)]


@given("slowclients: an endpoint that sends without end")
def give_endless(context):
    context.endpoints = [PouringEndpoint("e1", None, interval_s=0.01)]


@given("slowclients: an endpoint that sends {size:d} bytes within {length_s:g} s")
def give_slow(context, size, length_s):
    interval_s = 10 * EVENT_BYTES * length_s / size
    context.endpoints = [PouringEndpoint("e1", size, interval_s=interval_s)]


@given(
    "slowclients: an endpoint that breaks off after {cut_at:d} of {size:d} bytes, and another one"
)
def give_breaking(context, cut_at, size):
    context.endpoints = [PouringEndpoint("e1", size, None, cut_at), PouringEndpoint("e2", size)]


@given("slowclients: a budget of {size:d} bytes")
def give_budget(context, size):
    context.budget_bytes = size


@when('slowclients: a client of "{line}" reads nothing for {pause_s:g} s')
def pause_client(context, line, pause_s):
    async def job():
        async with open_slow_rig(context) as rig:
            is_slow = bool(context.endpoints[0].interval_s)
            buffer_bytes = 2 * EVENT_BYTES if is_slow else SOCKET_BYTES
            stream = await connect_slowly(rig, write_request(line), buffer_bytes)
            await sleep(pause_s)
            context.loads = rig.dispatcher.list_loads()
            context.read_again_s = current_time()
            context.raw = await rig.read_all(stream, 8.0)

    run(job)


@when('slowclients: a client of "{line}" reads at once')
def read_at_once(context, line):
    async def job():
        async with open_slow_rig(context) as rig:
            context.raw = await rig.ask(write_request(line))

    run(job)


@then("slowclients: the client gets the whole answer")
def check_whole(context):
    size = context.endpoints[0].size
    assert list_ids(context.raw) == list(range(1, size // EVENT_BYTES + 1)), len(context.raw)
    assert describe(context.raw) != "cut"


@then("slowclients: the endpoint has sent the whole answer, and is free, before the client reads")
def check_sent(context):
    assert context.endpoints[0].sent_s < context.read_again_s
    assert context.loads == (), "the endpoint counts as busy with an answer that it has sent"


@then("slowclients: the request ended after the client read again")
def check_end(context):
    # Kernels hold less than a quarter of the answer: the rest is written after the pause.
    ((ended_s, fields),) = list_lines(context, "request ended")
    assert ended_s > context.read_again_s
    assert fields["outcome"] == "answered", fields


@then("slowclients: nothing is held")
def check_nothing_held(context):
    assert context.held == (0, 0), context.held
    for side in ("client", "endpoint"):
        assert f'kingcupdyke_held_bytes{{side="{side}"}} 0.0' in context.metrics


@then("slowclients: no answer was read ahead")
def check_direct(context):
    assert (context.opened, context.most) == (0, 0)


@when('slowclients: a client of "{line}" never reads while others send requests')
def never_read(context, line):
    async def ask_others(rig):
        number = 0
        while True:
            number += 1
            started_s = current_time()
            answer = await rig.ask(write_request("GET /stream/1", f"other{number}"))
            context.others.append((current_time() - started_s, list_ids(answer)))
            await sleep(0.1)

    async def job():
        context.others = []
        async with open_slow_rig(context) as rig, create_task_group() as tasks:
            stream = await connect_slowly(rig, write_request(line))
            started_s = current_time()
            tasks.start_soon(ask_others, rig)
            await sleep(1.0)
            assert rig.memory.budget.answer_bytes
            with fail_after(12.0):
                while rig.memory.budget.answer_bytes:
                    await sleep(0.02)
            context.seconds = current_time() - started_s
            context.raw = await rig.read_all(stream)
            tasks.cancel_scope.cancel()

    run(job)


@then(
    "slowclients: its memory is released {least_s:g} s to {most_s:g} s after it has stopped reading"
)
def check_release(context, least_s, most_s):
    assert least_s <= context.seconds <= most_s, context.seconds


@then("slowclients: its connection is reset and its answer is not complete")
def check_reset(context):
    assert context.raw.endswith(b"!"), context.raw[-10:]
    assert describe(context.raw) == "cut"


@then("slowclients: one aborted answer is counted and logged with the id of its request")
def check_aborted(context):
    assert "kingcupdyke_aborted_answers_total 1.0" in context.metrics, context.metrics
    ((_, fields),) = list_lines(context, "answer aborted")
    assert fields["request"] == "r1"
    assert fields["held_bytes"] > 0


@then("slowclients: each other stream was complete within {limit_s:g} s")
def check_others(context, limit_s):
    assert len(context.others) > 20
    for seconds, ids in context.others:
        assert seconds <= limit_s, seconds
        assert ids == [1, 2, 3, 4], ids


@when(
    'slowclients: a client of "{line}" reads {size:d} bytes every {pause_s:g} s for {length_s:g} s'
)
def read_little(context, line, size, pause_s, length_s):
    async def job():
        async with open_slow_rig(context) as rig:
            stream = await connect_slowly(rig, write_request(line), 2 * size)
            context.raw = b""
            started_s = current_time()
            while current_time() - started_s < length_s:
                await sleep(pause_s)
                context.raw += await stream.receive(size)
            context.raw += await rig.read_all(stream, 8.0)

    run(job)


@when('slowclients: a client of "{line}" reads nothing and leaves after {pause_s:g} s')
def leave(context, line, pause_s):
    async def job():
        async with open_slow_rig(context) as rig:
            stream = await connect_slowly(rig, write_request(line))
            state = rig.endpoint_table.state_by_id["e1"]
            context.was_reachable = []
            for _ in range(round(pause_s / 0.05)):
                await sleep(0.05)
                context.was_reachable.append(state.is_reachable(rig.timer.now()))
            assert rig.memory.budget.answer_bytes
            await stream.aclose()
            context.left_s = current_time()
            await sleep(0.6)

    run(job)


@then("slowclients: its answer was {case}")
def check_case(context, case):
    assert context.opened == 1
    stopped = list_lines(context, "answer stopped")
    assert len(stopped) == (1 if case == "stopped" else 0), stopped


@then("slowclients: the request at the endpoint ends within {limit_s:g} s")
def check_closed(context, limit_s):
    (closed_s,) = context.endpoints[0].closed_times_s
    assert closed_s - context.left_s <= limit_s, closed_s - context.left_s


@then("slowclients: the endpoint counted as reachable all the time")
def check_reachable(context):
    assert all(context.was_reachable), context.was_reachable


@then("slowclients: the client sees that its answer is not complete")
def check_cut(context):
    assert describe(context.raw) == "cut", context.raw[-20:]


@when("slowclients: {count:d} clients read answers of {size:d} bytes slowly")
def read_many(context, count, size):
    context.endpoints = [PouringEndpoint(f"e{n}", size) for n in range(count // 4)]

    async def read_slowly(rig, number):
        stream = await connect_slowly(rig, write_request("GET /stream/1", f"r{number}"))
        await sleep(1.5)
        answer = b""
        while not answer.endswith(b"\r\n0\r\n\r\n"):
            answer += await stream.receive()
            await sleep(0.02)
        context.answers.append(answer)
        await stream.aclose()

    async def job():
        context.answers = []
        async with open_slow_rig(context) as rig:
            with fail_after(19.0):
                async with create_task_group() as tasks:
                    for number in range(count):
                        tasks.start_soon(read_slowly, rig, number)

    run(job)


@then("slowclients: at most {most:d} bytes were held, and at least {least:d}")
def check_most(context, most, least):
    assert least <= context.most <= most, context.most


@then("slowclients: every client got its whole answer")
def check_answers(context):
    size = context.endpoints[0].size
    for answer in context.answers:
        assert list_ids(answer) == list(range(1, size // EVENT_BYTES + 1))


@then("slowclients: answers were stopped, and none counts as an error")
def check_stopped(context):
    assert list_lines(context, "answer stopped")
    assert not list_lines(context, "answer aborted")
    assert not list_lines(context, "request failed at endpoint")
    assert not any(context.failures), context.failures
