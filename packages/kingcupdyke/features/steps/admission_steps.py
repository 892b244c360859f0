"""
admission_steps
~~~~~~~~~~~~~~~

Steps for the admission queue.
"""

from collections import Counter

from admission_machine import AdmissionMachine
from behave import given, then, when
from builders import make_request
from checks import run_machine

from kingcupdyke.admission import AdmissionQueue, Admitted, Queued, Refused
from kingcupdyke.error import Outcome

SERVICE_S = 0.5
TICK_S = 0.01
BURST_S = 10.0


def offer_many(queue, count, now_s=0.0, weight=1.0, **fields):
    """:return: the answers to ``count`` requests with a deadline 1000 s ahead, unless given"""
    caller, service_class = fields.get("caller", ""), fields.get("service_class", "")
    fields = {"deadline_s": now_s + 1000.0, **fields}
    names = [f"{caller}{service_class}{now_s}-{number}" for number in range(count)]
    return [queue.offer(make_request(name, **fields), 1.0, now_s, weight) for name in names]


@given("an admission queue of {capacity:d} with {running:d} running and {waiting:d} waiting")
def make_queue(context, capacity, running, waiting):
    context.queue = AdmissionQueue(capacity, 100)
    deadline_s = 5.0 if capacity == 8 else 1000.0
    offer_many(context.queue, running + waiting, deadline_s=deadline_s)
    assert context.queue.waiting["interactive"] == waiting


@when("admission is offered a request that takes {estimate:g} with {left:g} s until its deadline")
def offer_one(context, estimate, left):
    request = make_request("asked", deadline_s=left)
    context.answer = context.queue.offer(request, estimate, 0.0)


@then("admission answers {answer:w}")
def check_answer(context, answer):
    assert type(context.answer).__name__.lower() == answer, context.answer
    if isinstance(context.answer, Refused):
        failure = context.answer.failure
        assert failure.outcome is Outcome.NOT_RUN and failure.retry_after_s > 0, failure


@given("an admission simulation of capacity 8 and service of half a second")
def make_simulation(context):
    context.queue = AdmissionQueue(8, 100)
    context.ends = {}
    context.arrivals = {}
    context.done = Counter()
    context.done_in_burst = Counter()
    context.late = Counter()
    context.refusal_delays_s = []


def start(context, requests, now_s):
    for request in requests:
        context.ends[request.request_id] = (now_s + SERVICE_S, request)


def advance(context, now_s):
    for request_id, (end_s, request) in list(context.ends.items()):
        if end_s <= now_s:
            del context.ends[request_id]
            context.done[request.service_class] += 1
            context.done_in_burst[request.service_class] += end_s <= BURST_S
            context.late[request.service_class] += end_s > request.deadline_s
            start(context, context.queue.finished(request_id, now_s), now_s)
    for request, failure in context.queue.expire(now_s):
        assert failure.outcome is Outcome.NOT_RUN and failure.retry_after_s > 0
        context.refusal_delays_s.append(now_s - context.arrivals.pop(request.request_id))


