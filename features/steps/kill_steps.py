"""
kill_steps
~~~~~~~~~~

Steps that kill a process under open-loop load and check the answers.
"""

import json
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from time import monotonic, sleep
from typing import NamedTuple
from uuid import uuid4

from behave import step, then, when
from caller_steps import Answer, count_runs, is_complete, make_body, send, send_booking
from site_steps import find_process

#: Model or ``booking``, and the gateway that receives it; the load cycles through these.
TARGETS = (
    ("chat-7b", "entry-n1"),
    ("plan-13b", "entry-n2"),
    ("south-3b", "entry-s1"),
    ("booking", "entry-n1"),
    ("chat-7b", "entry-n2"),
    ("plan-13b", "entry-n1"),
    ("south-3b", "entry-s1"),
    ("booking", "entry-n2"),
)
REQUEST_COUNT = 96
REQUEST_INTERVAL_S = 0.04
#: Index of the request after which the process is killed.
KILL_AT_INDEX = 32
MAX_IN_FLIGHT = 64
#: Delay before the next row, after a process that stays stopped.
SETTLE_S = 2.0


class LoadResult(NamedTuple):
    """One request under load and its answer.

    The key is the idempotency key of a booking.
    """

    kind: str
    gateway: str
    key: str
    answer: Answer
    complete: bool


def send_request(context, index):
    """Send one request of the load.

    :return: the request and its answer
    """
    kind, gateway = TARGETS[index % len(TARGETS)]
    key = f"kill-{uuid4().hex}"
    if kind == "booking":
        answer = send_booking(context, gateway, key)
        complete = answer.status == 200 and json.loads(answer.body)["run"] == 1
    else:
        body = make_body(kind, 40, index % 3 == 0, f"question {index}")
        answer = send(context, gateway, "POST", "/v1/chat/completions", body)
        complete = is_complete(answer, body, kind)
    return LoadResult(kind, gateway, key, answer, complete)


@when("{process} is killed under load")
def kill_under_load(context, process):
    with ThreadPoolExecutor(MAX_IN_FLIGHT) as pool:
        started_s = monotonic()
        futures = []
        for index in range(REQUEST_COUNT):
            sleep(max(0.0, started_s + index * REQUEST_INTERVAL_S - monotonic()))
            futures.append(pool.submit(send_request, context, index))
            if index == KILL_AT_INDEX:
                find_process(context, process).kill()
        context.load_results = [each.result() for each in futures]


def exclude_killed_gateway(context, process):
    """:return: the results of requests that were not sent to the killed gateway"""
    return [each for each in context.load_results if process != f"gateway {each.gateway}"]


def has_outcome_and_step(answer):
    """:return: whether an incomplete answer contains an error with outcome and step"""
    if answer.status == 200:
        return b'"outcome"' in answer.body and b"data: [DONE]" not in answer.body
    if answer.status < 400:
        return False
    return bool(answer.error["outcome"] and answer.error["step"])


@then("each answer is complete or an error with its outcome and step, except at {process}")
def check_complete_or_error(context, process):
    checked = exclude_killed_gateway(context, process)
    wrong = [each for each in checked if not (each.complete or has_outcome_and_step(each.answer))]
    assert not wrong, wrong[:3]
    assert Counter(each.complete for each in checked)[True] > len(checked) / 2, checked[-1]


@then("all answers of {kinds} are complete, except at {process}")
def check_unaffected(context, kinds, process):
    checked = [
        each for each in exclude_killed_gateway(context, process) if each.kind in kinds.split(", ")
    ]
    wrong = [each for each in checked if not each.complete]
    assert checked and not wrong, (len(wrong), wrong[:3])


@then("no booking under load ran twice")
def check_bookings(context):
    runs = {each.key: count_runs(context, each.key) for each in context.load_results[3::4]}
    assert max(runs.values()) <= 1, runs


@step("{process} is not restarted")
def leave_stopped(context, process):
    assert not find_process(context, process).is_running()
    sleep(SETTLE_S)
