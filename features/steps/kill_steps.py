"""
kill_steps
~~~~~~~~~~

Steps of open-loop load during which a process is killed.
"""

import json
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from time import monotonic, sleep
from typing import NamedTuple
from uuid import uuid4

from behave import step, then, when
from caller_steps import Answer, count_runs, is_whole, make_body, press, send
from site_steps import find_process

#: What is asked for, and where; the load takes them in turn.
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
REQUESTS = 96
PERIOD_S = 0.04
KILL_AT = 32
MOST_AT_ONCE = 64
SETTLE_S = 2.0


class Exchange(NamedTuple):
    """One request under load and its answer."""

    kind: str
    gateway: str
    key: str
    answer: Answer
    whole: bool


def exchange(context, index):
    """:return: a request of the load and what came of it"""
    kind, gateway = TARGETS[index % len(TARGETS)]
    key = f"kill-{uuid4().hex}"
    if kind == "booking":
        answer = press(context, gateway, key)
        whole = answer.status == 200 and json.loads(answer.body)["run"] == 1
    else:
        body = make_body(kind, 40, index % 3 == 0, f"question {index}")
        answer = send(context, gateway, "POST", "/v1/chat/completions", body)
        whole = is_whole(answer, body, kind)
    return Exchange(kind, gateway, key, answer, whole)


@when("{process} is killed under load")
def kill_under_load(context, process):
    with ThreadPoolExecutor(MOST_AT_ONCE) as pool:
        begun_s = monotonic()
        futures = []
        for index in range(REQUESTS):
            sleep(max(0.0, begun_s + index * PERIOD_S - monotonic()))
            futures.append(pool.submit(exchange, context, index))
            if index == KILL_AT:
                find_process(context, process).kill()
        context.exchanges = [each.result() for each in futures]


def find_judged(context, process):
    """:return: the exchanges with other gateways than the killed process"""
    return [each for each in context.exchanges if process != f"gateway {each.gateway}"]


def is_explained(answer):
    """:return: whether an answer that is not whole tells its outcome and step"""
    if answer.status == 200:
        return b'"outcome"' in answer.body and b"data: [DONE]" not in answer.body
    if answer.status < 400:
        return False
    return bool(answer.error["outcome"] and answer.error["step"])


@then("each answer is whole or an error with its outcome and step, but at {process}")
def check_explained(context, process):
    judged = find_judged(context, process)
    wrong = [each for each in judged if not (each.whole or is_explained(each.answer))]
    assert not wrong, wrong[:3]
    assert Counter(each.whole for each in judged)[True] > len(judged) / 2, judged[-1]


@then("all answers of {kinds} are whole, but at {process}")
def check_unharmed(context, kinds, process):
    judged = [each for each in find_judged(context, process) if each.kind in kinds.split(", ")]
    wrong = [each for each in judged if not each.whole]
    assert judged and not wrong, (len(wrong), wrong[:3])


@then("no booking under load ran twice")
def check_bookings(context):
    runs = {each.key: count_runs(context, each.key) for each in context.exchanges[3::4]}
    assert max(runs.values()) <= 1, runs


@step("{process} is left dead")
def leave_dead(context, process):
    assert not find_process(context, process).is_running()
    sleep(SETTLE_S)