@when("admission gets {interactive:d} interactive and {batch:d} batch requests a second for 10 s")
def run_simulation(context, interactive, batch):
    for tick in range(round(90 / TICK_S)):
        now_s = tick * TICK_S
        advance(context, now_s)
        rates = {"interactive": (interactive, 2.0), "batch": (batch, 60.0)}
        for service_class, (rate, left_s) in rates.items():
            due = [tick * rate // 100, (tick + 1) * rate // 100] if now_s < BURST_S else [0, 0]
            for number in range(*due):
                request = make_request(
                    f"{service_class}{number}",
                    service_class=service_class,
                    deadline_s=now_s + left_s,
                )
                context.arrivals[request.request_id] = now_s
                answer = context.queue.offer(request, SERVICE_S, now_s)
                if isinstance(answer, Admitted):
                    start(context, [request], now_s)
                elif isinstance(answer, Refused):
                    assert answer.failure.retry_after_s > 0
                    del context.arrivals[request.request_id]


@then("every admission decision is final, and every later refusal came within {held:g} seconds")
def check_final(context, held):
    assert not context.ends
    assert sum(context.queue.waiting.values()) == 0
    assert sum(context.done.values()) == len(context.arrivals)
    assert max(context.refusal_delays_s, default=0.0) <= held, max(context.refusal_delays_s)


@then("admission kept every interactive deadline of 2 seconds")
def check_deadlines(context):
    assert context.late["interactive"] == 0, context.late


@then("admission completed {interactive:d} interactive and {batch:d} batch requests at least")
def check_done(context, interactive, batch):
    assert context.done_in_burst["interactive"] >= interactive, context.done_in_burst
    assert context.done_in_burst["batch"] >= batch, context.done_in_burst


@then("admission whose capacity falls to 1 refuses the late requests immediately and none later")
def check_expiry(context):
    context.queue.set_capacity(1)
    refused = context.queue.expire(0.0)
    # Only the first four queued requests can meet the deadline of five seconds.
    assert len(refused) == 12, len(refused)
    assert all(failure.retry_after_s > 0 for _, failure in refused)
    assert context.queue.expire(0.5) == []


@then(
    "admission of {first:d} referee and {second:d} club, weight {weight:g}, sends {share:d} of club"
)
def check_fairness(context, first, second, weight, share):
    queue = AdmissionQueue(1, 100)
    offer_many(queue, 1, now_s=0.0, caller="assessor")
    offer_many(queue, first, caller="referee")
    offer_many(queue, second, caller="club", weight=weight)
    running = "assessor0.0-0"
    callers = Counter()
    for _ in range(30):
        (request,) = queue.finished(running, 0.0)
        running = request.request_id
        callers[request.caller] += 1
    assert abs(callers["club"] - share) <= 1, callers


@given("an admission queue of capacity 1 with 1 running and a full queue of {holder}")
def fill_queue(context, holder):
    context.queue = AdmissionQueue(1, 8)
    offer_many(context.queue, 1, caller="assessor")
    service_class, caller, *more = holder.split()
    answers = offer_many(context.queue, 9, caller=caller, service_class=service_class)
    assert isinstance(answers[-1], Refused)
    offer_many(context.queue, 2 if more else 0, caller=caller)


@when("admission is offered one more of {caller}")
def offer_more(context, caller):
    service_class, name = caller.split()
    (context.answer,) = offer_many(context.queue, 1, 1.0, caller=name, service_class=service_class)


@then("admission answers {answer:w} and evicts {victims:d} others as not run")
def check_victims(context, answer, victims):
    check_answer(context, answer)
    evicted = context.queue.expire(1.0)
    assert len(evicted) == victims, evicted
    assert all(failure.outcome is Outcome.NOT_RUN for _, failure in evicted)
    assert all(failure.retry_after_s > 0 for _, failure in evicted)


@when("admission gets event {event} and the running request ends at second {end:g}")
def apply_event(context, event, end):
    names = [f"refereebatch0.0-{number}" for number in range(9)]
    cancelled = names if event == "all cancelled" else []
    if "displaced" in event:
        offer_many(context.queue, 1, caller="club", service_class="batch")
        cancelled = names[5:6] if "cancelled" in event else []
    for name in cancelled:
        assert context.queue.cancelled(name, 0.0) == []
    context.started = context.queue.finished("assessor0.0-0", end)
    context.end_s = end


@then("admission starts {started:d} request and refuses {refused:d} queued ones")
def check_started(context, started, refused):
    assert len(context.started) == started, context.started
    expired = context.queue.expire(context.end_s)
    assert len(expired) == refused, expired


@then("admission {ago:d} s after an interactive request runs {running:d} of 20 batch requests")
def check_batch_share(context, ago, running):
    queue = AdmissionQueue(8, 100)
    offer_many(queue, 1, now_s=0.0)
    queue.cancelled("interactive0.0-0", 0.0)
    queue.cancelled("0.0-0", 0.0)
    answers = offer_many(queue, 20, float(ago), service_class="batch")
    assert sum(isinstance(each, Admitted) for each in answers) == running
    assert sum(isinstance(each, Queued) for each in answers) == 20 - running


@then("the admission queue keeps its invariants in any order of events")
def check_machine(context):
    run_machine(AdmissionMachine, steps=40, suppressed=())
