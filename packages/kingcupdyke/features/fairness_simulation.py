"""
fairness_simulation
~~~~~~~~~~~~~~~~~~~

Callers that share a service through one dispatcher, in virtual time.
"""

from collections import Counter
from heapq import heappop, heappush
from random import Random

from forwarding_builders import make_entry, make_item, make_services

from kingcupdyke.forwarding.callertable import Caller, CallerTable
from kingcupdyke.forwarding.decision import Send
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.quotaspec import QuotaSpec, QuotaUnit

__all__ = ["CALLERS", "play"]

#: Callers c0, c1 ...; all requests of the first are those of the burst.
CALLERS = 16
#: Seconds that a request takes, slots of both endpoints together, seconds of the simulation.
DURATION_S = 0.1
SLOTS = 8
RUN_S = 30.0
#: Seconds until a request's objective and deadline.
OBJECTIVE_S = 0.5
TIMEOUT_S = 1.0


def play(load, burst, seed, rates, has_callers=True):
    """Let each caller send requests at random times, on average in proportion to its rate.

    :param load: average work of all callers without a burst, relative to the capacity
    :param burst: how many times its rate the first caller sends
    :param rates: requests a second of the callers, of which only the proportions count; 0 for a
        caller without a rate
    :return: the number of requests sent and served of each caller
    """
    dispatcher = make_dispatcher(rates, has_callers)
    shares = [each or 1.0 for each in rates]
    events = []
    for number, share in enumerate(shares):
        rate = load * SLOTS / DURATION_S * share / sum(shares) * (burst if number == 0 else 1)
        # The other callers send the same requests with and without a burst.
        rng = Random(f"{seed} {number}")
        at_s = rng.expovariate(rate)
        while at_s < RUN_S:
            heappush(events, (at_s, len(events), f"c{number}", ""))
            at_s += rng.expovariate(rate)
    sent, served, caller_by_id = Counter(), Counter(), {}
    number = len(events)
    while events:
        now_s, index, caller, endpoint = heappop(events)
        if endpoint:
            dispatcher.ended(caller, endpoint, "service", DURATION_S, now_s, True)
            decisions = {}
        else:
            item = make_item(
                f"r{index}",
                caller=caller,
                arrived_s=now_s,
                objective_s=now_s + OBJECTIVE_S,
                deadline_s=now_s + TIMEOUT_S,
                first_by_s=now_s + TIMEOUT_S,
            )
            sent[caller] += 1
            caller_by_id[item.attempt_id] = caller
            decisions = {item.attempt_id: dispatcher.submit(item, frozenset(), now_s)}
        for attempt_id, decision in (decisions | dispatcher.poll(now_s)).items():
            if isinstance(decision, Send):
                served[caller_by_id[attempt_id]] += 1
                number += 1
                heappush(events, (now_s + DURATION_S, number, attempt_id, decision.endpoint))
    return sent, served


def make_dispatcher(rates, has_callers):
    table = EndpointTable()
    for name in ("e1", "e2"):
        table.put(make_entry(name, slots=SLOTS // 2))
    dispatcher = Dispatcher(table, "n1", {"n1": "north"})
    callers = tuple(
        Caller(f"c{n}", frozenset(), None, make_quota(each)) for n, each in enumerate(rates)
    )
    dispatcher.configure(make_services(), CallerTable(callers) if has_callers else None)
    return dispatcher


def make_quota(rate):
    return QuotaSpec(rate, rate, QuotaUnit.REQUESTS, 1) if rate else None
