"""
kingcupdyke.forwarding.pacecomparison
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the window of an endpoint that starts or recovers is compared with.
"""

from collections.abc import Iterable
from statistics import median

from kingcupdyke.forwarding.endpointstate import FIXED_FIRST_EVENT_S, EndpointState

__all__ = ["compare_window", "get_expected_first_s"]


def compare_window(state: EndpointState, states: Iterable[EndpointState]) -> None:
    """Compare a window with the established endpoints of the service.

    The endpoint's own earlier speed goes before the median of the others. Once known, the expected
    speed stays, as the endpoint's speed while it recovers is no measure.

    :param states: the endpoints of all services
    """
    window = state.pace
    others = [
        each
        for each in states
        if each.pace is None
        and each.entry.service == state.entry.service
        and not each.entry.is_leaving
    ]
    window.is_alone = not others
    if window.is_alone:
        window.end_window = state.entry.slots / 2
        return
    window.end_window = median(each.requests for each in others)
    if window.expected_tokens_per_s is None:
        speeds = [each.tokens_per_s for each in others if each.has_speed_sample]
        if speeds and not state.has_speed_sample:
            # With the default speed, an endpoint of a fast service would never be tried.
            state.tokens_per_s = median(speeds)
        if speeds or state.has_speed_sample:
            window.expected_tokens_per_s = state.tokens_per_s
    if window.expected_duration_s is None:
        durations = [each.mean_duration_s for each in others if each.mean_duration_s]
        window.expected_duration_s = state.mean_duration_s or _median(durations)


def get_expected_first_s(state: EndpointState, tokens: int) -> float | None:
    """:return: expected seconds to the first event of a stream, or None without a comparison

    :param tokens: unread prompt tokens at the endpoint when the request was sent
    """
    speed = state.pace.expected_tokens_per_s
    return None if speed is None else FIXED_FIRST_EVENT_S + tokens / speed


def _median(values: list[float]) -> float | None:
    return median(values) if values else None
