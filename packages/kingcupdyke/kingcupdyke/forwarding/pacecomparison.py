"""
kingcupdyke.forwarding.pacecomparison
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the window of an endpoint that starts or recovers is compared with.
"""

from collections import defaultdict
from collections.abc import Container, Iterable
from statistics import median
from typing import NamedTuple

from kingcupdyke.forwarding.endpointstate import FIXED_FIRST_EVENT_S, EndpointState

__all__ = ["ServiceNorm", "compare_window", "find_norms", "get_expected_first_s"]


class ServiceNorm(NamedTuple):
    """What the established endpoints of a service do."""

    #: Median of their requests in flight.
    requests: float
    #: Medians of the prompt tokens a second and of the seconds of whole responses, or None if none
    #: of them is known.
    tokens_per_s: float | None
    duration_s: float | None


def find_norms(services: Container[str], states: Iterable[EndpointState]) -> dict[str, ServiceNorm]:
    """Find what windows are compared with, in one pass over the endpoints.

    :param services: the services that are compared
    :param states: the endpoints of all services
    :return: the norm by service; none for a service without established endpoints
    """
    established_by_service: dict[str, list[EndpointState]] = defaultdict(list)
    for each in states:
        if each.pace is None and each.entry.service in services and not each.entry.is_leaving:
            established_by_service[each.entry.service].append(each)
    return {service: _make_norm(each) for service, each in established_by_service.items()}


def _make_norm(established: list[EndpointState]) -> ServiceNorm:
    return ServiceNorm(
        median(each.requests for each in established),
        _median([each.tokens_per_s for each in established if each.has_speed_sample]),
        _median([each.mean_duration_s for each in established if each.mean_duration_s]),
    )


def compare_window(state: EndpointState, norm: ServiceNorm | None) -> None:
    """Compare a window with the established endpoints of the service.

    The endpoint's own earlier speed goes before the median of the others. Once known, the expected
    speed stays, as the endpoint's speed while it recovers is no measure.

    :param norm: what these do, or None if there are none
    """
    window = state.pace
    window.is_alone = norm is None
    if norm is None:
        window.end_window = state.entry.slots / 2
        return
    window.end_window = norm.requests
    if window.expected_tokens_per_s is None:
        if norm.tokens_per_s is not None and not state.has_speed_sample:
            # With the default speed, an endpoint of a fast service would never be tried.
            state.tokens_per_s = norm.tokens_per_s
        if norm.tokens_per_s is not None or state.has_speed_sample:
            window.expected_tokens_per_s = state.tokens_per_s
    if window.expected_duration_s is None:
        window.expected_duration_s = state.mean_duration_s or norm.duration_s


def get_expected_first_s(state: EndpointState, tokens: int) -> float | None:
    """:return: expected seconds to the first event of a stream, or None without a comparison

    :param tokens: unread prompt tokens at the endpoint when the request was sent
    """
    speed = state.pace.expected_tokens_per_s
    return None if speed is None else FIXED_FIRST_EVENT_S + tokens / speed


def _median(values: list[float]) -> float | None:
    return median(values) if values else None
