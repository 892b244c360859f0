"""
thundering_herd
~~~~~~~~~~~~~~~

Simulates gateways that choose endpoints by the same outdated load reports, which may cause a
thundering herd.
"""

from collections import Counter, deque
from random import Random

from builders import make_request, make_view

from kingcupdyke.report import LoadTracker
from kingcupdyke.routers import get_router

__all__ = ["find_largest_share"]

ENDPOINTS = [f"e{index}" for index in range(8)]
REQUESTS_PER_S = 400
SERVICE_S = 0.5
REPORT_PERIOD_S = 0.1
DURATION_S = 8
WINDOW_REQUESTS = 200


def find_largest_share(router_name, gateways, lag_s, options=None, correct=True, seed=1):
    """:return: the largest share of one endpoint in any half second after the first two seconds"""
    rng = Random(seed)
    trackers = [LoadTracker(correct=correct) for _ in range(gateways)]
    routers = [get_router(router_name, **(options or {})) for _ in range(gateways)]
    ends = deque()
    running = Counter()
    reports = deque()
    chosen = []
    for number in range(DURATION_S * REQUESTS_PER_S):
        now_s = number / REQUESTS_PER_S
        while ends and ends[0][0] <= now_s:
            _, gateway, endpoint, request_id = ends.popleft()
            running[endpoint] -= 1
            trackers[gateway].finished(endpoint, request_id)
        if number % int(REPORT_PERIOD_S * REQUESTS_PER_S) == 0:
            reports.append((now_s + lag_s, dict(running)))
        while reports and reports[0][0] <= now_s:
            _, state = reports.popleft()
            for tracker in trackers:
                for endpoint in ENDPOINTS:
                    tracker.record_report(endpoint, state.get(endpoint, 0), 0, 0.01, now_s)
        gateway = rng.randrange(gateways)
        views = [
            make_view(each, **trackers[gateway].estimate_load(each, now_s)._asdict())
            for each in ENDPOINTS
        ]
        request = make_request(str(number), max_tokens=50, arrived_s=now_s, deadline_s=now_s + 10)
        endpoint = routers[gateway].choose(request, views, now_s, rng).ok.endpoint
        trackers[gateway].dispatched(endpoint, request.request_id)
        running[endpoint] += 1
        ends.append((now_s + SERVICE_S, gateway, endpoint, request.request_id))
        chosen.append(endpoint)
    windows = range(2 * REQUESTS_PER_S, len(chosen) - WINDOW_REQUESTS + 1, WINDOW_REQUESTS // 4)
    return (
        max(max(Counter(chosen[at : at + WINDOW_REQUESTS]).values()) for at in windows)
        / WINDOW_REQUESTS
    )
